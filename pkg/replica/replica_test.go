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

func newTestTable(leafs ...Leaf) *Table {
	t := NewTable(Options{
		Zone: "z1", OtherZoneFactor: 1.6, LapseGrace: 2 * time.Second, ConnsPerLeaf: 8, Instances: 1,
		Budget: BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 2},
	})
	for _, l := range leafs {
		t.Upsert(l, t0)
	}
	return t
}

func newTestLeaf(id, zone string) Leaf {
	return Leaf{ID: id, Services: []string{"s"}, Addr: id + ":1", Zone: zone, Slots: 2, Sequence: 1}
}

// sendAnswered sends one request that is answered after took.
func sendAnswered(t *Table, p Placement, start time.Time, took time.Duration) {
	c := t.Begin(p, "c", start)
	t.End(c, Answered, start.Add(took))
}

// learnTypicalLatency lets each of the leafs answer in 20 ms until the typical latency is
// learned.
func learnTypicalLatency(t *testing.T, table *Table, ids ...string) {
	for range 30 {
		for _, id := range ids {
			sendAnswered(table, Placement{Leaf: table.leafs[id].Leaf}, t0, 20*time.Millisecond)
		}
	}
	require.InDelta(t, 20, table.TypicalLatency("c").Milliseconds(), 1)
}

func mustPlace(t *testing.T, table *Table, now time.Time, tried ...string) Placement {
	t.Helper()
	p, v := table.Place("s", "c", tried, now)
	require.Equal(t, Placed, v)
	return p
}

func TestPlaceResults(t *testing.T) {
	draining := newTestLeaf("d", "z1")
	draining.Draining = true
	for name, tc := range map[string]struct {
		leafs   []Leaf
		prepare func(*Table)
		tried   []string
		want    PlaceResult
	}{
		"none listed":          {nil, nil, nil, NoLeaf},
		"only a draining leaf": {[]Leaf{draining}, nil, nil, NoLeaf},
		"all tried":            {[]Leaf{newTestLeaf("a", "z1")}, nil, []string{"a"}, NoLeaf},
		"down": {[]Leaf{newTestLeaf("a", "z1")}, func(t *Table) {
			for range downThreshold {
				t.End(t.Begin(Placement{Leaf: newTestLeaf("a", "z1")}, "c", t0), NotSent, t0)
			}
		}, nil, AllDown},
		"busy": {[]Leaf{newTestLeaf("a", "z1")}, func(t *Table) {
			for range 2 {
				t.Begin(Placement{Leaf: newTestLeaf("a", "z1")}, "c", t0)
			}
		}, nil, AllBusy},
		"healthy": {[]Leaf{newTestLeaf("a", "z1")}, nil, nil, Placed},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable(tc.leafs...)
			if tc.prepare != nil {
				tc.prepare(table)
			}
			_, v := table.Place("s", "c", tc.tried, t0)
			require.Equal(t, tc.want, v)
		})
	}
}

// An instance's requests in flight at a leaf are limited by the leaf's slots and by the
// instance's share of the published connection limit.
func TestConnLimit(t *testing.T) {
	for _, tc := range []struct{ slots, published, instances, want int }{
		{2, 26, 10, 2}, {2, 0, 10, 2}, {4, 42, 10, 4}, {3, 110, 10, 3}, {2, 12, 10, 2}, {2, 10, 10, 1}, {0, 26, 10, 3}, {16, 0, 10, 8}, {2, 26, 58, 1},
	} {
		table := newTestTable()
		table.opts.Instances = tc.instances
		table.SetMaxConns(map[string]int{"s": tc.published})
		require.Equal(t, tc.want, table.connLimit(&Leaf{Services: []string{"s"}, Slots: tc.slots}), "%v", tc)
	}
}

// The last connection to a leaf goes to the request that begins first, regardless of the order
// of placement.
func TestBeginEnforcesConnLimit(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"))
	var begun int
	p := mustPlace(t, table, t0)
	for range 5 {
		if table.Begin(p, "c", t0) != nil {
			begun++
		}
	}
	require.Equal(t, 2, begun)
}

