package priority

import (
	"slices"
	"time"
)

// reportInterval is the minimum time between two reported changes of a rank. The share changes
// every stepInterval during an overload.
const reportInterval = time.Second

// Change reports that the share of a rank has left 1 or returned to it.
type Change struct {
	Rank    int
	Reduced bool
	Share   float64
	// Favored is the route for which the share was reduced, "" if none has queries. Pressure is
	// its latency as a fraction of its target latency, measured PressureAge ago.
	Favored     string
	Pressure    float64
	PressureAge time.Duration
}

// Tick applies the changes of shares that are due, also without queries, and returns the changes
// to report.
func (c *Controller) Tick(now time.Time) []Change {
	var out []Change
	for _, g := range c.layout.Load().groups {
		g.mu.Lock()
		g.step(now)
		out = g.appendChanges(out, now)
		g.mu.Unlock()
	}
	return out
}

// appendChanges appends the unreported changes of the group. The caller holds mu.
func (g *group) appendChanges(out []Change, now time.Time) []Change {
	for _, r := range g.ranks {
		reduced := r.share < 1
		if reduced == r.reported || now.Sub(r.reportedAt) < reportInterval {
			continue
		}
		r.reported, r.reportedAt = reduced, now
		p := g.pressure(now)
		change := Change{Rank: r.value, Reduced: reduced, Share: r.share, Pressure: p.value, PressureAge: p.age}
		if p.favored != nil {
			change.Favored = p.favored.name
		}
		out = append(out, change)
	}
	return out
}

// RouteState is the state of one route in the state dump.
type RouteState struct {
	Route string `json:"route"`
	Rank  int    `json:"rank"`
	// Share is the admitted share of the route's rank (0 to 1).
	Share    float64 `json:"share"`
	Credit   float64 `json:"credit"`
	Admitted uint64  `json:"admitted"`
	Refused  uint64  `json:"refused"`
	// LatencyMs is the smoothed and TypicalMs the usual time until enough shards are covered.
	// SampleAgeMs is the age of the last outcome; -1: none.
	LatencyMs   float64 `json:"latency_ms"`
	TypicalMs   float64 `json:"typical_ms"`
	SampleAgeMs int64   `json:"sample_age_ms"`
}

// GroupState is the state of one controlled group in the state dump.
type GroupState struct {
	Routes []RouteState `json:"routes"`
	// Favored is the route that determines the shares, Pressure its latency as a fraction of its
	// target latency, measured PressureAgeMs milliseconds ago.
	Favored       string  `json:"favored"`
	Pressure      float64 `json:"pressure"`
	PressureAgeMs int64   `json:"pressure_age_ms"`
}

// Dump returns the state of the controlled groups, the most urgent routes first.
func (c *Controller) Dump(now time.Time) []GroupState {
	groups := c.layout.Load().groups
	out := make([]GroupState, 0, len(groups))
	for _, g := range groups {
		out = append(out, g.dump(now))
	}
	return out
}

// dump returns the state of the group.
func (g *group) dump(now time.Time) GroupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pressure(now)
	state := GroupState{Pressure: p.value, PressureAgeMs: p.age.Milliseconds()}
	if p.favored != nil {
		state.Favored = p.favored.name
	}
	for _, m := range g.members {
		r := RouteState{
			Route: m.name, Rank: m.rank.value, Share: m.rank.share, Credit: m.credit, Admitted: m.admitted, Refused: m.refused,
			LatencyMs: 1000 * m.signal.latency, TypicalMs: 1000 * m.signal.typical, SampleAgeMs: -1,
		}
		if !m.signal.lastSample.IsZero() {
			r.SampleAgeMs = now.Sub(m.signal.lastSample).Milliseconds()
		}
		state.Routes = append(state.Routes, r)
	}
	return state
}

// Ranks returns the ranks of the controlled groups.
func (c *Controller) Ranks() []int {
	var out []int
	for _, g := range c.layout.Load().groups {
		for _, r := range g.ranks {
			if !slices.Contains(out, r.value) {
				out = append(out, r.value)
			}
		}
	}
	return out
}

// MinShare returns the smallest admitted share of the ranks that match; 1 if there is none.
func (c *Controller) MinShare(matches func(rank int) bool) float64 {
	share := 1.0
	for _, g := range c.layout.Load().groups {
		g.mu.Lock()
		for _, r := range g.ranks {
			if matches(r.value) {
				share = min(share, r.share)
			}
		}
		g.mu.Unlock()
	}
	return share
}
