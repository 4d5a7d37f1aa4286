package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// queuedRun is a single request that goes through the queue of its service.
//
// Calls of the request are either in flight or one attempt waits, never both: a repeat is submitted
// when no call is open, and a hedge does not wait.
type queuedRun struct {
	*singleRun
	queue     *serviceQueue
	returning bool
	// target is the latency from which the maximum wait and late replies are computed.
	target time.Duration
	// attempt is the latest attempt that was submitted, why its reason, and waiting reports that it
	// waits. decided receives the decision about it.
	attempt *leafqueue.Request
	why     string
	waiting bool
	decided chan leafqueue.Decision
}

// runQueued runs a single request through the queue of its service. The service was chosen by the
// traffic split and is not changed: what does not fit is refused.
func (g *Gateway) runQueued(ctx context.Context, req *Request, route *routing.Route, service string, deadline time.Time) Answer {
	run, cancel := newSingleRun(ctx, g, req, route, service, deadline)
	defer cancel()
	defer run.endTrial()
	r := &queuedRun{
		singleRun: run, queue: g.singles.queue(service, g.table), returning: g.isPreferredReturn(req, route),
		target: g.queueTarget(req, route, deadline), decided: make(chan leafqueue.Decision, 1),
	}
	g.table.CountRequest(service, time.Now())
	if a, done := r.submit("first"); done {
		return a
	}
	return r.wait()
}

// isPreferredReturn reports whether the caller returns after a refusal and is preferred to new
// callers. Where returns are planned, a caller that retries at once is not.
func (g *Gateway) isPreferredReturn(req *Request, route *routing.Route) bool {
	caller := g.claimReturn(req, route)
	return caller == priority.ReturningCaller || caller == priority.PromisedCaller
}

// queueTarget returns the target latency of a route. A route without one that goes through the
// queue because of the setting is treated as if its timeout were the longest short one.
func (g *Gateway) queueTarget(req *Request, route *routing.Route, deadline time.Time) time.Duration {
	if route.TargetLatency > 0 {
		return route.TargetLatency
	}
	return max(time.Duration(float64(deadline.Sub(req.Arrived))/max(g.opts.Load().Overload.ShortTimeoutTargets, 1)), time.Millisecond)
}

// submit submits the next attempt, and returns the answer if it is refused.
func (r *queuedRun) submit(why string) (Answer, bool) {
	now := time.Now()
	r.why = why
	r.attempt = r.newAttempt()
	d := r.queue.Submit(r.attempt, now)
	if d.Verdict != leafqueue.Waiting {
		return r.apply(d)
	}
	r.waiting = true
	r.queue.setTimer(now)
	r.g.log.Decision("single_queued", r.queueFields(d))
	return Answer{}, false
}

// newAttempt returns the next attempt of the request.
func (r *queuedRun) newAttempt() *leafqueue.Request {
	startBy := r.req.Arrived.Add(leafqueue.MaxWait(r.target))
	if r.deadline.Before(startBy) {
		startBy = r.deadline
	}
	return &leafqueue.Request{
		Class: r.route.Name, Rank: r.route.Priority, Returning: r.returning, Again: len(r.triedLeafs) > 0,
		Tried: slices.Clone(r.triedLeafs), Target: r.target, StartBy: startBy, Owner: r,
	}
}

// apply carries out the final decision about an attempt, and returns the answer if it is refused.
func (r *queuedRun) apply(d leafqueue.Decision) (Answer, bool) {
	now := time.Now()
	waited := r.waiting
	r.waiting = false
	r.g.stats.singleDecision(r.route.Priority, d.Verdict.String(), waited, d.Request.Waited(now))
	if d.Verdict == leafqueue.Started {
		return r.start(d.Request, now)
	}
	if r.mayHaveRun || len(r.triedLeafs) > 0 && d.Verdict == leafqueue.Unavailable {
		return r.failedAnswer(), true
	}
	if d.Verdict == leafqueue.Unavailable {
		return r.g.refuse(r.req, r.route, errcode.ShardsUnavailable, r.g.opts.Load().RetryAfter), true
	}
	return r.refuseQueueFull(d), true
}

// start sends a started attempt unless its content has been found to crash leafs since the request
// arrived. It returns the answer if the attempt is not sent.
func (r *queuedRun) start(attempt *leafqueue.Request, now time.Time) (Answer, bool) {
	if len(r.triedLeafs) > 0 {
		if r.g.quarantine.Verdict(r.req.Key, now) != quarantine.Sound || !r.sendTo(attempt.Lease, r.why) {
			r.giveUp(&attempt.Lease)
			return r.failedAnswer(), true
		}
		return Answer{}, false
	}
	admission := r.g.admit(r.callerCtx, r.req, r.route, r.deadline)
	if admission.Verdict == quarantine.Quarantined {
		r.giveUp(&attempt.Lease)
		return r.g.refuseQuarantined(r.req, r.route, admission.RetryAfter), true
	}
	if admission.Verdict == quarantine.Suspect {
		r.trialPending = true
		r.g.logTrial(r.req, r.route, admission, r.deadline)
	}
	if !r.sendTo(attempt.Lease, r.why) {
		r.giveUp(&attempt.Lease)
		return r.g.refuse(r.req, r.route, errcode.ShardsUnavailable, r.g.opts.Load().RetryAfter), true
	}
	r.g.recordAdmission(r.route)
	return Answer{}, false
}

