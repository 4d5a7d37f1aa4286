package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func testTable(leafs ...Leaf) *Table {
	t := NewTable(Options{
		Zone: "z1", OtherZoneFactor: 1.6, LapseGrace: 2 * time.Second, ConnsPerLeaf: 8, Instances: 1,
		Budget: BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 2},
	})
	for _, l := range leafs {
		t.Upsert(l, t0)
	}
	return t
}

func leaf(id, zone string) Leaf {
	return Leaf{ID: id, Services: []string{"s"}, Addr: id + ":1", Zone: zone, Slots: 2, Sequence: 1}
}

// run sends one request that is answered after took.
func run(t *Table, p Placement, start time.Time, took time.Duration) {
	c := t.Begin(p, "c", start)
	t.End(c, Answered, start.Add(took))
}

// teach lets both leafs answer in 20 ms until their typical time is learned.
func teach(t *testing.T, table *Table, ids ...string) {
	for range 30 {
		for _, id := range ids {
			run(table, Placement{Leaf: table.leafs[id].Leaf}, t0, 20*time.Millisecond)
		}
	}
	require.InDelta(t, 20, table.TypicalLatency("c").Milliseconds(), 1)
}

func place(t *testing.T, table *Table, now time.Time, tried ...string) Placement {
	t.Helper()
	p, v := table.Place("s", "c", tried, now)
	require.Equal(t, Placed, v)
	return p
}

func TestPlaceVerdicts(t *testing.T) {
	draining := leaf("d", "z1")
	draining.Draining = true
	for name, tc := range map[string]struct {
		leafs   []Leaf
		prepare func(*Table)
		tried   []string
		want    Verdict
	}{
		"none listed":          {nil, nil, nil, NoLeaf},
		"only a draining leaf": {[]Leaf{draining}, nil, nil, NoLeaf},
		"all tried":            {[]Leaf{leaf("a", "z1")}, nil, []string{"a"}, NoLeaf},
		"down": {[]Leaf{leaf("a", "z1")}, func(t *Table) {
			for range downAfter {
				t.End(t.Begin(Placement{Leaf: leaf("a", "z1")}, "c", t0), NotSent, t0)
			}
		}, nil, AllDown},
		"busy": {[]Leaf{leaf("a", "z1")}, func(t *Table) {
			for range 2 {
				t.Begin(Placement{Leaf: leaf("a", "z1")}, "c", t0)
			}
		}, nil, AllBusy},
		"well": {[]Leaf{leaf("a", "z1")}, nil, nil, Placed},
	} {
		t.Run(name, func(t *testing.T) {
			table := testTable(tc.leafs...)
			if tc.prepare != nil {
				tc.prepare(table)
			}
			_, v := table.Place("s", "c", tc.tried, t0)
			require.Equal(t, tc.want, v)
		})
	}
}

// One instance's requests at a leaf: its slots, within its part of the published
// connections.
func TestConnLimit(t *testing.T) {
	for _, tc := range []struct{ slots, published, instances, want int }{
		{2, 26, 10, 2}, {2, 0, 10, 2}, {4, 42, 10, 4}, {3, 110, 10, 3}, {2, 12, 10, 2}, {2, 10, 10, 1}, {0, 26, 10, 3}, {16, 0, 10, 8}, {2, 26, 58, 1},
	} {
		table := testTable()
		table.opts.Instances = tc.instances
		table.SetMaxConns(map[string]int{"s": tc.published})
		require.Equal(t, tc.want, table.connLimit(&Leaf{Services: []string{"s"}, Slots: tc.slots}), "%v", tc)
	}
}

// A leaf's last connection goes to the request that begins first, whatever was
// placed before.
func TestBeginHoldsTheConnectionLimit(t *testing.T) {
	table := testTable(leaf("a", "z1"))
	var begun int
	p := place(t, table, t0)
	for range 5 {
		if table.Begin(p, "c", t0) != nil {
			begun++
		}
	}
	require.Equal(t, 2, begun)
}

