package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// This file keeps requests that end leafs from them, whichever way they come: both doors,
// queries of other instances, second requests, and callers that come again.

// Quarantine is what is known of requests that end leafs.
func (g *Gateway) Quarantine() *quarantine.Table { return g.quarantine }

// refuseQuarantined answers a request that is not to be sent to leafs.
func (g *Gateway) refuseQuarantined(req *Request, route *routing.Route, left time.Duration) Answer {
	a := g.refuse(req, route, errcode.Quarantined, left)
	if route.Kind != routing.Gather {
		return a
	}
	a.Shards = make([]ShardAnswer, len(route.Shards))
	for i := range a.Shards {
		a.Shards[i].MissingReason = fanout.Withheld
	}
	return a
}

// leafEnded takes over that a leaf ended while it had a request.
func (g *Gateway) leafEnded(call LeafCall, entry *replica.Call, now time.Time) {
	req := call.Request
	g.noteTurn(req.ID, g.quarantine.RecordLeafEnd(req.Key, req.ID, call.Leaf.ID, call.Service, entry.StartTime(), now))
}

// trialEnded takes over how the trial of a suspect ended.
func (g *Gateway) trialEnded(req *Request, trial quarantine.TrialOutcome) {
	g.noteTurn(req.ID, g.quarantine.RecordTrial(req.Key, trial, time.Now()))
}

// trialOf is how a trial ended whose one leaf call had this outcome.
//
// A connection that only broke off counts as the end of its leaf here: on a machine short of
// processor time the question whether anything listens is answered too late, and a request that
// ends leafs would be tried again and again.
func trialOf(outcome replica.Outcome) quarantine.TrialOutcome {
	switch {
	case outcome == replica.Answered:
		return quarantine.Answered
	case outcome == replica.ProcessExited || outcome == replica.Broken || outcome == replica.ConnLimitReached:
		return quarantine.LeafEnded
	case outcome.NotDelivered():
		return quarantine.Unsent
	}
	return quarantine.Unresolved
}

// noteTrial records that a request is tried at one leaf.
func (g *Gateway) noteTrial(req *Request, route *routing.Route, admission quarantine.Admission) {
	g.log.Decision("request_trial", req.about(route.Name, oplog.Fields{"service": admission.Service, "config_version": g.version()}))
}

// noteTurn records that a request is believed otherwise than before.
func (g *Gateway) noteTurn(request string, turn quarantine.VerdictChange) {
	if turn.Changed() {
		fields := turn.Fields()
		fields["request"] = request
		g.log.State(turn.Event(), fields)
	}
}

// harmful reports whether a query under way is to be given up: others have seen it end leafs,
// and here no leaf has answered it. One that still waits for room has not begun, and is not
// begun as a suspect.
func (r *gathering) harmful(now time.Time) bool {
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

// withdraw ends all leaf calls: leafs drop what waits in their queues.
func (r *gathering) withdraw() {
	r.endAll()
	for _, cancel := range r.cancels {
		cancel()
	}
}

// logGivenUp records that a query was given up for the leafs' sake.
func (r *gathering) logGivenUp(now time.Time) {
	r.g.log.Decision("query_given_up", r.req.about(r.route.Name, oplog.Fields{
		"leafs_ended": r.query.LeafsEnded(), "covered": r.query.CoveredShards(), "trial": r.trial,
		"verdict":  r.g.quarantine.Verdict(r.req.Key, now).String(),
		"after_ms": time.Since(r.req.Arrived).Milliseconds(), "config_version": r.g.version(),
	}))
}
