package quarantine

import (
	"slices"
	"time"
)

// State is a request's row in the state dump.
type State struct {
	Content string `json:"content"`
	Verdict string `json:"verdict"`
	// LeafsEnded is how many leafs have ended under it, as far as is remembered (four),
	// the last of Service.
	LeafsEnded int    `json:"leafs_ended"`
	Service    string `json:"service"`
	Trials     int    `json:"trials"`
	// RemainingMs is how much longer it is quarantined, QuietMs how long ago a leaf ended.
	RemainingMs    int64 `json:"left_ms"`
	SinceLastEndMs int64 `json:"quiet_ms"`
}

// Dump lists the requests that are not sound.
func (t *Table) Dump(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []State
	for k, r := range t.records {
		if v := r.verdict(now); v != Sound {
			out = append(out, State{
				Content: k.String(), Verdict: v.String(), LeafsEnded: len(r.ends), Service: r.service, Trials: r.trials,
				RemainingMs: max(r.until.Sub(now), 0).Milliseconds(), SinceLastEndMs: now.Sub(r.touched).Milliseconds(),
			})
		}
	}
	slices.SortFunc(out, func(a, b State) int { return int(a.SinceLastEndMs - b.SinceLastEndMs) })
	return out
}

// Count is how many requests have a verdict.
func (t *Table) Count(v Verdict, now time.Time) int {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(v, now)
}

// count is Count; mu is held.
func (t *Table) count(v Verdict, now time.Time) int {
	n := 0
	for _, r := range t.records {
		if r.verdict(now) == v {
			n++
		}
	}
	return n
}
