package fanout

import "time"

// This file limits how many leafs an unproven query reaches before one has answered it. The query
// asks one shard, then two, four and so on, and all as soon as any leaf has answered. A query that
// crashes leafs is held back after the first crash.

// mayAskFirst reports whether the first request for s may be sent, when asked shards were asked so
// far. Otherwise s is checked again when the window has widened.
func (q *Query) mayAskFirst(s *shard, asked int, now time.Time) bool {
	switch {
	case q.firstWindow == 0 || q.coveredShards > 0:
		return true
	case q.suspected():
		s.excluded = !q.InFlight()
		s.nextCheck = now.Add(retryCheckInterval)
		return false
	case asked < q.firstWindow:
		return true
	}
	if q.widenAt.IsZero() {
		q.widenAt = now.Add(q.hedgeDelay())
	}
	s.nextCheck = q.widenAt
	return false
}

// widenFirstWindow doubles the number of shards that may be asked when it is due.
func (q *Query) widenFirstWindow(now time.Time) {
	if q.firstWindow == 0 || q.widenAt.IsZero() || now.Before(q.widenAt) {
		return
	}
	q.firstWindow *= 2
	q.widenAt = time.Time{}
}

// askedShards returns the number of shards that were asked.
func (q *Query) askedShards() int {
	n := 0
	for i := range q.shards {
		if len(q.shards[i].attempts) > 0 {
			n++
		}
	}
	return n
}

// askRemaining returns the first requests for the shards that waited for the first reply.
func (q *Query) askRemaining(now time.Time) []Request {
	var requests []Request
	for i := range q.shards {
		if s := &q.shards[i]; !s.excluded && len(s.attempts) == 0 {
			requests = q.sendFirst(requests, i, now)
		}
	}
	return requests
}
