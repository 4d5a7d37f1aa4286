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

// handleRead answers with the current configuration.
func (p *Server) handleRead(ctx context.Context, c *app.RequestContext) {
	if p.refuseIfPartitioned(ctx, c) {
		return
	}
	cfg, _, code := p.readConfig()
	if code != errcode.OK {
		refuse(c, code)
		return
	}
	c.JSON(200, wire.ConfigReply{Version: cfg.Version, Config: cfg})
}

// watchTimeout returns how long a watch waits: the timeout in the request, or the one in
// the settings if the request has none or a longer one.
func (p *Server) watchTimeout(c *app.RequestContext) time.Duration {
	if ms, err := strconv.Atoi(string(c.Query("timeout_ms"))); err == nil && ms > 0 && ms < p.settings.WatchTimeoutMs {
		return settings.Duration(ms)
	}
	return settings.Duration(p.settings.WatchTimeoutMs)
}

// handleWatch answers as soon as there is a configuration newer than version after, with
// the patches since that version if possible and with the whole configuration otherwise.
// If there is none before the watch timeout, it answers with the version alone.
func (p *Server) handleWatch(ctx context.Context, c *app.RequestContext) {
	if p.refuseIfPartitioned(ctx, c) {
		return
	}
	after, _ := strconv.ParseInt(string(c.Query("after")), 10, 64)
	timeout := p.watchTimeout(c)
	cfg, changed, code := p.readConfig()
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
			// The reader already has this version. Sending the configuration again
			// would cost each node a transfer of all of it at every watch timeout.
			c.JSON(200, wire.ConfigReply{Version: cfg.Version})
			return
		case <-ctx.Done():
			return
		}
		cfg, changed = p.peek()
	}
	if changed == nil && cfg.Version <= after {
		// In stale mode the watch waits until its timeout, as with a real stale
		// replica, and then gets the stale configuration.
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

// maxPatchesPerReply is the maximum number of patches in a reply. A reader that is further
// behind gets the whole configuration, which is then the smaller message.
const maxPatchesPerReply = 64

// patchesSince returns the patches that lead from version after to version to. It reports
// false if this service does not know version after or if the reader is already at version
// to or more than maxPatchesPerReply behind it.
func (p *Server) patchesSince(after, to int64) ([]topology.Patch, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.history[0].Version
	if after < first || to <= after || to-after > maxPatchesPerReply {
		return nil, false
	}
	return append([]topology.Patch(nil), p.patches[after-first:to-first]...), true
}

// peek is like readConfig, but neither counts a call nor applies the read rate limit: a
// waiting watch counts as one call.
func (p *Server) peek() (*topology.Config, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeStale {
		return p.staleConfig, nil
	}
	return p.history[len(p.history)-1], p.changed
}
