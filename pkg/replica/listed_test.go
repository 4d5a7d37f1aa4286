package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// born sets when a leaf's incarnation started.
func born(l Leaf, atMs int, sequence int64) Leaf {
	l.StartedAt = at(atMs)
	l.Sequence = sequence
	return l
}

// Symptom: a leaf that crashed and started again gets no requests for good. Sequence:
// it keeps its ID and counts its reports anew, so that they look older than those of
// before; it was draining when it crashed. Cause: sequences of two incarnations were
// compared, and draining was kept for the ID.
func TestRebornLeafIsANewLeaf(t *testing.T) {
	table := testTable()
	old := born(leaf("a", "z1"), 1000, 40)
	old.Draining = true
	require.Equal(t, DrainStarted, table.Upsert(old, at(1000)))
	reborn := born(leaf("a", "z1"), 5000, 1)
	require.Equal(t, Restarted, table.Upsert(reborn, at(5100)))
	require.Equal(t, "a", place(t, table, at(5100)).Leaf.ID)
	require.Equal(t, Unchanged, table.Upsert(reborn, at(5200)), "told once")
}

// Symptom: a leaf that started again gets no requests once more. Sequence: the last
// report of the earlier incarnation, that it drains, arrives after the first of the
// new one, with a higher sequence. Cause: reports taken by their sequence alone.
func TestLateReportOfAnEarlierIncarnationIsDropped(t *testing.T) {
	table := testTable()
	table.Upsert(born(leaf("a", "z1"), 5000, 1), at(5000))
	late := born(leaf("a", "z1"), 1000, 41)
	late.Draining = true
	require.Equal(t, Unchanged, table.Upsert(late, at(5100)))
	require.Equal(t, "a", place(t, table, at(5100)).Leaf.ID)
	require.True(t, table.Remove("a", at(5200)))
	require.Equal(t, Unchanged, table.Upsert(late, at(5300)), "nor does it bring the leaf back once that has left")
	require.Equal(t, Joined, table.Upsert(born(leaf("a", "z1"), 6000, 1), at(6100)), "a later start does")
}

// Symptom: a leaf that is well is asked last, or not at all. Sequence: it was slow,
// refused and was silent, crashed and started again under its ID; the calls that were
// in flight end afterwards. Cause: what the earlier incarnation showed was believed of
// the new one.
func TestNothingIsKnownOfARebornLeaf(t *testing.T) {
	table := testTable(born(leaf("a", "z1"), 1000, 9), born(leaf("b", "z2"), 1000, 9))
	teach(t, table, "a", "b")
	run(table, Placement{Leaf: leaf("a", "z1")}, at(1000), time.Second)
	inFlight := table.Begin(Placement{Leaf: table.leafs["a"].Leaf}, "c", at(2000))
	crowded := table.Begin(Placement{Leaf: table.leafs["a"].Leaf}, "c", at(2000))
	table.End(crowded, ConnLimitReached, at(2001))
	require.Equal(t, "b", place(t, table, at(2300)).Leaf.ID)

	require.Equal(t, Restarted, table.Upsert(born(leaf("a", "z1"), 2200, 1), at(2300)))
	require.Equal(t, "a", place(t, table, at(2300)).Leaf.ID)
	require.Zero(t, table.leafs["a"].silentFor(at(2300)))
	require.Equal(t, HealthUnchanged, table.End(inFlight, TimedOut, at(2400)))
	require.InDelta(t, 1, table.leafs["a"].slownessNow(at(2400)), 0.01, "a call to the earlier incarnation says nothing of this one")
}

// A leaf whose entry cannot be read is out of use at once, also while leafs that
// vanish are kept because the store was away; a readable report brings it back.
func TestWithdrawnLeafIsOutOfUse(t *testing.T) {
	table := testTable(leaf("a", "z1"), leaf("b", "z1"))
	table.StoreReturned(t0)
	require.True(t, table.Withdraw("a", at(10)))
	require.False(t, table.Withdraw("a", at(20)), "told once")
	for range 20 {
		require.Equal(t, "b", place(t, table, at(30)).Leaf.ID)
	}
	back := leaf("a", "z1")
	back.Sequence = 7
	require.Equal(t, Joined, table.Upsert(back, at(40)))
}

// Symptom: a cut zone stays suspected although it is back. Sequence: an entry that
// another writer left names an address where nothing listens; it is the one that is
// probed. Cause: any leaf of the zone was probed, also of a service that nobody asks for.
func TestOnlyLeafsThatAreAskedAreProbed(t *testing.T) {
	stray := leaf("stray", "z2")
	stray.Services = []string{"nobody"}
	table := testTable(leaf("a", "z2"), stray)
	run(table, Placement{Leaf: leaf("a", "z2")}, t0, 20*time.Millisecond)
	for range 50 {
		got, ok := table.anyLeaf("z2")
		require.True(t, ok)
		require.Equal(t, "a", got.ID)
	}
}
