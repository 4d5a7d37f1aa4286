package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Gatherers are the few instances of an availability zone that run its queries.
//
// In a large fleet an instance sees less than one query a second. It learns nothing of
// slow, shedding and full leafs before an overload is over, opens connections to every
// leaf for itself, and turns nobody away; one notices overloads of some seconds in which
// hardly a query is refused and most are late. Run by a few instances, the queries of a
// zone share what each of them has shown.
type Gatherers interface {
	// Delegate hands a query on. ok is false where nobody took it, or this instance is to run
	// it itself: nothing has run then.
	Delegate(ctx context.Context, q GatherQuery) (a Answer, ok bool)
}

// GatherQuery is a query that may be handed on.
type GatherQuery struct {
	Request *Request
	Route   *routing.Route
	// ConfigVersion is the configuration that the query is run under. An instance with
	// another one declines: an older one could bring back what a caller has seen
	// replaced, and an answer names the shards of one version.
	ConfigVersion int64
	// Deadline is when the final answer must be on its way.
	Deadline time.Time
}

// UseGatherers lets queries of this instance be run by others of its zone. It is called
// before requests are served.
func (g *Gateway) UseGatherers(gatherers Gatherers) { g.gatherers = gatherers }

// query runs a query over all shards of its route, here or at a gatherer.
func (g *Gateway) query(ctx context.Context, req *Request, route *routing.Route, version int64, end time.Time) Answer {
	if g.gatherers == nil || !g.table.OwnZoneAllowed(route.Name) {
		return g.gather(ctx, req, route, end)
	}
	a, ok := g.gatherers.Delegate(ctx, GatherQuery{Request: req, Route: route, ConfigVersion: version, Deadline: end})
	if !ok {
		return g.gather(ctx, req, route, end)
	}
	g.handedOn(req, route, a)
	return a
}

// handedOn records what came of a query that another instance ran.
func (g *Gateway) handedOn(req *Request, route *routing.Route, a Answer) {
	switch {
	case a.Code == errcode.OK:
		return
	case a.Code == errcode.CallerDisconnected:
		g.callerLeft(req, route)
		return
	case a.Code.NotRun():
		g.stats.refused(a.Code)
	}
	g.log.Decision("query_ended_elsewhere", req.about(route.Name, oplog.Fields{
		"code": a.Code.String(), "reason": a.Code.Name(),
		"after_ms": time.Since(req.Arrived).Milliseconds(), "config_version": g.version(),
	}))
}

// Gather runs a query for another instance of the zone. It calls granted before anything is
// sent, and sends nothing unless that says that the query is this instance's to run; ok is
// false if the query did not run and will not.
func (g *Gateway) Gather(ctx context.Context, req *Request, version int64, granted func() bool) (a Answer, ok bool) {
	c := g.config.Load()
	if c == nil || c.Version != version {
		return a, false
	}
	route := c.Match(req.Host, req.Path)
	if route == nil || route.Kind != routing.Gather {
		return a, false
	}
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) > int64(g.opts.Load().MaxInFlight) {
		return a, false
	}
	if !granted() {
		return a, false
	}
	a = g.gather(ctx, req, route, g.deadline(req, route))
	a.Route = route
	return a, true
}
