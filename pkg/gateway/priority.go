package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// This file refuses queries in favour of more urgent queries to the same shards.

// Priorities returns the controller of the admitted shares.
func (g *Gateway) Priorities() *priority.Controller { return g.priorities }

// priorityOptions returns the options of the controller of the admitted shares.
func priorityOptions(opts Options) priority.Options {
	scopes := map[Mode]priority.Scope{Auto: priority.UrgentGroups, On: priority.MixedGroups, Off: priority.NoGroups}
	return priority.Options{Scope: scopes[opts.Overload.Priorities], MinShare: opts.Overload.MinAdmittedShare}
}

// setPriorityRoutes passes the routes of a configuration to the controller.
func (g *Gateway) setPriorityRoutes(c *routing.Config) {
	var routes []*routing.Route
	c.Routes(func(r *routing.Route) bool {
		routes = append(routes, r)
		return true
	})
	g.priorities.SetRoutes(routes)
	if count, example := c.UnrankedRoutes(); count > 0 {
		g.log.State("route_rank_invalid", oplog.Fields{"routes": count, "route": example, "config_version": c.Version, "instead": "least urgent rank"})
	}
	g.stats.registerShares(g.priorities)
}

// admitByRank returns the refusal of a query if it must not run in favour of more urgent ones, and
// nil otherwise.
func (g *Gateway) admitByRank(req *Request, route *routing.Route, caller priority.Caller) *Answer {
	d := g.priorities.Admit(route.Name, caller, time.Now())
	if !d.Controlled {
		return nil
	}
	g.stats.admittedByRank(d.Rank, d.Admitted)
	if d.Admitted {
		return nil
	}
	return g.refuseLowPriority(req, route, d)
}

// refuseLowPriority refuses a query in favour of more urgent ones.
func (g *Gateway) refuseLowPriority(req *Request, route *routing.Route, d priority.Decision) *Answer {
	code := errcode.LowPriority
	retryAfter := g.plannedRetryAfter(req, route, fanout.OverloadRetryAfter)
	g.stats.refused(code)
	g.log.Decision("query_refused", req.logFields(route.Name, oplog.Fields{
		"code": code.String(), "reason": code.Name(),
		"rank": d.Rank, "share": d.Share, "favored": d.Favored, "pressure": d.Pressure, "pressure_age_ms": d.PressureAge.Milliseconds(),
		"retry_after_ms": retryAfter.Milliseconds(), "config_version": g.version(),
	}))
	a := &Answer{Code: code, RetryAfter: retryAfter, Shards: make([]ShardAnswer, len(route.Shards))}
	for i := range a.Shards {
		a.Shards[i].MissingReason = fanout.Withheld
	}
	return a
}

// recordOverload reports to the controller that a query was refused or held because of overload.
func (g *Gateway) recordOverload(route *routing.Route) {
	g.priorities.Observe(route.Name, priority.Sample{Missed: true}, time.Now())
}

// recordOutcome reports to the controller how long a query that ended with the given code took.
// The time of a held query is not a measure of the load when it ends: it was reported when it was
// held. A query that was ended because it crashes leafs or because its caller disconnected says
// nothing about the load.
func (g *Gateway) recordOutcome(route *routing.Route, query *fanout.Query, code errcode.Code) {
	took, covered := query.TimeToCover()
	if query.WasHeld() || !covered && (query.GivenUp() || code == errcode.CallerDisconnected) {
		return
	}
	g.priorities.Observe(route.Name, priority.Sample{Latency: took, Missed: !covered}, time.Now())
}

// logShareChanges updates the admitted shares and logs which ranks are reduced or no longer so.
func (g *Gateway) logShareChanges(now time.Time) {
	for _, c := range g.priorities.Tick(now) {
		event := "rank_restored"
		if c.Reduced {
			event = "rank_reduced"
		}
		g.log.State(event, oplog.Fields{
			"rank": c.Rank, "share": c.Share, "favored": c.Favored, "pressure": c.Pressure, "pressure_age_ms": c.PressureAge.Milliseconds(),
		})
	}
}
