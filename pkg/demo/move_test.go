package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/standin/configservice"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Guards against a hold that runs again on the new primary of a moved shard, because its
// idempotency key stays behind on the old primary or because both primaries accept holds
// for a moment. The primary of s03 moves from detroit-hall-unit-1 to detroit-hall-unit-2
// while cleveland-hall is partitioned from the platform and still has the old configuration.
// Two holds are retried through both zones, and searches must keep full coverage.
func TestMovedShardRunsHoldsOnce(t *testing.T) {
	s := newSession(t, Lakeshore, func(l *Layout) { l.Platform.WatchTimeoutMs = 200 })
	dep := DeploymentName(Lakeshore)
	const before, after = "cleveland-hall-entry-1", "detroit-hall-entry-1"
	q := wire.SearchRequest{Deployment: dep, Index: "shelter-console", Text: "room-0", Limit: 1, TimeoutMs: 300}
	hold := func(via, key string) wire.Answer {
		return s.recordHold(via, "outreach-van", "outreach-van-key", wire.HoldRequest{
			Deployment: dep, Index: "shelter-console", Shard: "s03", Item: "s03-room-0", IdempotencyKey: key, TimeoutMs: 300,
		})
	}
	hold(after, "van12-dusk-1")
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal, PartitionedZones: []string{"cleveland-hall"}})
	s.c.ConnectPeers("cleveland-hall")
	time.Sleep(300 * time.Millisecond)
	s.note("cleveland-hall cut off from the platform and from detroit-hall's entry instances; s03 moves to detroit-hall-unit-2")
	s.applyControl("detroit-hall-unit-1", backend.Control{
		Action: backend.ActHandOff, Index: "shelter-console", Shards: []string{"s03"}, To: s.c.Backends["detroit-hall-unit-2"].Addr(),
	})
	s.note("between the hand-off and the configuration change")
	hold(after, "van7-dusk-1")
	s.requireCoverage(after, "outreach-van", "outreach-van-key", q, 4)
	_, err := s.c.Platform.Submit(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{
		Kind: topology.OpSetLeafs, Deployment: dep, Index: "shelter-console", Shard: "s03",
		Leafs: []string{"detroit-hall-unit-2", "cleveland-hall-unit-1"},
	}}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.c.Entries[after].Watcher().Version() == 2 }, 5*time.Second, 5*time.Millisecond)
	s.note("v2 in force in detroit-hall; cleveland-hall still at v%d", s.c.Entries[before].Watcher().Version())
	hold(before, "van7-dusk-1")
	hold(after, "van7-dusk-1")
	hold(after, "van12-dusk-1")
	hold(before, "van12-dusk-1")
	s.requireCoverage(before, "outreach-van", "outreach-van-key", q, 4)
	s.requireCoverage(after, "outreach-van", "outreach-van-key", q, 4)
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal})
	s.c.ConnectPeers()
	require.NoError(t, s.c.WaitVersion(2, 5*time.Second))
	s.note("cut healed: every entry instance at v2")
	hold(before, "van7-dusk-1")
	s.note("holds executed for two keys: %d", s.holdsExecuted())
	require.Equal(t, uint64(2), s.holdsExecuted(), "a hold ran again on the new primary of the shard")
	s.requireGolden("moved-shard")
}

// requireCoverage sends a search and requires that its answer covers n shards.
func (s *session) requireCoverage(entryName, app, key string, q wire.SearchRequest, n int) {
	a := s.recordSearch(entryName, app, key, q)
	require.Len(s.t, a.Covered, n)
}
