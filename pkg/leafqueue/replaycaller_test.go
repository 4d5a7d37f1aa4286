package leafqueue_test

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// simInstance is an instance that decides. Its requests are run as pkg/gateway runs them.
type simInstance struct {
	r     *replay
	table *replica.Table
	queue *leafqueue.Queue
	// wakeAt is the time of the next call of pump; zero: none is due.
	wakeAt time.Time
}

// pump carries out the decisions that are due, and sets the time of the next.
func (i *simInstance) pump() {
	for _, d := range i.queue.Next(i.r.clock(), nil) {
		d.Request.Owner.(*simRequest).decide(d)
	}
	at, ok := i.queue.WakeAt(i.r.clock())
	if !ok || (!i.wakeAt.IsZero() && !at.Before(i.wakeAt)) {
		return
	}
	i.wakeAt = at
	i.r.after(at.Sub(i.r.clock()), func() {
		if i.wakeAt.Equal(at) {
			i.wakeAt = time.Time{}
			i.pump()
		}
	})
}

// simCaller is a caller, which retries once after a refusal.
type simCaller struct {
	phase      *phaseResult
	began      time.Duration
	atMostOnce bool
}

// arrive starts one caller.
func (r *replay) arrive() {
	c := &simCaller{phase: r.result(), began: r.now, atMostOnce: r.rng.IntN(2) == 0}
	c.phase.callers++
	r.attempt(c, false)
}

// attempt sends a caller's request to some instance.
func (r *replay) attempt(c *simCaller, isRetry bool) {
	instance := r.instances[r.rng.IntN(len(r.instances))]
	q := &simRequest{i: instance, caller: c, arrived: r.now, isRetry: isRetry}
	instance.table.CountRequest("s", r.clock())
	q.submit()
	r.after(time.Duration(0.55*float64(r.load.target)), q.hedge)
}

// simRequest is one attempt of a caller, which calls up to two leafs.
type simRequest struct {
	i          *simInstance
	caller     *simCaller
	arrived    time.Duration
	isRetry    bool
	tried      []string
	calls      []*simCall
	inFlight   int
	mayHaveRun bool
	waiting    bool
	done       bool
}

// newAttempt returns the next attempt. A caller that retries counts as a new one, since no return was
// promised to it.
func (q *simRequest) newAttempt() *leafqueue.Request {
	return &leafqueue.Request{
		Class: "r", Rank: 2, Again: len(q.tried) > 0, Tried: append([]string(nil), q.tried...),
		Target: q.i.r.load.target, StartBy: epoch.Add(q.arrived + leafqueue.MaxWait(q.i.r.load.target)), Owner: q,
	}
}

func (q *simRequest) submit() {
	attempt := q.newAttempt()
	d := q.i.queue.Submit(attempt, q.i.r.clock())
	q.decide(d)
	if q.waiting {
		q.i.pump()
	}
}

// decide carries out a decision of the queue.
func (q *simRequest) decide(d leafqueue.Decision) {
	q.waiting = d.Verdict == leafqueue.Waiting
	switch d.Verdict {
	case leafqueue.Waiting:
	case leafqueue.Started:
		q.caller.phase.waits = append(q.caller.phase.waits, d.Request.Waited(q.i.r.clock()))
		q.send(d.Request)
	default:
		if d.Verdict == leafqueue.Dropped {
			q.caller.phase.dropped++
		}
		q.fail(max(d.DrainTime, 100*time.Millisecond))
	}
}

func (q *simRequest) send(attempt *leafqueue.Request) {
	q.tried = append(q.tried, attempt.Lease.Placement.Leaf.ID)
	q.inFlight++
	c := &simCall{q: q, lease: &attempt.Lease, leaf: q.i.r.leafs[attempt.Lease.Placement.Leaf.ID], sent: q.i.r.now}
	q.calls = append(q.calls, c)
	q.i.r.after(networkDelay, func() { c.leaf.receive(c) })
}

// hedge calls a second leaf if the first one is slow.
func (q *simRequest) hedge() {
	if q.done || q.waiting || q.caller.atMostOnce || q.inFlight == 0 || len(q.tried) >= 2 {
		return
	}
	attempt := q.newAttempt()
	if q.i.queue.Hedge(attempt, q.i.r.clock()) {
		q.send(attempt)
	}
}

// ended handles the outcome of a call.
func (q *simRequest) ended(outcome replica.Outcome) {
	q.inFlight--
	if q.done {
		return
	}
	if outcome == replica.Answered {
		q.finish()
		q.caller.phase.recordServed(q.i.r.now-q.caller.began, q.i.r.load.target)
		return
	}
	q.mayHaveRun = q.mayHaveRun || !outcome.NotRun()
	switch {
	case q.inFlight > 0:
	case len(q.tried) < 2 && (!q.caller.atMostOnce || outcome.NotRun()):
		q.submit()
	default:
		q.fail(300 * time.Millisecond)
	}
}

func (p *phaseResult) recordServed(latency, target time.Duration) {
	p.served++
	p.latencies = append(p.latencies, latency)
	if latency <= target {
		p.inTime++
	}
}

// finish ends the request and cancels its open calls.
func (q *simRequest) finish() {
	q.done = true
	for _, c := range q.calls {
		c.cancel()
	}
}

// fail refuses the request, or reports that its outcome is unknown.
func (q *simRequest) fail(hint time.Duration) {
	q.done = true
	phase := q.caller.phase
	if q.mayHaveRun {
		phase.unknown++
		return
	}
	phase.refused++
	phase.refusals = append(phase.refusals, q.i.r.now-q.arrived)
	if q.isRetry {
		phase.refusedTwice++
		return
	}
	remaining := q.i.r.load.timeout - (q.i.r.now - q.caller.began)
	q.i.r.after(min(hint, remaining/3), func() { q.i.r.attempt(q.caller, true) })
}

// simCall is a call to a leaf.
type simCall struct {
	q         *simRequest
	lease     *leafqueue.Lease
	leaf      *simLeaf
	sent      time.Duration
	replied   bool
	cancelled bool
}

// reply returns the outcome of a call after the network delay.
func (c *simCall) reply(outcome replica.Outcome) {
	c.q.i.r.after(networkDelay, func() { c.end(outcome) })
}

func (c *simCall) end(outcome replica.Outcome) {
	if c.replied {
		return
	}
	c.replied = true
	i := c.q.i
	i.table.EndWithLatency(c.lease.Call, outcome, i.r.now-c.sent, i.r.clock())
	i.queue.Done(c.lease, outcome, i.r.now-c.sent, i.r.clock())
	i.pump()
	c.q.ended(outcome)
}

// cancel ends a call whose result nobody needs.
func (c *simCall) cancel() {
	if c.replied || c.cancelled {
		return
	}
	c.cancelled = true
	c.end(replica.Abandoned)
	c.q.i.r.after(networkDelay, func() {
		if c.leaf.remove(c) {
			c.leaf.startNext()
		}
	})
}