// A backend server that holds several shards is a single leaf: its state is shared by all its
// shards, and a new configuration moves it between services.
func TestLeafOfSeveralServicesSharesOneRecord(t *testing.T) {
	table := newTestTable()
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
	require.False(t, table.SetDraining("unit", true), "reported only once")
	_, v = table.Place("x", "c", nil, t0)
	require.Equal(t, NoLeaf, v)
}

// The baseline chooses the leaf of its own zone, however slow that leaf is.
func TestNearestFirstIgnoresLatency(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z2"), newTestLeaf("b", "z1"))
	table.opts.NearestFirst = true
	sendAnswered(table, Placement{Leaf: newTestLeaf("b", "z1")}, t0, time.Second)
	require.Equal(t, "b", mustPlace(t, table, at(1000)).Leaf.ID)
}

func TestOwnZoneIsPreferredUntilItIsSlower(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"), newTestLeaf("b", "z2"))
	learnTypicalLatency(t, table, "a", "b")
	require.Equal(t, "a", mustPlace(t, table, at(100)).Leaf.ID)
	sendAnswered(table, Placement{Leaf: newTestLeaf("a", "z1")}, at(100), 60*time.Millisecond)
	sendAnswered(table, Placement{Leaf: newTestLeaf("a", "z1")}, at(100), 60*time.Millisecond)
	require.Equal(t, "b", mustPlace(t, table, at(220)).Leaf.ID)
}

// Guards against every request during a leaf's pause waiting for the leaf. A leaf pauses while
// a request is in flight there, and more requests arrive during the pause. The silence towards
// the first request must be enough to avoid the leaf.
func TestOneWaitingRequestMakesPausedLeafSuspect(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"), newTestLeaf("b", "z2"))
	learnTypicalLatency(t, table, "a", "b")
	waiting := table.Begin(Placement{Leaf: newTestLeaf("a", "z1")}, "c", at(100))
	require.False(t, table.IsSuspect(waiting, at(130)))
	require.True(t, table.IsSuspect(waiting, at(180)), "the threshold is 15 ms plus 3 times the usual 20 ms")
	for now := 180; now < 350; now += 10 {
		require.Equal(t, "b", mustPlace(t, table, at(now)).Leaf.ID)
	}
	table.End(waiting, Answered, at(350))
	require.False(t, table.leafs["a"].silentFor(at(350)) > 0)
}

// A slow leaf is avoided until its slowness has decayed, and is then tried again.
func TestSlownessDecays(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"), newTestLeaf("b", "z1"))
	learnTypicalLatency(t, table, "a", "b")
	for range 5 {
		sendAnswered(table, Placement{Leaf: newTestLeaf("a", "z1")}, at(0), 200*time.Millisecond)
	}
	require.Equal(t, "b", mustPlace(t, table, at(300)).Leaf.ID)
	found := map[string]bool{}
	for i := range 50 {
		found[mustPlace(t, table, at(20000+i)).Leaf.ID] = true
	}
	require.True(t, found["a"])
}

// Guards against every query choosing a slow leaf first and needing a second request. A leaf
// takes one second, another leaf always replies after 120 ms, and the call to the first one is
// cancelled. A cancelled call must count as evidence of slowness.
func TestAbandonedCallRaisesSlowness(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"), newTestLeaf("b", "z2"))
	learnTypicalLatency(t, table, "a", "b")
	require.Equal(t, "a", mustPlace(t, table, at(100)).Leaf.ID)
	call := table.Begin(Placement{Leaf: newTestLeaf("a", "z1")}, "c", at(100))
	table.End(call, Abandoned, at(220))
	require.Equal(t, "b", mustPlace(t, table, at(220)).Leaf.ID)
	for range 20 {
		call := table.Begin(Placement{Leaf: newTestLeaf("b", "z2")}, "c", at(220))
		table.End(call, Abandoned, at(225))
	}
	require.Equal(t, "b", mustPlace(t, table, at(225)).Leaf.ID, "a short wait is no evidence")
}

