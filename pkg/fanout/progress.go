package fanout

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// send records one request of a shard and adds it to sends. There is none when the
// last connection to the leaf was taken since it was placed; the shard is then
// looked at again.
func (q *Query) send(sends []Request, i int, p replica.Placement, why Reason, now time.Time) []Request {
	s := &q.shards[i]
	call := q.table.Begin(p, q.route.Name, now)
	if call == nil {
		s.verdict = replica.AllBusy
		s.lookAt = now.Add(busyStep)
		return sends
	}
	s.attempts = append(s.attempts, attempt{call: call, open: true})
	if !slices.Contains(s.tried, p.Leaf.ID) {
		s.tried = append(s.tried, p.Leaf.ID)
	}
	s.open++
	s.lookAt = time.Time{}
	if q.opts.HedgeTypicalFactor > 0 {
		s.lookAt = now.Add(q.hedgeDelay())
	}
	return append(sends, Request{
		Shard: i, Attempt: len(s.attempts) - 1, Call: call,
		Deadline: q.usefulUntil(now), Reason: why,
	})
}

// usefulUntil is when a reply to a request sent now is of no more use.
//
// A leaf drops queued requests whose deadline has passed without running them.
// Handing on the caller's whole deadline would make leafs that fell behind work
// through requests whose answers were given long ago; one notices a leaf that
// stays late for seconds after a pause of a quarter second.
func (q *Query) usefulUntil(now time.Time) time.Time {
	end := q.hardEnd
	if !q.aimed() {
		return end
	}
	useful := q.start.Add(time.Duration(q.opts.RequestDeadlineFactor * float64(q.route.TargetLatency)))
	if q.overdue || !now.Before(q.softEnd) || useful.After(end) {
		return end
	}
	return useful
}

// hedgeDelay is how long a request may take before a second one is due.
func (q *Query) hedgeDelay() time.Duration {
	typical := time.Duration(q.opts.HedgeTypicalFactor * float64(q.table.TypicalLatency(q.route.Name)))
	floor := time.Duration(q.opts.HedgeTargetFraction * float64(q.route.TargetLatency))
	return max(typical, floor, q.opts.MinHedgeDelay)
}

// HandleReply takes over what became of a request, and returns what to send next.
func (q *Query) HandleReply(i, n int, outcome replica.Outcome, now time.Time) []Request {
	s := &q.shards[i]
	a := &s.attempts[n]
	if !a.open {
		return nil
	}
	a.open = false
	s.open--
	if !outcome.NotRun() {
		q.ran = true
	}
	if outcome == replica.ProcessExited {
		q.leafEnded()
	}
	if outcome == replica.Answered && !s.covered {
		if q.unproven() {
			q.proven(now)
		}
		s.covered = true
		q.covered++
	}
	if q.trying {
		return q.triedAt(i, outcome, now)
	}
	if outcome == replica.Answered || s.covered || s.open > 0 || q.givenUp {
		return nil
	}
	return q.makeUp(q.second(nil, i, ReasonRetry, now), now)
}

// second adds another request for shard i to sends if the route, the budget and the
// leafs allow it; otherwise the shard is looked at again a little later, or
// left out.
func (q *Query) second(sends []Request, i int, why Reason, now time.Time) []Request {
	s := &q.shards[i]
	s.lookAt = now.Add(retryStep)
	if q.unproven() {
		s.out = s.open == 0 && !q.InFlight()
		return sends
	}
	p, v := q.another(s, q.route.Shards[i], now)
	switch {
	case v == replica.NoLeaf:
		s.out = s.open == 0
		s.lookAt = time.Time{}
	case v != replica.Placed || q.tooLate(p, now):
		s.out = s.open == 0 && !now.Before(q.lateEnd())
	case !q.table.TakeSecondRequestBudget(q.route.Shards[i], now):
		s.out = s.open == 0 && q.overBudget(now)
	default:
		return q.send(sends, i, p, why, now)
	}
	return sends
}

