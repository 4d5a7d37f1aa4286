package fanout

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// This file handles queries that can only be answered after the target: those whose caller
// retries during an overload, and those that covered too few shards by the target.

// hold makes the query wait for leaf capacity. It returns false if capacity is not expected to
// become free.
func (q *Query) hold(now time.Time) bool {
	if !q.terms.Promised && !q.table.AllowWait(q.route.Name, now) {
		return false
	}
	q.held = true
	q.heldSince = now
	q.heldUntil = q.answerBy.Add(time.Duration(q.opts.HeldWaitFraction * float64(q.deadline.Sub(q.answerBy))))
	if limit := now.Add(q.terms.MaxHold); q.terms.MaxHold > 0 && limit.Before(q.heldUntil) {
		q.heldUntil = limit
	}
	return true
}

// release starts a held query if the leafs have capacity, and ends it if it has waited too long.
//
// Each check needs a placement of every shard. All held queries of a route therefore share one
// check every few milliseconds: if each of a hundred made its own, they would saturate the CPU of
// a small machine.
func (q *Query) release(now time.Time) []Request {
	if !now.Before(q.heldUntil) || q.table.ShouldAbandonWait(q.route.Name, q.heldSince, now) {
		q.holdFailed = true
		q.table.RecordWaitEnd(q.route.Name, false, now)
		return nil
	}
	if !q.table.AllowCapacityCheck(q.route.Name, now) {
		return nil
	}
	requests, refusal := q.admit(now, q.opts.MinReleaseProbability)
	if refusal != nil {
		if refusal.Late <= refusal.AllowedMisses && refusal.SuccessProbability >= q.opts.MinAdmitProbability {
			q.table.RecordCapacitySign(q.route.Name, now)
		}
		return nil
	}
	q.held = false
	q.targetMissed = true
	q.table.RecordWaitEnd(q.route.Name, true, now)
	return requests
}

// HeldFor returns how long the query has been waiting for capacity. It is zero if the query was
// not held or has been started.
func (q *Query) HeldFor(now time.Time) time.Duration {
	if !q.held {
		return 0
	}
	return now.Sub(q.heldSince)
}

// WasHeld reports whether the query is or was waiting for capacity.
func (q *Query) WasHeld() bool { return !q.heldSince.IsZero() }

// timeToTarget returns how much time the leafs have to answer by the target. For a held query it
// returns the time that a new query would have.
func (q *Query) timeToTarget(now time.Time) time.Duration {
	if q.held && !q.terms.Promised {
		return q.route.TargetLatency - q.opts.AnswerMargin
	}
	return q.answerBy.Sub(now)
}

// heldState returns the state of a held query. Such a query ends, without having run, while its
// caller still has time to retry.
func (q *Query) heldState() State {
	if q.holdFailed {
		return Insufficient
	}
	return Running
}

// askExcluded sends requests for excluded shards once enough shards can only be covered after the
// target.
//
// A shard is excluded so that the answer is in time. If other shards fail afterwards, the query
// would end with too few shards, although its caller waits for seconds more and the excluded
// shard was never asked. This made queries fail at the target (168 of a day's 4,000, 86 of them
// with shards that were never asked). To the caller a late answer is worth more than none. Only
// as many shards are asked as are lacking, starting with those for which nothing was sent,
// because first requests do not count against the budget.
func (q *Query) askExcluded(requests []Request, now time.Time) []Request {
	if q.suspected() || !q.targetMissed && !q.missesTarget(now) {
		return requests
	}
	q.targetMissed = true
	if !now.Before(q.lateCutoff()) {
		return requests
	}
	shortfall := q.requiredShards - q.coverableShards()
	for i := range q.shards {
		if s := &q.shards[i]; shortfall > 0 && s.excluded && len(s.attempts) == 0 {
			s.excluded = false
			shortfall--
			requests = q.sendFirst(requests, i, now)
		}
	}
	for i := range q.shards {
		if s := &q.shards[i]; shortfall > 0 && s.excluded && q.canRetry(i, now) {
			s.excluded = false
			shortfall--
			s.nextCheck = now.Add(retryCheckInterval)
		}
	}
	return requests
}

// missesTarget reports whether too few shards can be covered by the target.
func (q *Query) missesTarget(now time.Time) bool {
	if !q.hasTarget() || q.coveredShards >= q.requiredShards {
		return false
	}
	return !now.Before(q.answerBy) || q.coverableShards() < q.requiredShards
}

// coverableShards returns the number of shards that are covered or not excluded.
func (q *Query) coverableShards() int {
	n := q.coveredShards
	for i := range q.shards {
		if !q.shards[i].covered && !q.shards[i].excluded {
			n++
		}
	}
	return n
}

// canRetry reports whether shard i, all of whose requests failed, has a leaf that may be sent
// another request.
func (q *Query) canRetry(i int, now time.Time) bool {
	s := &q.shards[i]
	if s.covered || len(s.attempts) == 0 {
		return false
	}
	_, v := q.placeSecond(s, q.route.Shards[i], now)
	return v != replica.NoLeaf
}

// lateCutoff returns the time at which a query past its target stops waiting for an opportunity
// to send further requests.
func (q *Query) lateCutoff() time.Time {
	return q.answerBy.Add(time.Duration(q.opts.LateWaitFraction * float64(q.deadline.Sub(q.answerBy))))
}
