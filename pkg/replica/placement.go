package replica

import (
	"slices"
	"time"
)

// Parameters of the comparison of leafs.
const (
	// lapsedCostFactor multiplies the cost of leafs that vanished from the list around an outage
	// of the store, because some of them have crashed in the meantime.
	lapsedCostFactor = 2
	// abandonedCostFactor multiplies the cost of a leaf whose last request was abandoned, while
	// the budget does not allow a second request in case it is slow again. A leaf that takes
	// seconds shows only how long callers waited for it. If it were estimated to be as slow as a
	// warm leaf that is occasionally late, it would be chosen again, and its shard would be
	// missing from the answer.
	abandonedCostFactor = 100
	// tieBreakSpread is the fraction of the cost by which costs are varied at random, so that
	// instances distribute their requests over leafs that look equal.
	tieBreakSpread = 0.1
	// silenceFactor and minSilence determine when a leaf that does not reply becomes suspect:
	// after silenceFactor times its usual latency plus minSilence. A paused leaf becomes suspect
	// early in its pause.
	silenceFactor = 3
	minSilence    = 15 * time.Millisecond
	// suspectPenalty is added to the expected latency of a suspect leaf: half of a usual pause.
	suspectPenalty = 120 * time.Millisecond
	// maxRefusalRate limits the refusal rate, so that the cost of a leaf that refuses everything
	// stays finite.
	maxRefusalRate = 0.95
)

// PlaceResult says whether a leaf was found and, if not, why.
type PlaceResult int

const (
	// Placed means that a leaf was found.
	Placed PlaceResult = iota
	// NoLeaf means that no listed leaf accepts new requests.
	NoLeaf
	// AllDown means that the listed leafs are down or in suspected zones.
	AllDown
	// AllBusy means that this instance uses all its connections to each reachable leaf, that the
	// leaf is cold and has received this instance's share, or that the caller of PlaceWithRoom
	// found no room at it.
	AllBusy
)

// String returns the name of the result in logs.
func (v PlaceResult) String() string {
	return [...]string{"placed", "no_leaf", "all_down", "all_busy"}[v]
}

// Placement is the leaf chosen for a request.
type Placement struct {
	Leaf Leaf
	// ExpectedLatency is the estimated time to the reply.
	ExpectedLatency time.Duration
	// RefusalRate is the fraction of requests that the leaf refuses or fails.
	RefusalRate float64
	// Suspect means that the leaf has not replied for longer than usual.
	Suspect bool
	// Record is the number of the leaf's record (see PlaceWithRoom).
	Record uint64
}

// Place returns the leaf of a service with the lowest cost for a request of a class, excluding
// the leafs in tried.
func (t *Table) Place(
	serviceName, className string, tried []string, now time.Time,
) (Placement, PlaceResult) {
	return t.place(serviceName, className, now, func(id string) bool { return !slices.Contains(tried, id) }, nil)
}

// PlaceAmong is like Place, but considers only the leafs in tried.
func (t *Table) PlaceAmong(
	serviceName, className string, tried []string, now time.Time,
) (Placement, PlaceResult) {
	return t.place(serviceName, className, now, func(id string) bool { return slices.Contains(tried, id) }, nil)
}

// place returns the eligible leaf with the lowest cost. hasRoom is nil or as for PlaceWithRoom.
func (t *Table) place(
	serviceName, className string, now time.Time, eligible func(id string) bool, hasRoom RoomFunc,
) (Placement, PlaceResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := NoLeaf
	var best Placement
	bestCost := time.Duration(0)
	s := t.service(serviceName)
	for _, r := range s.leafs {
		if !t.acceptsRequests(r) || !t.zoneAllowed(className, r.Zone) || !eligible(r.ID) {
			continue
		}
		if !t.reachable(r, now) {
			result = moreSpecificResult(result, AllDown)
			continue
		}
		if t.atConnLimit(r, now) || t.atColdLimit(r, now) || (hasRoom != nil && !hasRoom(r.number, r.Slots)) {
			result = moreSpecificResult(result, AllBusy)
			continue
		}
		p, cost := t.estimate(r, className, now)
		if r.lastAbandoned && !s.budget.Available(now) {
			cost *= abandonedCostFactor
		}
		if result != Placed || cost < bestCost {
			result, best, bestCost = Placed, p, cost
		}
	}
	return best, result
}

// moreSpecificResult returns the result that says more about why there is no leaf.
func moreSpecificResult(current, found PlaceResult) PlaceResult {
	if current == NoLeaf || (current == AllDown && found == AllBusy) {
		return found
	}
	return current
}

// reachable reports whether a request may go to r. A leaf that is down is probed by one request
// at a time once its backoff has passed, and a leaf of a suspected zone gets no requests until
// the zone has been probed.
func (t *Table) reachable(r *leafRecord, now time.Time) bool {
	if z := t.zones[r.Zone]; z != nil && z.suspected {
		return false
	}
	if r.connFailures < downThreshold {
		return true
	}
	return !now.Before(r.nextProbeAt) && len(r.inFlightStarts) == 0
}

// estimate returns the placement of a request on r, and its cost, by which leafs are compared.
func (t *Table) estimate(r *leafRecord, className string, now time.Time) (Placement, time.Duration) {
	usualLatency := float64(t.typicalLatency(className)) * r.slownessNow(now)
	expected := time.Duration(usualLatency * float64(1+len(r.inFlightStarts)))
	p := Placement{Leaf: r.Leaf, ExpectedLatency: expected, Record: r.number}
	if r.silentTooLong(usualLatency, now) {
		p.Suspect = true
		p.ExpectedLatency += suspectPenalty
	}
	p.RefusalRate = r.refusalRateNow(now)
	if t.opts.NearestFirst {
		return p, t.zoneDistance(r)
	}
	cost := float64(p.ExpectedLatency) / (1 - min(p.RefusalRate, maxRefusalRate))
	if r.Zone != t.opts.Zone {
		cost = cost*max(t.opts.OtherZoneFactor, 1) + float64(t.opts.OtherZonePenalty)
	}
	if r.lapsed {
		cost *= lapsedCostFactor
	}
	cost *= 1 + tieBreakSpread*t.opts.drawTie()
	return p, time.Duration(cost)
}

// zoneDistance returns 0 for leafs of this instance's zone and 1 for others.
func (t *Table) zoneDistance(r *leafRecord) time.Duration {
	if r.Zone == t.opts.Zone {
		return 0
	}
	return 1
}

// silentTooLong reports whether the leaf has not replied for so long that it is suspect.
// usualLatency is in nanoseconds.
func (r *leafRecord) silentTooLong(usualLatency float64, now time.Time) bool {
	return r.silentFor(now) > minSilence+time.Duration(silenceFactor*usualLatency)
}

// IsSuspect reports whether the leaf of a call has not replied for longer than usual, or
// whether its zone is suspected. It is also true if the leaf was removed or restarted after the
// call began.
func (t *Table) IsSuspect(c *Call, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[c.Leaf.ID]
	if r == nil || r != c.record {
		return true
	}
	usualLatency := float64(t.typicalLatency(c.class)) * r.slownessNow(now)
	z := t.zones[r.Zone]
	return r.silentTooLong(usualLatency, now) || (z != nil && z.suspected)
}
