package replica

import (
	"cmp"
	"slices"
	"time"
)

// LeafState is the state of one leaf in the state dump.
type LeafState struct {
	ID       string   `json:"id"`
	Services []string `json:"services"`
	Zone     string   `json:"zone"`
	Addr     string   `json:"addr"`
	Draining bool     `json:"draining"`
	// Lapsed means that the leaf vanished from the published list around an outage of the store
	// and is still in use.
	Lapsed   bool `json:"lapsed"`
	InFlight int  `json:"in_flight"`
	// Slowness is the smoothed ratio of the leaf's latency to the typical latency of the
	// requests' classes. Refusals is the smoothed fraction of requests that the leaf refused or
	// failed, and Failures the number of consecutive connection failures. SilentMs is the
	// time without any reply while a request of this instance is in flight there.
	Slowness float64 `json:"slowness"`
	Refusals float64 `json:"refusals"`
	Failures int     `json:"failures"`
	SilentMs int64   `json:"silent_ms"`
	// ColdMs is how much longer the leaf counts as cold, in milliseconds.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// Load is the load that the leaf last reported, LoadAgeMs milliseconds ago.
	Load      string `json:"load,omitempty"`
	LoadAgeMs int64  `json:"load_age_ms,omitempty"`
}

// Dump returns the state of all leafs, ordered by service and ID.
func (t *Table) Dump(now time.Time) []LeafState {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]LeafState, 0, len(t.leafs))
	for _, r := range t.leafs {
		state := LeafState{
			ID: r.ID, Services: r.Services, Zone: r.Zone, Addr: r.Addr, Draining: r.Draining, Lapsed: r.lapsed,
			InFlight: len(r.inFlightStarts), Slowness: r.slownessNow(now), Refusals: r.refusalRateNow(now),
			Failures: r.connFailures, SilentMs: r.silentFor(now).Milliseconds(),
			ColdMs: max(r.coldUntil.Sub(now), 0).Milliseconds(),
		}
		if !r.loadAt.IsZero() {
			state.Load, state.LoadAgeMs = r.load.String(), now.Sub(r.loadAt).Milliseconds()
		}
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b LeafState) int {
		return cmp.Or(slices.Compare(a.Services, b.Services), cmp.Compare(a.ID, b.ID))
	})
	return out
}
