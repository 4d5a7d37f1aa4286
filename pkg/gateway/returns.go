package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/returns"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// This file connects the refusals because of load to the planned returns of their callers.

// heldTargetDivisor limits the time for which a query on a route with planned returns is held to
// 1/4 of the target latency: a caller that is refused later has lost time that its retry needs.
const heldTargetDivisor = 4

// returnPlan is what is known about the return of a request's caller, on routes with planned
// returns.
type returnPlan struct {
	planned bool
	// returning means that the caller was refused before, waited that it did not retry at once, and
	// claimed that it claimed a promise.
	returning, waited, claimed bool
	// keptFree means that the request met capacity that was kept for a returning caller.
	keptFree bool
	// promised means that the caller's refusal promises it a place.
	promised bool
}

// addTo adds the plan to the fields of a log line.
func (p returnPlan) addTo(f oplog.Fields) {
	if p.planned {
		f["returning"], f["claimed"], f["kept_free"], f["promised"] = p.returning, p.claimed, p.keptFree, p.promised
	}
}

// Returns returns the book of the planned returns.
func (g *Gateway) Returns() *returns.Book { return g.returns }

// returnsPlanned reports whether the returns of the route's refused callers are planned.
func (g *Gateway) returnsPlanned(route *routing.Route) bool {
	o := g.opts.Load().Overload
	return o.Returns.For(route.ShortTimeout(o.ShortTimeoutTargets))
}

// claimReturn returns whether the caller of a request was refused before and is retrying, and uses up
// a promise if one is due to it. It must be called once for each request.
func (g *Gateway) claimReturn(req *Request, route *routing.Route) priority.Caller {
	reduction := g.callerTimeouts.reduction(route.Name, req.Timeout)
	returning := reduction >= timeoutResolution
	if g.returnsPlanned(route) {
		g.claimPromise(req, route, reduction)
	}
	switch {
	case req.plan.claimed:
		return priority.PromisedCaller
	case !returning:
		return priority.NewCaller
	case req.plan.planned && !req.plan.waited:
		return priority.EarlyCaller
	}
	return priority.ReturningCaller
}

// claimPromise plans the return of a request's caller, whose first attempt was sinceFirst ago; zero:
// this is the first.
func (g *Gateway) claimPromise(req *Request, route *routing.Route, sinceFirst time.Duration) {
	now := time.Now()
	req.plan = returnPlan{planned: true, returning: sinceFirst >= timeoutResolution, waited: returns.MayClaim(sinceFirst)}
	req.plan.claimed = req.plan.waited && g.returns.Claim(route.Name, now)
	req.plan.keptFree = !req.plan.claimed && g.returns.Due(route.Name, now)
}

// returnTerms returns how planned returns affect a query, after claimReturn.
func (g *Gateway) returnTerms(req *Request, route *routing.Route) fanout.ReturnTerms {
	if !req.plan.planned {
		return fanout.ReturnTerms{}
	}
	return fanout.ReturnTerms{
		Planned: true, Promised: req.plan.claimed, KeepFree: req.plan.keptFree,
		MaxHold: max(route.TargetLatency/heldTargetDivisor-g.opts.Load().AnswerMargin, time.Millisecond),
	}
}

// recordAdmission records that a request of the route was admitted. The rate of admissions
// determines how many returns are promised.
func (g *Gateway) recordAdmission(route *routing.Route) {
	if g.returnsPlanned(route) {
		g.returns.RecordAdmission(route.Name, time.Now())
	}
}

// plannedRetryAfter returns the retry hint of a request that is refused because of load: the time of
// its planned return, or fallback if returns are not planned for the route or if an answer after a
// return at that time is likely to meet the target latency.
//
// A caller that returned is told that no capacity will come: callers retry once, and a caller that
// retries more often would otherwise collect the promises of those that wait.
func (g *Gateway) plannedRetryAfter(req *Request, route *routing.Route, fallback time.Duration) time.Duration {
	if !g.returnsPlanned(route) {
		return fallback
	}
	if req.plan.claimed {
		g.stats.brokenPromise()
	}
	now := time.Now()
	remaining := max(g.deadline(req, route).Sub(now), 0)
	if req.plan.returning {
		return remaining
	}
	if g.meetsTargetAfter(req, route, fallback, now) {
		return fallback
	}
	hint, promised := g.returns.Promise(route.Name, remaining, now)
	req.plan.planned, req.plan.promised = true, promised
	return hint
}

// meetsTargetAfter reports whether a caller that returns after the given delay can be answered within
// its target latency. A quarter of the target is left for its wait, as at its first arrival.
func (g *Gateway) meetsTargetAfter(req *Request, route *routing.Route, delay time.Duration, now time.Time) bool {
	target := route.TargetLatency
	latest := req.latencyStart(target).Add(target - leafqueue.MaxWait(target))
	return !now.Add(delay + g.table.TypicalLatency(route.Name)).After(latest)
}

// sendAdmitted sends the requests of a query, and records its admission with the first of them.
func (r *gatherRun) sendAdmitted(sends []fanout.Request) {
	if len(sends) > 0 && !r.admitted {
		r.admitted = true
		r.g.recordAdmission(r.route)
	}
	r.send(sends)
}

// refuseHeld refuses a query that waited for capacity without success and sent no request.
func (g *Gateway) refuseHeld(req *Request, route *routing.Route, held time.Duration) Answer {
	code := errcode.ShardsOverloaded
	retryAfter := g.plannedRetryAfter(req, route, fanout.OverloadRetryAfter)
	g.stats.refused(code)
	g.log.Decision("query_refused", req.logFields(route.Name, oplog.Fields{
		"code": code.String(), "reason": code.Name(), "held_ms": held.Milliseconds(),
		"retry_after_ms": retryAfter.Milliseconds(), "config_version": g.version(),
	}))
	return Answer{Code: code, RetryAfter: retryAfter}
}
