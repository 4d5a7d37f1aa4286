package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withIncarnation sets the start time and the sequence of a leaf's report.
func withIncarnation(l Leaf, atMs int, sequence int64) Leaf {
	l.StartedAt = at(atMs)
	l.Sequence = sequence
	return l
}

// Guards against a leaf that crashed and restarted getting no requests any more. It keeps its
// ID and restarts its sequence, so that its reports look older than those before the crash, and
// it was draining when it crashed. Sequences must not be compared across incarnations, and
// draining must not be kept for the ID.
func TestRestartedLeafWithLowerSequenceIsUsed(t *testing.T) {
	table := newTestTable()
	old := withIncarnation(newTestLeaf("a", "z1"), 1000, 40)
	old.Draining = true
	require.Equal(t, DrainStarted, table.Upsert(old, at(1000)))
	restarted := withIncarnation(newTestLeaf("a", "z1"), 5000, 1)
	require.Equal(t, Restarted, table.Upsert(restarted, at(5100)))
	require.Equal(t, "a", mustPlace(t, table, at(5100)).Leaf.ID)
	require.Equal(t, Unchanged, table.Upsert(restarted, at(5200)), "reported only once")
}

// Guards against a restarted leaf losing its requests again. The last report of the earlier
// incarnation, which announces draining and has a higher sequence, arrives after the first
// report of the new one. It must be dropped because of its incarnation.
func TestLateReportOfAnEarlierIncarnationIsDropped(t *testing.T) {
	table := newTestTable()
	table.Upsert(withIncarnation(newTestLeaf("a", "z1"), 5000, 1), at(5000))
	late := withIncarnation(newTestLeaf("a", "z1"), 1000, 41)
	late.Draining = true
	require.Equal(t, Unchanged, table.Upsert(late, at(5100)))
	require.Equal(t, "a", mustPlace(t, table, at(5100)).Leaf.ID)
	require.True(t, table.Remove("a", at(5200)))
	require.Equal(t, Unchanged, table.Upsert(late, at(5300)), "a late report does not add a removed leaf again")
	require.Equal(t, Joined, table.Upsert(withIncarnation(newTestLeaf("a", "z1"), 6000, 1), at(6100)), "a later incarnation is added")
}

// Guards against a healthy leaf being chosen last or not at all. The leaf was slow, refused
// requests and was silent, crashed, and restarted under its ID; the calls in flight end
// afterwards. The state of the earlier incarnation must not be applied to the new one.
func TestRestartedLeafGetsFreshRecord(t *testing.T) {
	table := newTestTable(withIncarnation(newTestLeaf("a", "z1"), 1000, 9), withIncarnation(newTestLeaf("b", "z2"), 1000, 9))
	learnTypicalLatency(t, table, "a", "b")
	sendAnswered(table, Placement{Leaf: newTestLeaf("a", "z1")}, at(1000), time.Second)
	inFlight := table.Begin(Placement{Leaf: table.leafs["a"].Leaf}, "c", at(2000))
	crowded := table.Begin(Placement{Leaf: table.leafs["a"].Leaf}, "c", at(2000))
	table.End(crowded, ConnLimitReached, at(2001))
	require.Equal(t, "b", mustPlace(t, table, at(2300)).Leaf.ID)

	require.Equal(t, Restarted, table.Upsert(withIncarnation(newTestLeaf("a", "z1"), 2200, 1), at(2300)))
	require.Equal(t, "a", mustPlace(t, table, at(2300)).Leaf.ID)
	require.Zero(t, table.leafs["a"].silentFor(at(2300)))
	require.Equal(t, HealthUnchanged, table.End(inFlight, TimedOut, at(2400)))
	require.InDelta(t, 1, table.leafs["a"].slownessNow(at(2400)), 0.01,
		"a call to the earlier incarnation does not change the new record")
}

// A leaf whose entry cannot be read is removed at once, even while vanished leafs are kept
// after an outage of the store. A readable report adds it again.
func TestWithdrawnLeafIsRemovedAtOnce(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"), newTestLeaf("b", "z1"))
	table.StoreRecovered(t0)
	require.True(t, table.Withdraw("a", at(10)))
	require.False(t, table.Withdraw("a", at(20)), "reported only once")
	for range 20 {
		require.Equal(t, "b", mustPlace(t, table, at(30)).Leaf.ID)
	}
	back := newTestLeaf("a", "z1")
	back.Sequence = 7
	require.Equal(t, Joined, table.Upsert(back, at(40)))
}

// Guards against a zone that stays suspected after its partition has ended. A stale entry of
// another writer has an address where nothing listens. Probes must not choose it, because its
// service has never been sent a request.
func TestZoneProbeSkipsLeafsNeverRequested(t *testing.T) {
	stray := newTestLeaf("stray", "z2")
	stray.Services = []string{"nobody"}
	table := newTestTable(newTestLeaf("a", "z2"), stray)
	sendAnswered(table, Placement{Leaf: newTestLeaf("a", "z2")}, t0, 20*time.Millisecond)
	for range 50 {
		got, ok := table.pickProbeLeaf("z2")
		require.True(t, ok)
		require.Equal(t, "a", got.ID)
	}
}
