package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// This file protects leafs from requests that crash them, on every path by which such a request
// arrives: both frontends, queries of other instances, second requests and retries.

// Quarantine returns the table of requests that crash leafs.
func (g *Gateway) Quarantine() *quarantine.Table { return g.quarantine }

// refuseQuarantined refuses a request that must not be sent to leafs for the remaining time.
func (g *Gateway) refuseQuarantined(req *Request, route *routing.Route, remaining time.Duration) Answer {
	a := g.refuse(req, route, errcode.Quarantined, remaining)
	if route.Kind != routing.Gather {
		return a
	}
	a.Shards = make([]ShardAnswer, len(route.Shards))
	for i := range a.Shards {
		a.Shards[i].MissingReason = fanout.Withheld
	}
	return a
}

// admit decides how a request that is about to be sent to leafs may be sent. A suspect waits until its
// claim to the trial has settled, and is refused if another instance tries the request.
func (g *Gateway) admit(ctx context.Context, req *Request, route *routing.Route, deadline time.Time) quarantine.Admission {
	admission := g.quarantine.Admit(req.Key, time.Now())
	if admission.Verdict != quarantine.Suspect {
		return admission
	}
	settled := time.NewTimer(admission.SettleTime)
	defer settled.Stop()
	select {
	case <-settled.C:
	case <-ctx.Done():
		g.recordTrial(req, route, quarantine.Unsent, "caller left")
		return quarantine.Admission{Verdict: quarantine.Quarantined}
	}
	now := time.Now()
	if g.quarantine.ConfirmTrial(req.Key, admission.ClaimID, deadline, now) {
		return admission
	}
	g.stats.claimLost()
	g.log.Decision("request_trial_claimed_elsewhere", req.logFields(route.Name, oplog.Fields{
		"verdict": g.quarantine.Verdict(req.Key, now).String(),
	}))
	retryAfter := max(g.quarantine.Remaining(req.Key, now), quarantine.TrialRetryAfter)
	return quarantine.Admission{Verdict: quarantine.Quarantined, RetryAfter: retryAfter}
}

// recordLeafCrash records that a leaf crashed while it had a request.
func (g *Gateway) recordLeafCrash(call LeafCall, tracked *replica.Call, now time.Time) {
	req := call.Request
	g.logVerdictChange(req.ID, g.quarantine.RecordLeafCrash(req.Key, req.ID, call.Leaf.ID, call.Service, tracked.StartTime(), now))
}

// recordTrial records the result of the trial of a suspect. reply is the outcome of its leaf call,
// or the reason for which there is none.
func (g *Gateway) recordTrial(req *Request, route *routing.Route, trial quarantine.TrialOutcome, reply string) {
	change := g.quarantine.RecordTrial(req.Key, trial, time.Now())
	g.stats.trialEnded(trial)
	g.log.Decision("request_trial_ended", req.logFields(route.Name, oplog.Fields{
		"result": trial.String(), "reply": reply, "after_ms": time.Since(req.Arrived).Milliseconds(),
		"verdict": change.To.String(), "trials": change.Trials, "quarantined_ms": change.QuarantinedFor.Milliseconds(),
	}))
	g.logVerdictChange(req.ID, change)
}

// trialResult returns the result of a trial from the outcome of its single leaf call.
//
// A lost connection counts as a crash of the leaf here: on a machine short of processor time
// the probe whether the leaf still listens times out, and a request that crashes leafs would
// be tried again and again.
func trialResult(outcome replica.Outcome) quarantine.TrialOutcome {
	switch {
	case outcome == replica.Answered:
		return quarantine.Answered
	case outcome == replica.LeafCrashed || outcome == replica.ReplyLost || outcome == replica.ConnLimitReached:
		return quarantine.LeafCrashed
	case outcome.NotDelivered():
		return quarantine.Unsent
	}
	return quarantine.Unresolved
}

// logTrial logs that a request is tried at one leaf, which may take until the deadline.
func (g *Gateway) logTrial(req *Request, route *routing.Route, admission quarantine.Admission, deadline time.Time) {
	g.log.Decision("request_trial", req.logFields(route.Name, oplog.Fields{
		"service": admission.Service, "deadline_ms": time.Until(deadline).Milliseconds(), "up_ms": time.Since(g.started).Milliseconds(),
		"config_version": g.version(),
	}))
}

// logVerdictChange logs a change of the quarantine verdict on a request.
func (g *Gateway) logVerdictChange(request string, change quarantine.VerdictChange) {
	if change.Changed() {
		fields := change.Fields()
		fields["request"] = request
		g.log.State(change.Event(), fields)
	}
}

// mustGiveUp reports whether a running query is to be given up because other requests with its
// content have crashed leafs, and no leaf has answered it here. A query that still waits for
// capacity has sent nothing, and is not started while it is a suspect.
func (r *gatherRun) mustGiveUp(now time.Time) bool {
	if r.query.CoveredShards() > 0 {
		return false
	}
	switch r.g.quarantine.Verdict(r.req.Key, now) {
	case quarantine.Quarantined:
		return true
	case quarantine.Suspect:
		return r.query.HeldFor(now) > 0
	}
	return false
}

// cancelAll cancels all leaf calls, so that leafs drop those that wait in their queues.
func (r *gatherRun) cancelAll() {
	r.cancelCalls()
	for _, cancel := range r.cancelBatches {
		cancel()
	}
}

// logGivenUp logs that a query was given up to protect the leafs.
func (r *gatherRun) logGivenUp(now time.Time) {
	r.g.log.Decision("query_given_up", r.req.logFields(r.route.Name, oplog.Fields{
		"leafs_ended": r.query.LeafsCrashed(), "covered": r.query.CoveredShards(), "trial": r.isTrial,
		"verdict":  r.g.quarantine.Verdict(r.req.Key, now).String(),
		"after_ms": time.Since(r.req.Arrived).Milliseconds(), "config_version": r.g.version(),
	}))
}
