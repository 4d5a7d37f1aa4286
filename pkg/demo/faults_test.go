package demo

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/caller"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/standin/configservice"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Guards against an entry instance that keeps sending requests to a draining backend server
// because it relies only on the instance list, which shows the server as live for another
// 1.5 s. The replica in lj-b is slow, so that lj-b's entry instances hedge to the draining
// server too. Each entry instance must notice from the replies to its first search. The
// bound is one search per entry instance instead of one leaf request, because a search asks
// the server for both of its shards at the same time.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 2000}
	leaving := s.c.Backends["lj-a-unit-1"]
	s.applyControl("lj-a-unit-1", backend.Control{Action: backend.ActDrain})
	s.applyControl("lj-b-unit-1", backend.Control{Action: backend.ActSlow, DelayMs: 150})
	before := leaving.Received()
	for i := 0; i < 5; i++ {
		for _, name := range s.c.EntryNames() {
			s.sendSearch(name, q)
		}
	}
	receivedInFirstRound := leaving.Received() - before
	searches := map[string]int{}
	for _, id := range leaving.RefusedWhileDraining() {
		searches[id[:strings.LastIndex(id, "-")]]++
	}
	for _, name := range s.c.EntryNames() {
		s.note("%s: searches of its first 5 that reached the leaving server: %d", name, searches[name])
		require.LessOrEqual(t, searches[name], 1, "%s kept sending requests to a leaving backend server", name)
	}
	shardsHeld := uint64(2)
	require.LessOrEqual(t, receivedInFirstRound, shardsHeld*uint64(len(s.c.EntryNames())))
	s.applyControl("lj-b-unit-1", backend.Control{Action: backend.ActHeal})
	time.Sleep(3 * time.Second)
	receivedBefore := leaving.Received()
	for _, name := range s.c.EntryNames() {
		s.sendSearch(name, q)
	}
	s.recordSearch("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	s.note("leaf requests reaching it 3 s later: %d; executed since the drain: %d", leaving.Received()-receivedBefore, leaving.Executed())
	require.Equal(t, receivedBefore, leaving.Received())
	s.requireGolden("leaving-backend")
}

// Guards against shards reported as missing although another replica has them. lj-a-unit-1
// is killed, which drops its connections and closes its port, and lj-a's entry instances
// try it first. The fan-out once retried on another leaf only after a not-run reply, and a
// refused connection is a transport error instead of a reply. The answer must also report
// the shards as missing once no replica is left.
func TestKilledBackendIsCoveredByOtherZone(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "shaft", TimeoutMs: 300}
	s.c.Backends["lj-a-unit-1"].Kill()
	s.note("lj-a-unit-1 killed")
	s.recordSearch("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	a := s.recordSearch("lj-a-entry-2", "cad-viewer", "cad-viewer-key", q)
	require.Len(t, a.Covered, 4, "a shard is missing although another replica holds it")
	s.c.Backends["lj-b-unit-1"].Kill()
	s.note("lj-b-unit-1 killed too: s01 and s03 have no replica left")
	// The next request for a shard fails either on a pooled connection (IY3005) or because
	// a new connection is refused (IY3002), depending on how many connections the earlier
	// searches left in the pool. This search uses them up, so that both shards then fail
	// with a refused connection.
	s.sendSearch("lj-a-entry-1", q)
	a = s.recordSearch("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	require.Equal(t, []string{"s02", "s04"}, a.Covered)
	s.requireGolden("killed-backend")
}

// Guards against an entry instance that closes its listener and connections during a
// planned stop while requests are in flight, so that callers get connection resets or empty
// answers. 16 searches are in flight on slow shards (120 ms) when the stop begins, and more
// arrive during the stop.
func TestEntryStopDropsNoRequestInFlight(t *testing.T) {
	// There are enough slots that requests to the slow shards are not queued. Another test
	// covers load shedding.
	s := newSession(t, Lipovec, func(l *Layout) {
		for i := range l.Backends {
			l.Backends[i].Slots = 64
		}
	})
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bracket", TimeoutMs: 1000}
	s.applyControl("lj-a-unit-2", backend.Control{Action: backend.ActSlow, DelayMs: 120})
	s.applyControl("lj-b-unit-2", backend.Control{Action: backend.ActSlow, DelayMs: 120})
	e := s.c.Entries["lj-a-entry-1"]
	cl, err := caller.New("cad-viewer", "cad-viewer-key")
	require.NoError(t, err)
	answers := make(chan wire.Answer, 32)
	failures := make(chan error, 32)
	send := func() {
		a, err := cl.Search(context.Background(), e.Addr(), q)
		if err != nil {
			failures <- err
			return
		}
		answers <- a
	}
	for i := 0; i < 16; i++ {
		go send()
	}
	time.Sleep(30 * time.Millisecond)
	stopped := make(chan struct{})
	go func() { _ = e.Stop(context.Background()); close(stopped) }()
	for i := 0; i < 8; i++ {
		time.Sleep(20 * time.Millisecond)
		go send()
	}
	<-stopped
	counts := map[string]int{}
	for i := 0; i < 24; i++ {
		select {
		case a := <-answers:
			counts[fmt.Sprintf("%s covered=%d", a.Code, len(a.Covered))]++
		case err := <-failures:
			t.Fatalf("request failed during the stop: %v", err)
		}
	}
	s.note("answers during the stop: %v", counts)
	require.Equal(t, 24, counts["IY0000 covered=4"])
	s.requireGolden("entry-graceful-stop")
}

// snapshotOf returns the snapshot that a part number came from. For example, PN-s01-205 is
// row 05 of snapshot 2.
func snapshotOf(item string) string {
	parts := strings.Split(item, "-")
	return parts[len(parts)-1][:1]
}

// Guards against an answer that mixes rows of snapshots 1 and 2, because the entry instance
// does not check that the rows of a leaf come from the pinned snapshot. lj-a-unit-1 answers
// from its newest snapshot instead of the pinned one, like a replica that resumes after a
// long pause, while searches run and a patch puts snapshot 2 in force.
func TestOneSnapshotPerAnswer(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "PN", TimeoutMs: 300}
	s.applyControl("lj-a-unit-1", backend.Control{Action: backend.ActServeNewest})
	mixed := 0
	check := func(a wire.Answer) {
		for _, h := range a.Hits {
			if snapshotOf(h.Item) != fmt.Sprint(a.Snapshot) {
				mixed++
			}
		}
	}
	for i := 0; i < 20; i++ {
		check(s.sendSearch(s.c.EntryNames()[i%4], q))
	}
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	for i := 0; i < 20; i++ {
		check(s.sendSearch(s.c.EntryNames()[i%4], q))
	}
	s.note("rows from another snapshot than the answer's, over 40 answers: %d", mixed)
	require.Zero(t, mixed)
	q.Limit = 1
	s.recordSearch("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	s.requireGolden("one-snapshot")
}

// Guards against rows of another caller's request in an answer, such as brackets in a search
// for "bolt". lj-a-unit-2 answers each leaf request with the reply to the previous one,
// while several callers search for different texts through the same entry instance. The
// entry instance must match replies to requests by the request ID and shard that they echo
// instead of by connection.
func TestEachCallerGetsOwnAnswer(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	s.applyControl("lj-a-unit-2", backend.Control{Action: backend.ActCrossReplies})
	foreignRows := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, text := range []string{"bolt", "bracket", "housing", "shaft"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: text, TimeoutMs: 300}
			for i := 0; i < 10; i++ {
				a := s.sendSearch("lj-a-entry-1", q)
				for _, h := range a.Hits {
					if !strings.HasSuffix(h.Item, fmt.Sprintf("%02d", partIndex(text))) {
						mu.Lock()
						foreignRows++
						mu.Unlock()
					}
				}
			}
		}()
	}
	wg.Wait()
	s.note("rows of another caller's request, over 40 answers: %d", foreignRows)
	require.Zero(t, foreignRows)
	s.requireGolden("own-answer")
}

