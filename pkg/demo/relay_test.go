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

// TestEntryStartsWhilePlatformDown proves that an entry instance replaced
// during a long outage of the configuration service serves all the same.
//
// Symptom: every request to a newly started entry instance is refused with
// IY2003 until the service is back; after enough replacements a zone stops.
// Sequence: snapshot 2 is put in force; the configuration service goes down;
// an entry instance starts in lj-b.
// Cause: nothing lasts on an instance, and the configuration in force was to
// be had from the service alone though every other entry instance has it.
func TestEntryStartsWhilePlatformDown(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	s.patch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeDown})
	s.note("configuration service down; lj-b-entry-3 starts")
	s.addEntry(settings.Entry{Name: "lj-b-entry-3", Zone: "lj-b"})
	served := func() bool { return s.c.Entries["lj-b-entry-3"].Watcher().Version() == 2 }
	require.Eventually(t, served, 5*time.Second, 10*time.Millisecond, "no configuration while the service is down")
	s.search("lj-b-entry-3", "cad-viewer", "cad-viewer-key", wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 300})
	s.golden("start-while-platform-down")
}

// TestConfigReachesZoneCutFromPlatform proves "an accepted configuration is
// in force everywhere within seconds" in a zone that has lost the
// configuration service but not the other zones.
//
// Symptom: lj-b answers from the old snapshot for as long as the cut lasts.
// Sequence: lj-b's entry instances are cut off from the service; snapshot 2
// is accepted; the service then turns stale and serves v1.
// Cause: a change reached an entry instance by its own watch alone.
func TestConfigReachesZoneCutFromPlatform(t *testing.T) {
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
	s.patch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeStale, StaleVersion: 1})
	time.Sleep(time.Second)
	s.note("the service stale at v1 for a second:%s", s.versions())
	require.Equal(t, int64(2), s.c.minVersion())
	s.search("lj-b-entry-1", "cad-viewer", "cad-viewer-key", wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 300})
	s.golden("config-through-peers")
}

// addEntry starts one more entry instance in the session's cluster.
func (s *session) addEntry(set settings.Entry) {
	require.NoError(s.t, s.c.AddEntry(set))
}
