package peers

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

const (
	// settleFor is how long an instance must have known most of its zone, and must have been
	// drawn, before it sends requests to cold leafs: by then the members of a zone know each
	// other, and one that is wrongly suspected has objected.
	settleFor = 2 * time.Second
	// stoodStill is how long after its last look an instance is taken to have stood still: what
	// it knows of the others is old.
	stoodStill = time.Second
)

// warming decides whether this instance sends requests to cold leafs.
type warming struct {
	// zones are those that are known to have instances; expectsPeers: this instance is not the
	// only one.
	zones        []string
	expectsPeers bool
	// steppedAt is the last look; settledAt since when most of the zone is known, and drawnAt
	// since when this instance runs queries; zero: not now.
	steppedAt, settledAt, drawnAt time.Time
}

// step looks at the members anew.
//
// What cold leafs may get is divided among those that are drawn. An instance that sees only a
// few others takes too large a part: one that has just started, was frozen, or is in the smaller
// part of a zone that has fallen apart sends nothing.
func (w *warming) step(self membership.Member, members []membership.Member, r roles, now time.Time) replica.WarmUpAssignment {
	if now.Sub(w.steppedAt) > stoodStill {
		w.settledAt, w.drawnAt = time.Time{}, time.Time{}
	}
	w.steppedAt = now
	// Members of the zone that have not left count, whatever is believed of them.
	present := count(members, func(m membership.Member) bool { return m.Zone == self.Zone && m.Status != membership.Left })
	since(&w.settledAt, 2*(r.near+1) > present+1 && (len(members) > 0 || !w.expectsPeers), now)
	since(&w.drawnAt, len(r.gatherers) == 0, now)
	if !w.expectsPeers && len(members) == 0 {
		return replica.WarmUpAssignment{IsolatedInstances: 1}
	}
	if !lasted(w.settledAt, now) {
		return replica.WarmUpAssignment{}
	}
	out := replica.WarmUpAssignment{Self: self.Name, Zone: self.Zone, PresentZones: map[string]bool{self.Zone: true}}
	// A member that this one believes dead may be alive for the others. It keeps its part until it
	// is forgotten, or each would divide among others.
	known := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.Status == membership.Left })
	for _, m := range known {
		out.PresentZones[m.Zone] = true
	}
	for _, zone := range w.zones {
		out.PresentZones[zone] = true
	}
	near := slices.DeleteFunc(slices.Clone(known), func(m membership.Member) bool { return m.Zone != self.Zone })
	out.OwnZone = group(self, near, lasted(w.drawnAt, now))
	out.ZonesWithoutInstances = group(self, known, lasted(w.drawnAt, now))
	return out
}

// group are the instances that warm the same leafs; drawn: this one may be among those that run
// queries.
func group(self membership.Member, known []membership.Member, drawn bool) replica.WarmUpGroup {
	all := byRoom(self.Zone, append(slices.Clone(known), self))
	out := replica.WarmUpGroup{Single: names(all)}
	if drawn {
		out.Queries = names(gatherers(all))
	}
	return out
}

// names are those of some members.
func names(members []membership.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// since keeps since when a condition holds; zero: it does not.
func since(at *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

// lasted reports whether what has held since a time has held for long enough.
func lasted(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) >= settleFor }
