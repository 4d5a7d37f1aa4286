package platform

import (
	"context"
	"sort"
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
	p.instCall.Inc()
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
