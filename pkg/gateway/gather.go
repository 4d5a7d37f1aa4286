package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// shardReply is a leaf's reply, with its shard and attempt, as passed to the gather loop.
type shardReply struct {
	shard   int
	attempt int
	reply   LeafReply
	// merged reports that its records cannot be told apart from those of the other replies in
	// the same group.
	merged bool
}

// gatherRun is the state of one query over many shards.
type gatherRun struct {
	g *Gateway
	// callerCtx ends when the caller disconnects. Leaf calls run under callCtx, which outlives
	// the answer: a call that is still open then ends at its own deadline, and its connection
	// is kept. Closing it instead would cost the leaf 6 ms of a slot for the next connection.
	callerCtx   context.Context
	callCtx     context.Context
	cancelCalls context.CancelFunc
	req         *Request
	route       *routing.Route
	query       *fanout.Query
	// replies has capacity for every possible call and belongs to this request alone: a reply
	// that arrives after the answer was given is discarded with the channel and cannot reach
	// another caller.
	replies chan []shardReply
	// cancelBatches holds a function for each batch sent through a peer that cancels it.
	cancelBatches []func()
	// shards holds the results of the shards so far, in the route's order.
	shards []ShardAnswer
	// isTrial reports that the query is suspected of crashing leafs and is first sent to
	// a single leaf, trialPending that this trial has no result yet.
	isTrial, trialPending bool
	// admitted reports that the query was admitted: it has sent a request.
	admitted bool
	// cancelShardCalls holds a function for each shard that cancels its open calls; nil if
	// losing calls are not cancelled.
	cancelShardCalls []context.CancelFunc
}

// recordUnsent records that a query was refused before it was sent, if it would have been a trial.
func (g *Gateway) recordUnsent(req *Request, route *routing.Route, trial bool) {
	if trial {
		g.recordTrial(req, route, quarantine.Unsent, "refused before it was sent")
	}
}

// gather runs a query over all shards of its route.
func (g *Gateway) gather(ctx context.Context, req *Request, route *routing.Route, deadline time.Time) Answer {
	admission := g.admit(ctx, req, route, deadline)
	if admission.Verdict == quarantine.Quarantined {
		return g.refuseQuarantined(req, route, admission.RetryAfter)
	}
	trial := admission.Verdict == quarantine.Suspect
	caller := g.claimReturn(req, route)
	if refused := g.admitByRank(req, route, caller); refused != nil {
		g.recordUnsent(req, route, trial)
		return *refused
	}
	query := fanout.New(g.table, route, g.opts.Load().Fanout, fanout.Params{
		Start: req.latencyStart(route.TargetLatency), Deadline: deadline,
		CallerRetried: caller != priority.NewCaller, Returns: g.returnTerms(req, route),
		NoHedging: g.priorities.Reduced(route.Name), MeasuredShare: g.priorities.MeasuredShare(route.Name),
		Suspect: trial, SuspectService: admission.Service, Unproven: admission.Unproven,
	})
	sends, refusal := query.Start(time.Now())
	if refusal != nil {
		g.recordUnsent(req, route, trial)
		a := g.refuseGather(req, route, refusal)
		a.Shards = fillMissingReasons(query, make([]ShardAnswer, len(route.Shards)))
		return a
	}
	run := newGatherRun(ctx, g, req, route, query)
	run.isTrial, run.trialPending = trial, trial
	if query.WasHeld() {
		g.recordOverload(route)
		g.log.Decision("query_held", req.logFields(route.Name, oplog.Fields{"config_version": g.version()}))
	}
	if trial {
		g.logTrial(req, route, admission, deadline)
	}
	run.sendAdmitted(sends)
	a := run.wait()
	run.endTrial()
	g.recordOutcome(route, query, a.Code)
	return a
}

