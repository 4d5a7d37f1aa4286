package leafqueue

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a queue in the state dump.
type State struct {
	Service  string `json:"service"`
	Waiting  int    `json:"waiting"`
	InFlight int    `json:"in_flight"`
	// StartGapMs is the average time between two starts of waiting requests, in milliseconds; it is
	// as old as the last time at which requests waited.
	StartGapMs float64     `json:"start_gap_ms"`
	WindowSum  float64     `json:"window_sum"`
	Ranks      []RankState `json:"ranks,omitempty"`
	Leafs      []LeafState `json:"leafs"`
}

// RankState is the number of waiting requests of one rank.
type RankState struct {
	Rank    int `json:"rank"`
	Waiting int `json:"waiting"`
}

// LeafState is the state of a leaf's window in the state dump.
type LeafState struct {
	Leaf     string  `json:"leaf"`
	Window   float64 `json:"window"`
	InFlight int     `json:"in_flight"`
	RestMs   int64   `json:"rest_ms,omitempty"`
	// ConsideredMs is how long ago the leaf was last considered for a request, in milliseconds.
	ConsideredMs int64 `json:"considered_ms"`
}

// Dump returns the state of the queue, with the leafs ordered by ID.
func (q *Queue) Dump(now time.Time) State {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := State{
		Service: q.service, Waiting: q.order.count, InFlight: q.inFlight, WindowSum: q.windowSum,
		StartGapMs: float64(q.rate.gap) / float64(time.Millisecond),
	}
	for _, b := range q.order.buckets {
		if n := len(s.Ranks); n > 0 && s.Ranks[n-1].Rank == b.key.rank {
			s.Ranks[n-1].Waiting += b.count
			continue
		}
		s.Ranks = append(s.Ranks, RankState{Rank: b.key.rank, Waiting: b.count})
	}
	for _, l := range q.leafs {
		s.Leafs = append(s.Leafs, LeafState{
			Leaf: l.id, Window: l.window, InFlight: l.inFlight, RestMs: l.rest.Milliseconds(),
			ConsideredMs: now.Sub(l.seenAt).Milliseconds(),
		})
	}
	slices.SortFunc(s.Leafs, func(a, b LeafState) int { return cmp.Compare(a.Leaf, b.Leaf) })
	return s
}
