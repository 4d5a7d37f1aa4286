package fanout

import "time"

// This file handles the queries of routes whose refused callers return at planned times (package
// returns).

// ReturnTerms say how planned returns affect a query. The zero value means that none are planned.
type ReturnTerms struct {
	// Planned means that returns are planned for the route. A query without a promise is then never
	// held: its caller's timeout is so short that the time is better spent on a planned return.
	Planned bool
	// Promised means that the caller was promised a place at this time.
	Promised bool
	// KeepFree means that a promised caller is due and has not arrived.
	KeepFree bool
	// MaxHold is the maximum time for which the query may be held; zero means no limit of its own.
	MaxHold time.Duration
}

// savesCapacity reports whether the query sends no hedged requests. While promised callers are due,
// the leafs are overloaded, and a hedged request takes the place of a part of another query.
func (t ReturnTerms) savesCapacity() bool { return t.Promised || t.KeepFree }

// startProbability returns the minimum probability of success at which the query is admitted when
// it arrives.
//
// A promised query is admitted unless too many leafs are late: promises are made at a fraction of the
// rate of admissions, which bounds such queries better than the estimate. While a promised caller is
// due, a query without a promise needs the probability that lets a held one start: then another query
// would succeed as well.
func (q *Query) startProbability() float64 {
	switch {
	case q.terms.Promised:
		return 0
	case q.terms.KeepFree:
		return max(q.opts.MinAdmitProbability, q.opts.MinReleaseProbability)
	}
	return q.opts.MinAdmitProbability
}

// mayHold reports whether the query may be held if it is not admitted when it arrives.
func (q *Query) mayHold() bool { return q.callerRetried && (!q.terms.Planned || q.terms.Promised) }

// promisedCheckInterval is the interval at which a held query with a promise checks whether the
// leafs have capacity. Such a query is held for a quarter of a target latency at most, which is one
// or two of the intervals of other held queries.
const promisedCheckInterval = 5 * time.Millisecond

// nextHeldCheck returns the time of the next check of a held query.
func (q *Query) nextHeldCheck(now time.Time) time.Time {
	next := now.Add(heldCheckInterval)
	if q.terms.Promised {
		next = now.Add(promisedCheckInterval)
	}
	if q.terms.MaxHold > 0 && q.heldUntil.Before(next) {
		return q.heldUntil
	}
	return next
}

// releasePromised starts a held query with a promise as soon as it can be admitted, and ends it at
// heldUntil. Its short wait says nothing about waits without a promise, so it neither uses nor
// changes their history.
func (q *Query) releasePromised(now time.Time) []Request {
	if !now.Before(q.heldUntil) {
		q.holdFailed = true
		return nil
	}
	requests, refusal := q.admit(now, q.startProbability())
	if refusal != nil {
		return nil
	}
	q.held = false
	return requests
}
