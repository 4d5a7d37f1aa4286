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

// invariants checks the answers that callers get while faults come and go.
type invariants struct {
	mu sync.Mutex
	// violations counts the violations by invariant.
	violations map[string]int
	searches   int
	// notRun tells, for each idempotency key without a granted hold, whether every answer
	// so far was "not run".
	notRun map[string]bool
	// granted holds the idempotency keys of the holds that were answered with a result.
	granted map[string]bool
}

// addViolation counts a violation of an invariant.
func (inv *invariants) addViolation(rule string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	inv.violations[rule]++
}

// checkSearch checks the invariants of the answer to a search for text.
func (inv *invariants) checkSearch(a wire.Answer, text string) {
	inv.mu.Lock()
	inv.searches++
	inv.mu.Unlock()
	if a.Code != errcode.OK {
		if !a.Code.NotRun() {
			inv.addViolation("a search was refused with a code other than not-run")
		}
		return
	}
	covered := map[string]bool{}
	for _, s := range a.Covered {
		covered[s] = true
	}
	for _, m := range a.Missing {
		if covered[m.Shard] {
			inv.addViolation("a shard is both covered and missing")
		}
	}
	if len(a.Covered)+len(a.Missing) != 4 || a.Partial != (len(a.Missing) > 0) {
		inv.addViolation("the covered and missing shards are not the whole index")
	}
	rows := map[string]int{}
	for _, h := range a.Hits {
		rows[h.Shard]++
		if snapshotOf(h.Item) != fmt.Sprint(a.Snapshot) {
			inv.addViolation("a row comes from another snapshot")
		}
		if h.Item[len(h.Item)-2:] != fmt.Sprintf("%02d", partIndex(text)) {
			inv.addViolation("a row belongs to another caller's request")
		}
	}
	for shard := range covered {
		if rows[shard] != 1 {
			inv.addViolation("a covered shard does not have exactly one row")
		}
	}
}

// addHoldAnswer records one answer to the hold with an idempotency key.
func (inv *invariants) addHoldAnswer(key string, a wire.Answer) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	switch {
	case a.Code == errcode.OK || a.Code == errcode.Replayed:
		inv.granted[key] = true
		delete(inv.notRun, key)
	case !a.Code.NotRun():
		inv.notRun[key] = false
	default:
		if _, seen := inv.notRun[key]; !seen {
			inv.notRun[key] = true
		}
	}
}

// Guards against violations that only a combination of faults causes: an answer that mixes
// snapshots or callers or misstates its coverage, or a hold that runs twice or after a "not
// run" answer. Searches and holds run through every entry instance under lost replies,
// concurrent patches, a paused backend server, a stale and an unavailable configuration
// service, a network partition, a moved shard, a killed backend server, stragglers and a
// draining backend server.
func TestInvariantsHoldUnderCombinedFaults(t *testing.T) {
	s := newSession(t, Lipovec, func(l *Layout) { l.Platform.WatchTimeoutMs = 200 })
	dep := DeploymentName(Lipovec)
	inv := &invariants{violations: map[string]int{}, notRun: map[string]bool{}, granted: map[string]bool{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, text := range []string{"bolt", "bracket", "housing", "shaft"} {
		callers.Add(2)
		go func() { defer callers.Done(); s.searchUntilStopped(stop, inv, i, text) }()
		go func() { defer callers.Done(); s.holdUntilStopped(stop, inv, i) }()
	}
	callers.Add(1)
	go func() { defer callers.Done(); s.checkVersions(stop, inv) }()
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
	setFault := func(name string, ctl backend.Control) { require.NoError(t, s.c.Backends[name].Apply(ctl)) }
	step("lj-a's backend servers lose 20 % of their replies", func() {
		setFault("lj-a-unit-1", backend.Control{Action: backend.ActLoseReplies, Percent: 20})
		setFault("lj-a-unit-2", backend.Control{Action: backend.ActLoseReplies, Percent: 20})
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
	step("lj-a-unit-2 frozen", func() { setFault("lj-a-unit-2", backend.Control{Action: backend.ActFreeze}) })
	step("the configuration service stale at v1", func() {
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeStale, StaleVersion: 1})
	})
	step("lj-a-unit-2 woken; lj-b cut off from lj-a and from the service", func() {
		setFault("lj-a-unit-2", backend.Control{Action: backend.ActThaw})
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal, PartitionedZones: []string{"lj-b"}})
		s.c.ConnectPeers("lj-b")
		setFault("lj-a-unit-1", backend.Control{Action: backend.ActPartition, Zones: []string{"lj-b"}})
		setFault("lj-a-unit-2", backend.Control{Action: backend.ActPartition, Zones: []string{"lj-b"}})
	})
	step("s01 moves from lj-a-unit-1 to lj-a-unit-2", func() {
		setFault("lj-a-unit-1", backend.Control{Action: backend.ActHandOff, Index: "viewer-api", Shards: []string{"s01"}, To: s.c.Backends["lj-a-unit-2"].Addr()})
		patch(2, topology.Op{Kind: topology.OpSetLeafs, Shard: "s01", Leafs: []string{"lj-a-unit-2", "lj-b-unit-1"}})
	})
	step("lj-b-unit-1 killed", func() { s.c.Backends["lj-b-unit-1"].Kill() })
	step("the cut heals; lj-a-unit-1 has stragglers", func() {
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal})
		s.c.ConnectPeers()
		setFault("lj-a-unit-2", backend.Control{Action: backend.ActHeal})
		setFault("lj-a-unit-1", backend.Control{Action: backend.ActHeal})
		setFault("lj-a-unit-1", backend.Control{Action: backend.ActSlow, DelayMs: 80, Percent: 20})
	})
	step("the service down; lj-b-unit-2 drains", func() {
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeDown})
		setFault("lj-b-unit-2", backend.Control{Action: backend.ActDrain})
	})
	step("the service back; snapshot 1 again as v4", func() {
		s.c.Platform.SetMode(configservice.Control{Mode: configservice.ModeNormal})
		patch(3, topology.Op{Kind: topology.OpSetSnapshot, Snapshot: 1})
	})
	require.NoError(t, s.c.WaitVersion(4, 10*time.Second))
	setFault("lj-a-unit-1", backend.Control{Action: backend.ActHeal})
	close(stop)
	callers.Wait()
	s.resolveHolds(inv)
	executed := map[string]int{}
	for _, b := range s.c.Backends {
		for _, key := range b.ExecutedHoldKeys() {
			executed[key]++
		}
	}
	for key, n := range executed {
		if n > 1 {
			inv.addViolation("a hold ran on more than one backend server")
		}
		if inv.notRun[key] {
			inv.addViolation("a hold ran although every answer to it was 'not run'")
		}
	}
	s.note("every entry instance at v4; rules broken: %v", inv.violations)
	require.Empty(t, inv.violations)
	require.Equal(t, uint64(len(executed)), s.holdsExecuted(), "a hold ran twice on one backend server")
	require.Positive(t, inv.searches)
	for key := range inv.granted {
		require.Equal(t, 1, executed[key], "hold %s was granted but is not recorded on exactly one backend server", key)
	}
	require.Len(t, inv.granted, len(executed))
	s.note("holds on record = holds granted; executed once each: true")
	s.requireGolden("faults-together")
}

