package backend

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// searchKey identifies a running leaf search: one request on one shard.
type searchKey struct {
	requestID string
	shard     string
}

// newRequestContext returns the context under which a leaf request runs. It is cancelled
// at the request's deadline and, for a search, also when the entry instance sends a cancel
// request. The caller must call the returned function once the request has finished.
func (b *Server) newRequestContext(req wire.LeafRequest) (context.Context, func()) {
	ctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(req.DeadlineUnixMs))
	if req.Kind != wire.LeafSearch {
		return ctx, cancel
	}
	key := searchKey{req.RequestID, req.Shard}
	b.mu.Lock()
	b.activeSearches[key] = cancel
	b.mu.Unlock()
	return ctx, func() {
		b.mu.Lock()
		delete(b.activeSearches, key)
		b.mu.Unlock()
		cancel()
	}
}

// handleCancel cancels the running searches of a request on the listed shards. Unknown
// searches are ignored, since they may have finished already.
func (b *Server) handleCancel(_ context.Context, c *app.RequestContext) {
	var req wire.CancelRequest
	if err := service.DecodeBody(c, &req); err != nil {
		c.JSON(400, wire.PatchResult{Code: errcode.BadRequest, Message: err.Error()})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, shard := range req.Shards {
		if cancel, ok := b.activeSearches[searchKey{req.RequestID, shard}]; ok {
			cancel()
		}
	}
	c.JSON(200, wire.PatchResult{Code: errcode.OK})
}
