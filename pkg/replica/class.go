package replica

import (
	"slices"
	"time"
)

// Parameters of the estimate of a class's typical latency.
const (
	// defaultTypicalLatency is used until the first reply.
	defaultTypicalLatency = 20 * time.Millisecond
	// typicalWarmupReplies is the number of first replies whose latencies are kept to compute
	// the quantile exactly.
	typicalWarmupReplies = 20
	// typicalQuantile is the quantile that is estimated.
	typicalQuantile = 0.5
	// typicalStep is the fraction of the estimate by which one reply moves it, before it is
	// scaled by the quantile.
	typicalStep = 0.0014
	// typicalOutlierFactor and typicalOutlierStep quickly reduce an estimate that is far too
	// high, as after a start in the middle of an overload: a reply that takes less than a third
	// of the estimate reduces it by a twentieth. Latencies at an idle leaf vary by about a
	// third, so that about one reply in a thousand is that fast by chance.
	typicalOutlierFactor = 3
	typicalOutlierStep   = 0.05
)

// class is the state of one class of requests, whose replies take about equally long.
//
// Its typical latency is the reference for the slowness of leafs. With a mean, an overload of a
// few seconds would become the normal case: no leaf would count as slow, and hedges would be
// sent later and later. The reference is therefore a slowly moving median.
type class struct {
	// typicalLatency is the estimate; warmupLatencies holds the first latencies, sorted.
	typicalLatency  time.Duration
	warmupLatencies []time.Duration
	// probedAt is the time at which a request was last admitted as a probe. capacityCheckedAt is
	// the time at which a waiting request last checked for capacity.
	probedAt          time.Time
	capacityCheckedAt time.Time
	waits             waitHistory
}

// observe updates the estimate with the latency of one reply.
func (c *class) observe(latency time.Duration) {
	if len(c.warmupLatencies) < typicalWarmupReplies {
		index, _ := slices.BinarySearch(c.warmupLatencies, latency)
		c.warmupLatencies = slices.Insert(c.warmupLatencies, index, latency)
		c.typicalLatency = c.warmupLatencies[int(typicalQuantile*float64(len(c.warmupLatencies)))]
		return
	}
	step := typicalStep * typicalQuantile
	switch {
	case latency < c.typicalLatency/typicalOutlierFactor:
		step = -typicalOutlierStep
	case latency < c.typicalLatency:
		step = -typicalStep * (1 - typicalQuantile)
	}
	c.typicalLatency += time.Duration(step * float64(c.typicalLatency))
}

// hasReplies reports whether the class has had any reply.
func (c *class) hasReplies() bool { return c != nil && len(c.warmupLatencies) > 0 }

// typicalLatency returns the typical latency of a class. The caller holds mu.
func (t *Table) typicalLatency(className string) time.Duration {
	if c := t.classes[className]; c.hasReplies() {
		return max(c.typicalLatency, 1)
	}
	return defaultTypicalLatency
}

// TypicalLatency returns the typical latency of a class.
func (t *Table) TypicalLatency(className string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.typicalLatency(className)
}

// probeInterval is the minimum time between two requests of a class that are admitted as probes
// although the estimates advise against it.
const probeInterval = 400 * time.Millisecond

// AdmitProbe reports whether to admit a request of the class as a probe.
//
// The estimates are based on replies. If they predict that every query would be late, and every
// query is refused for that reason, no reply ever corrects them: an instance would continue to
// refuse requests after an overload has ended. One query per interval keeps the estimates
// current.
func (t *Table) AdmitProbe(className string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return allowEvery(&t.class(className).probedAt, probeInterval, now)
}

// allowEvery reports whether at least interval has passed since last. If so, it sets last to
// now.
func allowEvery(last *time.Time, interval time.Duration, now time.Time) bool {
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// capacityCheckInterval is the minimum time between two checks for capacity by waiting requests
// of a class. It is a fraction of a typical latency.
const capacityCheckInterval = 5 * time.Millisecond

// AllowCapacityCheck reports whether a waiting request of the class may check for capacity now.
func (t *Table) AllowCapacityCheck(className string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return allowEvery(&t.class(className).capacityCheckedAt, capacityCheckInterval, now)
}

// class returns the state of a class and creates it on first use. The caller holds mu.
func (t *Table) class(name string) *class {
	c := t.classes[name]
	if c == nil {
		c = &class{}
		t.classes[name] = c
	}
	return c
}

// requestGapWeight is the weight of one gap between requests in the moving average. The average
// follows a change of the request rate within about ten requests.
const requestGapWeight = 0.1

// recordRequest updates the average gap between requests to the service. The gap determines the
// half-life of the slowness of the service's leafs.
//
// With a fixed half-life of one second, an instance that receives one query every two seconds
// would have forgotten which leafs are slow before each query: it would choose them first again
// and send second requests until the budget is exhausted. The half-life therefore grows with
// the gap between requests. A leaf of several services uses their smallest gap.
func (s *service) recordRequest(now time.Time) {
	if !s.lastRequestAt.IsZero() {
		s.requestGap += time.Duration(requestGapWeight * float64(now.Sub(s.lastRequestAt)-s.requestGap))
	}
	s.lastRequestAt = now
	for _, r := range s.leafs {
		if r.busiestService == nil || s.requestGap < r.busiestService.requestGap {
			r.busiestService = s
		}
	}
}
