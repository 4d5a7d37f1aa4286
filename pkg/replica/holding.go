package replica

import "time"

// Holding of requests that wait for room.
const (
	// holdTrial is how long a request waits without a sign that the overload ends: as long as
	// a short overload lasts.
	holdTrial = 800 * time.Millisecond
	// holdTrialEvery is how often one is tried where the last ones waited in vain.
	holdTrialEvery = 2 * time.Second
	// holdMemory is how long what was seen counts: an overload of some seconds.
	holdMemory = 5 * time.Second
	// holdSign is how long a sign of an end counts: some looks for room.
	holdSign = 100 * time.Millisecond
)

// holding is what is known of the requests of a class that wait for room.
type holding struct {
	// inVainAt is when one was given up, releasedAt when one was started, triedAt when
	// one was held although the last one was given up, and signAt when a new request
	// would have been admitted.
	inVainAt, releasedAt, triedAt, signAt time.Time
}

// hopeless reports whether the last request that waited was given up, a while ago at
// most.
func (h *holding) hopeless(now time.Time) bool {
	return !h.inVainAt.IsZero() && h.inVainAt.After(h.releasedAt) && now.Sub(h.inVainAt) <= holdMemory
}

// AllowWait reports whether a request of the class may wait for room.
//
// In an overload of some tenths of a second room comes back soon, and a request that
// waits for it is served. In a long one it does not come. Held all the same, requests
// wait in vain and are refused late; one notices callers that are kept for most of their
// time and then refused. So once one has waited
// in vain the others are refused at once, and one each two seconds finds out whether
// there is room again.
func (t *Table) AllowWait(className string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.class(className).holding
	return !h.hopeless(now) || once(&h.triedAt, holdTrialEvery, now)
}

// RecordCapacitySign notes that a new request of the class would be admitted now: the overload
// ends, and those that wait have hope.
func (t *Table) RecordCapacitySign(className string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.class(className).holding.signAt = now
}

// ShouldAbandonWait reports whether a request of the class that has waited since a time is to be
// given up.
func (t *Table) ShouldAbandonWait(className string, since, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.class(className).holding
	if !h.signAt.IsZero() && now.Sub(h.signAt) <= holdSign {
		return false
	}
	return now.Sub(since) >= holdTrial || (h.hopeless(now) && since.Before(h.inVainAt))
}

// RecordWaitEnd takes over whether a request that waited for room was started.
func (t *Table) RecordWaitEnd(className string, released bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &t.class(className).holding
	if released {
		h.releasedAt = now
		return
	}
	h.inVainAt = now
}
