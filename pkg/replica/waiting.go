package replica

import "time"

// Parameters of waiting for capacity during an overload.
const (
	// maxWaitWithoutSign is how long a request waits without a sign that the overload is ending.
	// It is the length of a short overload.
	maxWaitWithoutSign = 800 * time.Millisecond
	// waitProbeInterval is the minimum time between two requests that may wait for capacity
	// although the last wait was abandoned.
	waitProbeInterval = 2 * time.Second
	// waitOutcomeTTL is how long an abandoned wait counts as evidence: the length of an overload
	// of a few seconds.
	waitOutcomeTTL = 5 * time.Second
	// capacitySignTTL is how long a sign of capacity counts as evidence: the time of several
	// checks for capacity.
	capacitySignTTL = 100 * time.Millisecond
)

// waitHistory records the outcomes of the waits for capacity of one class.
type waitHistory struct {
	// abandonedAt is the time of the last abandoned wait, and admittedAt that of the last wait
	// that ended with the request being sent. probeAt is when a request was last allowed to wait
	// although the wait before it had been abandoned. capacitySignAt is when a new request would
	// last have been admitted.
	abandonedAt, admittedAt, probeAt, capacitySignAt time.Time
}

// lastWaitAbandoned reports whether the last wait ended without capacity, at most
// waitOutcomeTTL ago.
func (h *waitHistory) lastWaitAbandoned(now time.Time) bool {
	return !h.abandonedAt.IsZero() && h.abandonedAt.After(h.admittedAt) &&
		now.Sub(h.abandonedAt) <= waitOutcomeTTL
}

// AllowWait reports whether a request of the class may wait for capacity.
//
// In an overload of a few tenths of a second, capacity returns soon and a waiting request is
// served. In a long overload it does not: waiting requests use up most of their callers' time
// and are then refused. Once a wait has been abandoned, further requests are therefore refused
// at once, except for one every 2 s that tests whether there is capacity again.
func (t *Table) AllowWait(className string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.class(className).waits
	return !h.lastWaitAbandoned(now) || allowEvery(&h.probeAt, waitProbeInterval, now)
}

// RecordCapacitySign records that a new request of the class would be admitted now, which means
// that the overload is ending and that waiting requests are likely to be served.
func (t *Table) RecordCapacitySign(className string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.class(className).waits.capacitySignAt = now
}

// ShouldAbandonWait reports whether a request of the class that has waited since the given time
// should stop waiting.
func (t *Table) ShouldAbandonWait(className string, since, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.class(className).waits
	if !h.capacitySignAt.IsZero() && now.Sub(h.capacitySignAt) <= capacitySignTTL {
		return false
	}
	return now.Sub(since) >= maxWaitWithoutSign || (h.lastWaitAbandoned(now) && since.Before(h.abandonedAt))
}

// RecordWaitEnd records that a wait for capacity has ended, and whether the request was
// admitted.
func (t *Table) RecordWaitEnd(className string, admitted bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.class(className).waits
	if admitted {
		h.admittedAt = now
		return
	}
	h.abandonedAt = now
}
