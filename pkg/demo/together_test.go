package demo

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/standin/configservice"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// witness collects what callers saw while faults came and went.
type witness struct {
	mu      sync.Mutex
	broken  map[string]int
	searchs int
	// notRun holds the keys whose every answer so far was "not run";
	// granted those that were answered with a result.
	notRun  map[string]bool
	granted map[string]bool
}

func (w *witness) breaks(rule string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken[rule]++
}

// search checks one answer against what must always hold.
func (w *witness) search(a wire.Answer, text string) {
	w.mu.Lock()
	w.searchs++
	w.mu.Unlock()
	if a.Code != errcode.OK {
		if !a.Code.NotRun() {
			w.breaks("a search refused with a code that may have run")
		}
		return
	}
	covered := map[string]bool{}
	for _, s := range a.Covered {
		covered[s] = true
	}
	for _, m := range a.Missing {
		if covered[m.Shard] {
			w.breaks("a shard both covered and missing")
		}
	}
	if len(a.Covered)+len(a.Missing) != 4 || a.Partial != (len(a.Missing) > 0) {
		w.breaks("covered and missing are not the whole index")
	}
	rows := map[string]int{}
	for _, h := range a.Hits {
		rows[h.Shard]++
		if snapshotOf(h.Item) != fmt.Sprint(a.Snapshot) {
			w.breaks("a row of another snapshot")
		}
		if h.Item[len(h.Item)-2:] != fmt.Sprintf("%02d", partIndex(text)) {
			w.breaks("a row of another caller's request")
		}
	}
	for shard := range covered {
		if rows[shard] != 1 {
			w.breaks("a covered shard without its row, or with two")
		}
	}
}

// hold records one answer to a hold.
func (w *witness) hold(key string, a wire.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case a.Code == errcode.OK || a.Code == errcode.Replayed:
		w.granted[key] = true
		delete(w.notRun, key)
	case !a.Code.NotRun():
		w.notRun[key] = false
	default:
		if _, seen := w.notRun[key]; !seen {
			w.notRun[key] = true
		}
	}
}

// TestFaultsTogether proves what must always hold while faults come
// together: a new snapshot with two operators racing, a backend server
// frozen and woken late, replies lost, a stale configuration service, a zone cut off, a
// shard moved, a backend server killed, stragglers, the service down, and a
// backend server draining, under searches and holds through every entry
// instance.
//
// Symptom it guards against: any answer that mixes snapshots or callers,
// misstates its coverage, or any hold that runs twice or after "not run".
// Cause: rules that hold under each fault alone and not under two.
func TestFaultsTogether(t *testing.T) {
	s := newSession(t, Lipovec, func(l *Layout) { l.Platform.WatchTimeoutMs = 200 })
	dep := DeploymentName(Lipovec)
	w := &witness{broken: map[string]int{}, notRun: map[string]bool{}, granted: map[string]bool{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, text := range []string{"bolt", "bracket", "housing", "shaft"} {
		callers.Add(2)
		go func() { defer callers.Done(); s.searchUntil(stop, w, i, text) }()
		go func() { defer callers.Done(); s.holdUntil(stop, w, i) }()
	}
	callers.Add(1)
	go func() { defer callers.Done(); s.watchVersions(stop, w) }()
	patch := func(base int64, op topology.Op) {
		op.Deployment, op.Index = dep, "viewer-api"
		_, err := s.c.Platform.Submit(topology.Patch{BaseVersion: base, Ops: []topology.Op{op}})
		if base == s.c.Platform.Current().Version && err != nil {
			s.note("patch on v%d refused: %s", base, errcode.Of(err))
		}
	}
	step := func(what string, do func()) {
		s.note("%s", what)
		do()
		time.Sleep(300 * time.Millisecond)
	}
	act := func(name string, ctl backend.Control) { require.NoError(t, s.c.Backends[name].Apply(ctl)) }
	step("lj-a's backend servers lose 20 % of their replies", func() {
		act("lj-a-unit-1", backend.Control{Action: backend.ActLoseReplies, Percent: 20})
		act("lj-a-unit-2", backend.Control{Action: backend.ActLoseReplies, Percent: 20})
	})
	step("two operators race for v2, snapshot 2", func() {
		var race sync.WaitGroup
		for range 2 {
			race.Add(1)
			go func() {
				defer race.Done()
				patch(1, topology.Op{Kind: topology.OpSetSnapshot, Snapshot: 2})
			}()
		}
		race.Wait()
	})
	step("lj-a-unit-2 frozen", func() { act("lj-a-unit-2", backend.Control{Action: backend.ActFreeze}) })
	step("the configuration service stale at v1", func() {
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeStale, StaleVersion: 1})
	})
	step("lj-a-unit-2 woken; lj-b cut off from lj-a and from the service", func() {
		act("lj-a-unit-2", backend.Control{Action: backend.ActThaw})
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal, PartitionedZones: []string{"lj-b"}})
		s.c.ConnectPeers("lj-b")
		act("lj-a-unit-1", backend.Control{Action: backend.ActPartition, Zones: []string{"lj-b"}})
		act("lj-a-unit-2", backend.Control{Action: backend.ActPartition, Zones: []string{"lj-b"}})
	})
	step("s01 moves from lj-a-unit-1 to lj-a-unit-2", func() {
		act("lj-a-unit-1", backend.Control{Action: backend.ActHandOff, Index: "viewer-api", Shards: []string{"s01"}, To: s.c.Backends["lj-a-unit-2"].Addr()})
		patch(2, topology.Op{Kind: topology.OpSetLeafs, Shard: "s01", Leafs: []string{"lj-a-unit-2", "lj-b-unit-1"}})
	})
	step("lj-b-unit-1 killed", func() { s.c.Backends["lj-b-unit-1"].Kill() })
	step("the cut heals; lj-a-unit-1 has stragglers", func() {
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal})
		s.c.ConnectPeers()
		act("lj-a-unit-2", backend.Control{Action: backend.ActHeal})
		act("lj-a-unit-1", backend.Control{Action: backend.ActHeal})
		act("lj-a-unit-1", backend.Control{Action: backend.ActSlow, DelayMs: 80, Percent: 20})
	})
	step("the service down; lj-b-unit-2 drains", func() {
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeDown})
		act("lj-b-unit-2", backend.Control{Action: backend.ActDrain})
	})
	step("the service back; snapshot 1 again as v4", func() {
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal})
		patch(3, topology.Op{Kind: topology.OpSetSnapshot, Snapshot: 1})
	})
	require.NoError(t, s.c.WaitVersion(4, 10*time.Second))
	act("lj-a-unit-1", backend.Control{Action: backend.ActHeal})
	close(stop)
	callers.Wait()
	s.settleHolds(w)
	ran := map[string]int{}
	for _, b := range s.c.Backends {
		for _, key := range b.ExecutedHoldKeys() {
			ran[key]++
		}
	}
	for key, n := range ran {
		if n > 1 {
			w.breaks("a hold ran on two backend servers")
		}
		if w.notRun[key] {
			w.breaks("a hold answered only 'not run' did run")
		}
	}
	s.note("every entry instance at v4; rules broken: %v", w.broken)
	require.Empty(t, w.broken)
	require.Equal(t, uint64(len(ran)), s.holdsExecuted(), "a hold ran twice on one backend server")
	require.Positive(t, w.searchs)
	for key := range w.granted {
		require.Equal(t, 1, ran[key], "hold %s was granted and is on no record", key)
	}
	require.Len(t, w.granted, len(ran))
	s.note("holds on record = holds granted; executed once each: true")
	s.golden("faults-together")
}