// checkVersions checks that the configuration version of an entry instance never decreases.
func (s *session) checkVersions(stop chan struct{}, inv *invariants) {
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
				inv.addViolation("a configuration version decreased")
			}
			newest[name] = v
		}
	}
}

// searchUntilStopped sends searches through the entry instances in turn until stop closes.
func (s *session) searchUntilStopped(stop chan struct{}, inv *invariants, n int, text string) {
	q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: text, TimeoutMs: 120}
	for i := n; s.isRunning(stop); i++ {
		inv.checkSearch(s.sendSearch(s.c.EntryNames()[i%4], q), text)
		time.Sleep(5 * time.Millisecond)
	}
}

// holdUntilStopped sends holds with new idempotency keys until stop closes. If the first
// answer to a hold is not a result, it retries once through another entry instance.
func (s *session) holdUntilStopped(stop chan struct{}, inv *invariants, n int) {
	for i := 0; s.isRunning(stop); i++ {
		key := fmt.Sprintf("order-%d-%d", n, i)
		for try := 0; try < 2; try++ {
			a := s.sendHoldWithKey(key, n, i+try)
			inv.addHoldAnswer(key, a)
			if a.Code == errcode.OK || a.Code == errcode.Replayed {
				break
			}
		}
		time.Sleep(15 * time.Millisecond)
	}
}

// sendHoldWithKey sends a hold of an item of the shard with number shard+1, through the
// entry instance with number via modulo 4.
func (s *session) sendHoldWithKey(key string, shard, via int) wire.Answer {
	return s.sendHoldAs("bom-panel", "bom-panel-key", s.c.EntryNames()[via%4], wire.HoldRequest{
		Deployment: DeploymentName(Lipovec), Index: "viewer-api", Shard: fmt.Sprintf("s%02d", shard+1),
		Item: fmt.Sprintf("PN-s%02d-100", shard+1), IdempotencyKey: key, TimeoutMs: 120,
	})
}

// resolveHolds retries every hold whose outcome is unknown to its caller, with the same key,
// until it is granted.
func (s *session) resolveHolds(inv *invariants) {
	for key, notRun := range inv.notRun {
		if notRun {
			continue
		}
		var n, i int
		_, err := fmt.Sscanf(key, "order-%d-%d", &n, &i)
		require.NoError(s.t, err)
		require.Eventually(s.t, func() bool {
			inv.addHoldAnswer(key, s.sendHoldWithKey(key, n, i))
			return inv.granted[key]
		}, 10*time.Second, 20*time.Millisecond, "outcome of hold %s is still unknown", key)
	}
}
