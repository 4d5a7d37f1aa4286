package backend

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// searchKey names one leaf search at work.
type searchKey struct {
	requestID string
	shard     string
}

// begin returns the context a leaf request works under: it ends at the
// deadline or, for a search, when the entry instance cancels it. The
// function returned must be called when the work is over.
func (b *Server) begin(req wire.LeafRequest) (context.Context, func()) {
	ctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(req.DeadlineUnixMs))
	if req.Kind != wire.LeafSearch {
		return ctx, cancel
	}
	key := searchKey{req.RequestID, req.Shard}
	b.mu.Lock()
	b.searches[key] = cancel
	b.mu.Unlock()
	return ctx, func() {
		b.mu.Lock()
		delete(b.searches, key)
		b.mu.Unlock()
		cancel()
	}
}

func (b *Server) handleCancel(_ context.Context, c *app.RequestContext) {
	var req wire.CancelRequest
	if err := service.DecodeBody(c, &req); err != nil {
		c.JSON(400, wire.PatchResult{Code: errcode.BadRequest, Message: err.Error()})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, shard := range req.Shards {
		if cancel, ok := b.searches[searchKey{req.RequestID, shard}]; ok {
			cancel()
		}
	}
	c.JSON(200, wire.PatchResult{Code: errcode.OK})
}