// A backend server that holds several shards is one leaf: what one shard's
// requests teach is known for all, and a new configuration moves it between
// services.
func TestLeafOfSeveralServices(t *testing.T) {
	table := testTable()
	l := Leaf{ID: "unit", Services: []string{"s", "x"}, Addr: "u:1", Zone: "z1", Slots: 2}
	require.Equal(t, Joined, table.Upsert(l, t0))
	for range 2 {
		table.Begin(Placement{Leaf: l}, "c", t0)
	}
	_, v := table.Place("x", "c", nil, t0)
	require.Equal(t, AllBusy, v)
	l.Services = []string{"x"}
	l.Sequence = 1
	require.Equal(t, Moved, table.Upsert(l, t0))
	_, v = table.Place("s", "c", nil, t0)
	require.Equal(t, NoLeaf, v)
	require.True(t, table.SetDraining("unit", true))
	require.False(t, table.SetDraining("unit", true), "told once")
	_, v = table.Place("x", "c", nil, t0)
	require.Equal(t, NoLeaf, v)
}

// The baseline takes the own zone's leaf however slow it is.
func TestNearestFirst(t *testing.T) {
	table := testTable(leaf("a", "z2"), leaf("b", "z1"))
	table.opts.NearestFirst = true
	run(table, Placement{Leaf: leaf("b", "z1")}, t0, time.Second)
	require.Equal(t, "b", place(t, table, at(1000)).Leaf.ID)
}

func TestOwnZoneComesFirstUntilItIsSlower(t *testing.T) {
	table := testTable(leaf("a", "z1"), leaf("b", "z2"))
	teach(t, table, "a", "b")
	require.Equal(t, "a", place(t, table, at(100)).Leaf.ID)
	run(table, Placement{Leaf: leaf("a", "z1")}, at(100), 60*time.Millisecond)
	run(table, Placement{Leaf: leaf("a", "z1")}, at(100), 60*time.Millisecond)
	require.Equal(t, "b", place(t, table, at(220)).Leaf.ID)
}

// Symptom: every request of a pause waits for it. Sequence: a leaf pauses while
// a request waits on it; the next requests come within the pause. Cause: each
// request learning of the pause for itself. The first one's silence is enough.
func TestPausedLeafIsLearnedOnce(t *testing.T) {
	table := testTable(leaf("a", "z1"), leaf("b", "z2"))
	teach(t, table, "a", "b")
	waiting := table.Begin(Placement{Leaf: leaf("a", "z1")}, "c", at(100))
	require.False(t, table.IsSuspect(waiting, at(130)))
	require.True(t, table.IsSuspect(waiting, at(180)), "after 15 ms and 2.5 times its 20 ms")
	for now := 180; now < 350; now += 10 {
		require.Equal(t, "b", place(t, table, at(now)).Leaf.ID)
	}
	table.End(waiting, Answered, at(350))
	require.False(t, table.leafs["a"].silentFor(at(350)) > 0)
}

// A slow leaf is avoided, and tried again once what was learned has aged.
func TestSlownessIsForgotten(t *testing.T) {
	table := testTable(leaf("a", "z1"), leaf("b", "z1"))
	teach(t, table, "a", "b")
	for range 5 {
		run(table, Placement{Leaf: leaf("a", "z1")}, at(0), 200*time.Millisecond)
	}
	require.Equal(t, "b", place(t, table, at(300)).Leaf.ID)
	found := map[string]bool{}
	for i := range 50 {
		found[place(t, table, at(20000+i)).Leaf.ID] = true
	}
	require.True(t, found["a"])
}

// Symptom: every query asks a slow leaf first and pays for a second request.
// Sequence: a leaf takes a second; another one answers each time after 120 ms, and
// the first call is ended. Cause: a call that was given up taught nothing.
func TestSlownessOfEndedCallsIsLearned(t *testing.T) {
	table := testTable(leaf("a", "z1"), leaf("b", "z2"))
	teach(t, table, "a", "b")
	require.Equal(t, "a", place(t, table, at(100)).Leaf.ID)
	call := table.Begin(Placement{Leaf: leaf("a", "z1")}, "c", at(100))
	table.End(call, Abandoned, at(220))
	require.Equal(t, "b", place(t, table, at(220)).Leaf.ID)
	for range 20 {
		call := table.Begin(Placement{Leaf: leaf("b", "z2")}, "c", at(220))
		table.End(call, Abandoned, at(225))
	}
	require.Equal(t, "b", place(t, table, at(225)).Leaf.ID, "a short wait says nothing")
}