// another looks for the leaf of one more request for a shard: one that was not asked
// yet, as long as the route allows more leafs. A late query asks the same ones again,
// so that a leaf that refused for want of room, or paused, is not lost to it.
func (q *Query) another(s *shard, service string, now time.Time) (replica.Placement, replica.Verdict) {
	if len(s.attempts) >= MaxRequestsPerShard {
		return replica.Placement{}, replica.NoLeaf
	}
	if len(s.tried) < q.route.MaxAttempts {
		p, v := q.table.Place(service, q.route.Name, s.tried, now)
		if v == replica.Placed || !q.overdue {
			return p, v
		}
	}
	if !q.overdue || s.open > 0 {
		return replica.Placement{}, replica.NoLeaf
	}
	return q.table.PlaceAmong(service, q.route.Name, s.tried, now)
}

// overBudget reports whether a shard with nothing open is left out for good
// because its second request found no budget. Before the target it may come in time,
// and the other shards are waited for anyway; a late query waits for a
// part of the time that is left, so that its caller still has time to come again.
func (q *Query) overBudget(now time.Time) bool {
	return !q.aimed() || !now.Before(q.lateEnd())
}

// first adds the first request of a shard whose leafs had no free connection
// before to sends, or looks at it again a little later.
func (q *Query) first(sends []Request, i int, now time.Time) []Request {
	s := &q.shards[i]
	p, v := q.table.Place(q.route.Shards[i], q.route.Name, nil, now)
	s.verdict = v
	switch v {
	case replica.Placed:
		return q.send(sends, i, p, ReasonFirst, now)
	case replica.AllBusy:
		s.out = q.aimed() && !now.Before(q.lateEnd())
		s.lookAt = now.Add(busyStep)
	default:
		s.out = true
	}
	return sends
}

// tooLate reports whether a second request to p would be answered after the
// answer is given. Once the target has passed, anything before the hard end is of use.
//
// Where every shard is waited for until the end, nothing is saved by not asking: replies are
// spread widely around what is expected, and the first leaf is silent. Not asking costs the
// shard for certain; one notices searches whose budget is not used and that lack a shard.
func (q *Query) tooLate(p replica.Placement, now time.Time) bool {
	if !q.aimed() {
		return !now.Add(q.opts.MinHedgeDelay).Before(q.hardEnd)
	}
	if !q.overdue && now.Before(q.softEnd) {
		return p.Suspect || now.Add(p.ExpectedLatency).After(q.softEnd)
	}
	return now.Add(p.ExpectedLatency).After(q.hardEnd)
}

// Tick returns the second requests that are due.
func (q *Query) Tick(now time.Time) []Request {
	if q.inVain || q.trying || q.givenUp {
		return nil
	}
	if q.held {
		return q.release(now)
	}
	var sends []Request
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.out || s.lookAt.IsZero() || now.Before(s.lookAt) {
			continue
		}
		if len(s.attempts) == 0 {
			sends = q.first(sends, i, now)
			continue
		}
		sends = q.second(sends, i, q.why(s, now), now)
	}
	return q.makeUp(sends, now)
}

// why is the reason of a second request for s.
func (q *Query) why(s *shard, now time.Time) Reason {
	if s.open == 0 {
		return ReasonRetry
	}
	for _, a := range s.attempts {
		if a.open && q.table.IsSuspect(a.call, now) {
			return ReasonSilent
		}
	}
	return ReasonSlow
}

// NextCheck is when Tick or Verdict is to be asked again at the latest.
func (q *Query) NextCheck(now time.Time) time.Time {
	if q.held {
		return now.Add(heldStep)
	}
	if q.trying {
		return q.hardEnd
	}
	next := q.hardEnd
	if now.Before(q.softEnd) {
		next = q.softEnd
	}
	for i := range q.shards {
		s := &q.shards[i]
		if !s.covered && !s.out && !s.lookAt.IsZero() && s.lookAt.Before(next) {
			next = s.lookAt
		}
	}
	return next
}
