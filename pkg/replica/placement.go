package replica

import (
	"slices"
	"time"
)

// How leafs are compared.
const (
	// lapsedFactor holds back leafs that vanished from the list around an
	// outage: of those, the ones that crashed meanwhile are gone.
	lapsedFactor = 2
	// givenUpFactor holds back leafs whose last request was given up, as long as no second
	// request could make up for another one. A server that takes seconds shows only how long
	// it was waited for; believed as slow as a warm one that was late now and then, it is
	// asked again, and its shard is missing from the answer.
	givenUpFactor = 100
	// tieSpread spreads instances that see two equal leafs over both, as a
	// part of the cost.
	tieSpread = 0.1
	// silentFactor and silentFloor say when a leaf that answers nothing is
	// suspected: after that many times its usual time, and the floor. A
	// paused leaf is suspected in the first part of its pause.
	silentFactor = 3
	silentFloor  = 15 * time.Millisecond
	// suspectCost is added to a suspected leaf's cost: half of a usual pause.
	suspectCost = 120 * time.Millisecond
	// refusalsCap keeps the cost of a leaf that refuses everything finite.
	refusalsCap = 0.95
)

// Verdict says whether a leaf was found.
type Verdict int

const (
	// Placed: a leaf was found.
	Placed Verdict = iota
	// NoLeaf: none is listed that takes new work.
	NoLeaf
	// AllDown: those listed do not accept connections.
	AllDown
	// AllBusy: this instance's connections to each are in use, or they are cold and get no more
	// from it now.
	AllBusy
)

// String names the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"placed", "no_leaf", "all_down", "all_busy"}[v]
}

// Placement is a leaf chosen for a request.
type Placement struct {
	Leaf Leaf
	// ExpectedLatency is how long a reply is expected to take.
	ExpectedLatency time.Duration
	// RefusalRate is the share of requests that the leaf refuses or breaks.
	RefusalRate float64
	// Suspect: the leaf has been silent for longer than usual.
	Suspect bool
}

// Place returns the cheapest leaf of a service for a request of a class,
// leaving out the leafs in tried.
func (t *Table) Place(serviceName, className string, tried []string, now time.Time) (Placement, Verdict) {
	return t.place(serviceName, className, now, func(id string) bool { return !slices.Contains(tried, id) })
}

// PlaceAmong is Place among the leafs in tried only.
func (t *Table) PlaceAmong(serviceName, className string, tried []string, now time.Time) (Placement, Verdict) {
	return t.place(serviceName, className, now, func(id string) bool { return slices.Contains(tried, id) })
}

// place returns the cheapest of the leafs that may be asked.
func (t *Table) place(serviceName, className string, now time.Time, may func(id string) bool) (Placement, Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := NoLeaf
	var best Placement
	bestCost := time.Duration(0)
	s := t.service(serviceName)
	for _, r := range s.leafs {
		if !t.open(r) || !t.atHome(className, r.Zone) || !may(r.ID) {
			continue
		}
		if !t.reachable(r, now) {
			verdict = worse(verdict, AllDown)
			continue
		}
		if t.full(r, now) || t.coldFull(r, now) {
			verdict = worse(verdict, AllBusy)
			continue
		}
		p, cost := t.price(r, className, now)
		if r.givenUp && !s.budget.Available(now) {
			cost *= givenUpFactor
		}
		if verdict != Placed || cost < bestCost {
			verdict, best, bestCost = Placed, p, cost
		}
	}
	return best, verdict
}

// worse keeps the verdict that says most of why there is no leaf.
func worse(have, found Verdict) Verdict {
	if have == NoLeaf || (have == AllDown && found == AllBusy) {
		return found
	}
	return have
}

// reachable reports whether a request may go to r: a leaf that failed is
// probed by one request at a time once its wait is over, and a leaf of a
// suspected zone waits for the zone's probe.
func (t *Table) reachable(r *row, now time.Time) bool {
	if z := t.zones[r.Zone]; z != nil && z.suspected {
		return false
	}
	if r.failures < downAfter {
		return true
	}
	return !now.Before(r.downUntil) && len(r.starts) == 0
}

// price returns the expected time of a request on r and its cost, by which
// leafs are compared.
func (t *Table) price(r *row, className string, now time.Time) (Placement, time.Duration) {
	base := float64(t.typical(className)) * r.slownessNow(now)
	expected := time.Duration(base * float64(1+len(r.starts)))
	p := Placement{Leaf: r.Leaf, ExpectedLatency: expected}
	if r.silentTooLong(base, now) {
		p.Suspect = true
		p.ExpectedLatency += suspectCost
	}
	p.RefusalRate = r.refusalsNow(now)
	if t.opts.NearestFirst {
		return p, t.distance(r)
	}
	cost := float64(p.ExpectedLatency) / (1 - min(p.RefusalRate, refusalsCap))
	if r.Zone != t.opts.Zone {
		cost = cost*max(t.opts.OtherZoneFactor, 1) + float64(t.opts.OtherZonePenalty)
	}
	if r.lapsed {
		cost *= lapsedFactor
	}
	cost *= 1 + tieSpread*t.opts.tie()
	return p, time.Duration(cost)
}

// distance orders leafs by zone only.
func (t *Table) distance(r *row) time.Duration {
	if r.Zone == t.opts.Zone {
		return 0
	}
	return 1
}

// silentTooLong reports whether the leaf has answered nothing for so long that
// it is suspected; base is its usual time in ns.
func (r *row) silentTooLong(base float64, now time.Time) bool {
	return r.silentFor(now) > silentFloor+time.Duration(silentFactor*base)
}

// IsSuspect reports whether the leaf of a call is silent for longer than usual.
func (t *Table) IsSuspect(c *Call, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[c.Leaf.ID]
	if r == nil || r != c.row {
		return true
	}
	base := float64(t.typical(c.class)) * r.slownessNow(now)
	z := t.zones[r.Zone]
	return r.silentTooLong(base, now) || (z != nil && z.suspected)
}
