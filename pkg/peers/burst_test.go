package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

var burstStart = time.Unix(5000, 0)

// newBudget returns a budget of 430 for some zones.
func newBudget(zones ...string) BurstBudget {
	return BurstBudget{Total: 430, Zones: zones}
}

// without returns a list of members without the one at index i.
func without(all []membership.Member, i int) []membership.Member {
	return append(append([]membership.Member{}, all[:i]...), all[i+1:]...)
}

// sumShares returns the sum and the maximum of the shares of members that all know each other.
func sumShares(all []membership.Member, budget BurstBudget) (total, greatest replica.BurstLimits) {
	for i, self := range all {
		others := without(all, i)
		s := &burstShare{budget: budget}
		b := s.compute(assignRoles(self, others, neverAvoided), others, self.Zone, burstStart)
		total.Shard += b.Shard
		total.Single += b.Single
		greatest.Shard = max(greatest.Shard, b.Shard)
	}
	return total, greatest
}

// The shares of all instances stay within the budget for any number of instances, and the gatherers
// of a large zone can send enough to ask a second leaf where one sheds load.
func TestBurstSharesStayWithinBudget(t *testing.T) {
	budget := newBudget("x", "y", "z")
	for name, all := range map[string][]membership.Member{
		"small": append(append(newMembers("x", 40, 40, 40), newMembers("y", 40, 40, 40)...), newMembers("z", 40, 40)...),
		"large": append(append(newMembers("x", largeZone(41)...), newMembers("y", largeZone(37)...)...), newMembers("z", largeZone(35)...)...),
	} {
		t.Run(name, func(t *testing.T) {
			total, greatest := sumShares(all, budget)
			require.LessOrEqual(t, total.Shard, budget.Total)
			require.LessOrEqual(t, total.Single, budget.Total)
			require.Greater(t, total.Shard, 0.6*budget.Total)
			require.Greater(t, greatest.Shard, 20.0)
		})
	}
}

// largeZone returns the capacities of n members of which three have much more than the
// others.
func largeZone(n int) []uint32 {
	room := []uint32{80, 80, 80}
	for len(room) < n {
		room = append(room, 19)
	}
	return room
}

// Guards against exceeding the budget when a zone is partitioned: each part considers itself the
// whole zone and its first members the only gatherers. Dividing by the members that are visible now
// would give each part the whole budget.
func TestPartitionedZoneStaysWithinBurstBudget(t *testing.T) {
	all := newMembers("z", largeZone(40)...)
	budget := newBudget("z")
	total := 0.0
	for i, self := range all {
		s := &burstShare{budget: budget}
		others := without(all, i)
		s.compute(assignRoles(self, others, neverAvoided), others, "z", burstStart)
		// There are 4 parts: members whose index has the same remainder see each other.
		part := make([]membership.Member, 0, len(others))
		for _, m := range others {
			if (m.Name[2]-self.Name[2])%4 != 0 {
				m.Status = membership.Dead
			}
			part = append(part, m)
		}
		total += s.compute(assignRoles(self, part, neverAvoided), part, "z", burstStart.Add(20*time.Second)).Shard
	}
	require.LessOrEqual(t, total, budget.Total)
}

// A zone that has shrunk permanently divides its budget among the remaining members.
func TestBurstShareGrowsAfterMembersLeave(t *testing.T) {
	all := newMembers("z", 40, 40, 40, 40, 40, 40, 40, 40)
	s := &burstShare{budget: newBudget("z")}
	at := func(others []membership.Member, now time.Time) float64 {
		return s.compute(assignRoles(all[0], others, neverAvoided), others, "z", now).Single
	}
	before := at(all[1:], burstStart)
	require.InDelta(t, before, at(all[1:3], burstStart.Add(countRetention)), 0.01)
	require.Greater(t, at(all[1:3], burstStart.Add(countRetention+2*time.Second)), 2*before)
}

// Guards against a restarted instance that takes itself for the only one of its zone. It does not hear
// of a member that is about to stop, and used the share of the whole zone beside that member.
func TestRestartedInstanceKeepsTheSizeOfItsZone(t *testing.T) {
	all := newMembers("z", 40, 40)
	before := &burstShare{budget: newBudget("z")}
	share := before.compute(assignRoles(all[0], all[1:], neverAvoided), all[1:], "z", burstStart)
	after := &burstShare{budget: newBudget("z")}
	after.inherit(before.zoneSize(), burstStart)
	alone := after.compute(assignRoles(all[0], nil, neverAvoided), nil, "z", burstStart)
	require.Equal(t, share.Single, alone.Single)
	require.LessOrEqual(t, alone.Shard, share.Shard)
}

// Without a published budget no share is computed.
func TestUnknownBudgetGivesNoShare(t *testing.T) {
	s := &burstShare{}
	require.Zero(t, s.compute(roles{}, nil, "z", burstStart))
}