// An instance with few requests remembers a slow leaf from one query to the next. An instance
// with many requests forgets it within seconds.
func TestSlownessHalfLifeGrowsWithRequestGap(t *testing.T) {
	for _, tc := range []struct {
		every time.Duration
		want  time.Duration
	}{{20 * time.Millisecond, minSlownessHalfLife}, {200 * time.Millisecond, 3200 * time.Millisecond}, {2 * time.Second, maxSlownessHalfLife}} {
		table := newTestTable(newTestLeaf("a", "z1"))
		for i := range 100 {
			table.CountRequest("s", t0.Add(time.Duration(i)*tc.every))
		}
		require.InDelta(t, tc.want, table.leafs["a"].slownessHalfLife(), float64(20*time.Millisecond))
	}
}

// Guards against every query choosing a leaf first that is too slow for every deadline. The
// leaf repeatedly reports that requests ran out of time. These failures must count as slowness,
// unless they all occur together as after a pause.
func TestRepeatedTimeoutFailuresRaiseSlowness(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"), newTestLeaf("b", "z2"))
	learnTypicalLatency(t, table, "a", "b")
	failAfter200ms := func(from int) {
		table.End(table.Begin(Placement{Leaf: newTestLeaf("a", "z1")}, "c", at(from)), Failed, at(from+200))
	}
	failAfter200ms(100)
	failAfter200ms(150)
	require.InDelta(t, 1, table.leafs["a"].slownessNow(at(350)), 0.1, "after a pause, many requests fail at once")
	failAfter200ms(400)
	require.Equal(t, "b", mustPlace(t, table, at(600)).Leaf.ID)
	sendAnswered(table, Placement{Leaf: newTestLeaf("a", "z1")}, at(700), 20*time.Millisecond)
	require.True(t, table.leafs["a"].timeoutFailuresSince.IsZero(), "a successful reply resets it")
}

// A leaf that is down is probed by one request at a time.
func TestDownLeafIsProbedByOneRequest(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"))
	require.Equal(t, HealthUnchanged, table.End(table.Begin(Placement{Leaf: newTestLeaf("a", "z1")}, "c", t0), NotSent, t0))
	require.Equal(t, MarkedDown, table.End(table.Begin(Placement{Leaf: newTestLeaf("a", "z1")}, "c", t0), NotSent, t0))
	_, v := table.Place("s", "c", nil, at(100))
	require.Equal(t, AllDown, v)
	probe := table.Begin(mustPlace(t, table, at(250)), "c", at(250))
	_, v = table.Place("s", "c", nil, at(251))
	require.Equal(t, AllDown, v)
	require.Equal(t, Recovered, table.End(probe, Answered, at(260)))
	require.Equal(t, "a", mustPlace(t, table, at(261)).Leaf.ID)
}

// Guards against the budgets of all shards being exhausted when a zone is partitioned. All
// leafs of the zone become silent at once, while those of the other zone reply. The zone must
// be suspected as a whole, rather than leaf by leaf at the cost of requests.
func TestSilentZoneIsSuspectedAsAWhole(t *testing.T) {
	var leafs []Leaf
	for i := range 5 {
		leafs = append(leafs, newTestLeaf(fmt.Sprint("far", i), "z2"), newTestLeaf(fmt.Sprint("near", i), "z1"))
	}
	table := newTestTable(leafs...)
	for _, l := range leafs {
		sendAnswered(table, Placement{Leaf: l}, t0, 20*time.Millisecond)
	}
	for i := range 3 {
		table.Begin(Placement{Leaf: newTestLeaf(fmt.Sprint("far", i), "z2")}, "c", at(100))
	}
	require.Empty(t, table.SuspectZones(at(200)))
	require.Equal(t, []string{"z2"}, table.SuspectZones(at(260)))
	require.Empty(t, table.SuspectZones(at(270)), "reported only once")
	require.True(t, table.HasSuspectedZone())
	for range 20 {
		require.Equal(t, "z1", mustPlace(t, table, at(270)).Leaf.Zone)
	}
	require.Empty(t, table.ZoneProbes(at(300)))
	probes := table.ZoneProbes(at(600))
	require.Len(t, probes, 1)
	require.Equal(t, "z2", probes[0].Zone)
	require.True(t, table.RecordZoneReply("z2", at(610)))
	require.False(t, table.HasSuspectedZone())
}

