package configwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/standin/configservice"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// startConfigService starts a configuration service that has version 1 with an index of 200 shards.
// Its watches time out after watchTimeoutMs.
func startConfigService(t *testing.T, watchTimeoutMs int) *configservice.Server {
	cfg := topology.Config{Version: 1, Backends: []topology.BackendServer{{Name: "u1", Zone: "z", Addr: "127.0.0.1:1"}}}
	ix := topology.Index{Name: "i", Snapshot: 1}
	for n := 0; n < 200; n++ {
		ix.Shards = append(ix.Shards, topology.Shard{ID: fmt.Sprintf("s%03d", n), Leafs: []string{"u1"}})
	}
	cfg.Deployments = []topology.Deployment{{Name: "d", Indexes: []topology.Index{ix}}}
	s := &settings.Platform{Listen: "127.0.0.1:0", WatchTimeoutMs: watchTimeoutMs, Configuration: cfg}
	require.NoError(t, s.Check())
	server, err := configservice.New(s)
	require.NoError(t, err)
	server.Start()
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	return server
}

// Guards against every node receiving the whole configuration once per watch timeout although
// nothing has changed: about 67 KB/s per node at 5,200 leafs, against a budget of 5 KB/s. This
// happens if a watch that times out without a newer version is answered with the configuration.
func TestTimedOutWatchCarriesNoConfiguration(t *testing.T) {
	server := startConfigService(t, 50)
	c, err := service.NewClient(1, time.Second)
	require.NoError(t, err)
	var reply wire.ConfigReply
	url := "http://" + server.Addr() + wire.PathConfigWatch + "?after=1"
	_, err = c.Do(context.Background(), "GET", url, nil, nil, &reply, time.Now().Add(time.Second))
	require.NoError(t, err)
	require.True(t, reply.Config == nil, "a watch that timed out without a change was answered with the whole configuration")
	require.Equal(t, int64(1), reply.Version)
}

// Guards against taking the empty replies of timed-out watches for failures, and against missing
// a change that follows them.
func TestChangeAfterTimedOutWatchesIsApplied(t *testing.T) {
	server := startConfigService(t, 30)
	w, err := NewWatcher(server.Addr(), "z", metrics.NewSet(), service.Logger("test", "w", "z"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	require.Eventually(t, func() bool { return w.Version() == 1 }, 2*time.Second, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	_, err = server.Submit(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: "d", Index: "i", Snapshot: 2}}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return w.Version() == 2 }, 2*time.Second, 5*time.Millisecond)
	require.Zero(t, w.failed.Get())
	require.Equal(t, uint64(1), w.patched.Get(), "v2 was not reached by applying its patch")
	ix, _ := mustIndex(t, w.Current())
	require.Equal(t, int64(2), ix.Snapshot)
}

// Guards against sending every node the whole configuration for every change: 5.5 KB/s per node at
// 5,200 leafs and 1,400 changes per day (docs/CAPACITY.md). This happens if a watch is answered
// with the whole configuration although the reader has the version that the patch was made against.
func TestWatchAnswersChangeWithPatch(t *testing.T) {
	server := startConfigService(t, 1000)
	_, err := server.Submit(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: "d", Index: "i", Snapshot: 2}}})
	require.NoError(t, err)
	c, err := service.NewClient(1, time.Second)
	require.NoError(t, err)
	var raw json.RawMessage
	_, err = c.Do(context.Background(), "GET", "http://"+server.Addr()+wire.PathConfigWatch+"?after=1", nil, nil, &raw, time.Now().Add(time.Second))
	require.NoError(t, err)
	t.Logf("a change of one operation: %d bytes", len(raw))
	require.Less(t, len(raw), 1024, "a change of one operation took %d bytes", len(raw))
	var reply wire.ConfigReply
	require.NoError(t, json.Unmarshal(raw, &reply))
	require.Equal(t, int64(2), reply.Version)
}

func mustIndex(t *testing.T, cfg *topology.Config) (*topology.Index, bool) {
	d, ok := cfg.Deployment("d")
	require.True(t, ok)
	return d.Index("i")
}

// Guards against an instance having a configuration that the service never had. This happens if the
// service is restored from a backup, issues the same versions again with other content, and the
// instance applies the new patches to a configuration from before the restore.
func TestPatchesOfRestoredServiceAreNotAppliedToConfigFromBeforeRestore(t *testing.T) {
	beforeRestore, restored := startConfigService(t, 50), startConfigService(t, 50)
	submit := func(server *configservice.Server, op topology.Op) {
		_, err := server.Submit(topology.Patch{BaseVersion: server.Current().Version, Ops: []topology.Op{op}})
		require.NoError(t, err)
	}
	submit(beforeRestore, topology.Op{Kind: topology.OpEvacuate, Zone: "z"})
	for snapshot := int64(2); snapshot < 4; snapshot++ {
		submit(restored, topology.Op{Kind: topology.OpSetSnapshot, Deployment: "d", Index: "i", Snapshot: snapshot})
	}
	refreshedFrom := func(initial *topology.Config) *Watcher {
		w, err := NewWatcher(restored.Addr(), "z", metrics.NewSet(), logrus.NewEntry(logrus.New()))
		require.NoError(t, err)
		require.True(t, w.ApplyIfNewer(initial))
		require.NoError(t, w.Refresh(context.Background()))
		require.EqualValues(t, 3, w.Version())
		return w
	}
	require.Empty(t, refreshedFrom(beforeRestore.Current()).Current().EvacuatedZones, "the restored service has evacuated no zone")
	require.EqualValues(t, 1, refreshedFrom(startConfigService(t, 50).Current()).patched.Get(), "patches were not applied to the configuration that they were made against")
}
