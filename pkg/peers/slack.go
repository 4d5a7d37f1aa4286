package peers

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// BurstBudget is what all instances together may send in second requests to a service, beyond
// the ratio to its requests, in any window.
type BurstBudget struct {
	// Total is as published; zero: not known.
	Total float64
	// Zones are the deployment's availability zones.
	Zones []string
	// Window is the span that Total is for.
	Window time.Duration
}

// How the slack is divided.
const (
	// gatherersPart is the part of a zone's slack for the shards of queries that its
	// gatherers have together, othersPart what the other members have for queries that
	// they run themselves. What is left covers a gatherer that is drawn in the place of
	// another one within a window.
	gatherersPart = 0.7
	othersPart    = 0.2
	// singlePart is the part of a zone's slack for services that are asked alone, which
	// all members have together.
	singlePart = 0.9
	// countKept is how long the largest number of members that was seen holds: a part of
	// a zone that is cut off must not take the others' share.
	countKept = time.Minute
)

// slackShare keeps this instance's share of the slack.
type slackShare struct {
	slack   BurstBudget
	started time.Time
	// drawn and members are the largest numbers of gatherers and members of the zone
	// that were seen of late, and seenAt when.
	drawn, members int
	seenAt         time.Time
}

// share is this instance's part of the slack, zero where none is known.
//
// The published slack is for all instances together. Were each to take two second requests to a
// service, whatever their number, six would use a fifth of it and two hundred nearly all, none of
// them enough to ask the other leaf of a shard whose one leaf sheds. Divided among the few that run
// queries, a window's slack covers an overload of some seconds. The zones have equal parts, so that one that is cut off from the others
// knows its own; within a zone the counts do not fall within a minute, and a part that sees less
// than half of its zone keeps to the small share.
func (s *slackShare) share(r roles, members []membership.Member, zone string, now time.Time) replica.BurstLimits {
	if s.slack.Total <= 0 {
		return replica.BurstLimits{}
	}
	known := 1
	for _, m := range members {
		if m.Zone == zone {
			known++
		}
	}
	if now.Sub(s.seenAt) > countKept {
		s.drawn, s.members = 0, 0
	}
	if r.drawn >= s.drawn && known >= s.members {
		s.drawn, s.members = max(s.drawn, r.drawn), max(s.members, known)
		s.seenAt = now
	}
	ofZone := s.slack.Total / float64(max(len(s.slack.Zones), 1))
	b := replica.BurstLimits{Single: singlePart * ofZone / float64(s.members)}
	gathers := len(r.gatherers) == 0 && 2*(r.near+1) > s.members
	switch {
	case gathers:
		b.Shard = gatherersPart * ofZone / float64(s.drawn)
	case s.members > s.drawn:
		b.Shard = othersPart * ofZone / float64(s.members-s.drawn)
	}
	b.Shard = s.young(b.Shard, now)
	return b
}

// burstFirst is what an instance may send from its start.
const burstFirst = 2

// young bounds the share of an instance that has just started: what its process before it
// has sent counts in the same window.
func (s *slackShare) young(burst float64, now time.Time) float64 {
	age := float64(now.Sub(s.started)) / float64(max(s.slack.Window, 1))
	if burst <= burstFirst || age >= 1 {
		return burst
	}
	return burstFirst + age*(burst-burstFirst)
}
