package peers

import (
	"time"
)

// hop is how long a query and its answer are on their way to and from a peer.
type hop struct{ mean, deviation time.Duration }

const (
	// hopWeight is the weight of one query in the smoothed values.
	hopWeight = 0.1
	// hopDeviations covers nine hops in ten.
	hopDeviations = 2
	// hopFirst stands in until the first answer: a round trip in a zone, and an answer over a
	// slow link.
	hopFirst = 3 * time.Millisecond
	// hopMost is where a peer counts as short of processor time instead.
	hopMost = 10 * time.Millisecond
)

// learn takes over one value.
func (h *hop) learn(took time.Duration) {
	if h.mean == 0 {
		h.mean, h.deviation = took, took/4
		return
	}
	off := took - h.mean
	h.mean += time.Duration(hopWeight * float64(off))
	h.deviation += time.Duration(hopWeight * float64(off.Abs()-h.deviation))
}

// hopLocked is how much longer queries and answers are on their way through the peer; mu
// is held.
//
// The peer gives an answer just before the target latency is over, as seen from there.
// Without the hop it reaches its caller just after it, and half of the answers that wait for
// the target are late.
func (c *clientConn) hopLocked() time.Duration {
	if c.hop.mean == 0 {
		return hopFirst
	}
	return min(c.hop.mean+hopDeviations*c.hop.deviation, hopMost)
}
