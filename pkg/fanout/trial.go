package fanout

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// This file decides about queries under which leafs end.
//
// A query that makes leafs crash ends one of every shard with its first requests, and then
// the other ones with its second requests; the index is gone for seconds. Queries that were
// merely in flight there are told from it by a leaf that answers.

// endsMost is how many leafs may end under a query that none has answered before it is given
// up: what waits in the queues of the others is withdrawn from them.
const endsMost = 3

// startTrial sends the query to one leaf only, of the given shard if it has one. The others
// are asked once that leaf has answered.
func (q *Query) startTrial(now time.Time) ([]Request, *Refusal) {
	found, refusal := q.place(now)
	if refusal.AllowedMisses < 0 {
		refusal.lacking()
		return nil, &refusal
	}
	for i := range q.shards {
		q.shards[i].out = false
	}
	return q.sendTrial(q.trialShard(found), now), nil
}

// trialShard is the shard whose leaf is asked: the one that the query is suspected for, or
// else the first that has a leaf.
func (q *Query) trialShard(found []placed) int {
	first := 0
	for i := len(found) - 1; i >= 0; i-- {
		if q.shards[i].verdict != replica.Placed {
			continue
		}
		first = i
		if q.route.Shards[i] == q.trialOf {
			return i
		}
	}
	return first
}

// sendTrial sends the one request of a trial.
func (q *Query) sendTrial(shard int, now time.Time) []Request {
	q.trying = true
	p, v := q.table.Place(q.route.Shards[shard], q.route.Name, q.shards[shard].tried, now)
	if v != replica.Placed {
		q.givenUp = true
		return nil
	}
	sends := q.send(nil, shard, p, ReasonTrial, now)
	q.givenUp = len(sends) == 0
	return sends
}

// triedAt takes over the outcome of a trial. An answer releases the other shards; a leaf that
// never got the request says nothing, and another one of the shard is tried.
func (q *Query) triedAt(i int, outcome replica.Outcome, now time.Time) []Request {
	switch {
	case outcome == replica.Answered:
		q.trying = false
		return q.sendRest(now)
	case outcome.NotDelivered():
		if len(q.shards[i].tried) < q.route.MaxAttempts {
			return q.sendTrial(i, now)
		}
	}
	q.givenUp = true
	return nil
}

// sendRest sends the first requests of the shards that a trial held back.
func (q *Query) sendRest(now time.Time) []Request {
	var sends []Request
	for i := range q.shards {
		if len(q.shards[i].attempts) == 0 {
			sends = q.first(sends, i, now)
		}
	}
	return sends
}

// InTrial reports whether the query is being tried at one leaf.
func (q *Query) InTrial() bool { return q.trying }

// unproven reports whether leafs have ended under the query and none has answered it yet. Its
// second requests wait meanwhile: those of a sound query for some milliseconds, until the
// first reply of any shard, those of one that ends leafs for good.
func (q *Query) unproven() bool { return q.ends > 0 && q.covered == 0 }

// leafEnded takes over that a leaf ended under the query.
func (q *Query) leafEnded() {
	q.ends++
	if q.unproven() && q.ends >= endsMost {
		q.givenUp = true
	}
}

// proven lets the second requests that waited for a reply be sent.
func (q *Query) proven(now time.Time) {
	for i := range q.shards {
		if s := &q.shards[i]; !s.covered && !s.out && s.open == 0 && len(s.attempts) > 0 {
			s.lookAt = now
		}
	}
}

// InFlight reports whether any request is in flight.
func (q *Query) InFlight() bool {
	for i := range q.shards {
		if q.shards[i].open > 0 {
			return true
		}
	}
	return false
}

// LeafsEnded is how many leafs ended under the query.
func (q *Query) LeafsEnded() int { return q.ends }

// GiveUp ends the query: it is known to end leafs.
func (q *Query) GiveUp() { q.givenUp = true }

// GivenUp reports whether the query was ended for the leafs' sake. What is in flight is to be
// withdrawn.
func (q *Query) GivenUp() bool { return q.givenUp }
