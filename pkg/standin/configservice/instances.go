package configservice

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Report records an instance's state as the platform itself would learn it.
// The published list shows it only after the instance lag.
func (p *Server) Report(inst wire.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, instanceEvent{at: time.Now(), inst: inst})
}

func (p *Server) handleReport(_ context.Context, c *app.RequestContext) {
	var inst wire.Instance
	if err := service.DecodeBody(c, &inst); err != nil || inst.Name == "" {
		refuse(c, errcode.BadRequest)
		return
	}
	p.Report(inst)
	c.JSON(200, wire.PatchResult{Code: errcode.OK})
}

func (p *Server) handleInstances(_ context.Context, c *app.RequestContext) {
	p.instanceCalls.Inc()
	_, _, code := p.served()
	if code != errcode.OK {
		refuse(c, code)
		return
	}
	p.mu.Lock()
	list := p.instancesLocked(time.Now().Add(-settings.Duration(p.set.InstanceLagMs)))
	p.mu.Unlock()
	c.JSON(200, list)
}

// instancesLocked replays the reports made up to asOf.
func (p *Server) instancesLocked(asOf time.Time) wire.InstanceList {
	rows := map[string]wire.Instance{}
	for _, e := range p.events {
		if e.at.After(asOf) {
			break
		}
		rows[e.inst.Name] = e.inst
	}
	out := wire.InstanceList{Instances: make([]wire.Instance, 0, len(rows))}
	for _, r := range rows {
		out.Instances = append(out.Instances, r)
	}
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].Name < out.Instances[j].Name })
	return out
}

// instancePoll is how often a waiting instance watch looks for rows that
// have become visible past the list's lag.
const instancePoll = 20 * time.Millisecond

// visibleLocked counts the reports visible at asOf; the count is the
// list's version, since reports only append.
func (p *Server) visibleLocked(asOf time.Time) int {
	n := 0
	for n < len(p.events) && !p.events[n].at.After(asOf) {
		n++
	}
	return n
}

// handleInstanceWatch answers with the rows reported since version after,
// as soon as any is visible, or with none at the watch timeout.
func (p *Server) handleInstanceWatch(ctx context.Context, c *app.RequestContext) {
	p.instanceCalls.Inc()
	if p.partitioned(ctx, c) {
		return
	}
	if _, _, code := p.served(); code != errcode.OK {
		refuse(c, code)
		return
	}
	after, _ := strconv.Atoi(string(c.Query("after")))
	deadline := time.Now().Add(p.watchTimeout(c))
	defer p.noteWaiting(after)()
	tick := time.NewTicker(instancePoll)
	defer tick.Stop()
	for {
		if delta, ok := p.delta(after); ok || time.Now().After(deadline) {
			c.JSON(200, delta)
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Server) delta(after int) (wire.InstanceDelta, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := p.visibleLocked(time.Now().Add(-settings.Duration(p.set.InstanceLagMs)))
	d := wire.InstanceDelta{Version: int64(visible)}
	if after < 0 || after > visible {
		after = 0
	}
	for _, e := range p.events[after:visible] {
		d.Rows = append(d.Rows, e.inst)
	}
	return d, visible > after
}

// noteWaiting counts a watch that waits after a version, until the returned function is called.
func (p *Server) noteWaiting(after int) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[after]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting[after]--
	}
}

// WaitingInstanceWatches is how many watches of the instance list wait for the next report,
// knowing all reports so far.
func (p *Server) WaitingInstanceWatches() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting[len(p.events)]
}
