package fanout

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// send records a request for shard i and appends it to requests. If the last connection to the
// leaf was taken after the placement, nothing is appended and the shard is checked again later.
func (q *Query) send(requests []Request, i int, p replica.Placement, reason Reason, now time.Time) []Request {
	s := &q.shards[i]
	call := q.table.Begin(p, q.route.Name, now)
	if call == nil {
		s.placeResult = replica.AllBusy
		s.nextCheck = now.Add(busyCheckInterval)
		return requests
	}
	s.attempts = append(s.attempts, attempt{call: call, inFlight: true})
	if !slices.Contains(s.askedLeafs, p.Leaf.ID) {
		s.askedLeafs = append(s.askedLeafs, p.Leaf.ID)
	}
	s.inFlight++
	s.nextCheck = time.Time{}
	if q.opts.HedgeTypicalFactor > 0 {
		s.nextCheck = now.Add(q.hedgeDelay())
	}
	return append(requests, Request{
		Shard: i, Attempt: len(s.attempts) - 1, Call: call,
		Deadline: q.requestDeadline(now), Reason: reason,
	})
}

// requestDeadline returns the time after which the reply to a request sent now is no longer
// useful.
//
// A leaf drops queued requests whose deadline has passed without running them. If requests
// carried the caller's whole deadline, leafs that have fallen behind would work through requests
// whose answers were given long ago; a leaf then stays late for seconds after a pause of a
// quarter second.
func (q *Query) requestDeadline(now time.Time) time.Time {
	end := q.deadline
	if !q.hasTarget() || q.inTrial {
		// A trial must not end without a result: it would have to be repeated.
		return end
	}
	useful := q.start.Add(time.Duration(q.opts.RequestDeadlineFactor * float64(q.route.TargetLatency)))
	if q.targetMissed || !now.Before(q.answerBy) || useful.After(end) {
		return end
	}
	return useful
}

// hedgeDelay returns how long a request may take before a hedged request is sent.
func (q *Query) hedgeDelay() time.Duration {
	typical := time.Duration(q.opts.HedgeTypicalFactor * float64(q.table.TypicalLatency(q.route.Name)))
	floor := time.Duration(q.opts.HedgeTargetFraction * float64(q.route.TargetLatency))
	return max(typical, floor, q.opts.MinHedgeDelay)
}

// HandleReply records the outcome of request n for shard i, and returns the requests to send
// next.
func (q *Query) HandleReply(i, n int, outcome replica.Outcome, now time.Time) []Request {
	s := &q.shards[i]
	a := &s.attempts[n]
	if !a.inFlight {
		return nil
	}
	a.inFlight = false
	s.inFlight--
	if !outcome.NotRun() {
		q.mayHaveRun, s.hasRun = true, true
	}
	if outcome == replica.LeafCrashed {
		q.recordLeafCrash()
	}
	if outcome == replica.Answered && !s.covered {
		if q.suspected() {
			q.releaseSecondRequests(now)
		}
		s.covered = true
		q.coveredShards++
		if q.coveredShards == q.measuredShards {
			q.coveredAt = now
		}
	}
	if q.inTrial {
		return q.handleTrialReply(i, outcome, now)
	}
	if outcome == replica.Answered && q.firstWindow > 0 {
		q.firstWindow = 0
		return q.askRemaining(now)
	}
	if outcome == replica.Answered || s.covered || s.inFlight > 0 || q.givenUp {
		return nil
	}
	return q.askExcluded(q.sendSecond(nil, i, ReasonRetry, now), now)
}

// sendSecond appends another request for shard i to requests if the route, the budget and the
// leafs allow it. Otherwise it schedules another check or excludes the shard.
func (q *Query) sendSecond(requests []Request, i int, reason Reason, now time.Time) []Request {
	s := &q.shards[i]
	s.nextCheck = now.Add(retryCheckInterval)
	if q.suspected() || q.awaitsFirstReply(s) {
		s.excluded = s.inFlight == 0 && !q.InFlight()
		return requests
	}
	p, v := q.placeSecond(s, q.route.Shards[i], now)
	switch {
	case v == replica.NoLeaf:
		s.excluded = s.inFlight == 0
		s.nextCheck = time.Time{}
	case v != replica.Placed || q.tooLate(p, now):
		s.excluded = s.inFlight == 0 && !now.Before(q.lateCutoff())
	case !q.table.TakeSecondRequestBudget(q.route.Shards[i], now):
		s.excluded = s.inFlight == 0 && q.budgetWaitOver(now)
	default:
		if q.coveredShards == 0 && s.mayHaveRun() {
			q.secondsBeforeReply++
		}
		return q.send(requests, i, p, reason, now)
	}
	return requests
}

