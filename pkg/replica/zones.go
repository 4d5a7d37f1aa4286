package replica

import (
	"math/rand/v2"
	"time"
)

// Parameters of the detection of unreachable zones.
const (
	// minSilentLeafs is the number of leafs of a zone that must be silent or refuse connections
	// at the same time. Pauses affect only one leaf at a time.
	minSilentLeafs = 3
	// zoneSilenceThreshold is the minimum time without a reply: of a leaf to count as silent, and
	// of all leafs of a zone to suspect the zone.
	zoneSilenceThreshold = 150 * time.Millisecond
	// zoneProbeInterval is the time between health checks of a suspected zone.
	zoneProbeInterval = 300 * time.Millisecond
)

// zoneState is the state of a zone as a whole.
type zoneState struct {
	// lastReply is the time of the last reply from any leaf of the zone, and probedAt that of
	// the last probe of the zone, or of its suspicion.
	lastReply time.Time
	suspected bool
	probedAt  time.Time
}

// recordZoneReply records that a leaf of the zone has replied. The caller holds mu.
func (t *Table) recordZoneReply(name string, now time.Time) {
	z := t.zones[name]
	if z == nil {
		z = &zoneState{}
		t.zones[name] = z
	}
	z.lastReply = now
	z.suspected = false
}

// SuspectZones marks zones as suspected in which several leafs are silent and no leaf replies.
// It returns the zones that it has newly marked. It is called on every tick.
//
// The connections to a partitioned zone hang without an error. If each of its leafs were
// detected separately, each would cost a request that waits and a second request, and the
// budgets of second requests would be exhausted at once. If several leafs are silent or cannot
// be connected to, and no leaf of their zone replies, the whole zone is therefore suspected.
// Connections that a leaf resets are no evidence: leafs reset connections beyond their limit.
// An instance that took resets for a partition would exclude one zone after the other, and tell
// its callers to use another instance.
func (t *Table) SuspectZones(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := make(map[string]int)
	for _, r := range t.leafs {
		if r.silentFor(now) > zoneSilenceThreshold || (r.connFailures >= downThreshold && r.connectFailed) {
			silent[r.Zone]++
		}
	}
	var marked []string
	for name, n := range silent {
		z := t.zones[name]
		if z == nil || z.suspected || n < minSilentLeafs || now.Sub(z.lastReply) < zoneSilenceThreshold {
			continue
		}
		z.suspected = true
		z.probedAt = now
		marked = append(marked, name)
	}
	return marked
}

// ZoneProbes returns one leaf of each suspected zone whose probe is due. The leaf gets a health
// check instead of callers' requests: a partitioned zone does not reply, so each request would
// be lost or cost a second request.
func (t *Table) ZoneProbes(now time.Time) []Leaf {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Leaf
	for name, z := range t.zones {
		if !z.suspected || t.evacuated[name] || now.Sub(z.probedAt) < zoneProbeInterval {
			continue
		}
		if leaf, ok := t.pickProbeLeaf(name); ok {
			z.probedAt = now
			out = append(out, leaf)
		}
	}
	return out
}

// pickProbeLeaf returns a random leaf of a zone that is not draining. It prefers leafs that
// have been sent a request and are not down, then leafs that have been sent a request.
//
// The list may contain entries of other writers, for services that get no requests, with an
// address where nothing listens. If such a leaf were probed, its zone would remain suspected.
func (t *Table) pickProbeLeaf(zone string) (Leaf, bool) {
	var up, down, neverRequested []Leaf
	for _, r := range t.leafs {
		switch {
		case r.Zone != zone || r.Draining:
		case !r.everRequested:
			neverRequested = append(neverRequested, r.Leaf)
		case r.connFailures >= downThreshold:
			down = append(down, r.Leaf)
		default:
			up = append(up, r.Leaf)
		}
	}
	for _, leafs := range [][]Leaf{up, down, neverRequested} {
		if len(leafs) > 0 {
			return leafs[rand.IntN(len(leafs))], true
		}
	}
	return Leaf{}, false
}

// RecordZoneReply records that a probe of a zone was answered. It reports whether the zone was
// suspected.
func (t *Table) RecordZoneReply(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	z := t.zones[zone]
	wasSuspected := z != nil && z.suspected
	t.recordZoneReply(zone, now)
	return wasSuspected
}

// HasSuspectedZone reports whether any zone is suspected.
func (t *Table) HasSuspectedZone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, z := range t.zones {
		if z.suspected {
			return true
		}
	}
	return false
}

// CountServable returns how many of the services have a leaf that accepts requests, and how
// many have one outside the suspected zones.
func (t *Table) CountServable(services []string) (servable, reachable int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range services {
		any, hasReachableLeaf := false, false
		for _, r := range t.service(name).leafs {
			if !t.acceptsRequests(r) {
				continue
			}
			any = true
			z := t.zones[r.Zone]
			hasReachableLeaf = hasReachableLeaf || z == nil || !z.suspected
		}
		if any {
			servable++
		}
		if hasReachableLeaf {
			reachable++
		}
	}
	return servable, reachable
}
