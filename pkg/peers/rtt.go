package peers

import (
	"time"
)

// rttEstimator estimates the round-trip time of queries to a peer, excluding the time that the peer
// reports for the work itself, by moving averages of the value and its deviation.
type rttEstimator struct{ mean, deviation time.Duration }

const (
	// rttWeight is the weight of one sample in the moving averages.
	rttWeight = 0.1
	// rttDeviations is the number of deviations above the mean that covers 9 of 10 round trips.
	rttDeviations = 2
	// initialRTT is used until the first answer: a round trip within a zone, and an answer over a
	// slow link.
	initialRTT = 3 * time.Millisecond
	// maxRTT is the maximum estimate. A peer above it is considered short of processor time
	// instead.
	maxRTT = 10 * time.Millisecond
)

// observe adds one sample.
func (h *rttEstimator) observe(sample time.Duration) {
	if h.mean == 0 {
		h.mean, h.deviation = sample, sample/4
		return
	}
	difference := sample - h.mean
	h.mean += time.Duration(rttWeight * float64(difference))
	h.deviation += time.Duration(rttWeight * float64(difference.Abs()-h.deviation))
}

// rttLocked returns the time that a query and its answer need to and from the peer. mu must be
// held.
//
// The peer returns an answer just before the target latency as measured there. Without this
// correction the answer would reach its caller just after the target latency, and half of the
// answers that wait for the target would be late.
func (c *clientConn) rttLocked() time.Duration {
	if c.rtt.mean == 0 {
		return initialRTT
	}
	return min(c.rtt.mean+rttDeviations*c.rtt.deviation, maxRTT)
}

// resetBatchRTT clears the average, so that the peer is tried again.
func (c *clientConn) resetBatchRTT() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batchRTT = 0
}
