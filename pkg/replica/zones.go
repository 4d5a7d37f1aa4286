package replica

import (
	"math/rand/v2"
	"time"
)

// How a zone that cannot be reached is noticed.
const (
	// zoneSilentLeafs is how many leafs of a zone must be silent or refuse
	// connections at once: pauses hit one leaf at a time.
	zoneSilentLeafs = 3
	// zoneSilence is how long the whole zone must have answered nothing.
	zoneSilence = 150 * time.Millisecond
	// zoneProbeEvery is how often one health check tries a suspected zone.
	zoneProbeEvery = 300 * time.Millisecond
)

// zoneState is what is known of a zone as a whole.
type zoneState struct {
	lastReply time.Time
	suspected bool
	probedAt  time.Time
}

// zoneReplied records that a leaf of the zone answered.
func (t *Table) zoneReplied(name string, now time.Time) {
	z := t.zones[name]
	if z == nil {
		z = &zoneState{}
		t.zones[name] = z
	}
	z.lastReply = now
	z.suspected = false
}

// SuspectZones is the zone system: run each tick, it marks the zones whose
// leafs all fell silent together and returns those newly marked.
//
// When a zone is cut off, its connections hang without an error. Each of its
// leafs would be found silent one by one, each at the price of a request that
// waits and of a second one; one notices the budgets for second requests used
// up at once. Several leafs silent, or not to be connected to, with no reply from
// their zone mean the zone. A connection that a leaf resets does not: leafs reset
// those beyond their limit, and an instance that takes this for a cut zone leaves
// out all others too and tells its callers to go elsewhere.
func (t *Table) SuspectZones(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := make(map[string]int)
	for _, r := range t.leafs {
		if r.silentFor(now) > zoneSilence || (r.failures >= downAfter && r.unreached) {
			silent[r.Zone]++
		}
	}
	var marked []string
	for name, n := range silent {
		z := t.zones[name]
		if z == nil || z.suspected || n < zoneSilentLeafs || now.Sub(z.lastReply) < zoneSilence {
			continue
		}
		z.suspected = true
		z.probedAt = now
		marked = append(marked, name)
	}
	return marked
}

// ZoneProbes returns one leaf of each suspected zone whose probe is due. It is
// checked instead of sending it callers' requests: a cut zone answers nothing,
// so each such request would be lost or cost a second one.
func (t *Table) ZoneProbes(now time.Time) []Leaf {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Leaf
	for name, z := range t.zones {
		if !z.suspected || t.evacuated[name] || now.Sub(z.probedAt) < zoneProbeEvery {
			continue
		}
		if leaf, ok := t.anyLeaf(name); ok {
			z.probedAt = now
			out = append(out, leaf)
		}
	}
	return out
}

// anyLeaf draws a leaf of a zone that is not leaving: of those that were ever sent
// a request one that is not down, if there is one.
//
// The list may name leafs of services that nobody asks for, written by others, with
// an address where nothing listens. A zone that is probed there stays suspected.
func (t *Table) anyLeaf(zone string) (Leaf, bool) {
	var up, down, unasked []Leaf
	for _, r := range t.leafs {
		switch {
		case r.Zone != zone || r.Draining:
		case !r.asked:
			unasked = append(unasked, r.Leaf)
		case r.failures >= downAfter:
			down = append(down, r.Leaf)
		default:
			up = append(up, r.Leaf)
		}
	}
	for _, leafs := range [][]Leaf{up, down, unasked} {
		if len(leafs) > 0 {
			return leafs[rand.IntN(len(leafs))], true
		}
	}
	return Leaf{}, false
}

// RecordZoneReply takes over that a probe of a zone was answered. It reports
// whether the zone was suspected.
func (t *Table) RecordZoneReply(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	z := t.zones[zone]
	was := z != nil && z.suspected
	t.zoneReplied(zone, now)
	return was
}

// HasSuspectedZone reports whether some zone is suspected.
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

// CountServable is how many of the services have a leaf that may get requests, and reachable how many
// have one outside the suspected zones.
func (t *Table) CountServable(services []string) (servable, reachable int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range services {
		any, here := false, false
		for _, r := range t.service(name).leafs {
			if !t.open(r) {
				continue
			}
			any = true
			z := t.zones[r.Zone]
			here = here || z == nil || !z.suspected
		}
		if any {
			servable++
		}
		if here {
			reachable++
		}
	}
	return servable, reachable
}