// newGatherRun returns the state of a query that is admitted or held.
func newGatherRun(ctx context.Context, g *Gateway, req *Request, route *routing.Route, query *fanout.Query) *gatherRun {
	callCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	run := &gatherRun{
		g: g, callerCtx: ctx, callCtx: callCtx, cancelCalls: cancelCalls, req: req, route: route, query: query,
		replies: make(chan []shardReply, len(route.Shards)*fanout.MaxRequestsPerShard),
		shards:  make([]ShardAnswer, len(route.Shards)),
	}
	if g.opts.Load().CancelLosingCalls {
		run.cancelShardCalls = make([]context.CancelFunc, len(route.Shards))
	}
	return run
}

// endTrial records the result of a trial that ended without an outcome of its leaf call.
func (r *gatherRun) endTrial() {
	switch {
	case !r.trialPending:
	case r.query.InFlight():
		r.g.recordTrial(r.req, r.route, quarantine.Unresolved, "none")
	default:
		r.g.recordTrial(r.req, r.route, quarantine.Unsent, "none")
	}
}

// refuseGather refuses a query of which too few shards could answer in time.
func (g *Gateway) refuseGather(req *Request, route *routing.Route, r *fanout.Refusal) Answer {
	code, retryAfter := errcode.ShardsUnavailable, r.RetryAfter
	if r.Overloaded {
		g.recordOverload(route)
		code, retryAfter = errcode.ShardsOverloaded, g.plannedRetryAfter(req, route, r.RetryAfter)
	}
	g.stats.refused(code)
	g.log.Decision("query_refused", req.logFields(route.Name, oplog.Fields{
		"code": code.String(), "reason": code.Name(),
		"shards": len(route.Shards), "shards_unreachable": r.Unreachable, "shards_late": r.Late, "shards_busy": r.Busy,
		"risk": r.ExpectedMisses, "may_miss": r.AllowedMisses, "chance": r.SuccessProbability,
		"retry_after_ms": retryAfter.Milliseconds(), "config_version": g.version(),
	}))
	return Answer{Code: code, RetryAfter: retryAfter}
}

// send starts the given leaf calls.
func (r *gatherRun) send(sends []fanout.Request) {
	for _, s := range sends {
		if s.Reason != fanout.ReasonFirst && s.Reason != fanout.ReasonTrial {
			r.g.recordSecondRequest(r.route, r.leafCall(s), s.Reason.String())
		}
	}
	for _, s := range r.sendThroughPeers(sends) {
		call := r.leafCall(s)
		ctx := r.callContext(s.Shard)
		task := func() {
			reply := r.g.callLeaf(ctx, call, s.Call)
			r.replies <- []shardReply{{shard: s.Shard, attempt: s.Attempt, reply: reply}}
		}
		if err := r.g.pool.Submit(task); err != nil {
			// The worker pool is full; the call was not sent.
			r.g.table.End(s.Call, replica.Abandoned, time.Now())
			r.replies <- []shardReply{{shard: s.Shard, attempt: s.Attempt, reply: LeafReply{Outcome: replica.NotSent, Err: ErrNoWorker}}}
		}
	}
}

// wait processes replies and timers until the answer can be given.
func (r *gatherRun) wait() Answer {
	timer := time.NewTimer(0)
	defer timer.Stop()
	graceGiven := false
	for {
		now := time.Now()
		if r.mustGiveUp(now) {
			r.query.GiveUp()
		}
		if state := r.query.State(now); state != fanout.Running {
			return r.answer(state)
		}
		due := r.query.NextCheck(now)
		if graceGiven {
			due = now.Add(stalledReplyGrace)
		}
		timer.Reset(due.Sub(now))
		select {
		case group := <-r.replies:
			r.handleReplies(group)
		case <-timer.C:
			if r.drainReplies() {
				continue
			}
			if graceGiven = !graceGiven && time.Since(due) > processStallThreshold; graceGiven {
				continue
			}
			r.sendAdmitted(r.query.Tick(time.Now()))
		case <-r.callerCtx.Done():
			r.cancelAll()
			r.g.stats.overAttempts(r.query.ShardsOverAttempts())
			r.logQueriedLeafs()
			return r.g.callerDisconnected(r.req, r.route)
		}
	}
}