// An instance that is seldom asked remembers a slow leaf from one query to the
// next; one that is often asked forgets within seconds.
func TestSlownessIsBelievedForSomeRequests(t *testing.T) {
	for _, tc := range []struct {
		every time.Duration
		want  time.Duration
	}{{20 * time.Millisecond, slownessLeast}, {200 * time.Millisecond, 3200 * time.Millisecond}, {2 * time.Second, slownessMost}} {
		table := testTable(leaf("a", "z1"))
		for i := range 100 {
			table.CountRequest("s", t0.Add(time.Duration(i)*tc.every))
		}
		require.InDelta(t, tc.want, table.leafs["a"].halfLife(), float64(20*time.Millisecond))
	}
}

// Symptom: a leaf too slow for every deadline is asked first by each query.
// Sequence: it reports again and again that time was up. Cause: the reports were
// taken for bad luck, as after a pause, where they come together.
func TestRepeatedLackOfTimeIsSlowness(t *testing.T) {
	table := testTable(leaf("a", "z1"), leaf("b", "z2"))
	teach(t, table, "a", "b")
	late := func(from int) {
		table.End(table.Begin(Placement{Leaf: leaf("a", "z1")}, "c", at(from)), Failed, at(from+200))
	}
	late(100)
	late(150)
	require.InDelta(t, 1, table.leafs["a"].slownessNow(at(350)), 0.1, "a pause ends many at once")
	late(400)
	require.Equal(t, "b", place(t, table, at(600)).Leaf.ID)
	run(table, Placement{Leaf: leaf("a", "z1")}, at(700), 20*time.Millisecond)
	require.True(t, table.leafs["a"].lateSince.IsZero(), "a reply in time ends it")
}

// A leaf that is down is probed by one request at a time.
func TestDownLeafIsProbedByOneRequest(t *testing.T) {
	table := testTable(leaf("a", "z1"))
	require.Equal(t, HealthUnchanged, table.End(table.Begin(Placement{Leaf: leaf("a", "z1")}, "c", t0), NotSent, t0))
	require.Equal(t, MarkedDown, table.End(table.Begin(Placement{Leaf: leaf("a", "z1")}, "c", t0), NotSent, t0))
	_, v := table.Place("s", "c", nil, at(100))
	require.Equal(t, AllDown, v)
	probe := table.Begin(place(t, table, at(250)), "c", at(250))
	_, v = table.Place("s", "c", nil, at(251))
	require.Equal(t, AllDown, v)
	require.Equal(t, Recovered, table.End(probe, Answered, at(260)))
	require.Equal(t, "a", place(t, table, at(261)).Leaf.ID)
}

// Symptom: the budgets of all shards are used up when a zone is cut off.
// Sequence: all its leafs fall silent at once while those of the other zone
// answer. Cause: each leaf found out at the price of requests.
func TestZoneIsSuspectedAsAWhole(t *testing.T) {
	var leafs []Leaf
	for i := range 5 {
		leafs = append(leafs, leaf(fmt.Sprint("far", i), "z2"), leaf(fmt.Sprint("near", i), "z1"))
	}
	table := testTable(leafs...)
	for _, l := range leafs {
		run(table, Placement{Leaf: l}, t0, 20*time.Millisecond)
	}
	for i := range 3 {
		table.Begin(Placement{Leaf: leaf(fmt.Sprint("far", i), "z2")}, "c", at(100))
	}
	require.Empty(t, table.SuspectZones(at(200)))
	require.Equal(t, []string{"z2"}, table.SuspectZones(at(260)))
	require.Empty(t, table.SuspectZones(at(270)), "told once")
	require.True(t, table.HasSuspectedZone())
	for range 20 {
		require.Equal(t, "z1", place(t, table, at(270)).Leaf.Zone)
	}
	require.Empty(t, table.ZoneProbes(at(300)))
	probes := table.ZoneProbes(at(600))
	require.Len(t, probes, 1)
	require.Equal(t, "z2", probes[0].Zone)
	require.True(t, table.RecordZoneReply("z2", at(610)))
	require.False(t, table.HasSuspectedZone())
}

