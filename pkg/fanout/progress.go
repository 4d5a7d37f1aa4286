package fanout

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// send records one request of a shard.
func (q *Query) send(i int, p replica.Placement, why Reason, now time.Time) Send {
	s := &q.shards[i]
	call := q.table.Begin(p, q.route.Name, now)
	s.attempts = append(s.attempts, attempt{call: call, open: true})
	s.tried = append(s.tried, p.Leaf.ID)
	s.open++
	s.lookAt = now.Add(q.hedgeDelay())
	return Send{
		Shard: i, Attempt: len(s.attempts) - 1, Call: call,
		Deadline: q.usefulUntil(now), Reason: why,
	}
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
	useful := q.start.Add(time.Duration(q.opts.UsefulTarget * float64(q.route.TargetLatency)))
	if !now.Before(q.softEnd) || useful.After(end) {
		return end
	}
	return useful
}

// hedgeDelay is how long a request may take before a second one is due.
func (q *Query) hedgeDelay() time.Duration {
	typical := time.Duration(q.opts.HedgeAtTypical * float64(q.table.Typical(q.route.Name)))
	floor := time.Duration(q.opts.HedgeAtTarget * float64(q.route.TargetLatency))
	return max(typical, floor, retryStep)
}

// Reply takes over what became of a request, and returns what to send next.
func (q *Query) Reply(i, n int, outcome replica.Outcome, now time.Time) []Send {
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
	if outcome == replica.Answered {
		if !s.covered {
			s.covered = true
			q.covered++
		}
		return nil
	}
	if s.covered || s.open > 0 {
		return nil
	}
	return q.second(i, Repeat, now)
}

// second sends another request for shard i if the route, the budget and the
// leafs allow it; otherwise the shard is looked at again a little later, or
// left out.
func (q *Query) second(i int, why Reason, now time.Time) []Send {
	s := &q.shards[i]
	if len(s.attempts) >= min(q.route.MaxAttempts, maxAttempts) {
		s.out = s.open == 0
		s.lookAt = time.Time{}
		return nil
	}
	s.lookAt = now.Add(retryStep)
	service := q.route.Shards[i]
	p, v := q.table.Place(service, q.route.Name, s.tried, now)
	if v == replica.NoLeaf {
		s.out = s.open == 0
		s.lookAt = time.Time{}
		return nil
	}
	if v != replica.Placed || q.tooLate(p, now) || !q.table.TakeSecond(service, now) {
		q.giveUp(s, now)
		return nil
	}
	return []Send{q.send(i, p, why, now)}
}

// giveUp leaves a shard out for good when nothing is open for it and the answer
// is already late. Waiting for the budget or a leaf to free up would hold the
// query to its deadline: the budget refills over ten seconds.
func (q *Query) giveUp(s *shard, now time.Time) {
	if s.open == 0 && !now.Before(q.softEnd) {
		s.out = true
	}
}

// tooLate reports whether a second request to p would be answered after the
// answer is given. Once the soft end has passed, anything before the hard end
// is of use.
func (q *Query) tooLate(p replica.Placement, now time.Time) bool {
	if now.Before(q.softEnd) {
		return p.Suspect || now.Add(p.Expected).After(q.softEnd)
	}
	return now.Add(p.Expected).After(q.hardEnd)
}

// Tick returns the second requests that are due.
func (q *Query) Tick(now time.Time) []Send {
	var sends []Send
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.out || s.lookAt.IsZero() || now.Before(s.lookAt) {
			continue
		}
		sends = append(sends, q.second(i, q.why(s, now), now)...)
	}
	return sends
}

// why is the reason of a second request for s.
func (q *Query) why(s *shard, now time.Time) Reason {
	if s.open == 0 {
		return Repeat
	}
	for _, a := range s.attempts {
		if a.open && q.table.Suspect(a.call, now) {
			return Silent
		}
	}
	return Slow
}

// Next is when Tick or Verdict is to be asked again at the latest.
func (q *Query) Next(now time.Time) time.Time {
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

// State is how far a query is.
type State int

const (
	// Running: more replies are waited for.
	Running State = iota
	// Complete: the answer can be given.
	Complete
	// Insufficient: too few shards are covered and no more can come.
	Insufficient
	// Expired: the hard end passed with too few shards covered.
	Expired
)

// State returns how far the query is.
func (q *Query) State(now time.Time) State {
	possible := q.covered
	for i := range q.shards {
		if !q.shards[i].covered && !q.shards[i].out {
			possible++
		}
	}
	switch {
	case possible < q.need:
		return Insufficient
	case q.covered == possible:
		return Complete
	case q.covered >= q.need && !now.Before(q.softEnd):
		return Complete
	case !now.Before(q.hardEnd):
		return Expired
	}
	return Running
}

// Covered is how many shards are covered, and Need how many must be.
func (q *Query) Covered() int { return q.covered }

// Need is how many shards must be covered.
func (q *Query) Need() int { return q.need }

// Ran reports whether some leaf may have run a part of the query.
func (q *Query) Ran() bool { return q.ran }

// LeftOut lists the shards that are not covered with the reason known best.
func (q *Query) LeftOut() map[string]string {
	out := make(map[string]string)
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered {
			continue
		}
		reason := s.verdict.String()
		switch {
		case s.open > 0:
			reason = "unanswered"
		case len(s.attempts) > 0:
			reason = "failed"
		case s.verdict == replica.Placed:
			reason = "overloaded"
		}
		out[q.route.Shards[i]] = reason
	}
	return out
}
