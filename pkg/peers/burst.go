package peers

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/succession"
)

// BurstBudget is the number of second requests (retries and hedges) that all instances together may
// send to a service in any window, beyond the permitted ratio to its requests.
type BurstBudget struct {
	// Total is the published number; 0 if unknown.
	Total float64
	// Zones are the availability zones of the deployment.
	Zones []string
}

// Division of the burst budget.
const (
	// gatherersShare is the fraction of a zone's budget for shards of queries that its gatherers
	// have together, and othersShare that of the other members, for queries that they run
	// themselves. The rest covers a gatherer that replaces another one within a window.
	gatherersShare = 0.7
	othersShare    = 0.2
	// singleShare is the fraction of a zone's budget for services without shards that all members
	// have together.
	singleShare = 0.9
	// countRetention is how long the largest observed member counts are kept: a partitioned part
	// of a zone must not use the share of the others.
	countRetention = time.Minute
)

// burstShare computes this instance's share of the burst budget.
type burstShare struct {
	budget BurstBudget
	// maxGatherers and maxMembers are the largest recently observed numbers of gatherers and of
	// members of the zone, and maxSeenAt when they were observed.
	maxGatherers, maxMembers int
	maxSeenAt                time.Time
}

// zoneSize returns the largest recently observed numbers of members and gatherers.
func (s *burstShare) zoneSize() succession.ZoneSize {
	return succession.ZoneSize{Members: s.maxMembers, Gatherers: s.maxGatherers}
}

// inherit adopts what the previous process of this instance knew of its zone. This process may not
// hear of a member that is about to stop, which still uses its share.
func (s *burstShare) inherit(zone succession.ZoneSize, now time.Time) {
	s.maxMembers, s.maxGatherers = max(s.maxMembers, zone.Members), max(s.maxGatherers, zone.Gatherers)
	s.maxSeenAt = now
}

// compute returns this instance's share of the budget, or zero if the budget is unknown.
//
// The published budget is for all instances together. If each instance could send two of these
// requests to a service regardless of the number of instances, six instances would use a fifth of
// the budget and two hundred nearly all of it, and none could send enough to ask the other leaf of
// a shard when one leaf sheds load. Divided among the few gatherers, the budget of a window covers
// an overload of some seconds. The zones have equal shares, so that a zone that is cut off from the
// others knows its own. Within a zone the counts do not fall for a minute, and a part that sees
// at most half of its zone uses only othersShare.
func (s *burstShare) compute(r roles, members []membership.Member, zone string, now time.Time) replica.BurstLimits {
	if s.budget.Total <= 0 {
		return replica.BurstLimits{}
	}
	known := 1
	for _, m := range members {
		if m.Zone == zone {
			known++
		}
	}
	if now.Sub(s.maxSeenAt) > countRetention {
		s.maxGatherers, s.maxMembers = 0, 0
	}
	if r.gathererCount >= s.maxGatherers && known >= s.maxMembers {
		s.maxGatherers, s.maxMembers = max(s.maxGatherers, r.gathererCount), max(s.maxMembers, known)
		s.maxSeenAt = now
	}
	zoneBudget := s.budget.Total / float64(max(len(s.budget.Zones), 1))
	b := replica.BurstLimits{Single: singleShare * zoneBudget / float64(s.maxMembers)}
	isGatherer := len(r.gatherers) == 0 && 2*(r.localPeers+1) > s.maxMembers
	switch {
	case isGatherer:
		b.Shard = gatherersShare * zoneBudget / float64(s.maxGatherers)
	case s.maxMembers > s.maxGatherers:
		b.Shard = othersShare * zoneBudget / float64(s.maxMembers-s.maxGatherers)
	}
	return b
}
