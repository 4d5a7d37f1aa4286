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

// Report records the state of an instance, in place of the platform's own monitoring.
// The published list shows it only after the instance lag.
func (p *Server) Report(inst wire.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instanceReports = append(p.instanceReports, instanceReport{at: time.Now(), inst: inst})
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
	_, _, code := p.readConfig()
	if code != errcode.OK {
		refuse(c, code)
		return
	}
	p.mu.Lock()
	list := p.instancesLocked(time.Now().Add(-settings.Duration(p.settings.InstanceLagMs)))
	p.mu.Unlock()
	c.JSON(200, list)
}

// instancesLocked returns the instance list that results from the reports made up to asOf.
// p.mu must be held.
func (p *Server) instancesLocked(asOf time.Time) wire.InstanceList {
	rows := map[string]wire.Instance{}
	for _, e := range p.instanceReports {
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

// instancePollInterval is the interval at which a waiting instance watch checks whether
// the lag of a report has passed, so that its row has become visible.
const instancePollInterval = 20 * time.Millisecond

// visibleReportsLocked returns the number of reports made up to asOf. Since reports are
// only appended, it also serves as the version of the instance list. p.mu must be held.
func (p *Server) visibleReportsLocked(asOf time.Time) int {
	n := 0
	for n < len(p.instanceReports) && !p.instanceReports[n].at.After(asOf) {
		n++
	}
	return n
}

// handleInstanceWatch answers with the rows reported since version after as soon as one is
// visible, or with no rows after the watch timeout.
func (p *Server) handleInstanceWatch(ctx context.Context, c *app.RequestContext) {
	p.instanceCalls.Inc()
	if p.refuseIfPartitioned(ctx, c) {
		return
	}
	if _, _, code := p.readConfig(); code != errcode.OK {
		refuse(c, code)
		return
	}
	after, _ := strconv.Atoi(string(c.Query("after")))
	deadline := time.Now().Add(p.watchTimeout(c))
	defer p.trackWaitingWatch(after)()
	tick := time.NewTicker(instancePollInterval)
	defer tick.Stop()
	for {
		if delta, ok := p.instanceDelta(after); ok || time.Now().After(deadline) {
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

// instanceDelta returns the rows that became visible after version after and reports
// whether there are any. For a version that is not known here, it returns all rows.
func (p *Server) instanceDelta(after int) (wire.InstanceDelta, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := p.visibleReportsLocked(time.Now().Add(-settings.Duration(p.settings.InstanceLagMs)))
	d := wire.InstanceDelta{Version: int64(visible)}
	if after < 0 || after > visible {
		after = 0
	}
	for _, e := range p.instanceReports[after:visible] {
		d.Rows = append(d.Rows, e.inst)
	}
	return d, visible > after
}

// trackWaitingWatch counts a watch that waits for reports after a version of the instance
// list, until the returned function is called.
func (p *Server) trackWaitingWatch(after int) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingWatches[after]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waitingWatches[after]--
	}
}

// WaitingInstanceWatches returns the number of open watches of the instance list whose
// readers have all reports so far and wait for the next one.
func (p *Server) WaitingInstanceWatches() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitingWatches[len(p.instanceReports)]
}
