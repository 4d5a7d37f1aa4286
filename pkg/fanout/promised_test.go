package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// loadedTable returns a table with two shards whose leafs took the given time for each reply before
// at(1000), and a route that needs both.
func loadedTable(latency time.Duration) (*replica.Table, *routing.Route) {
	table := replica.NewTable(replica.Options{
		Zone: "z", ConnsPerLeaf: 4, Instances: 1, TieBreaker: func() float64 { return 0 },
		Budget: replica.BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 1},
	})
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		table.Upsert(replica.Leaf{ID: id, Services: []string{id[:1]}, Zone: "z", Slots: 2}, epoch)
	}
	route := &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"a", "b"}, MinShardShare: 1, MaxAttempts: 1, TargetLatency: 200 * time.Millisecond}
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 20 {
			table.End(table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", at(1000).Add(-latency)), replica.Answered, at(1000))
		}
	}
	table.AdmitProbe("r", at(1000))
	return table, route
}

func startWith(table *replica.Table, route *routing.Route, retried bool, terms ReturnTerms) (*Query, *Refusal) {
	q := New(table, route, defaultOptions(), Params{Start: at(1000), Deadline: at(2000), CallerRetried: retried, Returns: terms})
	_, refusal := q.Start(at(1000))
	return q, refusal
}

// Guards against planned returns that change decisions while none is promised.
func TestEmptyBookDoesNotChangeAdmission(t *testing.T) {
	for _, latency := range []time.Duration{10, 50, 100, 140, 190, 250, 900} {
		table, route := loadedTable(latency * time.Millisecond)
		_, without := startWith(table, route, false, ReturnTerms{})
		table, route = loadedTable(latency * time.Millisecond)
		_, with := startWith(table, route, false, ReturnTerms{Planned: true, MaxHold: 50 * time.Millisecond})
		require.Equal(t, without, with, "latency %d ms", latency)
	}
}

// Guards against new queries that take the place of a promised one. At 120 ms a reply is in time
// with a probability of 0.8, so two shards succeed together with 0.65.
func TestCapacityIsKeptForPromisedCaller(t *testing.T) {
	const latency = 120 * time.Millisecond
	for _, tc := range []struct {
		terms    ReturnTerms
		admitted bool
	}{
		{ReturnTerms{}, true},
		{ReturnTerms{Planned: true, KeepFree: true}, false},
		{ReturnTerms{Planned: true, KeepFree: true, Promised: true}, true},
	} {
		table, route := loadedTable(latency)
		_, refusal := startWith(table, route, false, tc.terms)
		require.Equal(t, tc.admitted, refusal == nil, "%+v", tc.terms)
	}
	table, route := loadedTable(5 * time.Millisecond)
	_, refusal := startWith(table, route, false, ReturnTerms{Planned: true, KeepFree: true})
	require.Nil(t, refusal, "there is capacity for both")
}

// Guards against callers that are held past the limit before a refusal, and against holding callers
// without a promise, who should be told at once.
func TestPromisedQueryIsHeldForLimitedTime(t *testing.T) {
	terms := ReturnTerms{Planned: true, MaxHold: 37 * time.Millisecond}
	table, route := loadedTable(900 * time.Millisecond)
	_, refusal := startWith(table, route, true, terms)
	require.True(t, refusal.Overloaded, "a returning caller without a promise is not held")

	terms.Promised = true
	q, refusal := startWith(table, route, true, terms)
	require.Nil(t, refusal)
	now := at(1000)
	for now.Before(at(1037)) {
		require.Equal(t, Running, q.State(now))
		next := q.NextCheck(now)
		require.True(t, next.After(now))
		require.LessOrEqual(t, next.Sub(now), promisedCheckInterval)
		now = next
		require.Empty(t, q.Tick(now))
	}
	require.Equal(t, at(1037), now)
	require.Equal(t, Insufficient, q.State(now))
	require.False(t, q.MayHaveRun())
	_, refusal = startWith(table, route, true, terms)
	require.Nil(t, refusal, "the failed wait of one promised caller does not refuse the next")
}

// Guards against a promised query that is not started when the leafs have capacity, or is then
// treated as late although its target has not passed.
func TestHeldPromisedQueryStartsWithCapacity(t *testing.T) {
	table, route := loadedTable(900 * time.Millisecond)
	q, refusal := startWith(table, route, true, ReturnTerms{Planned: true, Promised: true, MaxHold: 37 * time.Millisecond})
	require.Nil(t, refusal)
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 40 {
			table.End(table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", at(1005)), replica.Answered, at(1010))
		}
	}
	requests := q.Tick(at(1010))
	require.Len(t, requests, 2)
	require.Equal(t, at(1200), requests[0].Deadline)
	require.Zero(t, q.HeldFor(at(1010)))
}

// Guards against hedged requests that take capacity from promised callers during an overload.
func TestNoHedgingWhilePromisedCallersAreDue(t *testing.T) {
	for _, tc := range []struct {
		terms  ReturnTerms
		hedged bool
	}{{ReturnTerms{Planned: true}, true}, {ReturnTerms{Planned: true, KeepFree: true}, false}, {ReturnTerms{Planned: true, Promised: true}, false}} {
		_, table := twoShardQuery()
		route := &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"a", "b"}, MinShardShare: 1, MaxAttempts: 2, TargetLatency: 200 * time.Millisecond}
		q, refusal := startWith(table, route, false, tc.terms)
		require.Nil(t, refusal)
		require.Equal(t, tc.hedged, len(q.Tick(at(1100))) > 0, "%+v", tc.terms)
		if !tc.hedged {
			require.Len(t, q.HandleReply(0, 0, replica.Refused, at(1110)), 1, "a request that failed is sent again")
		}
	}
}
