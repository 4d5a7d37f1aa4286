package fanout

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// State is the progress of a query.
type State int

const (
	// Running means that the query is waiting for replies.
	Running State = iota
	// Complete means that the answer can be given.
	Complete
	// Insufficient means that too few shards are covered and no more can be.
	Insufficient
	// Expired means that the deadline passed with too few shards covered.
	Expired
)

// State returns the state of the query at the given time.
func (q *Query) State(now time.Time) State {
	if q.givenUp {
		return Insufficient
	}
	if q.held {
		return q.heldState()
	}
	possible := q.coverableShards()
	switch {
	case possible < q.requiredShards:
		return Insufficient
	case q.coveredShards == possible:
		return Complete
	case q.coveredShards >= q.requiredShards && !now.Before(q.answerBy):
		return Complete
	case !now.Before(q.deadline):
		return Expired
	}
	return Running
}

// AskedLeafs returns the IDs of the leafs that were asked for shard i.
func (q *Query) AskedLeafs(i int) []string { return q.shards[i].askedLeafs }

// ShardsOverAttempts returns the number of shards for which more leafs were asked than the route
// allows.
func (q *Query) ShardsOverAttempts() int {
	n := 0
	for i := range q.shards {
		if len(q.shards[i].askedLeafs) > max(q.route.MaxAttempts, 1) {
			n++
		}
	}
	return n
}

// CoveredShards returns the number of shards that are covered.
func (q *Query) CoveredShards() int { return q.coveredShards }

// TimeToCover returns the time from the start of the query until the measured share of its shards was
// covered, and whether it was.
func (q *Query) TimeToCover() (time.Duration, bool) {
	if q.coveredAt.IsZero() {
		return 0, false
	}
	return q.coveredAt.Sub(q.start), true
}

// RequiredShards returns the number of shards that must be covered.
func (q *Query) RequiredShards() int { return q.requiredShards }

// MayHaveRun reports whether a leaf may have run a part of the query.
func (q *Query) MayHaveRun() bool { return q.mayHaveRun }

// ShardStatus says whether an answer covers a shard and, if not, why.
type ShardStatus int

const (
	// Covered means that a leaf has answered for the shard.
	Covered ShardStatus = iota
	// Unanswered means that a leaf was asked and has not replied yet.
	Unanswered
	// Failed means that every leaf that was asked failed or refused.
	Failed
	// Overloaded means that the best leaf would have answered too late.
	Overloaded
	// NoLeaf means that no leaf that accepts new requests is listed.
	NoLeaf
	// AllDown means that the listed leafs are down or in suspected zones.
	AllDown
	// AllBusy means that all connections of this instance to each reachable leaf were in use, or
	// that the leaf is cold and has received this instance's share.
	AllBusy
	// Withheld means that the query is quarantined, or was tried at one leaf only.
	Withheld
)

// Known reports whether the status is one of the above.
func (s ShardStatus) Known() bool { return s >= Covered && s <= Withheld }

// String returns the name of the status used in logs.
func (s ShardStatus) String() string {
	return [...]string{"covered", "unanswered", "failed", "overloaded", "no_leaf", "all_down", "all_busy", "withheld"}[s]
}

// ShardStatus returns whether shard i is covered and, as far as is known, why not.
func (q *Query) ShardStatus(i int) ShardStatus {
	s := &q.shards[i]
	switch {
	case s.covered:
		return Covered
	case s.inFlight > 0:
		return Unanswered
	case len(s.attempts) > 0:
		return Failed
	case q.givenUp && s.placeResult == replica.Placed:
		return Withheld
	case s.placeResult == replica.Placed:
		return Overloaded
	case s.placeResult == replica.AllBusy:
		return AllBusy
	case s.placeResult == replica.AllDown:
		return AllDown
	}
	return NoLeaf
}
