package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coldTable is a table of one service whose cold leafs may get limit requests a second, with the
// given leafs: the zone of each.
func coldTable(w WarmUpAssignment, limit float64, zones ...string) *Table {
	t := NewTable(Options{Zone: "z1", ConnsPerLeaf: 100, Instances: 1, TieBreaker: func() float64 { return 0 }})
	t.SetColdLimits(map[string]ColdLimit{"s": {PerSecond: limit, Duration: 3 * time.Second}})
	t.SetWarmUpAssignment(w)
	for i, zone := range zones {
		t.Upsert(Leaf{ID: fmt.Sprint("leaf", i), Services: []string{"s"}, Zone: zone, Slots: 100, Sequence: 1}, t0)
	}
	return t
}

// only lets this instance and some others warm the leafs of its zone.
func only(others ...string) WarmUpAssignment {
	all := append([]string{"me"}, others...)
	return WarmUpAssignment{Self: "me", Zone: "z1", OwnZone: WarmUpGroup{Queries: all, Single: all}, PresentZones: map[string]bool{"z1": true}}
}

// turnCold lets a leaf say that it is cold for a time.
func turnCold(t *Table, i int, cold time.Duration, now time.Time) {
	leaf, _ := t.Leaf(fmt.Sprint("leaf", i))
	leaf.ColdRemaining = cold
	leaf.Sequence++
	t.Upsert(leaf, now)
}

// ask sends a request if one may be sent, which is answered at once.
func ask(t *Table, now time.Time) (leaf string) {
	p, v := t.Place("s", "c", nil, now)
	if v != Placed {
		return ""
	}
	call := t.Begin(p, "c", now)
	if call == nil {
		return ""
	}
	t.End(call, Answered, now)
	return p.Leaf.ID
}

// askFor asks each 10 ms for a time and returns how many requests were sent in each second.
func askFor(t *Table, from time.Time, d time.Duration) []int {
	out := make([]int, int(d/time.Second))
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		if ask(t, from.Add(at)) != "" {
			out[at/time.Second]++
		}
	}
	return out
}

// TestColdLeafGetsThisInstancesPart guards against a cold leaf that gets all that comes, one that
// gets nothing, and one that gets no more when it is warm.
func TestColdLeafGetsThisInstancesPart(t *testing.T) {
	table := coldTable(only("other"), 14, "z1")
	turnCold(table, 0, 3*time.Second, t0)
	got := askFor(table, t0, 5*time.Second)
	for second := range 3 {
		require.Positive(t, got[second])
		require.LessOrEqual(t, got[second], 14/3)
	}
	require.Equal(t, 100, got[4], "warm again")
}

// TestLeafThatTurnsColdIsNews guards against a belief that changes without a line in the log.
func TestLeafThatTurnsColdIsNews(t *testing.T) {
	table := coldTable(only(), 14, "z1")
	leaf, _ := table.Leaf("leaf0")
	report := func(cold time.Duration, at time.Duration) Change {
		leaf.ColdRemaining = cold
		leaf.Sequence++
		return table.Upsert(leaf, t0.Add(at))
	}
	require.Equal(t, TurnedCold, report(3*time.Second, 0))
	require.Equal(t, Unchanged, report(2*time.Second, time.Second))
	require.Equal(t, Unchanged, report(0, 4*time.Second))
	require.Equal(t, TurnedCold, report(time.Second, 5*time.Second))
	require.Equal(t, "turned_cold", TurnedCold.String())
}

// TestLeafThatTurnsColdCountsWhatItGotBefore guards against requests of one second that are
// counted anew when the leaf says in the middle of it that it is cold.
func TestLeafThatTurnsColdCountsWhatItGotBefore(t *testing.T) {
	table := coldTable(only(), 14, "z1")
	for range 10 {
		ask(table, t0)
	}
	turnCold(table, 0, 3*time.Second, t0)
	require.Empty(t, ask(table, t0.Add(time.Second)))
	require.NotEmpty(t, ask(table, t0.Add(coldWindow+time.Millisecond)))
}

// TestOthersSendNothingToAColdLeaf guards against instances that are not drawn and send to a cold
// leaf, or wait for it where another one is warm.
func TestOthersSendNothingToAColdLeaf(t *testing.T) {
	strangers := map[string]WarmUpAssignment{
		"not drawn":    {Self: "me", Zone: "z1", OwnZone: WarmUpGroup{Queries: []string{"other"}, Single: []string{"other"}}},
		"not settled":  {},
		"another zone": {Self: "me", Zone: "z2", OwnZone: WarmUpGroup{Queries: []string{"me"}, Single: []string{"me"}}, PresentZones: map[string]bool{"z1": true}},
	}
	for name, w := range strangers {
		t.Run(name, func(t *testing.T) {
			table := coldTable(w, 14, "z1", "z3")
			turnCold(table, 0, 3*time.Second, t0)
			require.Equal(t, "leaf1", ask(table, t0), "the warm one serves")
			turnCold(table, 1, 3*time.Second, t0)
			require.Empty(t, ask(table, t0))
			require.NotEmpty(t, ask(table, t0.Add(3*time.Second)))
		})
	}
}

// TestZoneWithoutInstancesIsWarmedByOthers guards against cold leafs that nobody may ask.
func TestZoneWithoutInstancesIsWarmedByOthers(t *testing.T) {
	w := only()
	w.ZonesWithoutInstances = w.OwnZone
	table := coldTable(w, 14, "z9")
	turnCold(table, 0, 3*time.Second, t0)
	require.NotEmpty(t, ask(table, t0))
}

// TestUnboundedColdLeafsAreNotHeldBack guards against deployments that publish no bound and get
// less from leafs that have just started.
func TestUnboundedColdLeafsAreNotHeldBack(t *testing.T) {
	table := coldTable(WarmUpAssignment{}, 0, "z1")
	turnCold(table, 0, 3*time.Second, t0)
	require.Equal(t, []int{100}, askFor(table, t0, time.Second))
}

// TestZoneThatIsTakenBackCountsAsCold guards against a rush to leafs that turned cold while their
// zone was evacuated and have not said so yet, or said before that they are warm.
func TestZoneThatIsTakenBackCountsAsCold(t *testing.T) {
	table := coldTable(only(), 14, "z1")
	table.SetEvacuated("z1", true, t0)
	require.Empty(t, ask(table, t0))
	table.SetEvacuated("z1", false, t0)
	turnCold(table, 0, 0, t0)
	got := askFor(table, t0, 5*time.Second)
	for second := range 3 {
		require.Positive(t, got[second])
		require.LessOrEqual(t, got[second], 14)
	}
	require.Equal(t, 100, got[4])
}

// TestMoreInstancesThanRequests guards against a sum of parts above the limit, or one of zero,
// where more instances warm a leaf than it may get requests.
func TestMoreInstancesThanRequests(t *testing.T) {
	for _, n := range []int{1, 2, 5, 11, 12, 40, 300} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("n", i))
		}
		sum := 0
		for _, self := range names {
			w := WarmUpAssignment{Self: self, Zone: "z1", OwnZone: WarmUpGroup{Queries: names}}
			sum += w.Share("leaf", "z1", true, 14)
		}
		require.LessOrEqual(t, sum, 9, n)
		require.GreaterOrEqual(t, sum, 4, n)
	}
}

// TestColdLeafsAreWarmedAlone guards against instances that do not know each other and together
// send more than a cold leaf bears.
func TestColdLeafsAreWarmedAlone(t *testing.T) {
	w := WarmUpAssignment{IsolatedInstances: 4}
	require.Equal(t, 2, w.Share("leaf", "z1", true, 14))
}