// Symptom: a zone that is cut off with refused connections is noticed leaf by
// leaf. The same mark as for silence is set when several leafs are down and none
// of their zone replies.
func TestZoneThatRefusesConnectionsIsSuspected(t *testing.T) {
	table := testTable(leaf("a", "z2"), leaf("b", "z2"), leaf("c", "z2"), leaf("d", "z2"))
	run(table, Placement{Leaf: leaf("d", "z2")}, t0, 20*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		for range downAfter {
			table.End(table.Begin(Placement{Leaf: leaf(id, "z2")}, "c", at(100)), NotSent, at(101))
		}
	}
	require.Empty(t, table.SuspectZones(at(110)), "the zone replied a moment ago")
	require.Equal(t, []string{"z2"}, table.SuspectZones(at(300)))
	require.Equal(t, "d", table.ZoneProbes(at(700))[0].ID, "the leaf that is not down itself is probed")
}

// Symptom: an instance suspects zone after zone and says that it is not ready,
// while every leaf is well. Sequence: after a restart the leafs still count the
// connections of the process before, and reset new ones as too many. Cause:
// resets were taken for a zone that cannot be reached.
func TestResetsAreNoLostZone(t *testing.T) {
	table := testTable(leaf("a", "z2"), leaf("b", "z2"), leaf("c", "z2"), leaf("d", "z2"))
	run(table, Placement{Leaf: leaf("d", "z2")}, t0, 20*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		for range downAfter {
			table.End(table.Begin(Placement{Leaf: leaf(id, "z2")}, "c", at(100)), Broken, at(101))
		}
	}
	require.Empty(t, table.SuspectZones(at(400)))
	for _, id := range []string{"a", "b", "c"} {
		table.End(table.Begin(Placement{Leaf: leaf(id, "z2")}, "c", at(400)), NotSent, at(401))
	}
	require.Equal(t, []string{"z2"}, table.SuspectZones(at(402)), "one that cannot be opened, after resets, is")
}

// Symptom: thousands of connections are reset after a restart, and the budget of
// second requests is used up. Sequence: a leaf has room for one request of this
// instance; each further connection is ended. Cause: the instance knew no limit
// but its own part of the published one, of which others hold more than theirs.
func TestRoomAtALeafIsLearned(t *testing.T) {
	table := testTable(leaf("a", "z1"))
	held := table.Begin(place(t, table, t0), "c", t0)
	table.End(table.Begin(place(t, table, t0), "c", t0), ConnLimitReached, at(1))
	_, v := table.Place("s", "c", nil, at(2))
	require.Equal(t, AllBusy, v, "what is in flight is all there is room for")
	table.End(held, Answered, at(20))
	table.Begin(place(t, table, at(21)), "c", at(21))
	_, v = table.Place("s", "c", nil, at(21))
	require.Equal(t, AllBusy, v)
	place(t, table, at(2002))
}

// A leaf that ends the only connection is left alone like one that is down, and
// probed.
func TestLeafWithoutRoomIsLeftAlone(t *testing.T) {
	table := testTable(leaf("a", "z1"))
	for range downAfter {
		table.End(table.Begin(place(t, table, t0), "c", t0), ConnLimitReached, t0)
	}
	_, v := table.Place("s", "c", nil, at(1))
	require.Equal(t, AllDown, v)
	place(t, table, at(300))
}

// One leaf's pause never means its zone.
func TestOneSilentLeafIsNoSilentZone(t *testing.T) {
	table := testTable(leaf("a", "z2"), leaf("b", "z2"), leaf("c", "z2"), leaf("d", "z2"))
	for _, id := range []string{"a", "b", "c", "d"} {
		run(table, Placement{Leaf: leaf(id, "z2")}, t0, 20*time.Millisecond)
		table.Begin(Placement{Leaf: leaf(id, "z2")}, "c", at(100))
	}
	run(table, Placement{Leaf: leaf("d", "z2")}, at(200), 30*time.Millisecond)
	require.Empty(t, table.SuspectZones(at(300)))
}

