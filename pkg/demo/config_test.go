package demo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/standin/configservice"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Guards against entry instances that revert to an older configuration. Configuration v2,
// with snapshot 2, is in force everywhere; the configuration service then serves v1, like a
// lagging replica. The watch once applied any version that differed from the current one,
// including older ones, so that answers came from snapshot 1 again.
func TestConfigNeverRevertsWhilePlatformStale(t *testing.T) {
	s := newSession(t, Lipovec, func(l *Layout) { l.Platform.WatchTimeoutMs = 100 })
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bracket", TimeoutMs: 300}
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	s.note("configuration service turns stale and serves v1")
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeStale, StaleVersion: 1})
	time.Sleep(500 * time.Millisecond)
	s.note("after several stale watch rounds:%s", s.configVersions())
	s.recordSearch("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	for _, name := range s.c.EntryNames() {
		require.Equal(t, int64(2), s.c.Entries[name].Watcher().Version(), "%s reverted to an older configuration", name)
	}
	s.requireGolden("config-never-reverts")
}

// Guards against two different configurations with the same version. Two operators read v1
// and submit different patches over HTTP at the same time. If comparing the base version
// and appending the new version are not atomic, both patches are accepted as v2 and entry
// instances disagree.
func TestOneOfTwoConcurrentPatchesIsAccepted(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	results := make(chan wire.PatchResult, 2)
	for _, snap := range []int64{2, 3} {
		go func() {
			c, _ := service.NewClient(2, time.Second)
			p := topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: snap}}}
			var r wire.PatchResult
			_, _ = c.Do(context.Background(), "POST", "http://"+s.c.Platform.Addr()+wire.PathConfigPatch, nil, p, &r, time.Now().Add(time.Second))
			results <- r
		}()
	}
	codes := map[errcode.Code]int{}
	for i := 0; i < 2; i++ {
		codes[(<-results).Code]++
	}
	s.note("accepted=%d refused_as_conflict=%d", codes[errcode.OK], codes[errcode.PatchConflict])
	require.Equal(t, 1, codes[errcode.OK])
	require.Equal(t, 1, codes[errcode.PatchConflict])
	require.NoError(t, s.c.WaitVersion(2, 5*time.Second))
	seen := map[int64]bool{}
	for _, e := range s.c.Entries {
		ix, _ := mustDeployment(t, e.Watcher().Current(), dep).Index("viewer-api")
		seen[ix.Snapshot] = true
	}
	s.note("distinct snapshots in force across entry instances at v2: %d", len(seen))
	require.Len(t, seen, 1)
	s.requireGolden("racing-patches")
}

func mustDeployment(t *testing.T, cfg *topology.Config, name string) *topology.Deployment {
	d, ok := cfg.Deployment(name)
	require.True(t, ok)
	return d
}

// Guards against entry instances that refuse requests during an outage of the configuration
// service or miss changes after it. The service is down for 1 s while v2 is in force, and a
// patch to v3 follows. An entry instance must neither discard its configuration when a watch
// fails nor give up watching; it must retry with backoff.
func TestPlatformDownServesLastConfig(t *testing.T) {
	s := newSession(t, Lipovec, func(l *Layout) { l.Platform.WatchTimeoutMs = 100 })
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "flange", TimeoutMs: 300}
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeDown})
	s.note("configuration service down")
	time.Sleep(time.Second)
	s.recordSearch("lj-b-entry-1", "cad-viewer", "cad-viewer-key", q)
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal})
	s.note("configuration service back")
	s.applyPatch(topology.Patch{BaseVersion: 2, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 1}}})
	s.recordSearch("lj-b-entry-1", "cad-viewer", "cad-viewer-key", q)
	s.requireGolden("platform-down")
}

// Guards against entry instances that poll the instance list while nothing changes, instead
// of waiting in a watch.
func TestInstanceListIsNotPolledWhenIdle(t *testing.T) {
	s := newSession(t, Lipovec)
	entries := len(s.c.Entries)
	// The reports of the starting instances become visible one by one, after the list's lag.
	settled := func() bool { return s.c.Platform.WaitingInstanceWatches() == entries }
	require.Eventually(t, settled, 20*time.Second, 5*time.Millisecond, "not all entry instances have received the whole instance list")
	before := s.c.Platform.InstanceCalls()
	time.Sleep(2 * time.Second)
	calls := s.c.Platform.InstanceCalls() - before
	require.LessOrEqual(t, calls, uint64(entries), "more than one call per entry instance to the instance list in 2 s without changes")
}
