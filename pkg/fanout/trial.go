package fanout

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// This file handles queries that crash the leafs running them.
//
// Such a query crashes one leaf of every shard with its first requests, and the other leafs with
// its second requests; the index is then unavailable for seconds. Harmless queries that were
// merely in flight at the same leafs are distinguished from it by a leaf that answers them.

// maxLeafsCrashed is the number of crashed leafs at which a query that no leaf has answered is
// given up. Its requests waiting in the queues of other leafs are then cancelled.
const maxLeafsCrashed = 3

// startTrial sends the query to a single leaf, of the suspected shard if the route has it. The other
// shards are asked once that leaf has answered.
func (q *Query) startTrial(now time.Time) ([]Request, *Refusal) {
	placements, refusal := q.placeAll(now)
	if refusal.AllowedMisses < 0 {
		refusal.setShortage()
		return nil, &refusal
	}
	shard := q.trialShard(placements)
	if q.shards[shard].placeResult != replica.Placed {
		// An answer from another shard would not clear the query: it may crash only the leafs of
		// this one.
		refusal.RetryAfter = unreachableRetryAfter
		return nil, &refusal
	}
	for i := range q.shards {
		q.shards[i].excluded = false
	}
	return q.sendTrial(shard, now), nil
}

// trialShard returns the shard whose leaf is tried: the one at which leafs crashed or, if the route does
// not have it, the first shard that has a leaf.
func (q *Query) trialShard(placements []shardPlacement) int {
	if i := slices.Index(q.route.Shards, q.suspectService); i >= 0 {
		return i
	}
	first := slices.IndexFunc(placements, func(p shardPlacement) bool {
		return q.shards[p.shard].placeResult == replica.Placed
	})
	return max(first, 0)
}

// sendTrial sends the single request of a trial.
func (q *Query) sendTrial(shard int, now time.Time) []Request {
	q.inTrial = true
	p, v := q.table.Place(q.route.Shards[shard], q.route.Name, q.shards[shard].askedLeafs, now)
	if v != replica.Placed {
		q.givenUp = true
		return nil
	}
	requests := q.send(nil, shard, p, ReasonTrial, now)
	q.givenUp = len(requests) == 0
	return requests
}

// handleTrialReply handles the outcome of a trial. After an answer, the other shards are asked.
// If the request never reached the leaf, nothing was learned, and another leaf of the shard is
// tried.
func (q *Query) handleTrialReply(i int, outcome replica.Outcome, now time.Time) []Request {
	switch {
	case outcome == replica.Answered:
		q.inTrial = false
		return q.sendRemaining(now)
	case outcome.NotDelivered():
		if len(q.shards[i].askedLeafs) < q.route.MaxAttempts {
			return q.sendTrial(i, now)
		}
	}
	q.givenUp = true
	return nil
}

// sendRemaining sends the first requests for the shards that were not asked during the trial.
func (q *Query) sendRemaining(now time.Time) []Request {
	var requests []Request
	for i := range q.shards {
		if len(q.shards[i].attempts) == 0 {
			requests = q.sendFirst(requests, i, now)
		}
	}
	return requests
}

// InTrial reports whether the query is being tried at a single leaf.
func (q *Query) InTrial() bool { return q.inTrial }

// suspected reports whether leafs have crashed while they had a request of the query, and no leaf
// has answered it yet. No second requests are sent in this state. For a harmless query it lasts
// some milliseconds, until the first reply of any shard; for one that crashes its leafs it does
// not end.
func (q *Query) suspected() bool { return q.leafsCrashed > 0 && q.coveredShards == 0 }

// maxSecondsBeforeReply is the number of shards for which a query sends a second request while no
// leaf has answered it. They suffice to find out whether other leafs answer.
const maxSecondsBeforeReply = 2

// awaitsFirstReply reports whether a second request for s waits until some leaf has answered the
// query. Leafs run a request for a while before it crashes them; in that time the query would send
// it to the other leaf of every shard, because none of the first ones replies.
func (q *Query) awaitsFirstReply(s *shard) bool {
	return q.coveredShards == 0 && s.mayHaveRun() && q.secondsBeforeReply >= maxSecondsBeforeReply
}

// recordLeafCrash records that a leaf crashed while it had a request of the query.
func (q *Query) recordLeafCrash() {
	q.leafsCrashed++
	if q.suspected() && q.leafsCrashed >= maxLeafsCrashed {
		q.givenUp = true
	}
}

// releaseSecondRequests makes the second requests that were waiting for a first reply due now.
func (q *Query) releaseSecondRequests(now time.Time) {
	for i := range q.shards {
		if s := &q.shards[i]; !s.covered && !s.excluded && s.inFlight == 0 && len(s.attempts) > 0 {
			s.nextCheck = now
		}
	}
}

// InFlight reports whether any request is in flight.
func (q *Query) InFlight() bool {
	for i := range q.shards {
		if q.shards[i].inFlight > 0 {
			return true
		}
	}
	return false
}

// LeafsCrashed returns the number of leafs that crashed while they had a request of the query.
func (q *Query) LeafsCrashed() int { return q.leafsCrashed }

// GiveUp ends the query because it is known to crash leafs.
func (q *Query) GiveUp() { q.givenUp = true }

// GivenUp reports whether the query was ended to protect the leafs. The caller must cancel the
// requests that are still in flight.
func (q *Query) GivenUp() bool { return q.givenUp }
