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
)

// startRate measures how often waiting requests start. The rate at which requests end would be too
// low while nothing waits, since the leafs then do not work at their capacity.
type startRate struct {
	// gap is the moving average of the time between two starts while requests wait; zero: unknown.
	gap time.Duration
	// lastStart is the time of the last start, or since when requests wait; zero: none waits.
	lastStart time.Time
	measured  time.Time
}

// begin records that the first request waits. fallback is used unless a recent average exists.
func (s *startRate) begin(now time.Time, fallback time.Duration) {
	s.lastStart = now
	if s.gap == 0 || now.Sub(s.measured) > gapTTL {
		s.gap = fallback
	}
}

// end records that no request waits any more.
func (s *startRate) end() { s.lastStart = time.Time{} }

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

// latencyWeight is the weight of one reply in the average latency.
const latencyWeight = 0.1

// recordLatency updates the average latency of the service's replies.
func (q *Queue) recordLatency(latency time.Duration) {
	if q.meanLatency == 0 {
		q.meanLatency = latency
		return
	}
	q.meanLatency += time.Duration(latencyWeight * float64(latency-q.meanLatency))
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
