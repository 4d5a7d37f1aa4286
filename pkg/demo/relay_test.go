package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/standin/configservice"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Guards against an entry instance that refuses every request with IY2003 because it starts
// during an outage of the configuration service; after enough replacements of instances, a
// whole zone fails. Instances store nothing on disk, and the configuration in force was once
// available only from the service, although every other entry instance has it.
func TestEntryStartsWhilePlatformDown(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeDown})
	s.note("configuration service down; lj-b-entry-3 starts")
	s.addEntry(settings.Entry{Name: "lj-b-entry-3", Zone: "lj-b"})
	served := func() bool { return s.c.Entries["lj-b-entry-3"].Watcher().Version() == 2 }
	require.Eventually(t, served, 5*time.Second, 10*time.Millisecond, "no configuration while the service is down")
	s.recordSearch("lj-b-entry-3", "cad-viewer", "cad-viewer-key", wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 300})
	s.requireGolden("start-while-platform-down")
}

// Guards against a zone that serves the old snapshot while it is partitioned from the
// configuration service but not from the other zones. A change once reached an entry
// instance only through its own watch. lj-b is partitioned from the service, snapshot 2 is
// accepted, and the service then becomes stale and serves v1.
func TestConfigReachesZonePartitionedFromPlatform(t *testing.T) {
	s := newSession(t, Lipovec, func(l *Layout) {
		l.Platform.WatchTimeoutMs = 200
		for i := range l.Entries {
			l.Entries[i].RelayIntervalMs = 200
		}
	})
	dep := DeploymentName(Lipovec)
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal, PartitionedZones: []string{"lj-b"}})
	time.Sleep(300 * time.Millisecond)
	s.note("lj-b cut off from the configuration service, not from lj-a")
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeStale, StaleVersion: 1})
	time.Sleep(time.Second)
	s.note("the service stale at v1 for a second:%s", s.configVersions())
	require.Equal(t, int64(2), s.c.minVersion())
	s.recordSearch("lj-b-entry-1", "cad-viewer", "cad-viewer-key", wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 300})
	s.requireGolden("config-through-peers")
}

// addEntry starts one more entry instance in the session's cluster.
func (s *session) addEntry(entrySettings settings.Entry) {
	require.NoError(s.t, s.c.AddEntry(entrySettings))
}
