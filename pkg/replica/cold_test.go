package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newColdTable returns a table with one service whose cold leafs may get limit requests per
// second, and with one leaf in each of the given zones.
func newColdTable(w WarmUpAssignment, limit float64, zones ...string) *Table {
	t := NewTable(Options{Zone: "z1", ConnsPerLeaf: 100, Instances: 1, TieBreaker: func() float64 { return 0 }})
	t.SetColdLimits(map[string]ColdLimit{"s": {PerSecond: limit, Duration: 3 * time.Second}})
	t.SetWarmUpAssignment(w)
	for i, zone := range zones {
		t.Upsert(Leaf{ID: fmt.Sprint("leaf", i), Services: []string{"s"}, Zone: zone, Slots: 100, Sequence: 1}, t0)
	}
	return t
}

// warmUpWith assigns the warm-up of the leafs of this instance's zone to it and the others.
func warmUpWith(others ...string) WarmUpAssignment {
	all := append([]string{"me"}, others...)
	return WarmUpAssignment{Self: "me", Zone: "z1", OwnZone: WarmUpGroup{Queries: all, Single: all}, PresentZones: map[string]bool{"z1": true}}
}

// reportCold publishes that a leaf will be cold for the given time.
func reportCold(t *Table, i int, cold time.Duration, now time.Time) {
	leaf, _ := t.Leaf(fmt.Sprint("leaf", i))
	leaf.ColdRemaining = cold
	leaf.Sequence++
	t.Upsert(leaf, now)
}

// trySend sends a request that is answered at once, and returns the ID of its leaf. It returns
// "" if no request may be sent.
func trySend(t *Table, now time.Time) (leaf string) {
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

// countSentPerSecond tries to send a request every 10 ms for d and returns the number of
// requests sent in each second.
func countSentPerSecond(t *Table, from time.Time, d time.Duration) []int {
	out := make([]int, int(d/time.Second))
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		if trySend(t, from.Add(at)) != "" {
			out[at/time.Second]++
		}
	}
	return out
}

// TestColdLeafGetsThisInstancesShare guards against a cold leaf that gets all requests or none,
// and against a leaf that is still limited after it has become warm.
func TestColdLeafGetsThisInstancesShare(t *testing.T) {
	table := newColdTable(warmUpWith("other"), 14, "z1")
	reportCold(table, 0, 3*time.Second, t0)
	got := countSentPerSecond(table, t0, 5*time.Second)
	for second := range 3 {
		require.Positive(t, got[second])
		require.LessOrEqual(t, got[second], 14/3)
	}
	require.Equal(t, 100, got[4], "no limit once the leaf is warm")
}

// TestTurningColdIsReportedAsChange guards against leafs turning cold without a line in the
// log.
func TestTurningColdIsReportedAsChange(t *testing.T) {
	table := newColdTable(warmUpWith(), 14, "z1")
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

// TestRequestsBeforeTurningColdCountAgainstLimit guards against exceeding the limit of one
// second because counting starts again when the leaf reports in the middle of that second that
// it is cold.
func TestRequestsBeforeTurningColdCountAgainstLimit(t *testing.T) {
	table := newColdTable(warmUpWith(), 14, "z1")
	for range 10 {
		trySend(table, t0)
	}
	reportCold(table, 0, 3*time.Second, t0)
	require.Empty(t, trySend(table, t0.Add(time.Second)))
	require.NotEmpty(t, trySend(table, t0.Add(coldWindow+time.Millisecond)))
}

// TestInstanceWithoutShareSendsNothingToColdLeaf guards against instances outside the warm-up
// group that send requests to a cold leaf, or that wait for it although another leaf is warm.
func TestInstanceWithoutShareSendsNothingToColdLeaf(t *testing.T) {
	assignments := map[string]WarmUpAssignment{
		"not in the warm-up group": {Self: "me", Zone: "z1", OwnZone: WarmUpGroup{Queries: []string{"other"}, Single: []string{"other"}}},
		"no assignment yet":        {},
		"another zone":             {Self: "me", Zone: "z2", OwnZone: WarmUpGroup{Queries: []string{"me"}, Single: []string{"me"}}, PresentZones: map[string]bool{"z1": true}},
	}
	for name, w := range assignments {
		t.Run(name, func(t *testing.T) {
			table := newColdTable(w, 14, "z1", "z3")
			reportCold(table, 0, 3*time.Second, t0)
			require.Equal(t, "leaf1", trySend(table, t0), "the warm leaf gets the request")
			reportCold(table, 1, 3*time.Second, t0)
			require.Empty(t, trySend(table, t0))
			require.NotEmpty(t, trySend(table, t0.Add(3*time.Second)))
		})
	}
}

// TestZoneWithoutInstancesIsWarmedUpByOthers guards against cold leafs that no instance may
// send requests to.
func TestZoneWithoutInstancesIsWarmedUpByOthers(t *testing.T) {
	w := warmUpWith()
	w.ZonesWithoutInstances = w.OwnZone
	table := newColdTable(w, 14, "z9")
	reportCold(table, 0, 3*time.Second, t0)
	require.NotEmpty(t, trySend(table, t0))
}

// TestColdLeafWithoutLimitGetsAllRequests guards against limiting leafs that have just started
// in deployments that publish no limit.
func TestColdLeafWithoutLimitGetsAllRequests(t *testing.T) {
	table := newColdTable(WarmUpAssignment{}, 0, "z1")
	reportCold(table, 0, 3*time.Second, t0)
	require.Equal(t, []int{100}, countSentPerSecond(table, t0, time.Second))
}

// TestReadmittedZoneIsAssumedCold guards against a burst of requests to leafs that turned cold
// while their zone was evacuated. They may not have reported it yet, or their last report may
// be from before they turned cold.
func TestReadmittedZoneIsAssumedCold(t *testing.T) {
	table := newColdTable(warmUpWith(), 14, "z1")
	table.SetEvacuated("z1", true, t0)
	require.Empty(t, trySend(table, t0))
	table.SetEvacuated("z1", false, t0)
	reportCold(table, 0, 0, t0)
	got := countSentPerSecond(table, t0, 5*time.Second)
	for second := range 3 {
		require.Positive(t, got[second])
		require.LessOrEqual(t, got[second], 14)
	}
	require.Equal(t, 100, got[4])
}

// TestSumOfSharesStaysWithinColdLimit guards against shares whose sum exceeds the limit or is
// zero, also if more instances warm up a leaf than it may get requests.
func TestSumOfSharesStaysWithinColdLimit(t *testing.T) {
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

// TestIsolatedInstancesDivideColdLimit guards against instances that do not know of each other
// and together send more requests than a cold leaf can handle.
func TestIsolatedInstancesDivideColdLimit(t *testing.T) {
	w := WarmUpAssignment{IsolatedInstances: 4}
	require.Equal(t, 2, w.Share("leaf", "z1", true, 14))
}
