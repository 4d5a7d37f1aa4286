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

func standIn(t *testing.T, watchMs int) *configservice.Server {
	cfg := topology.Config{Version: 1, Backends: []topology.BackendServer{{Name: "u1", Zone: "z", Addr: "127.0.0.1:1"}}}
	ix := topology.Index{Name: "i", Snapshot: 1}
	for n := 0; n < 200; n++ {
		ix.Shards = append(ix.Shards, topology.Shard{ID: fmt.Sprintf("s%03d", n), Leafs: []string{"u1"}})
	}
	cfg.Deployments = []topology.Deployment{{Name: "d", Indexes: []topology.Index{ix}}}
	s := &settings.Platform{Listen: "127.0.0.1:0", WatchTimeoutMs: watchMs, Configuration: cfg}
	require.NoError(t, s.Check())
	p, err := configservice.New(s)
	require.NoError(t, err)
	p.Start()
	t.Cleanup(func() { _ = p.Stop(context.Background()) })
	return p
}

// TestIdleWatchCarriesNoConfiguration bounds the control traffic of a
// quiet fleet.
//
// Symptom: each node reads the whole configuration every watch timeout
// although nothing changed (about 67 KB/s a node at 5,200 leafs, against a
// budget of 5 KB/s).
// Sequence: an entry instance at v1 watches; no patch comes; the watch
// times out.
// Cause: the timed-out watch answered with the full configuration.
func TestIdleWatchCarriesNoConfiguration(t *testing.T) {
	p := standIn(t, 50)
	c, err := service.NewClient(1, time.Second)
	require.NoError(t, err)
	var reply wire.ConfigReply
	url := "http://" + p.Addr() + wire.PathConfigWatch + "?after=1"
	_, err = c.Do(context.Background(), "GET", url, nil, nil, &reply, time.Now().Add(time.Second))
	require.NoError(t, err)
	require.True(t, reply.Config == nil, "an idle watch sent the whole configuration")
	require.Equal(t, int64(1), reply.Version)
}

// TestWatcherFollowsAfterIdleRounds checks that empty watch replies are not
// taken for failures and that a change after them is put in force.
func TestWatcherFollowsAfterIdleRounds(t *testing.T) {
	p := standIn(t, 30)
	w, err := NewWatcher(p.Addr(), "z", metrics.NewSet(), service.Logger("test", "w", "z"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	require.Eventually(t, func() bool { return w.Version() == 1 }, 2*time.Second, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	_, err = p.Submit(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: "d", Index: "i", Snapshot: 2}}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return w.Version() == 2 }, 2*time.Second, 5*time.Millisecond)
	require.Zero(t, w.failed.Get())
	require.Equal(t, uint64(1), w.patchedCount.Get(), "v2 was not reached by its patch")
	ix, _ := mustIndex(t, w.Current())
	require.Equal(t, int64(2), ix.Snapshot)
}

// TestChangeReachesWatcherAsPatch bounds the bytes a configuration change
// costs each node.
//
// Symptom: every change sends every node the whole configuration (5.5 KB/s
// a node at 5,200 leafs and 1,400 changes a day, docs/CAPACITY.md).
// Sequence: a reader at v1 watches; one patch makes v2.
// Cause: the watch answered a change with the whole configuration although
// the reader had the version the patch was made against.
func TestChangeReachesWatcherAsPatch(t *testing.T) {
	p := standIn(t, 1000)
	_, err := p.Submit(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: "d", Index: "i", Snapshot: 2}}})
	require.NoError(t, err)
	c, err := service.NewClient(1, time.Second)
	require.NoError(t, err)
	var raw json.RawMessage
	_, err = c.Do(context.Background(), "GET", "http://"+p.Addr()+wire.PathConfigWatch+"?after=1", nil, nil, &raw, time.Now().Add(time.Second))
	require.NoError(t, err)
	t.Logf("a one-op change: %d bytes", len(raw))
	require.Less(t, len(raw), 1024, "a one-op change cost %d bytes", len(raw))
	var reply wire.ConfigReply
	require.NoError(t, json.Unmarshal(raw, &reply))
	require.Equal(t, int64(2), reply.Version)
}

func mustIndex(t *testing.T, cfg *topology.Config) (*topology.Index, bool) {
	d, ok := cfg.Deployment("d")
	require.True(t, ok)
	return d.Index("i")
}

// Guards against: an instance whose configuration is one that no service ever had, since patches of a
// service that was restored from a backup are applied to what the instance had from before.
func TestPatchesOfARestoredServiceAreNotMixedWithWhatWasBefore(t *testing.T) {
	before, restored := standIn(t, 50), standIn(t, 50)
	submit := func(p *configservice.Server, op topology.Op) {
		_, err := p.Submit(topology.Patch{BaseVersion: p.Current().Version, Ops: []topology.Op{op}})
		require.NoError(t, err)
	}
	submit(before, topology.Op{Kind: topology.OpEvacuate, Zone: "z"})
	for snapshot := int64(2); snapshot < 4; snapshot++ {
		submit(restored, topology.Op{Kind: topology.OpSetSnapshot, Deployment: "d", Index: "i", Snapshot: snapshot})
	}
	refreshed := func(from *topology.Config) *Watcher {
		w, err := NewWatcher(restored.Addr(), "z", metrics.NewSet(), logrus.NewEntry(logrus.New()))
		require.NoError(t, err)
		require.True(t, w.ApplyIfNewer(from))
		require.NoError(t, w.Refresh(context.Background()))
		require.EqualValues(t, 3, w.Version())
		return w
	}
	require.Empty(t, refreshed(before.Current()).Current().EvacuatedZones, "the restored service has no such order")
	require.EqualValues(t, 1, refreshed(standIn(t, 50).Current()).patchedCount.Get(), "patches are applied where they fit")
}
