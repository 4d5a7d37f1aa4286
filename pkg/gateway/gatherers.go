package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Gatherers are the few instances of an availability zone that run the zone's queries.
//
// In a large fleet an instance receives less than 1 query/s. If each ran its own queries,
// it would not detect slow, shedding or full leafs before an overload is over, would open its
// own connections to every leaf, and would refuse nobody; the symptom is overloads of some
// seconds in which hardly a query is refused and most are late. Run by a few instances, the
// queries of a zone share what those instances have observed.
type Gatherers interface {
	// HandOff hands a query off to a gatherer. ok is false if no gatherer accepted it or this
	// instance is to run it itself; nothing has run in that case.
	HandOff(ctx context.Context, q GatherQuery) (a Answer, ok bool)
	// HandOffSingle is like HandOff for a request that goes to a single leaf. The answer holds the
	// leaf's reply as the gatherer received it.
	HandOffSingle(ctx context.Context, q GatherQuery) (a Answer, ok bool)
}

// GatherQuery is a query, or a request to a single leaf, that may be handed off.
type GatherQuery struct {
	Request *Request
	Route   *routing.Route
	// ConfigVersion is the version of the configuration under which the query is run. An
	// instance with another version declines it: an older one could return data under a
	// configuration that the caller has already seen replaced, and an answer lists the shards
	// of one version.
	ConfigVersion int64
	// Deadline is the time by which the answer must be sent.
	Deadline time.Time
}

// UseGatherers makes this instance hand queries off to gatherers of its zone. It must be called
// before requests are served.
func (g *Gateway) UseGatherers(gatherers Gatherers) { g.gatherers = gatherers }

// runQuery runs a query over all shards of its route, here or at a gatherer.
func (g *Gateway) runQuery(ctx context.Context, req *Request, route *routing.Route, version int64, deadline time.Time) Answer {
	if g.gatherers == nil || !g.table.OwnZoneAllowed(route.Name) {
		return g.gather(ctx, req, route, deadline)
	}
	a, ok := g.gatherers.HandOff(ctx, GatherQuery{Request: req, Route: route, ConfigVersion: version, Deadline: deadline})
	if !ok {
		return g.gather(ctx, req, route, deadline)
	}
	g.recordHandedOff("query_ended_elsewhere", req, route, a)
	return a
}

// recordHandedOff records the outcome of a request that another instance ran. event names the log
// line of an outcome other than a success.
func (g *Gateway) recordHandedOff(event string, req *Request, route *routing.Route, a Answer) {
	switch {
	case a.Code == errcode.OK:
		return
	case a.Code == errcode.CallerDisconnected:
		g.callerDisconnected(req, route)
		return
	case a.Code.NotRun():
		g.stats.refused(a.Code)
	}
	g.log.Decision(event, req.logFields(route.Name, oplog.Fields{
		"code": a.Code.String(), "reason": a.Code.Name(),
		"after_ms": time.Since(req.Arrived).Milliseconds(), "config_version": g.version(),
	}))
}

// Gather runs a query for another instance of the zone. It calls granted before anything is
// sent, and sends nothing unless granted reports that the query is this instance's to run. ok is
// false if the query did not run and will not.
func (g *Gateway) Gather(ctx context.Context, req *Request, version int64, granted func() bool) (a Answer, ok bool) {
	return g.runForPeer(req, version, granted, isGather, func(route *routing.Route) Answer {
		return g.gather(ctx, req, route, g.deadline(req, route))
	})
}
