package peers

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

const (
	// settlePeriod is how long an instance must have known most of its zone, and must have been a
	// gatherer, before it sends requests to cold leafs. By then the members of a zone know each
	// other, and wrongly suspected ones have refuted the suspicion.
	settlePeriod = 2 * time.Second
	// maxStepGap is the time between two updates from which on this instance is assumed to have
	// been paused, so that its view of the others is stale.
	maxStepGap = time.Second
)

// warmupPlanner decides whether this instance sends requests to cold leafs.
type warmupPlanner struct {
	// zones are the zones known to have instances. expectsPeers is false if this instance is the
	// only one.
	zones        []string
	expectsPeers bool
	// lastStep is the time of the last update. majoritySince is since when most of the zone is
	// known, and gathererSince since when this instance is a gatherer; zero if it is not so now.
	lastStep, majoritySince, gathererSince time.Time
}

// update returns the instances that may send requests to cold leafs, given the current members.
//
// The request rate of cold leafs is divided among the selected instances. An instance that knows
// only a few of them would take too large a share. An instance that has just started, was paused,
// or is in the minority part of a partitioned zone therefore sends nothing, nor does one that is
// stopping: the others divide the rate without it.
func (w *warmupPlanner) update(self membership.Member, members []membership.Member, r roles, now time.Time) replica.WarmUpAssignment {
	if now.Sub(w.lastStep) > maxStepGap {
		w.majoritySince, w.gathererSince = time.Time{}, time.Time{}
	}
	w.lastStep = now
	// All members of the zone that have not left count, whatever their status.
	present := countMatching(members, func(m membership.Member) bool { return m.Zone == self.Zone && m.Status != membership.Left })
	trackSince(&w.majoritySince, 2*(r.localPeers+1) > present+1 && (len(members) > 0 || !w.expectsPeers), now)
	trackSince(&w.gathererSince, len(r.gatherers) == 0, now)
	if !w.expectsPeers && len(members) == 0 {
		return replica.WarmUpAssignment{IsolatedInstances: 1}
	}
	if !isSettled(w.majoritySince, now) || self.Status == membership.Left {
		return replica.WarmUpAssignment{}
	}
	out := replica.WarmUpAssignment{Self: self.Name, Zone: self.Zone, PresentZones: map[string]bool{self.Zone: true}}
	// Other instances may consider a member alive that this one considers dead. It keeps its share
	// until it is forgotten; otherwise the instances would divide by different numbers.
	known := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.Status == membership.Left })
	for _, m := range known {
		out.PresentZones[m.Zone] = true
	}
	for _, zone := range w.zones {
		out.PresentZones[zone] = true
	}
	local := slices.DeleteFunc(slices.Clone(known), func(m membership.Member) bool { return m.Zone != self.Zone })
	out.OwnZone = warmupGroup(self, local, isSettled(w.gathererSince, now))
	out.ZonesWithoutInstances = warmupGroup(self, known, isSettled(w.gathererSince, now))
	return out
}

// warmupGroup returns the instances that warm up the same leafs. includeGatherers reports whether
// this instance may be one of the gatherers.
func warmupGroup(self membership.Member, known []membership.Member, includeGatherers bool) replica.WarmUpGroup {
	all := sortByCapacity(self.Zone, append(slices.Clone(known), self))
	out := replica.WarmUpGroup{Single: memberNames(all)}
	if includeGatherers {
		out.Queries = memberNames(selectGatherers(all))
	}
	return out
}

// memberNames returns the names of members.
func memberNames(members []membership.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// trackSince updates at, the time since when a condition holds; zero while it does not.
func trackSince(at *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

// isSettled reports whether a condition that holds since at has held for settlePeriod.
func isSettled(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) >= settlePeriod }
