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

// roles are the tasks that the members have for each other, as one instance sees them. All
// instances that know the same members compute the same gatherers, without coordination.
type roles struct {
	// gatherers run this instance's queries, the preferred one first. It is empty if this
	// instance is a gatherer itself.
	gatherers []membership.Member
	// batchers are, for each other zone, the peers that forward batches to the leafs there.
	batchers map[string][]membership.Member
	// ahead and behind are the members of this zone before and after this instance in the order
	// in which members are selected to read the store.
	ahead, behind []membership.Member
	// remoteReaders are members of other zones that read the store, one for each of the next
	// maxRemoteZones zones.
	remoteReaders []membership.Member
	// keepers are the members that keep what this instance has sent for its next process, the
	// preferred one first.
	keepers []membership.Member
	// readerRank is the rank of this instance among all members that read the store, divided by
	// their number: greater than 0 and at most 1. It spreads their reads over time.
	readerRank float64
	// gathererCount is the number of gatherers of this zone, and localPeers the number of other
	// usable members of this zone.
	gathererCount, localPeers int
	// singleRunners is the number of gatherers of all zones together.
	singleRunners int
	// usablePeers is the number of other usable members in all zones.
	usablePeers int
}

const (
	// maxBatchersPerZone is the number of batchers per zone that are kept connected: the one in
	// use, and a standby.
	maxBatchersPerZone = 2
	// gathererCapacityShare is the fraction of a zone's capacity that its gatherers have together.
	// The fewer gatherers there are, the more each learns about the leafs from the queries that it
	// runs. Queries used at most a tenth of a fleet's processors in the observed loads.
	gathererCapacityShare = 0.25
	// minGatherers is the minimum number of gatherers per zone, so that one may fail.
	minGatherers = 2
)

// roleAssigner caches the roles until their inputs change.
type roleAssigner struct {
	inputs   []candidate
	assigned roles
}

// candidate is a member with the properties that determine the roles.
type candidate struct {
	membership.Member
	avoided bool
}

// assign returns the result of assignRoles. Comparing the inputs is far cheaper than assigning the
// roles again.
func (d *roleAssigner) assign(self membership.Member, members []membership.Member, avoided func(membership.Member) bool) roles {
	inputs := make([]candidate, 0, len(members)+1)
	inputs = append(inputs, candidate{Member: self})
	for _, m := range members {
		if m.Usable() {
			inputs = append(inputs, candidate{Member: m, avoided: avoided(m)})
		}
	}
	for i := range inputs {
		inputs[i].Incarnation = 0 // It grows without any change that matters here.
	}
	if !slices.Equal(inputs, d.inputs) {
		d.inputs, d.assigned = inputs, assignRoles(self, members, avoided)
	}
	return d.assigned
}

