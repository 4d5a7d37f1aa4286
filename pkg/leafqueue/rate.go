package leafqueue

import "time"

const (
	// gapWeight is the weight of one gap between starts in the moving average, which follows a
	// change of the capacity within about ten starts.
	gapWeight = 0.1
	// gapTTL is how long the average of the last time with waiting requests is used for the next.
	gapTTL = time.Second
	// stallDivisor determines when starts count as stalled: when the time since the last one is this
	// multiple of the average gap. Gaps vary by chance, and this is exceeded once in 50 times.
	stallDivisor = 4
	// calmTime is how long after requests have waited the leafs that rest are still avoided: at 2
	// times the capacity a short queue is often empty for a moment.
	calmTime = time.Second
	// standingQueueDivisor divides the maximum expected start while the queue is a standing one.
	standingQueueDivisor = 2
)

// startRate measures how often waiting requests start. The rate at which requests end would be too
// low while nothing waits, since the leafs then do not work at their capacity.
type startRate struct {
	// gap is the moving average of the time between two starts while requests wait; zero: unknown.
	gap time.Duration
	// lastStart is the time of the last start, or since when requests wait; zero: none waits.
	lastStart time.Time
	measured  time.Time
	// waitingSince is since when requests have waited without interruption; zero: none waits.
	waitingSince time.Time
	// lastWaited is when requests last stopped waiting.
	lastWaited time.Time
}

// begin records that the first request waits. fallback is used unless a recent average exists.
func (s *startRate) begin(now time.Time, fallback time.Duration) {
	s.lastStart, s.waitingSince = now, now
	if s.gap == 0 || now.Sub(s.measured) > gapTTL {
		s.gap = fallback
	}
}

// end records that no request waits any more.
func (s *startRate) end(now time.Time) {
	s.lastStart, s.waitingSince, s.lastWaited = time.Time{}, time.Time{}, now
}

// waitedRecently reports whether requests wait or have waited within calmTime.
func (s *startRate) waitedRecently(now time.Time) bool {
	return !s.waitingSince.IsZero() || (!s.lastWaited.IsZero() && now.Sub(s.lastWaited) < calmTime)
}

// maxExpectedStart returns the longest expected time until the start of a request that may wait for
// maxWait.
//
// A queue that has not been empty for as long as a request may wait is no buffer for a burst any
// more: a shorter one keeps the leafs as busy, and a long one only makes every request wait for the
// maximum (the standing queue of CoDel). With the full maximum, callers that were refused once got
// their answers after the target.
func (s *startRate) maxExpectedStart(maxWait time.Duration, now time.Time) time.Duration {
	if !s.waitingSince.IsZero() && now.Sub(s.waitingSince) > maxWait {
		return maxWait / standingQueueDivisor
	}
	return maxWait
}

// recordStart records the start of a waiting request.
func (s *startRate) recordStart(now time.Time) {
	s.gap += time.Duration(gapWeight * float64(now.Sub(s.lastStart)-s.gap))
	s.lastStart, s.measured = now, now
}

// expectedStart returns the expected time until a request starts that has the given number of
// requests ahead. fallback is the gap to assume if none was measured recently.
func (s *startRate) expectedStart(ahead int, now time.Time, fallback time.Duration) time.Duration {
	gap := s.gap
	switch {
	case s.lastStart.IsZero():
		if gap == 0 || now.Sub(s.measured) > gapTTL {
			gap = fallback
		}
	default:
		gap = max(gap, now.Sub(s.lastStart)/stallDivisor)
	}
	return time.Duration(ahead) * gap
}

const (
	// latencyWeight is the weight of one reply in the average latency.
	latencyWeight = 0.1
	// bestLatencyWeight is the weight of a slower reply in the best latency: some thousand replies of
	// an overload must pass before they count as the best.
	bestLatencyWeight = 1.0 / 2048
)

// recordLatency updates the average and the best latency of the service's replies.
func (q *Queue) recordLatency(latency time.Duration) {
	if q.meanLatency == 0 {
		q.meanLatency, q.bestLatency = latency, latency
		return
	}
	q.meanLatency += time.Duration(latencyWeight * float64(latency-q.meanLatency))
	q.bestLatency = min(latency, q.bestLatency+time.Duration(bestLatencyWeight*float64(latency-q.bestLatency)))
}

// quickLimit returns the latency up to which a reply shows that its leaf has capacity left.
func (q *Queue) quickLimit(target, typical time.Duration) time.Duration {
	limit := max(time.Duration(quickFraction*float64(target)), time.Duration(quickBestFactor*float64(q.bestLatency)))
	return min(quickFactor*typical, limit)
}

// fallbackGap returns the time between two starts that the requests in flight and the latency of
// replies imply, for use until starts of waiting requests have been measured.
func (q *Queue) fallbackGap(class string) time.Duration {
	latency := q.meanLatency
	if latency == 0 {
		latency = q.placer.TypicalLatency(class)
	}
	return latency / time.Duration(max(q.inFlight, 1))
}
