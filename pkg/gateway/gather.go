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

// arrival is a leaf's reply on its way to the gather loop.
type arrival struct {
	shard   int
	attempt int
	reply   LeafReply
	// merged: its records cannot be told from those of the arrivals that came with
	// it.
	merged bool
}

// gathering is one query over many shards under way.
type gathering struct {
	g *Gateway
	// caller ends when the caller leaves. The leaf calls run on under calls,
	// which outlives the answer: a call that is still open then ends at its
	// own deadline and its connection is kept. Closing it instead costs a
	// leaf 6 ms of a slot for the next connection.
	caller context.Context
	calls  context.Context
	endAll context.CancelFunc
	req    *Request
	route  *routing.Route
	query  *fanout.Query
	// replies has room for every call there can be and belongs to this
	// request alone: a reply that comes after the answer was given is dropped
	// with the channel and cannot reach another caller.
	replies chan []arrival
	// cancels end the batches that went through peers.
	cancels []func()
	shards  []ShardAnswer
	// trial: the query is tried at one leaf first.
	trial bool
	// losers ends the open calls of each shard; nil where they run on.
	losers []context.CancelFunc
}

// gather runs a query over all shards of its route.
func (g *Gateway) gather(ctx context.Context, req *Request, route *routing.Route, end time.Time) Answer {
	admission := g.quarantine.Admit(req.Key, time.Now())
	if admission.Verdict == quarantine.Quarantined {
		return g.refuseQuarantined(req, route, admission.RetryAfter)
	}
	trial := admission.Verdict == quarantine.Suspect
	query := fanout.New(g.table, route, g.opts.Load().Fanout, fanout.Params{
		Start: req.sent(route.TargetLatency), Deadline: end,
		CallerRetried: g.patience.Returned(route.Name, req.Timeout),
		Suspect:       trial, SuspectService: admission.Service,
	})
	sends, refusal := query.Start(time.Now())
	if refusal != nil {
		if trial {
			g.trialEnded(req, quarantine.Unsent)
		}
		a := g.refuseGather(req, route, refusal)
		a.Shards = lacks(query, make([]ShardAnswer, len(route.Shards)))
		return a
	}
	calls, endAll := context.WithCancel(context.WithoutCancel(ctx))
	run := &gathering{
		g: g, caller: ctx, calls: calls, endAll: endAll, req: req, route: route, query: query, trial: trial,
		replies: make(chan []arrival, len(route.Shards)*fanout.MaxRequestsPerShard),
		shards:  make([]ShardAnswer, len(route.Shards)),
	}
	if g.opts.Load().CancelLosingCalls {
		run.losers = make([]context.CancelFunc, len(route.Shards))
	}
	if query.HeldFor(time.Now()) > 0 {
		g.log.Decision("query_held", req.about(route.Name, oplog.Fields{"config_version": g.version()}))
	}
	if trial {
		g.noteTrial(req, route, admission)
	}
	run.send(sends)
	a := run.wait()
	run.endTrial()
	return a
}

// endTrial takes over that a trial brought no outcome.
func (r *gathering) endTrial() {
	switch {
	case !r.trial || !r.query.InTrial():
	case r.query.InFlight():
		r.g.trialEnded(r.req, quarantine.Unresolved)
	case !r.query.MayHaveRun():
		r.g.trialEnded(r.req, quarantine.Unsent)
	}
}

// refuseGather answers a query that too few shards could serve in time.
func (g *Gateway) refuseGather(req *Request, route *routing.Route, r *fanout.Refusal) Answer {
	code := errcode.ShardsUnavailable
	if r.Overloaded {
		code = errcode.ShardsOverloaded
	}
	g.stats.refused(code)
	g.log.Decision("query_refused", req.about(route.Name, oplog.Fields{
		"code": code.String(), "reason": code.Name(),
		"shards": len(route.Shards), "shards_unreachable": r.Unreachable, "shards_late": r.Late, "shards_busy": r.Busy,
		"risk": r.ExpectedMisses, "may_miss": r.AllowedMisses, "chance": r.SuccessProbability,
		"retry_after_ms": r.RetryAfter.Milliseconds(), "config_version": g.version(),
	}))
	return Answer{Code: code, RetryAfter: r.RetryAfter}
}

// refuseHeld answers a query that has waited for room in vain, of which nothing was sent.
func (g *Gateway) refuseHeld(req *Request, route *routing.Route, held time.Duration) Answer {
	code := errcode.ShardsOverloaded
	g.stats.refused(code)
	g.log.Decision("query_refused", req.about(route.Name, oplog.Fields{
		"code": code.String(), "reason": code.Name(), "held_ms": held.Milliseconds(),
		"retry_after_ms": fanout.OverloadRetryAfter.Milliseconds(), "config_version": g.version(),
	}))
	return Answer{Code: code, RetryAfter: fanout.OverloadRetryAfter}
}