// partIndex returns the row that contains word in every shard of a parts dataset.
func partIndex(word string) int {
	for i, w := range []string{"bracket", "bolt", "flange", "housing", "shaft"} {
		if w == word {
			return i
		}
	}
	return -1
}

// Guards against a zone that, in a network partition, stops answering, does not report the
// shards that it cannot reach, or reverts to an old configuration afterwards. Shard s01 is
// hosted in lj-a only. lj-b is partitioned from lj-a and from the platform while searches
// and a hold go through its entry instances and a patch puts snapshot 2 in force elsewhere.
func TestPartitionedZoneServesReachableShards(t *testing.T) {
	s := newSession(t, Lipovec, func(l *Layout) { l.Platform.WatchTimeoutMs = 200 })
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 150}
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetLeafs, Deployment: dep, Index: "viewer-api", Shard: "s01", Leafs: []string{"lj-a-unit-1"}}}})
	partitionedZones := []string{"lj-b"}
	for _, name := range []string{"lj-a-unit-1", "lj-a-unit-2"} {
		s.applyControl(name, backend.Control{Action: backend.ActPartition, Zones: partitionedZones})
	}
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal, PartitionedZones: partitionedZones})
	s.c.ConnectPeers(partitionedZones...)
	s.note("lj-b cut off from lj-a and from the platform")
	a := s.recordSearch("lj-b-entry-1", "cad-viewer", "cad-viewer-key", q)
	require.Equal(t, []string{"s02", "s03", "s04"}, a.Covered)
	h := wire.HoldRequest{Deployment: dep, Index: "viewer-api", Shard: "s01", Item: "PN-s01-101", IdempotencyKey: "order-cut-1", TimeoutMs: 150}
	s.recordHold("lj-b-entry-2", "bom-panel", "bom-panel-key", h)
	next, err := s.c.Platform.Submit(topology.Patch{BaseVersion: 2, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	require.NoError(t, err)
	time.Sleep(300 * time.Millisecond)
	s.note("v%d accepted during the cut:%s", next.Version, s.configVersions())
	s.recordSearch("lj-b-entry-1", "cad-viewer", "cad-viewer-key", q)
	for _, name := range []string{"lj-a-unit-1", "lj-a-unit-2"} {
		s.applyControl(name, backend.Control{Action: backend.ActHeal})
	}
	s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal})
	s.c.ConnectPeers()
	require.NoError(t, s.c.WaitVersion(next.Version, 5*time.Second))
	s.note("cut healed: every entry instance at v%d", next.Version)
	s.recordHold("lj-b-entry-2", "bom-panel", "bom-panel-key", h)
	require.Equal(t, uint64(1), s.holdsExecuted())
	s.note("lj-b-entry-1 marked lj-a-unit-1 down during the cut; the first search after the heal probes it")
	a = s.recordSearch("lj-b-entry-1", "cad-viewer", "cad-viewer-key", q)
	require.Len(t, a.Covered, 4)
	s.requireGolden("zone-cut")
}