// Guards against a partitioned zone that refuses connections being detected leaf by leaf. The
// zone is suspected, as for silence, if several of its leafs are down and none of its leafs
// replies.
func TestZoneThatRefusesConnectionsIsSuspected(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z2"), newTestLeaf("b", "z2"), newTestLeaf("c", "z2"), newTestLeaf("d", "z2"))
	sendAnswered(table, Placement{Leaf: newTestLeaf("d", "z2")}, t0, 20*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		for range downThreshold {
			table.End(table.Begin(Placement{Leaf: newTestLeaf(id, "z2")}, "c", at(100)), NotSent, at(101))
		}
	}
	require.Empty(t, table.SuspectZones(at(110)), "the zone has replied recently")
	require.Equal(t, []string{"z2"}, table.SuspectZones(at(300)))
	require.Equal(t, "d", table.ZoneProbes(at(700))[0].ID, "a leaf that is not down is preferred for the probe")
}

// Guards against an instance suspecting zone after zone and reporting itself as not ready while
// all leafs are healthy. After a restart, the leafs still count the connections of the previous
// process and reset new ones beyond their limit. Resets must not count as an unreachable zone.
func TestConnectionResetsDoNotSuspectZone(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z2"), newTestLeaf("b", "z2"), newTestLeaf("c", "z2"), newTestLeaf("d", "z2"))
	sendAnswered(table, Placement{Leaf: newTestLeaf("d", "z2")}, t0, 20*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		for range downThreshold {
			table.End(table.Begin(Placement{Leaf: newTestLeaf(id, "z2")}, "c", at(100)), ReplyLost, at(101))
		}
	}
	require.Empty(t, table.SuspectZones(at(400)))
	for _, id := range []string{"a", "b", "c"} {
		table.End(table.Begin(Placement{Leaf: newTestLeaf(id, "z2")}, "c", at(400)), NotSent, at(401))
	}
	require.Equal(t, []string{"z2"}, table.SuspectZones(at(402)), "connections that cannot be opened count, also after resets")
}

// Guards against thousands of connection resets after a restart that exhaust the budget of
// second requests. A leaf has capacity for one request of this instance and closes every
// further connection, because other instances hold more than their share of the published
// limit. The instance must learn the limit from the resets.
func TestConnLimitOfLeafIsLearnedFromResets(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"))
	held := table.Begin(mustPlace(t, table, t0), "c", t0)
	table.End(table.Begin(mustPlace(t, table, t0), "c", t0), ConnLimitReached, at(1))
	_, v := table.Place("s", "c", nil, at(2))
	require.Equal(t, AllBusy, v, "the limit is the number of requests in flight")
	table.End(held, Answered, at(20))
	table.Begin(mustPlace(t, table, at(21)), "c", at(21))
	_, v = table.Place("s", "c", nil, at(21))
	require.Equal(t, AllBusy, v)
	mustPlace(t, table, at(2002))
}

// A leaf that closes the only connection to it is treated as down, and is probed later.
func TestLeafThatResetsOnlyConnectionGoesDown(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"))
	for range downThreshold {
		table.End(table.Begin(mustPlace(t, table, t0), "c", t0), ConnLimitReached, t0)
	}
	_, v := table.Place("s", "c", nil, at(1))
	require.Equal(t, AllDown, v)
	mustPlace(t, table, at(300))
}

// The silence of some leafs does not make their zone suspected while another of its leafs
// replies.
func TestZoneWithOneReplyingLeafIsNotSuspected(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z2"), newTestLeaf("b", "z2"), newTestLeaf("c", "z2"), newTestLeaf("d", "z2"))
	for _, id := range []string{"a", "b", "c", "d"} {
		sendAnswered(table, Placement{Leaf: newTestLeaf(id, "z2")}, t0, 20*time.Millisecond)
		table.Begin(Placement{Leaf: newTestLeaf(id, "z2")}, "c", at(100))
	}
	sendAnswered(table, Placement{Leaf: newTestLeaf("d", "z2")}, at(200), 30*time.Millisecond)
	require.Empty(t, table.SuspectZones(at(300)))
}

