package returns

import (
	"cmp"
	"slices"
	"time"
)

// State describes the book of one route in the state dump.
type State struct {
	Route string `json:"route"`
	// AdmittedPerSecond is the rate of admissions in the last second.
	AdmittedPerSecond float64 `json:"admitted_per_second"`
	// Promised is the number of open promises, Due the number of those that can be claimed now.
	Promised int `json:"promised"`
	Due      int `json:"due"`
	// LastDueMs is the time until the last promise, in milliseconds; zero if it has passed.
	LastDueMs int64 `json:"last_due_ms"`
}

// Dump returns the state of each route that was used within the last minute, sorted by name.
func (b *Book) Dump(now time.Time) []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]State, 0, len(b.routes))
	for name, r := range b.routes {
		b.expire(r, now)
		out = append(out, State{
			Route: name, AdmittedPerSecond: r.admissions.perSecond(now),
			Promised: r.promises.size, Due: r.promises.countDue(now.Add(claimEarly)),
			LastDueMs: max(r.lastDue.Sub(now), 0).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Route, b.Route) })
	return out
}

// countDue returns the number of promises that are due at a given time.
func (q *promiseQueue) countDue(at time.Time) int {
	n := 0
	for n < q.size && !q.ring[(q.head+n)%len(q.ring)].After(at) {
		n++
	}
	return n
}
