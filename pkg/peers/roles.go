package peers

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
)

// roles is who works for whom, as one instance sees it. All instances that know the same
// members draw the same gatherers, without a vote.
type roles struct {
	// gatherers run this instance's queries, the preferred one first; none where it is
	// one of them.
	gatherers []membership.Member
	// batchers are, for each other zone, the peers that send requests to leafs there.
	batchers map[string][]membership.Member
	// ahead and behind are the members of the zone that come before and after this instance
	// in the order in which they read the store.
	ahead, behind []membership.Member
	// far are members of other zones that read the store, one of each of the next zones.
	far []membership.Member
	// place is this instance's among all that read the store, greater than 0 and at most 1.
	place float64
	// drawn is how many gatherers the zone has, and near how many other members of it are
	// in use.
	drawn, near int
	// others is how many other members are in use, of all zones.
	others int
}

const (
	// batchersKept is how many batchers of a zone are kept connected: the one in use, and
	// one more for when it fails.
	batchersKept = 2
	// gathererShare is the part of a zone's room that its gatherers have together. The
	// fewer they are, the more each learns of leafs from the queries that it runs.
	// Queries use a tenth of a fleet's processors at most in the loads that were seen.
	gathererShare = 0.25
	// gatherersLeast is how many a zone has at least, so that one may fail.
	gatherersLeast = 2
)

// roleDrawer draws the roles anew when something changes that they depend on.
type roleDrawer struct {
	of    []candidate
	drawn roles
}

// candidate is a member as the roles depend on it.
type candidate struct {
	membership.Member
	avoided bool
}

// draw is drawRoles, which costs far more than to see that nothing has changed.
func (d *roleDrawer) draw(self membership.Member, members []membership.Member, avoided func(membership.Member) bool) roles {
	of := make([]candidate, 0, len(members)+1)
	of = append(of, candidate{Member: self})
	for _, m := range members {
		if m.Usable() {
			of = append(of, candidate{Member: m, avoided: avoided(m)})
		}
	}
	for i := range of {
		of[i].Incarnation = 0 // It rises while nothing else changes.
	}
	if !slices.Equal(of, d.of) {
		d.of, d.drawn = of, drawRoles(self, members, avoided)
	}
	return d.drawn
}

// drawRoles draws the roles among the members in use that are not to be avoided.
func drawRoles(self membership.Member, members []membership.Member, avoided func(membership.Member) bool) roles {
	zones := make(map[string][]membership.Member)
	for _, m := range members {
		if m.Usable() {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	r := roles{batchers: make(map[string][]membership.Member)}
	reading := readers(self, zones)
	r.far, r.place = farReaders(self, reading, avoided), place(self, reading)
	for zone, in := range zones {
		r.others += len(in)
		if zone == self.Zone {
			continue
		}
		fit := slices.DeleteFunc(in, avoided)
		preferred(fit, self.Name)
		r.batchers[zone] = fit[:min(len(fit), batchersKept)]
	}
	order := byRoom(self.Zone, append(slices.Clone(zones[self.Zone]), self))
	at := slices.IndexFunc(order, func(m membership.Member) bool { return m.Name == self.Name })
	r.ahead, r.behind = order[:at], order[at+1:]
	drawn := slices.Clone(gatherers(order))
	r.drawn, r.near = len(drawn), len(zones[self.Zone])
	if !slices.ContainsFunc(drawn, func(m membership.Member) bool { return m.Name == self.Name }) {
		preferred(drawn, self.Name)
		r.gatherers = drawn
	}
	return r
}

// farZones is of how many other zones an instance that reads the store listens to one that does too.
const farZones = 3

// readers draws those members of each zone that read the store. With self the zone of this instance
// is complete.
func readers(self membership.Member, zones map[string][]membership.Member) map[string][]membership.Member {
	out := make(map[string][]membership.Member, len(zones)+1)
	for zone, in := range zones {
		out[zone] = slices.Clone(in)
	}
	out[self.Zone] = append(out[self.Zone], self)
	for zone, in := range out {
		if len(in) >= feed.MinMembers {
			out[zone] = byRoom(zone, in)[:feed.ReadersPerZone]
		}
	}
	return out
}

// farReaders draws one reader of each of the zones that come next by name; of the readers of a zone
// each instance prefers another one.
func farReaders(self membership.Member, readers map[string][]membership.Member, avoided func(membership.Member) bool) []membership.Member {
	zones := slices.Sorted(maps.Keys(readers))
	at, _ := slices.BinarySearch(zones, self.Zone)
	var out []membership.Member
	for _, zone := range slices.Concat(zones[at:], zones[:at]) {
		if zone == self.Zone || len(out) == farZones {
			continue
		}
		in := slices.DeleteFunc(slices.Clone(readers[zone]), avoided)
		preferred(in, self.Name)
		out = append(out, in[:min(len(in), 1)]...)
	}
	return out
}

// place is the place of an instance among all readers by name.
func place(self membership.Member, readers map[string][]membership.Member) float64 {
	before, all := 0, 0
	for _, in := range readers {
		all += len(in)
		before += count(in, func(m membership.Member) bool { return m.Name < self.Name })
	}
	return float64(before+1) / float64(max(all, before+1))
}

// count is how many members a condition holds for.
func count(members []membership.Member, holds func(membership.Member) bool) int {
	n := 0
	for _, m := range members {
		if holds(m) {
			n++
		}
	}
	return n
}

// byRoom is the order of a zone's members: those with most room first, and among equal ones
// those that the zone prefers. All its members have the same.
func byRoom(zone string, members []membership.Member) []membership.Member {
	preferred(members, zone)
	slices.SortStableFunc(members, func(a, b membership.Member) int { return cmp.Compare(b.Capacity, a.Capacity) })
	return members
}

// gatherers draws the gatherers of a zone from the order of its members.
func gatherers(all []membership.Member) []membership.Member {
	total, sum, n := 0.0, 0.0, 0
	for _, m := range all {
		total += float64(m.Capacity)
	}
	for n < len(all) && (n < gatherersLeast || sum < gathererShare*total) {
		sum += float64(all[n].Capacity)
		n++
	}
	return all[:n]
}

// preferred sorts members by how much the one that draws prefers them (weighted
// rendezvous hashing): each draws its own order, a member with twice the room comes first
// twice as often, and one that goes moves only those that preferred it.
func preferred(members []membership.Member, drawer string) {
	weights := make(map[string]float64, len(members))
	for _, m := range members {
		// A hash in (0, 1], of which the logarithm is taken.
		hash := (float64(xxhash.Sum64String(drawer+"/"+m.Name)) + 1) / math.Exp2(64)
		weights[m.Name] = -float64(max(m.Capacity, 1)) / math.Log(math.Min(hash, 1-1e-12))
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(weights[b.Name], weights[a.Name]) })
}

// wanted are the members that are kept connected: those that work for this instance, and
// those that it listens to.
func (r *roles) wanted(listening map[string]bool) []membership.Member {
	out := slices.Clone(r.gatherers)
	for _, m := range slices.Concat(r.ahead, r.behind, r.far) {
		if listening[m.Name] {
			out = append(out, m)
		}
	}
	for _, members := range r.batchers {
		out = append(out, members...)
	}
	return out
}
