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

// singleHedgeFraction is the fraction of the route's target latency after which a second
// request of a repeatable single request is sent: late enough for a usual reply (at a quarter of
// the target) to arrive first, early enough for the second one to be in time.
const singleHedgeFraction = 0.55

// singleRun is the state of one request that goes to a single leaf.
type singleRun struct {
	g *Gateway
	// callerCtx ends when the caller disconnects. Leaf calls run under callCtx, which ends with
	// the answer or with callerCtx, except for an at-most-once request.
	callerCtx context.Context
	callCtx   context.Context
	req       *Request
	route     *routing.Route
	service   string
	// deadline is the time by which the answer must be sent.
	deadline time.Time
	replies  chan LeafReply
	// triedLeafs are the IDs of the leafs called so far, inFlight is the number of open calls.
	triedLeafs []string
	inFlight   int
	// mayHaveRun reports whether some attempt may have run.
	mayHaveRun bool
	// lastReply is the most recent reply of any attempt.
	lastReply LeafReply
	// trialPending reports that the request is a suspect whose trial has no result yet.
	trialPending bool
}

// runSingle runs a request that goes to one leaf.
func (g *Gateway) runSingle(ctx context.Context, req *Request, route *routing.Route, deadline time.Time) Answer {
	service := g.splitter.Pick(route)
	if service == "" {
		return g.refuse(req, route, errcode.ShardsUnavailable, g.opts.Load().RetryAfter)
	}
	if g.queuesSingle(route) {
		return g.runQueued(ctx, req, route, service, deadline)
	}
	admission := g.admit(ctx, req, route, deadline)
	if admission.Verdict == quarantine.Quarantined {
		return g.refuseQuarantined(req, route, admission.RetryAfter)
	}
	run, cancel := newSingleRun(ctx, g, req, route, service, deadline)
	defer cancel()
	run.trialPending = admission.Verdict == quarantine.Suspect
	defer run.endTrial()
	if run.trialPending {
		g.logTrial(req, route, admission, deadline)
	}
	g.table.CountRequest(service, time.Now())
	if !run.send("first") {
		return g.refuse(req, route, errcode.ShardsUnavailable, g.opts.Load().RetryAfter)
	}
	return run.wait()
}

// newSingleRun returns the state of a request without calls. cancel ends its calls.
//
// Calls that are still open when the answer is given, or when the caller has disconnected, are
// cancelled, since nobody needs their result. An at-most-once request is not cancelled: completing
// it is better than aborting it half way.
func newSingleRun(
	ctx context.Context, g *Gateway, req *Request, route *routing.Route, service string, deadline time.Time,
) (run *singleRun, cancel context.CancelFunc) {
	callCtx := context.WithoutCancel(ctx)
	cancel = func() {}
	if route.Kind != routing.AtMostOnce {
		callCtx, cancel = context.WithCancel(ctx)
	}
	return &singleRun{
		g: g, callerCtx: ctx, callCtx: callCtx, req: req, route: route, service: service, deadline: deadline,
		replies: make(chan LeafReply, max(route.MaxAttempts, 1)),
	}, cancel
}

// send selects a leaf for the next attempt, sends it, and reports whether it did.
func (r *singleRun) send(why string) bool {
	now := time.Now()
	if len(r.triedLeafs) >= max(r.route.MaxAttempts, 1) {
		return false
	}
	if len(r.triedLeafs) > 0 && r.g.quarantine.Verdict(r.req.Key, now) != quarantine.Sound {
		return false // It has crashed leafs and would crash another one.
	}
	p, placed := r.g.table.Place(r.service, r.route.Name, r.triedLeafs, now)
	if placed != replica.Placed {
		return false
	}
	if len(r.triedLeafs) > 0 && !r.g.table.TakeSecondRequestBudget(r.service, now) {
		return false
	}
	tracked := r.g.table.Begin(p, r.route.Name, now)
	if tracked == nil {
		return false
	}
	call := LeafCall{Leaf: p.Leaf, Service: r.service, Request: r.req, Deadline: r.deadline, AtMostOnce: r.route.Kind == routing.AtMostOnce}
	err := r.g.pool.Submit(func() { r.replies <- r.g.callLeaf(r.callCtx, call, tracked) })
	if err != nil {
		r.g.table.End(tracked, replica.Abandoned, now)
		return false
	}
	r.recordSent(call, why)
	return true
}

// recordSent records a call that was sent.
func (r *singleRun) recordSent(call LeafCall, why string) {
	r.triedLeafs = append(r.triedLeafs, call.Leaf.ID)
	r.inFlight++
	if len(r.triedLeafs) > 1 {
		r.g.recordSecondRequest(r.route, call, why)
	}
}

