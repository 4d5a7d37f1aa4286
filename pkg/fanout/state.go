package fanout

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

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
	if q.givenUp {
		return Insufficient
	}
	if q.held {
		return q.waits()
	}
	possible := q.hopeful()
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

// AskedLeafs lists the leafs that were asked for shard i.
func (q *Query) AskedLeafs(i int) []string { return q.shards[i].tried }

// ShardsOverAttempts is how many shards have asked more leafs than the route allows.
func (q *Query) ShardsOverAttempts() int {
	n := 0
	for i := range q.shards {
		if len(q.shards[i].tried) > max(q.route.MaxAttempts, 1) {
			n++
		}
	}
	return n
}

// CoveredShards is how many shards are covered, and Need how many must be.
func (q *Query) CoveredShards() int { return q.covered }

// RequiredShards is how many shards must be covered.
func (q *Query) RequiredShards() int { return q.need }

// MayHaveRun reports whether some leaf may have run a part of the query.
func (q *Query) MayHaveRun() bool { return q.ran }

// ShardStatus is why an answer does not cover a shard.
type ShardStatus int

const (
	// Covered: it does.
	Covered ShardStatus = iota
	// Unanswered: a leaf was asked and has not answered yet.
	Unanswered
	// Failed: every leaf that was asked failed or refused.
	Failed
	// Overloaded: the best leaf would have answered too late.
	Overloaded
	// NoLeaf: none is listed that takes new work.
	NoLeaf
	// AllDown: those listed do not accept connections.
	AllDown
	// AllBusy: this instance's connections to each leaf were in use.
	AllBusy
	// Withheld: the query is kept from leafs, or was tried at one leaf only.
	Withheld
)

// Known reports whether the reason is one of the above.
func (l ShardStatus) Known() bool { return l >= Covered && l <= Withheld }

// String names the lack in logs.
func (l ShardStatus) String() string {
	return [...]string{"covered", "unanswered", "failed", "overloaded", "no_leaf", "all_down", "all_busy", "withheld"}[l]
}

// ShardStatus returns why shard i is not covered, as far as is known.
func (q *Query) ShardStatus(i int) ShardStatus {
	s := &q.shards[i]
	switch {
	case s.covered:
		return Covered
	case s.open > 0:
		return Unanswered
	case len(s.attempts) > 0:
		return Failed
	case q.givenUp && s.verdict == replica.Placed:
		return Withheld
	case s.verdict == replica.Placed:
		return Overloaded
	case s.verdict == replica.AllBusy:
		return AllBusy
	case s.verdict == replica.AllDown:
		return AllDown
	}
	return NoLeaf
}