// giveUp gives up the place of an attempt that was not sent. Nothing was observed about the leaf,
// as after a peer that did not send a request.
func (r *queuedRun) giveUp(lease *leafqueue.Lease) {
	r.g.table.End(lease.Call, replica.PeerRefused, time.Now())
	r.queue.end(lease, replica.NotSent, 0)
}

// sendTo sends the request to the leaf at which it has a place, and reports whether it did.
func (r *queuedRun) sendTo(lease leafqueue.Lease, why string) bool {
	call := LeafCall{Leaf: lease.Placement.Leaf, Service: r.service, Request: r.req, Deadline: r.deadline, AtMostOnce: r.route.Kind == routing.AtMostOnce}
	err := r.g.pool.Submit(func() {
		sent := time.Now()
		reply := r.g.callLeaf(r.callCtx, call, lease.Call)
		if reply.Outcome == replica.Refused {
			r.g.stats.leafRejection()
		}
		r.queue.end(&lease, reply.Outcome, time.Since(sent))
		r.replies <- reply
	})
	if err != nil {
		return false
	}
	r.recordSent(call, why)
	return true
}

// wait runs the request until its answer is known.
func (r *queuedRun) wait() Answer {
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
		case d := <-r.decided:
			if a, done := r.apply(d); done {
				return a
			}
		case <-hedge.C:
			r.hedge()
		case <-end.C:
			if !r.waiting {
				return r.timeoutAnswer()
			}
			return r.leaveAtDeadline()
		case <-r.abandonedWhileWaiting():
			return r.callerLeftAnswer()
		case <-r.callerCtx.Done():
			return r.callerLeftAnswer()
		}
	}
}

// callerLeftAnswer ends a request whose caller has left. A waiting attempt is dropped unrun.
func (r *queuedRun) callerLeftAnswer() Answer {
	if r.waiting {
		r.leave()
	}
	return r.singleRun.callerLeftAnswer()
}

// abandonedWhileWaiting returns Request.abandoned while an attempt waits, nil otherwise. Sending the
// request to a leaf would take a place from one whose caller still waits.
func (r *queuedRun) abandonedWhileWaiting() <-chan struct{} {
	if !r.waiting {
		return nil
	}
	return r.req.abandoned
}

// handleReply processes one reply, and returns the answer or submits a further attempt.
func (r *queuedRun) handleReply(reply LeafReply) (Answer, bool) {
	if r.recordReply(reply) {
		return Answer{Code: errcode.OK, Relayed: &reply}, true
	}
	if r.inFlight > 0 {
		return Answer{}, false
	}
	if r.mayRepeat(reply) && r.mayCallAgain() {
		return r.submit("repeat")
	}
	return r.failedAnswer(), true
}

// mayCallAgain reports whether a further leaf may be called for the request.
func (r *queuedRun) mayCallAgain() bool {
	return len(r.triedLeafs) < max(r.route.MaxAttempts, 1) &&
		r.g.quarantine.Verdict(r.req.Key, time.Now()) == quarantine.Sound
}

// hedge calls a second leaf if the first is slow, nothing waits and the second one has room.
func (r *queuedRun) hedge() {
	if r.route.Kind != routing.Repeatable || r.waiting || r.inFlight == 0 || !r.mayCallAgain() {
		return
	}
	attempt := r.newAttempt()
	if r.queue.Hedge(attempt, time.Now()) && !r.sendTo(attempt.Lease, "slow") {
		r.giveUp(&attempt.Lease)
	}
}

// leave takes the waiting attempt out of the queue. An attempt that has been started meanwhile is
// not sent.
func (r *queuedRun) leave() leafqueue.Decision {
	r.waiting = false
	d, left := r.queue.Leave(r.attempt, time.Now())
	if !left {
		d = <-r.decided
		if d.Verdict == leafqueue.Started {
			r.giveUp(&d.Request.Lease)
		}
	}
	r.g.stats.singleDecision(r.route.Priority, "left", true, r.attempt.Waited(time.Now()))
	return d
}

// leaveAtDeadline returns the answer to a request whose deadline passes while an attempt waits.
func (r *queuedRun) leaveAtDeadline() Answer {
	d := r.leave()
	if r.mayHaveRun {
		return r.failedAnswer()
	}
	return r.refuseQueueFull(d)
}