// wait runs the request until its answer is known.
func (r *singleRun) wait() Answer {
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	end := time.NewTimer(time.Until(r.deadline))
	defer end.Stop()
	for {
		select {
		case reply := <-r.replies:
			if a, done := r.handleReply(reply); done {
				return a
			}
		case <-hedge.C:
			r.send("slow")
		case <-end.C:
			return r.timeoutAnswer()
		case <-r.callerCtx.Done():
			return r.callerLeftAnswer()
		}
	}
}

// callerLeftAnswer ends a request whose caller has left.
func (r *singleRun) callerLeftAnswer() Answer {
	a := r.g.callerDisconnected(r.req, r.route)
	a.Code = leftCallerCode(r.route, r.mayHaveRun || r.inFlight > 0)
	return a
}

// leftCallerCode returns the result code of a request whose caller has left. A caller that only
// closed its sending direction still reads the answer, and net/http reports it as having left.
func leftCallerCode(route *routing.Route, mayHaveRun bool) errcode.Code {
	if mayHaveRun && route.Kind == routing.AtMostOnce {
		return errcode.OutcomeUnknown
	}
	return errcode.CallerDisconnected
}

// hedgeTimer fires when a second request is due. It never fires within the deadline of a
// request that is not repeatable.
func (r *singleRun) hedgeTimer() *time.Timer {
	wait := time.Until(r.deadline) + time.Hour
	if r.route.Kind == routing.Repeatable && r.route.TargetLatency > 0 {
		wait = time.Duration(singleHedgeFraction * float64(r.route.TargetLatency))
	}
	return time.NewTimer(wait)
}

// handleReply processes one reply, and returns the answer or sends the request to another leaf.
func (r *singleRun) handleReply(reply LeafReply) (Answer, bool) {
	if r.recordReply(reply) {
		return Answer{Code: errcode.OK, Relayed: &reply}, true
	}
	if r.mayRepeat(reply) && r.send("repeat") {
		return Answer{}, false
	}
	if r.inFlight > 0 {
		return Answer{}, false
	}
	return r.failedAnswer(), true
}

// recordReply records one reply and reports whether it is the answer.
func (r *singleRun) recordReply(reply LeafReply) bool {
	r.inFlight--
	r.lastReply = reply
	if r.trialPending {
		r.trialPending = false
		r.g.recordTrial(r.req, r.route, trialResult(reply.Outcome), reply.Outcome.String())
	}
	if reply.Outcome == replica.Answered {
		return true
	}
	if !reply.Outcome.NotRun() {
		r.mayHaveRun = true
	}
	return false
}

// mayRepeat reports whether the request may be sent again after a reply that is not the answer.
//
// An at-most-once request is sent again only if it certainly did not run. A connection that
// ends after the request was written proves nothing: the leaf may have run it and lost the
// answer. A second leaf would then run it again, and one request would have two effects. Its
// outcome is reported as unknown.
func (r *singleRun) mayRepeat(reply LeafReply) bool {
	return r.inFlight == 0 && (r.route.Kind == routing.Repeatable || reply.Outcome.NotRun())
}

// endTrial records the result of a trial that ended without an outcome of its leaf call.
func (r *singleRun) endTrial() {
	switch {
	case !r.trialPending:
	case len(r.triedLeafs) == 0:
		r.g.recordTrial(r.req, r.route, quarantine.Unsent, "none")
	default:
		r.g.recordTrial(r.req, r.route, quarantine.Unresolved, "none")
	}
}

// failedAnswer returns the answer when no attempt is open and no further one can be sent.
func (r *singleRun) failedAnswer() Answer {
	if r.lastReply.Outcome == replica.Failed {
		return Answer{Code: errcode.OK, Relayed: &r.lastReply}
	}
	a := r.noReplyAnswer()
	a.LastFailure = &r.lastReply
	return a
}

// noReplyAnswer returns the answer when no leaf has sent a usable reply.
func (r *singleRun) noReplyAnswer() Answer {
	if !r.mayHaveRun {
		return r.g.refuse(r.req, r.route, errcode.ShardsUnavailable, r.g.opts.Load().RetryAfter)
	}
	return r.outcomeUnknownAnswer(errcode.OutcomeUnknown)
}

// timeoutAnswer returns the answer when the deadline has passed with an attempt open.
func (r *singleRun) timeoutAnswer() Answer { return r.outcomeUnknownAnswer(errcode.RequestTimeout) }

// outcomeUnknownAnswer returns the answer to a request that may have run but has no reply.
func (r *singleRun) outcomeUnknownAnswer(code errcode.Code) Answer {
	if r.route.Kind == routing.Repeatable && code == errcode.OutcomeUnknown {
		code = errcode.LeafFailed
	}
	r.g.log.Decision("request_failed", r.req.logFields(r.route.Name, oplog.Fields{
		"kind": r.route.Kind.String(), "service": r.service, "leafs": r.triedLeafs,
		"code": code.String(), "reason": code.Name(), "last_outcome": r.lastReply.Outcome.String(),
		"after_ms": time.Since(r.req.Arrived).Milliseconds(), "config_version": r.g.version(),
	}))
	return Answer{Code: code}
}
