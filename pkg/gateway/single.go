package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// A second request of a repeatable single request is due after this part of
// the route's target latency: late enough that a usual reply (a quarter of the
// target) comes first, early enough that the second one is in time.
const singleHedgePart = 0.55

// singleRun is one request to one leaf under way.
type singleRun struct {
	g       *Gateway
	caller  context.Context
	calls   context.Context
	req     *Request
	route   *routing.Route
	service string
	end     time.Time
	replies chan LeafReply
	tried   []string
	open    int
	// ran: some attempt may have run.
	ran  bool
	last LeafReply
	// trial: the request is suspected of ending leafs, and how it fares is still to be told.
	trial bool
}

// single runs a request that goes to one leaf.
func (g *Gateway) single(ctx context.Context, req *Request, route *routing.Route, end time.Time) Answer {
	service := g.splitter.Pick(route)
	if service == "" {
		return g.refuse(req, route, errcode.ShardsUnavailable, g.opts.Load().RetryAfter)
	}
	admission := g.quarantine.Admit(req.Key, time.Now())
	if admission.Verdict == quarantine.Quarantined {
		return g.refuseQuarantined(req, route, admission.RetryAfter)
	}
	// Calls still open when the answer is given, or the caller has left, are
	// ended: their work is for nobody. Not so a request that may run once: what
	// has begun is better finished than broken off half way.
	calls := context.WithoutCancel(ctx)
	if route.Kind != routing.AtMostOnce {
		var cancel context.CancelFunc
		calls, cancel = context.WithCancel(ctx)
		defer cancel()
	}
	run := &singleRun{
		g: g, caller: ctx, calls: calls, req: req, route: route, service: service, end: end,
		replies: make(chan LeafReply, max(route.MaxAttempts, 1)),
		trial:   admission.Verdict == quarantine.Suspect,
	}
	defer run.endTrial()
	if run.trial {
		g.noteTrial(req, route, admission)
	}
	g.table.CountRequest(service, time.Now())
	if !run.send("first") {
		return g.refuse(req, route, errcode.ShardsUnavailable, g.opts.Load().RetryAfter)
	}
	return run.wait()
}

// send places and sends the next attempt.
func (r *singleRun) send(why string) bool {
	now := time.Now()
	if len(r.tried) >= max(r.route.MaxAttempts, 1) {
		return false
	}
	if len(r.tried) > 0 && r.g.quarantine.Verdict(r.req.Key, now) != quarantine.Sound {
		return false // It has ended leafs, and would end another one.
	}
	p, verdict := r.g.table.Place(r.service, r.route.Name, r.tried, now)
	if verdict != replica.Placed {
		return false
	}
	if len(r.tried) > 0 && !r.g.table.TakeSecondRequestBudget(r.service, now) {
		return false
	}
	entry := r.g.table.Begin(p, r.route.Name, now)
	if entry == nil {
		return false
	}
	call := LeafCall{Leaf: p.Leaf, Service: r.service, Request: r.req, Deadline: r.end}
	err := r.g.pool.Submit(func() { r.replies <- r.g.do(r.calls, call, entry) })
	if err != nil {
		r.g.table.End(entry, replica.Abandoned, now)
		return false
	}
	r.tried = append(r.tried, p.Leaf.ID)
	r.open++
	if len(r.tried) > 1 {
		r.g.noteSecond(r.route, call, why)
	}
	return true
}

// wait runs the request until its answer is known.
func (r *singleRun) wait() Answer {
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	end := time.NewTimer(time.Until(r.end))
	defer end.Stop()
	for {
		select {
		case reply := <-r.replies:
			if a, done := r.take(reply); done {
				return a
			}
		case <-hedge.C:
			r.send("slow")
		case <-end.C:
			return r.expired()
		case <-r.caller.Done():
			return r.g.callerLeft(r.req, r.route)
		}
	}
}

// hedgeTimer fires when a second request is due; never for requests that may
// run once only.
func (r *singleRun) hedgeTimer() *time.Timer {
	wait := time.Until(r.end) + time.Hour
	if r.route.Kind == routing.Repeatable && r.route.TargetLatency > 0 {
		wait = time.Duration(singleHedgePart * float64(r.route.TargetLatency))
	}
	return time.NewTimer(wait)
}

// take decides on one reply: whether it is the answer, or another leaf is
// asked.
//
// A request that may run once is sent again only after a certain "not run". A
// connection that ends after the request was written proves nothing: the leaf
// may have run it and lost the answer, and a second leaf would run it again;
// one notices two effects for one request. Its outcome is reported unknown.
func (r *singleRun) take(reply LeafReply) (Answer, bool) {
	r.open--
	r.last = reply
	if r.trial {
		r.trial = false
		r.g.trialEnded(r.req, trialOf(reply.Outcome))
	}
	if reply.Outcome == replica.Answered {
		return Answer{Code: errcode.OK, Relayed: &reply}, true
	}
	if !reply.Outcome.NotRun() {
		r.ran = true
	}
	if r.route.Kind == routing.Repeatable || reply.Outcome.NotRun() {
		if r.open == 0 && r.send("repeat") {
			return Answer{}, false
		}
	}
	if r.open > 0 {
		return Answer{}, false
	}
	return r.failed(), true
}

// endTrial takes over that a trial brought no outcome.
func (r *singleRun) endTrial() {
	switch {
	case !r.trial:
	case len(r.tried) == 0:
		r.g.trialEnded(r.req, quarantine.Unsent)
	default:
		r.g.trialEnded(r.req, quarantine.Unresolved)
	}
}

// failed is the answer when no attempt is open and none can follow.
func (r *singleRun) failed() Answer {
	if r.last.Outcome == replica.Failed {
		return Answer{Code: errcode.OK, Relayed: &r.last}
	}
	a := r.unanswered()
	a.LastFailure = &r.last
	return a
}

// unanswered is the answer when no leaf replied for good.
func (r *singleRun) unanswered() Answer {
	if !r.ran {
		return r.g.refuse(r.req, r.route, errcode.ShardsUnavailable, r.g.opts.Load().RetryAfter)
	}
	return r.unknown(errcode.OutcomeUnknown)
}

// expired is the answer when the time is up with an attempt open.
func (r *singleRun) expired() Answer { return r.unknown(errcode.RequestTimeout) }

// unknown answers a request that may have run and brought no answer.
func (r *singleRun) unknown(code errcode.Code) Answer {
	if r.route.Kind == routing.Repeatable && code == errcode.OutcomeUnknown {
		code = errcode.LeafFailed
	}
	r.g.log.Decision("request_failed", r.req.about(r.route.Name, oplog.Fields{
		"kind": r.route.Kind.String(), "service": r.service, "leafs": r.tried,
		"code": code.String(), "reason": code.Name(), "last_outcome": r.last.Outcome.String(),
		"after_ms": time.Since(r.req.Arrived).Milliseconds(), "config_version": r.g.version(),
	}))
	return Answer{Code: code}
}