// placeSecond chooses the leaf for a further request for a shard. It is one that was not asked
// yet, as long as the route allows more leafs. A query that has missed its target may ask the
// same leafs again, so that a leaf that refused because it was full, or that paused, can still be
// used.
func (q *Query) placeSecond(s *shard, service string, now time.Time) (replica.Placement, replica.PlaceResult) {
	if len(s.attempts) >= MaxRequestsPerShard {
		return replica.Placement{}, replica.NoLeaf
	}
	if len(s.askedLeafs) < q.route.MaxAttempts {
		p, v := q.table.Place(service, q.route.Name, s.askedLeafs, now)
		if v == replica.Placed || !q.targetMissed {
			return p, v
		}
	}
	if !q.targetMissed || s.inFlight > 0 {
		return replica.Placement{}, replica.NoLeaf
	}
	return q.table.PlaceAmong(service, q.route.Name, s.askedLeafs, now)
}

// budgetWaitOver reports whether a shard with nothing in flight is excluded because its second
// request found no budget. A query without a target excludes it at once. Before the target, budget
// may still become available, and the query waits for the other shards anyway. After the target,
// the query waits for a fraction of the remaining time only, so that its caller still has time to
// retry.
func (q *Query) budgetWaitOver(now time.Time) bool {
	return !q.hasTarget() || !now.Before(q.lateCutoff())
}

// sendFirst appends the first request for shard i to requests, or schedules another check if its
// leafs have no free connection.
func (q *Query) sendFirst(requests []Request, i int, now time.Time) []Request {
	s := &q.shards[i]
	p, v := q.table.Place(q.route.Shards[i], q.route.Name, nil, now)
	s.placeResult = v
	switch v {
	case replica.Placed:
		return q.send(requests, i, p, ReasonFirst, now)
	case replica.AllBusy:
		s.excluded = q.hasTarget() && !now.Before(q.lateCutoff())
		s.nextCheck = now.Add(busyCheckInterval)
	default:
		s.excluded = true
	}
	return requests
}

// tooLate reports whether the reply of p to a second request would come after the answer is
// given. Once the target has passed, any reply before the deadline is useful.
//
// A query that waits for every shard until its deadline saves nothing by not sending the second
// request: reply times vary widely around the expected one, and the first leaf has not answered.
// Without the second request the shard is certain to be missing; searches then lack a shard
// although budget is left.
func (q *Query) tooLate(p replica.Placement, now time.Time) bool {
	if !q.hasTarget() {
		return !now.Add(q.opts.MinHedgeDelay).Before(q.deadline)
	}
	if !q.targetMissed && now.Before(q.answerBy) {
		return p.Suspect || now.Add(p.ExpectedLatency).After(q.answerBy)
	}
	return now.Add(p.ExpectedLatency).After(q.deadline)
}

// Tick returns the requests that are due at the given time.
func (q *Query) Tick(now time.Time) []Request {
	if q.holdFailed || q.inTrial || q.givenUp {
		return nil
	}
	if q.held && q.terms.Promised {
		return q.releasePromised(now)
	}
	if q.held {
		return q.release(now)
	}
	var requests []Request
	q.widenFirstWindow(now)
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.excluded || s.nextCheck.IsZero() || now.Before(s.nextCheck) {
			continue
		}
		if len(s.attempts) == 0 {
			if q.mayAskFirst(s, q.askedShards(), now) {
				requests = q.sendFirst(requests, i, now)
			}
			continue
		}
		requests = q.sendSecond(requests, i, q.secondReason(s, now), now)
	}
	return q.askExcluded(requests, now)
}

// secondReason returns the reason for a second request for s.
func (q *Query) secondReason(s *shard, now time.Time) Reason {
	if s.inFlight == 0 {
		return ReasonRetry
	}
	for _, a := range s.attempts {
		if a.inFlight && q.table.IsSuspect(a.call, now) {
			return ReasonSilent
		}
	}
	return ReasonSlow
}

// NextCheck returns the latest time at which Tick and State must be called again.
func (q *Query) NextCheck(now time.Time) time.Time {
	if q.held {
		return q.nextHeldCheck(now)
	}
	if q.inTrial {
		return q.deadline
	}
	next := q.deadline
	if now.Before(q.answerBy) {
		next = q.answerBy
	}
	for i := range q.shards {
		s := &q.shards[i]
		if !s.covered && !s.excluded && !s.nextCheck.IsZero() && s.nextCheck.Before(next) {
			next = s.nextCheck
		}
	}
	return next
}
