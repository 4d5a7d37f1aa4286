package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

var slackStart = time.Unix(5000, 0)

// settled is long after the start.
var settled = slackStart.Add(time.Hour)

// slackOf is a deployment's slack of 430 over some zones.
func slackOf(zones ...string) BurstBudget {
	return BurstBudget{Total: 430, Zones: zones, Window: 10 * time.Second}
}

// without is a list of members without one.
func without(all []membership.Member, i int) []membership.Member {
	return append(append([]membership.Member{}, all[:i]...), all[i+1:]...)
}

// sum adds up the shares of members that all know each other.
func sum(all []membership.Member, slack BurstBudget) (total, greatest replica.BurstLimits) {
	for i, self := range all {
		others := without(all, i)
		s := &slackShare{slack: slack, started: slackStart}
		b := s.share(drawRoles(self, others, never), others, self.Zone, settled)
		total.Shard += b.Shard
		total.Single += b.Single
		greatest.Shard = max(greatest.Shard, b.Shard)
	}
	return total, greatest
}

// The shares of all instances stay within the slack at any size, and those that run a
// large zone's queries have enough to ask twice what sheds.
func TestSlackIsDividedAmongThoseThatUseIt(t *testing.T) {
	slack := slackOf("x", "y", "z")
	for name, all := range map[string][]membership.Member{
		"small": append(append(members("x", 40, 40, 40), members("y", 40, 40, 40)...), members("z", 40, 40)...),
		"large": append(append(members("x", many(41)...), members("y", many(37)...)...), members("z", many(35)...)...),
	} {
		t.Run(name, func(t *testing.T) {
			total, greatest := sum(all, slack)
			require.LessOrEqual(t, total.Shard, slack.Total)
			require.LessOrEqual(t, total.Single, slack.Total)
			require.Greater(t, total.Shard, 0.6*slack.Total)
			require.Greater(t, greatest.Shard, 20.0)
		})
	}
}

// many is the room of a zone with three instances that have much more than the others.
func many(n int) []uint32 {
	room := []uint32{80, 80, 80}
	for len(room) < n {
		room = append(room, 19)
	}
	return room
}

// Symptom: together the instances send more second requests than is allowed. Sequence: a
// zone falls apart; each part takes itself for the whole, and its first members for the
// only ones that run queries. Cause it guards against: dividing by what is seen just now.
func TestPartsOfAZoneDoNotTakeItsSlackTwice(t *testing.T) {
	all := members("z", many(40)...)
	slack := slackOf("z")
	total := 0.0
	for i, self := range all {
		s := &slackShare{slack: slack, started: slackStart}
		others := without(all, i)
		s.share(drawRoles(self, others, never), others, "z", settled)
		// Four parts: those whose number has the same remainder see each other.
		part := make([]membership.Member, 0, len(others))
		for _, m := range others {
			if (m.Name[2]-self.Name[2])%4 != 0 {
				m.Status = membership.Dead
			}
			part = append(part, m)
		}
		total += s.share(drawRoles(self, part, never), part, "z", settled.Add(20*time.Second)).Shard
	}
	require.LessOrEqual(t, total, slack.Total)
}

// A zone that has shrunk for good divides its slack among those that are left.
func TestSlackOfMembersThatAreGoneIsUsedAgain(t *testing.T) {
	all := members("z", 40, 40, 40, 40, 40, 40, 40, 40)
	s := &slackShare{slack: slackOf("z"), started: slackStart}
	at := func(others []membership.Member, now time.Time) float64 {
		return s.share(drawRoles(all[0], others, never), others, "z", now).Single
	}
	before := at(all[1:], settled)
	require.InDelta(t, before, at(all[1:3], settled.Add(countKept)), 0.01)
	require.Greater(t, at(all[1:3], settled.Add(countKept+2*time.Second)), 2*before)
}

// An instance that has just started does not send at once what its process before it may
// have sent in the same window.
func TestYoungInstancesSendLittle(t *testing.T) {
	all := members("z", 40, 40)
	s := &slackShare{slack: slackOf("z"), started: slackStart}
	at := func(after time.Duration) float64 {
		return s.share(drawRoles(all[0], all[1:], never), all[1:], "z", slackStart.Add(after)).Shard
	}
	require.InDelta(t, burstFirst, at(0), 0.01)
	require.Less(t, at(2*time.Second), 0.25*at(10*time.Second))
	require.InDelta(t, gatherersPart*430/2, at(10*time.Second), 0.01)
}

// Without a published slack the settings hold.
func TestUnknownSlackIsNotDivided(t *testing.T) {
	s := &slackShare{}
	require.Zero(t, s.share(roles{}, nil, "z", settled))
}