// watchVersions checks that no entry instance's configuration version ever
// goes back.
func (s *session) watchVersions(stop chan struct{}, w *witness) {
	newest := map[string]int64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		for _, name := range s.c.EntryNames() {
			v := s.c.Entries[name].Watcher().Version()
			if v < newest[name] {
				w.breaks("a configuration reverted")
			}
			newest[name] = v
		}
	}
}

// searchUntil searches through the entry instances in turn.
func (s *session) searchUntil(stop chan struct{}, w *witness, n int, text string) {
	q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: text, TimeoutMs: 120}
	for i := n; s.running(stop); i++ {
		w.search(s.quietSearch(s.c.EntryNames()[i%4], q), text)
		time.Sleep(5 * time.Millisecond)
	}
}

// holdUntil sends holds, each with a new key, each tried twice through two
// entry instances when the first answer is not a result.
func (s *session) holdUntil(stop chan struct{}, w *witness, n int) {
	for i := 0; s.running(stop); i++ {
		key := fmt.Sprintf("order-%d-%d", n, i)
		for try := 0; try < 2; try++ {
			a := s.holdByKey(key, n, i+try)
			w.hold(key, a)
			if a.Code == errcode.OK || a.Code == errcode.Replayed {
				break
			}
		}
		time.Sleep(15 * time.Millisecond)
	}
}

func (s *session) holdByKey(key string, shard, via int) wire.Answer {
	return s.quietHoldAs("bom-panel", "bom-panel-key", s.c.EntryNames()[via%4], wire.HoldRequest{
		Deployment: DeploymentName(Lipovec), Index: "viewer-api", Shard: fmt.Sprintf("s%02d", shard+1),
		Item: fmt.Sprintf("PN-s%02d-100", shard+1), IdempotencyKey: key, TimeoutMs: 120,
	})
}

// settleHolds asks again, with the same key, for every hold whose outcome
// its caller does not know, until it is known.
func (s *session) settleHolds(w *witness) {
	for key, notRun := range w.notRun {
		if notRun {
			continue
		}
		var n, i int
		_, err := fmt.Sscanf(key, "order-%d-%d", &n, &i)
		require.NoError(s.t, err)
		require.Eventually(s.t, func() bool {
			w.hold(key, s.holdByKey(key, n, i))
			return w.granted[key]
		}, 10*time.Second, 20*time.Millisecond, "hold %s never settled", key)
	}
}