func TestMembership(t *testing.T) {
	table := testTable()
	l := leaf("a", "z1")
	l.Sequence = 5
	require.Equal(t, Joined, table.Upsert(l, t0))
	require.Equal(t, Unchanged, table.Upsert(l, t0))
	older := l
	older.Sequence, older.Addr = 4, "elsewhere:1"
	require.Equal(t, Unchanged, table.Upsert(older, t0))
	drains := l
	drains.Sequence, drains.Draining = 6, true
	require.Equal(t, DrainStarted, table.Upsert(drains, t0))
	l.Sequence = 7
	table.Upsert(l, t0)
	_, v := table.Place("s", "c", nil, t0)
	require.Equal(t, NoLeaf, v, "draining is final")
	require.True(t, table.Remove("a", t0))
	late := drains
	require.Equal(t, Unchanged, table.Upsert(late, t0), "a delayed report does not bring a drained leaf back")
}

func TestLapsedLeafs(t *testing.T) {
	table := testTable(leaf("a", "z1"), leaf("b", "z1"))
	table.StoreReturned(t0)
	require.False(t, table.Remove("a", at(10)))
	require.False(t, table.Remove("b", at(10)))
	back := leaf("a", "z1")
	back.Sequence = 9
	table.Upsert(back, at(500))
	require.Empty(t, table.Sweep(at(1900)))
	require.Equal(t, []string{"b"}, table.Sweep(at(2100)))
	require.Equal(t, "a", place(t, table, at(2200)).Leaf.ID)
	require.True(t, table.Remove("a", at(2300)), "at once when the store is well")
}

// The bound on second requests holds for the sum over instances that do not
// talk, in every window, however requests are spread over them.
func TestBudgetsAddUp(t *testing.T) {
	const (
		instances = 9
		seconds   = 60
		ratio     = 0.2
		burst     = 2
	)
	rng := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = NewBudget(BudgetOptions{Ratio: ratio, Window: 10 * time.Second, Burst: burst})
	}
	var first, second []time.Duration
	for ms := range seconds * 1000 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		// Load moves between instances and swings.
		if rng.Float64() > 0.1+0.08*float64((ms/7000)%3) {
			continue
		}
		b := budgets[rng.IntN(1+(ms/5000)%instances)]
		b.CountRequest(now)
		first = append(first, now.Sub(t0))
		for b.TryTake(now) {
			second = append(second, now.Sub(t0))
		}
	}
	require.NotEmpty(t, second)
	for from := time.Duration(0); from < (seconds-10)*time.Second; from += 50 * time.Millisecond {
		n, m := within(first, from), within(second, from)
		before := max(n, within(first, from-10*time.Second), within(first, from-5*time.Second))
		require.LessOrEqual(t, float64(m), ratio*float64(before)+instances*burst, "window from %v", from)
	}
}

// within counts the times in a window of 10 s.
func within(times []time.Duration, from time.Duration) int {
	n := 0
	for _, x := range times {
		if x >= from && x < from+10*time.Second {
			n++
		}
	}
	return n
}

// Symptom: second requests come later and later while everything is overloaded.
// Sequence: replies take ten times as long for eight seconds. Cause: a typical
// time that follows the overload.
func TestTypicalTimeOutlastsAnOverload(t *testing.T) {
	c := &class{}
	for range 100 {
		c.learn(20 * time.Millisecond)
	}
	const repliesPerSecond = 140
	for range 8 * repliesPerSecond {
		c.learn(200 * time.Millisecond)
	}
	require.Less(t, c.typical, 50*time.Millisecond)
	for range 16 * repliesPerSecond {
		c.learn(20 * time.Millisecond)
	}
	require.Less(t, c.typical, 25*time.Millisecond)
}

func TestProbesAreAdmittedNowAndThen(t *testing.T) {
	table := testTable()
	require.True(t, table.AdmitProbe("c", at(0)))
	require.False(t, table.AdmitProbe("c", at(399)))
	require.True(t, table.AdmitProbe("other", at(399)))
	require.True(t, table.AdmitProbe("c", at(400)))
}