// send starts the leaf calls that the query asks for.
func (r *gathering) send(sends []fanout.Request) {
	for _, s := range sends {
		if s.Reason != fanout.ReasonFirst && s.Reason != fanout.ReasonTrial {
			r.g.noteSecond(r.route, r.call(s), s.Reason.String())
		}
	}
	for _, s := range r.throughPeers(sends) {
		call := r.call(s)
		ctx := r.callContext(s.Shard)
		task := func() {
			reply := r.g.do(ctx, call, s.Call)
			r.replies <- []arrival{{shard: s.Shard, attempt: s.Attempt, reply: reply}}
		}
		if err := r.g.pool.Submit(task); err != nil {
			// The pool is full; the call was not sent.
			r.g.table.End(s.Call, replica.Abandoned, time.Now())
			r.replies <- []arrival{{shard: s.Shard, attempt: s.Attempt, reply: LeafReply{Outcome: replica.NotSent, Err: ErrNoWorker}}}
		}
	}
}

// call is the leaf call that a send asks for.
func (r *gathering) call(s fanout.Request) LeafCall {
	return LeafCall{Leaf: s.Call.Leaf, Service: r.route.Shards[s.Shard], Request: r.req, Deadline: s.Deadline}
}

// callContext is what a call of a shard runs under.
func (r *gathering) callContext(shard int) context.Context {
	if r.losers == nil {
		return r.calls
	}
	ctx, cancel := context.WithCancel(r.calls)
	earlier := r.losers[shard]
	r.losers[shard] = func() {
		cancel()
		if earlier != nil {
			earlier()
		}
	}
	return ctx
}

// wait runs the query until its answer can be given.
func (r *gathering) wait() Answer {
	timer := time.NewTimer(0)
	defer timer.Stop()
	waited := false
	for {
		now := time.Now()
		if r.harmful(now) {
			r.query.GiveUp()
		}
		if state := r.query.State(now); state != fanout.Running {
			return r.answer(state)
		}
		due := r.query.NextCheck(now)
		if waited {
			due = now.Add(repliesGrace)
		}
		timer.Reset(due.Sub(now))
		select {
		case group := <-r.replies:
			r.takeAll(group)
		case <-timer.C:
			if r.takeReady() {
				continue
			}
			if waited = !waited && time.Since(due) > stoodStill; waited {
				continue
			}
			r.send(r.query.Tick(time.Now()))
		case <-r.caller.Done():
			r.withdraw()
			r.g.stats.overAttempts(r.query.ShardsOverAttempts())
			r.logAsked()
			return r.g.callerLeft(r.req, r.route)
		}
	}
}

const (
	// stoodStill is how late a timer may be before this process itself is taken to have
	// stood still: timers are a millisecond or two late on a busy machine.
	stoodStill = 8 * time.Millisecond
	// repliesGrace is how long replies that have come meanwhile may take to be read.
	repliesGrace = 2 * time.Millisecond
)

// takeReady takes over all replies that are there, and reports whether there were any.
//
// On a machine short of processor time a timer and replies come due together. Looked at
// first, the timer says that leafs are slow which have answered long ago; their second
// requests use the budget up that a slow one needs a moment later. One notices that a server
// that is cold costs coverage although another one is well, beside a busy machine only.
func (r *gathering) takeReady() bool {
	any := false
	for {
		select {
		case group := <-r.replies:
			r.takeAll(group)
			any = true
		default:
			return any
		}
	}
}

// takeAll hands replies that came together to the query.
func (r *gathering) takeAll(group []arrival) {
	for _, a := range group {
		r.take(a)
	}
}

// take hands one reply to the query.
func (r *gathering) take(a arrival) {
	s := &r.shards[a.shard]
	switch {
	case a.reply.Outcome != replica.Answered:
		s.LastFailure = &a.reply
	case s.Reply == nil || a.merged:
		// Merged records take the place of an earlier reply, which stands alone.
		s.Reply = &a.reply
		if r.losers != nil {
			r.losers[a.shard]()
		}
	}
	if r.query.InTrial() {
		r.g.trialEnded(r.req, trialOf(a.reply.Outcome))
	}
	r.send(r.query.HandleReply(a.shard, a.attempt, a.reply.Outcome, time.Now()))
}

// answer builds the answer of a query that has ended.
func (r *gathering) answer(state fanout.State) Answer {
	a := Answer{Code: errcode.OK}
	if state != fanout.Complete {
		a = r.fail(state)
	}
	if r.query.GivenUp() {
		r.withdraw()
	}
	r.g.stats.overAttempts(r.query.ShardsOverAttempts())
	if r.req.HandoffTimedOut {
		r.logAsked()
	}
	a.Shards = lacks(r.query, r.shards)
	if a.Code == errcode.OK && a.Missing() > 0 {
		r.logLeftOut("partial_answer", errcode.OK)
		r.g.stats.partial()
	}
	return a
}

// lacks notes why shards without a part have none.
func lacks(query *fanout.Query, shards []ShardAnswer) []ShardAnswer {
	for i := range shards {
		shards[i].MissingReason = query.ShardStatus(i)
	}
	return shards
}

// fail answers a query that covers too few shards.
func (r *gathering) fail(state fanout.State) Answer {
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
		// What is in flight may still run: its caller must not be told that nothing did.
		a.Code = errcode.ShardsUnavailable
		a.RetryAfter = r.g.opts.Load().RetryAfter
	case state == fanout.Insufficient:
		a.Code = errcode.TooFewShards
	}
	r.logLeftOut("query_failed", a.Code)
	return a
}