func TestUpsertDropsOutdatedReports(t *testing.T) {
	table := newTestTable()
	l := newTestLeaf("a", "z1")
	l.Sequence = 5
	require.Equal(t, Joined, table.Upsert(l, t0))
	require.Equal(t, Unchanged, table.Upsert(l, t0))
	older := l
	older.Sequence, older.Addr = 4, "elsewhere:1"
	require.Equal(t, Unchanged, table.Upsert(older, t0))
	draining := l
	draining.Sequence, draining.Draining = 6, true
	require.Equal(t, DrainStarted, table.Upsert(draining, t0))
	l.Sequence = 7
	table.Upsert(l, t0)
	_, v := table.Place("s", "c", nil, t0)
	require.Equal(t, NoLeaf, v, "draining is final for an incarnation")
	require.True(t, table.Remove("a", t0))
	delayed := draining
	require.Equal(t, Unchanged, table.Upsert(delayed, t0), "a delayed report does not add a drained leaf again")
}

func TestVanishedLeafIsKeptDuringLapseGrace(t *testing.T) {
	table := newTestTable(newTestLeaf("a", "z1"), newTestLeaf("b", "z1"))
	table.StoreRecovered(t0)
	require.False(t, table.Remove("a", at(10)))
	require.False(t, table.Remove("b", at(10)))
	back := newTestLeaf("a", "z1")
	back.Sequence = 9
	table.Upsert(back, at(500))
	require.Empty(t, table.Sweep(at(1900)))
	require.Equal(t, []string{"b"}, table.Sweep(at(2100)))
	require.Equal(t, "a", mustPlace(t, table, at(2200)).Leaf.ID)
	require.True(t, table.Remove("a", at(2300)), "removed at once outside the grace period")
}

// The limit on second requests holds for the sum over instances that do not coordinate, in
// every window, however the requests are distributed over the instances.
func TestSumOfBudgetsKeepsTheRatio(t *testing.T) {
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
	var requests, secondRequests []time.Duration
	for ms := range seconds * 1000 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		// The load moves between instances and varies over time.
		if rng.Float64() > 0.1+0.08*float64((ms/7000)%3) {
			continue
		}
		b := budgets[rng.IntN(1+(ms/5000)%instances)]
		b.CountRequest(now)
		requests = append(requests, now.Sub(t0))
		for b.TryTake(now) {
			secondRequests = append(secondRequests, now.Sub(t0))
		}
	}
	require.NotEmpty(t, secondRequests)
	for from := time.Duration(0); from < (seconds-10)*time.Second; from += 50 * time.Millisecond {
		n, m := countInWindow(requests, from), countInWindow(secondRequests, from)
		before := max(n, countInWindow(requests, from-10*time.Second), countInWindow(requests, from-5*time.Second))
		require.LessOrEqual(t, float64(m), ratio*float64(before)+instances*burst, "window from %v", from)
	}
}

// countInWindow returns the number of times in the window of 10 s that begins at from.
func countInWindow(times []time.Duration, from time.Duration) int {
	n := 0
	for _, x := range times {
		if x >= from && x < from+10*time.Second {
			n++
		}
	}
	return n
}

// Guards against hedges being sent later and later during an overload. Replies take 10 times as
// long for 8 seconds, and the typical latency must not follow them.
func TestTypicalLatencyDoesNotFollowOverload(t *testing.T) {
	c := &class{}
	for range 100 {
		c.observe(20 * time.Millisecond)
	}
	const repliesPerSecond = 140
	for range 8 * repliesPerSecond {
		c.observe(200 * time.Millisecond)
	}
	require.Less(t, c.typicalLatency, 50*time.Millisecond)
	for range 16 * repliesPerSecond {
		c.observe(20 * time.Millisecond)
	}
	require.Less(t, c.typicalLatency, 25*time.Millisecond)
}

func TestProbesAreAdmittedOncePerInterval(t *testing.T) {
	table := newTestTable()
	require.True(t, table.AdmitProbe("c", at(0)))
	require.False(t, table.AdmitProbe("c", at(399)))
	require.True(t, table.AdmitProbe("other", at(399)))
	require.True(t, table.AdmitProbe("c", at(400)))
}
