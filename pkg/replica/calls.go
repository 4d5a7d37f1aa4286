package replica

import "time"

// Outcome is the result of a request to a leaf.
type Outcome int

const (
	// Answered means that the leaf returned a complete, valid success.
	Answered Outcome = iota
	// Failed means that the leaf ran the request and reported a failure of its own.
	Failed
	// Refused means that the leaf reported that it did not run the request.
	Refused
	// Misdirected means that another leaf uses the address. The request did not run.
	Misdirected
	// NotSent means that no connection was available or nothing was written. The request did not
	// run.
	NotSent
	// ReplyLost means that the connection ended or the reply was invalid. The request may have run.
	ReplyLost
	// TimedOut means that no reply arrived within the time given to the leaf. The request may
	// have run.
	TimedOut
	// ConnLimitReached means that a new connection was closed before it delivered a reply, as
	// leafs do with connections beyond their limit. The request may have run.
	ConnLimitReached
	// Abandoned means that this instance cancelled the request. The leaf would have taken at
	// least as long as this instance waited.
	Abandoned
	// PeerLost means that the peer instance that forwarded the request did not return a reply.
	// The request may have run, and the outcome says nothing about the leaf.
	PeerLost
	// PeerRefused means that the peer instance did not send the request. It did not run, and the
	// outcome says nothing about the leaf.
	PeerRefused
	// LeafCrashed means that the leaf's process ended while it had the request. The request may
	// have run, and it may have caused the crash.
	LeafCrashed
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "misdirected", "not_sent", "broken", "timed_out", "crowded", "abandoned", "peer_lost", "peer_refused", "ended"}[o]
}

// Valid reports whether o is one of the constants above.
func (o Outcome) Valid() bool { return o >= Answered && o <= LeafCrashed }

// NotRun reports whether the outcome proves that the request did not run and will not run.
func (o Outcome) NotRun() bool {
	return o == Refused || o.NotDelivered()
}

// NotDelivered reports whether the outcome proves that no leaf of the service received the
// request.
func (o Outcome) NotDelivered() bool { return o == Misdirected || o == NotSent || o == PeerRefused }

// Call is a request in flight at a leaf.
type Call struct {
	Leaf Leaf
	// record is the leaf's record at the start of the call, or nil if the leaf had been removed.
	// A restarted leaf has a new record.
	record *leafRecord
	class  string
	start  time.Time
}

// Class returns the name of the request's class.
func (c *Call) Class() string { return c.class }

// StartTime returns the time at which the request was sent.
func (c *Call) StartTime() time.Time { return c.start }

// Begin counts a request as in flight at the leaf of the placement. It returns nil if the leaf
// may not receive the request any more: since the placement, other requests have taken its last
// connection, its zone has been evacuated, or it is cold and has received this instance's
// share.
func (t *Table) Begin(p Placement, className string, now time.Time) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[p.Leaf.ID]
	if r != nil {
		if t.evacuated[r.Zone] || t.atConnLimit(r, now) || t.atColdLimit(r, now) {
			return nil
		}
		t.recordColdSend(r, now)
		r.begin(now)
	}
	return &Call{Leaf: p.Leaf, record: r, class: className, start: now}
}

// HealthChange says whether the outcome of a call has marked its leaf as down or up.
type HealthChange int

const (
	// HealthUnchanged means that the leaf is up or down as before.
	HealthUnchanged HealthChange = iota
	// MarkedDown means that the leaf is not used until a probe succeeds.
	MarkedDown
	// Recovered means that a leaf that was down has replied.
	Recovered
)

// End records the outcome of a call.
func (t *Table) End(c *Call, outcome Outcome, now time.Time) HealthChange {
	return t.EndWithLatency(c, outcome, now.Sub(c.start), now)
}

// EndWithLatency is like End, but takes the latency of the leaf from the caller. The latency is
// less than the time since the start of the call if a peer instance held the reply back to
// return it together with others.
func (t *Table) EndWithLatency(
	c *Call, outcome Outcome, latency time.Duration, now time.Time,
) HealthChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[c.Leaf.ID]
	if r == nil || r != c.record {
		return HealthUnchanged
	}
	r.end(c.start)
	wasUp := r.connFailures < downThreshold
	t.applyOutcome(r, c, outcome, latency, now)
	isUp := r.connFailures < downThreshold
	switch {
	case wasUp && !isUp:
		return MarkedDown
	case isUp && !wasUp:
		return Recovered
	}
	return HealthUnchanged
}

// applyOutcome updates the state of r with the outcome of a call.
func (t *Table) applyOutcome(
	r *leafRecord, c *Call, outcome Outcome, latency time.Duration, now time.Time,
) {
	switch outcome {
	case Answered:
		r.recordReply(now)
		r.timeoutFailuresSince = time.Time{}
		t.recordZoneReply(r.Zone, now)
		r.recordRefusal(false, now)
		t.class(c.class).observe(latency)
		r.recordSlowness(float64(latency)/float64(t.typicalLatency(c.class)), now)
	case Failed, Refused:
		r.recordTimeoutFailure(latency, t.typicalLatency(c.class), now)
		r.recordReply(now)
		t.recordZoneReply(r.Zone, now)
		r.recordRefusal(true, now)
	case Misdirected:
		r.connFailures = downThreshold
		r.nextProbeAt = now.Add(maxProbeBackoff)
		t.recordZoneReply(r.Zone, now)
	case NotSent:
		r.connectFailed = true
		r.recordConnFailure(now)
	case ReplyLost, LeafCrashed:
		r.connectFailed = false
		r.recordRefusal(true, now)
		r.recordConnFailure(now)
	case ConnLimitReached:
		r.connectFailed = false
		r.recordRefusal(true, now)
		r.recordConnLimitReached(now)
	case TimedOut:
		r.recordSlowness(float64(latency)/float64(t.typicalLatency(c.class)), now)
	case Abandoned:
		t.applyAbandoned(r, c, latency, now)
	}
}

// applyAbandoned updates the slowness of r with a call that was cancelled after latency.
//
// If another leaf always replies first and the call to this one is then cancelled, the slowness
// of this leaf never shows in a reply: every query would choose it first and need a second
// request, until the budget of second requests is exhausted. The time waited is a lower bound
// on the latency of the reply, so it counts only if it exceeds the current estimate, and then
// replaces it without smoothing.
func (t *Table) applyAbandoned(r *leafRecord, c *Call, latency time.Duration, now time.Time) {
	r.lastAbandoned = true
	minSlowness := float64(latency) / float64(t.typicalLatency(c.class))
	if minSlowness > r.slownessNow(now) {
		r.slowness, r.slownessAt = min(minSlowness, maxSlowness), now
	}
}
