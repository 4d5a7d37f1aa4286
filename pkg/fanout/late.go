package fanout

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// This file decides about queries that can only be answered late: those of callers that
// come again into an overload, and those that fell short of the target.

// hold lets a query wait for room; false: there is no hope of any.
func (q *Query) hold(now time.Time) bool {
	if !q.table.AllowWait(q.route.Name, now) {
		return false
	}
	q.held = true
	q.heldSince = now
	q.heldUntil = q.softEnd.Add(time.Duration(q.opts.HeldWaitFraction * float64(q.hardEnd.Sub(q.softEnd))))
	return true
}

// release starts a query that is held, once there is room, or gives it up.
//
// A look costs a placement of every shard, so all queries of a route that are held share
// one look each few milliseconds: a hundred of them would use up a small processor.
func (q *Query) release(now time.Time) []Request {
	if !now.Before(q.heldUntil) || q.table.ShouldAbandonWait(q.route.Name, q.heldSince, now) {
		q.inVain = true
		q.table.RecordWaitEnd(q.route.Name, false, now)
		return nil
	}
	if !q.table.AllowCapacityCheck(q.route.Name, now) {
		return nil
	}
	sends, refusal := q.admit(now, q.opts.MinReleaseProbability)
	if refusal != nil {
		if refusal.Late <= refusal.AllowedMisses && refusal.SuccessProbability >= q.opts.MinAdmitProbability {
			q.table.RecordCapacitySign(q.route.Name, now)
		}
		return nil
	}
	q.held = false
	q.overdue = true
	q.table.RecordWaitEnd(q.route.Name, true, now)
	return sends
}

// HeldFor is how long the query has waited for room; zero: it was not held, or has been
// started.
func (q *Query) HeldFor(now time.Time) time.Duration {
	if !q.held {
		return 0
	}
	return now.Sub(q.heldSince)
}

// timeLeft is how long the leafs have for an answer at the target: of a query that is
// held, were it new.
func (q *Query) timeLeft(now time.Time) time.Duration {
	if q.held {
		return q.route.TargetLatency - q.opts.AnswerMargin
	}
	return q.softEnd.Sub(now)
}

// waits is the state of a query that is held: it ends, unrun, while its caller still
// has time to come again.
func (q *Query) waits() State {
	if q.inVain {
		return Insufficient
	}
	return Running
}

// makeUp asks shards that were given up, once enough can only be covered late.
//
// A shard is left out so that the answer is in time. If other shards then fail, the
// query would end with too few, although its caller waits seconds more and the shard
// was never asked; one notices queries that fail at the target (168 of a day's 4,000,
// 86 of them with shards that were never asked). A late answer is worth more to the
// caller than none. Only as many are asked as are lacking, those that nothing was sent
// for first: their first request is on no budget.
func (q *Query) makeUp(sends []Request, now time.Time) []Request {
	if q.unproven() || !q.overdue && !q.canOnlyBeLate(now) {
		return sends
	}
	q.overdue = true
	if !now.Before(q.lateEnd()) {
		return sends
	}
	lack := q.need - q.hopeful()
	for i := range q.shards {
		if s := &q.shards[i]; lack > 0 && s.out && len(s.attempts) == 0 {
			s.out = false
			lack--
			sends = q.first(sends, i, now)
		}
	}
	for i := range q.shards {
		if s := &q.shards[i]; lack > 0 && s.out && q.canAskAgain(i, now) {
			s.out = false
			lack--
			s.lookAt = now.Add(retryStep)
		}
	}
	return sends
}

// canOnlyBeLate reports whether too few shards can be covered by the target.
func (q *Query) canOnlyBeLate(now time.Time) bool {
	if !q.aimed() || q.covered >= q.need {
		return false
	}
	return !now.Before(q.softEnd) || q.hopeful() < q.need
}

// hopeful is how many shards are covered or still asked.
func (q *Query) hopeful() int {
	n := q.covered
	for i := range q.shards {
		if !q.shards[i].covered && !q.shards[i].out {
			n++
		}
	}
	return n
}

// canAskAgain reports whether shard i, of which every request failed, has a leaf that
// may be sent another one.
func (q *Query) canAskAgain(i int, now time.Time) bool {
	s := &q.shards[i]
	if s.covered || len(s.attempts) == 0 {
		return false
	}
	_, v := q.another(s, q.route.Shards[i], now)
	return v != replica.NoLeaf
}

// lateEnd is when a late query stops waiting for room to ask again.
func (q *Query) lateEnd() time.Time {
	return q.softEnd.Add(time.Duration(q.opts.LateWaitFraction * float64(q.hardEnd.Sub(q.softEnd))))
}