// assignRoles assigns the roles among the usable members that are not avoided.
func assignRoles(self membership.Member, members []membership.Member, avoided func(membership.Member) bool) roles {
	zones := make(map[string][]membership.Member)
	for _, m := range members {
		if m.Usable() {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	r := roles{batchers: make(map[string][]membership.Member)}
	readers := storeReaders(self, zones)
	r.remoteReaders, r.readerRank = selectRemoteReaders(self, readers, avoided), readerRank(self, readers)
	r.singleRunners = countGatherers(self, zones)
	r.keepers = selectKeepers(self, zones)
	for zone, in := range zones {
		r.usablePeers += len(in)
		if zone == self.Zone {
			continue
		}
		available := slices.DeleteFunc(in, avoided)
		sortByPreference(available, self.Name)
		r.batchers[zone] = available[:min(len(available), maxBatchersPerZone)]
	}
	order := sortByCapacity(self.Zone, append(slices.Clone(zones[self.Zone]), self))
	position := slices.IndexFunc(order, func(m membership.Member) bool { return m.Name == self.Name })
	r.ahead, r.behind = order[:position], order[position+1:]
	selected := slices.Clone(selectGatherers(order))
	r.gathererCount, r.localPeers = len(selected), len(zones[self.Zone])
	if !slices.ContainsFunc(selected, func(m membership.Member) bool { return m.Name == self.Name }) {
		sortByPreference(selected, self.Name)
		r.gatherers = selected
	}
	return r
}

// maxRemoteZones is the number of other zones in which an instance that reads the store subscribes
// to a reader.
const maxRemoteZones = 3

// storeReaders returns the members of each zone that read the store. zones holds the other members;
// self is added to its zone.
func storeReaders(self membership.Member, zones map[string][]membership.Member) map[string][]membership.Member {
	out := make(map[string][]membership.Member, len(zones)+1)
	for zone, in := range zones {
		out[zone] = slices.Clone(in)
	}
	out[self.Zone] = append(out[self.Zone], self)
	for zone, in := range out {
		if len(in) >= feed.MinMembers {
			out[zone] = sortByCapacity(zone, in)[:feed.ReadersPerZone]
		}
	}
	return out
}

// selectRemoteReaders returns one reader of each of the zones that follow this zone by name. The
// choice within a zone differs between instances.
func selectRemoteReaders(self membership.Member, readers map[string][]membership.Member, avoided func(membership.Member) bool) []membership.Member {
	zones := slices.Sorted(maps.Keys(readers))
	start, _ := slices.BinarySearch(zones, self.Zone)
	var out []membership.Member
	for _, zone := range slices.Concat(zones[start:], zones[:start]) {
		if zone == self.Zone || len(out) == maxRemoteZones {
			continue
		}
		in := slices.DeleteFunc(slices.Clone(readers[zone]), avoided)
		sortByPreference(in, self.Name)
		out = append(out, in[:min(len(in), 1)]...)
	}
	return out
}

// selectKeepers returns up to maxKeepers members, those of the own zone first: messages between zones
// are billed.
func selectKeepers(self membership.Member, zones map[string][]membership.Member) []membership.Member {
	own := slices.Clone(zones[self.Zone])
	sortByPreference(own, self.Name)
	var others []membership.Member
	for zone, in := range zones {
		if zone != self.Zone {
			others = append(others, in...)
		}
	}
	sortByPreference(others, self.Name)
	all := append(own, others...)
	return all[:min(len(all), maxKeepers)]
}

// readerRank returns the rank of an instance by name among all readers, divided by their number.
func readerRank(self membership.Member, readers map[string][]membership.Member) float64 {
	before, all := 0, 0
	for _, in := range readers {
		all += len(in)
		before += countMatching(in, func(m membership.Member) bool { return m.Name < self.Name })
	}
	return float64(before+1) / float64(max(all, before+1))
}

// countMatching returns the number of members for which matches is true.
func countMatching(members []membership.Member, matches func(membership.Member) bool) int {
	n := 0
	for _, m := range members {
		if matches(m) {
			n++
		}
	}
	return n
}

// sortByCapacity sorts the members of a zone by decreasing capacity, and members of equal capacity
// by the preference of the zone. All members of the zone compute the same order.
func sortByCapacity(zone string, members []membership.Member) []membership.Member {
	sortByPreference(members, zone)
	slices.SortStableFunc(members, func(a, b membership.Member) int { return cmp.Compare(b.Capacity, a.Capacity) })
	return members
}

// selectGatherers returns the gatherers among the members of a zone in sortByCapacity order.
func selectGatherers(all []membership.Member) []membership.Member {
	total, sum, n := 0.0, 0.0, 0
	for _, m := range all {
		total += float64(m.Capacity)
	}
	for n < len(all) && (n < minGatherers || sum < gathererCapacityShare*total) {
		sum += float64(all[n].Capacity)
		n++
	}
	return all[:n]
}

// sortByPreference sorts members by decreasing preference of chooser with weighted rendezvous
// hashing. Each chooser has its own order; a member with twice the capacity comes first twice as
// often; and if a member leaves, only the choosers that preferred it are affected.
func sortByPreference(members []membership.Member, chooser string) {
	weights := make(map[string]float64, len(members))
	for _, m := range members {
		// The hash is in (0, 1], so that its logarithm is defined.
		hash := (float64(xxhash.Sum64String(chooser+"/"+m.Name)) + 1) / math.Exp2(64)
		weights[m.Name] = -float64(max(m.Capacity, 1)) / math.Log(math.Min(hash, 1-1e-12))
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(weights[b.Name], weights[a.Name]) })
}

// connectTargets returns the members to keep connected: those that work for this instance, and the
// publishers to which it subscribes.
func (r *roles) connectTargets(subscribed map[string]bool) []membership.Member {
	out := slices.Clone(r.gatherers)
	for _, m := range slices.Concat(r.ahead, r.behind, r.remoteReaders) {
		if subscribed[m.Name] {
			out = append(out, m)
		}
	}
	for _, members := range r.batchers {
		out = append(out, members...)
	}
	return out
}
