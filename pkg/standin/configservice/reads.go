package configservice

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

func (p *Server) handleRead(ctx context.Context, c *app.RequestContext) {
	if p.partitioned(ctx, c) {
		return
	}
	cfg, _, code := p.served()
	if code != errcode.OK {
		refuse(c, code)
		return
	}
	c.JSON(200, wire.ConfigReply{Version: cfg.Version, Config: cfg})
}

// watchTimeout is how long a watch waits: as it asks, and as long as any at most.
func (p *Server) watchTimeout(c *app.RequestContext) time.Duration {
	if ms, err := strconv.Atoi(string(c.Query("timeout_ms"))); err == nil && ms > 0 && ms < p.set.WatchTimeoutMs {
		return settings.Duration(ms)
	}
	return settings.Duration(p.set.WatchTimeoutMs)
}

func (p *Server) handleWatch(ctx context.Context, c *app.RequestContext) {
	if p.partitioned(ctx, c) {
		return
	}
	after, _ := strconv.ParseInt(string(c.Query("after")), 10, 64)
	timeout := p.watchTimeout(c)
	cfg, changed, code := p.served()
	if code != errcode.OK {
		refuse(c, code)
		return
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for cfg.Version <= after && changed != nil {
		select {
		case <-changed:
		case <-deadline.C:
			// Nothing newer: the reader already has this version, and
			// resending it would cost each node the whole configuration
			// every watch timeout.
			c.JSON(200, wire.ConfigReply{Version: cfg.Version})
			return
		case <-ctx.Done():
			return
		}
		cfg, changed = p.peek()
	}
	if changed == nil && cfg.Version <= after {
		// Stale mode: hold the watch as a real stale service would, then
		// answer with what it has.
		select {
		case <-deadline.C:
		case <-ctx.Done():
		}
	}
	if patches, ok := p.patchesSince(after, cfg.Version); ok {
		c.JSON(200, wire.ConfigReply{Version: cfg.Version, Patches: patches, Digest: cfg.Digest()})
		return
	}
	c.JSON(200, wire.ConfigReply{Version: cfg.Version, Config: cfg})
}

// maxPatches bounds a patch reply; a reader further behind gets the whole
// configuration, which is then the smaller message.
const maxPatches = 64

// patchesSince returns the patches that take a reader from version after
// to version to, when the reader's version is one this service accepted
// and it is not too far behind.
func (p *Server) patchesSince(after, to int64) ([]topology.Patch, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.history[0].Version
	if after < first || to <= after || to-after > maxPatches {
		return nil, false
	}
	return append([]topology.Patch(nil), p.patches[after-first:to-first]...), true
}

// peek reads without counting a call: a waiting watch counts once.
func (p *Server) peek() (*topology.Config, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeStale {
		return p.stale, nil
	}
	return p.history[len(p.history)-1], p.changed
}