const (
	// processStallThreshold is the delay of a timer from which this process is assumed to have
	// been stalled: timers are 1 or 2 ms late on a busy machine.
	processStallThreshold = 8 * time.Millisecond
	// stalledReplyGrace is how long the loop waits after a stall for replies that have arrived
	// meanwhile to be read.
	stalledReplyGrace = 2 * time.Millisecond
)

// drainReplies processes all replies that are available, and reports whether there were any.
//
// On a machine short of processor time a timer and replies become due together. If the timer
// were processed first, leafs that have already answered would count as slow, and their second
// requests would use up the budget that a leaf which really is slow needs a moment later. The
// symptom, seen only on a busy machine, is that shards of a cold server are missing although
// another server of the shard is healthy.
func (r *gatherRun) drainReplies() bool {
	any := false
	for {
		select {
		case group := <-r.replies:
			r.handleReplies(group)
			any = true
		default:
			return any
		}
	}
}

// handleReplies passes replies that belong together to the query.
func (r *gatherRun) handleReplies(group []shardReply) {
	for _, a := range group {
		r.handleReply(a)
	}
}

// handleReply passes one reply to the query.
func (r *gatherRun) handleReply(a shardReply) {
	s := &r.shards[a.shard]
	switch {
	case a.reply.Outcome != replica.Answered:
		s.LastFailure = &a.reply
	case s.Reply == nil || a.merged:
		// Merged records replace an earlier reply, whose records were sent separately.
		s.Reply = &a.reply
		if r.cancelShardCalls != nil {
			r.cancelShardCalls[a.shard]()
		}
	}
	next := r.query.HandleReply(a.shard, a.attempt, a.reply.Outcome, time.Now())
	if triesAgain := r.query.InTrial() && r.query.InFlight(); r.trialPending && !triesAgain {
		r.trialPending = false
		r.g.recordTrial(r.req, r.route, trialResult(a.reply.Outcome), a.reply.Outcome.String())
	}
	r.send(next)
}

// answer returns the answer of a query that has ended.
func (r *gatherRun) answer(state fanout.State) Answer {
	a := Answer{Code: errcode.OK}
	if state != fanout.Complete {
		a = r.failedAnswer(state)
	}
	if r.query.GivenUp() {
		r.cancelAll()
	}
	r.g.stats.overAttempts(r.query.ShardsOverAttempts())
	if r.req.HandoffTimedOut {
		r.logQueriedLeafs()
	}
	a.Shards = fillMissingReasons(r.query, r.shards)
	if a.Code == errcode.OK && a.Missing() > 0 {
		r.logMissingShards("partial_answer", errcode.OK)
		r.g.stats.partialAnswer()
	}
	return a
}

// fillMissingReasons sets for each shard why it is missing.
func fillMissingReasons(query *fanout.Query, shards []ShardAnswer) []ShardAnswer {
	for i := range shards {
		shards[i].MissingReason = query.ShardStatus(i)
	}
	return shards
}

// failedAnswer returns the answer of a query that covers too few shards.
func (r *gatherRun) failedAnswer(state fanout.State) Answer {
	if held := r.query.HeldFor(time.Now()); held > 0 {
		return r.g.refuseHeld(r.req, r.route, held)
	}
	a := Answer{Code: errcode.RequestTimeout}
	if r.query.GivenUp() {
		r.logGivenUp(time.Now())
	}
	switch {
	case r.query.GivenUp() && (r.query.MayHaveRun() || r.query.InFlight()):
		a.Code = errcode.LeafsCrashed
	case !r.query.MayHaveRun() && !r.query.InFlight():
		// Requests in flight may still run: the caller must not be told that nothing has run.
		a.Code = errcode.ShardsUnavailable
		a.RetryAfter = r.g.opts.Load().RetryAfter
	case state == fanout.Insufficient:
		a.Code = errcode.TooFewShards
	}
	r.logMissingShards("query_failed", a.Code)
	return a
}
