package quarantine

import (
	"slices"
	"time"
)

// State describes one request in the state dump.
type State struct {
	Content string `json:"content"`
	Verdict string `json:"verdict"`
	// LeafsCrashed is the number of leafs that crashed while they had the request, of which at
	// most four are remembered. Service is the shard of the last one.
	LeafsCrashed int    `json:"leafs_ended"`
	Service      string `json:"service"`
	Trials       int    `json:"trials"`
	// RemainingMs is the time left of the quarantine; zero means that the request is not
	// quarantined. SinceLastCrashMs is the time since the last crash.
	RemainingMs      int64 `json:"left_ms"`
	SinceLastCrashMs int64 `json:"quiet_ms"`
}

// Dump returns the requests that are suspected or quarantined, those with the most recent crash
// first.
func (t *Table) Dump(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []State
	for k, r := range t.records {
		if v := r.verdict(now); v != Sound {
			out = append(out, State{
				Content: k.String(), Verdict: v.String(), LeafsCrashed: len(r.crashIDs),
				Service: r.service, Trials: r.trials,
				RemainingMs:      max(r.quarantinedUntil.Sub(now), 0).Milliseconds(),
				SinceLastCrashMs: now.Sub(r.lastCrash).Milliseconds(),
			})
		}
	}
	slices.SortFunc(out, func(a, b State) int { return int(a.SinceLastCrashMs - b.SinceLastCrashMs) })
	return out
}

// Count returns the number of remembered requests that have the given verdict.
func (t *Table) Count(v Verdict, now time.Time) int {
	if t.recordCount.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countLocked(v, now)
}

// countLocked is Count for callers that hold mu.
func (t *Table) countLocked(v Verdict, now time.Time) int {
	n := 0
	for _, r := range t.records {
		if r.verdict(now) == v {
			n++
		}
	}
	return n
}
