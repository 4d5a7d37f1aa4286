package fanout

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Guards against a measured latency that includes shards beyond the measured share, or the time
// until the answer is given.
func TestTimeToCover(t *testing.T) {
	for _, tc := range []struct {
		minShare, measured float64
		want               time.Duration
	}{
		{0.5, 0, 20 * time.Millisecond},
		{1, 0, 30 * time.Millisecond},
		{1, 0.5, 20 * time.Millisecond},
		{0.5, 1, 20 * time.Millisecond},
	} {
		first, table := twoShardQuery()
		route := *first.route
		route.MinShardShare = tc.minShare
		q := New(table, &route, defaultOptions(), Params{Start: epoch, Deadline: at(3000), MeasuredShare: tc.measured})
		startAll(t, q)
		_, covered := q.TimeToCover()
		require.False(t, covered)
		q.HandleReply(0, 0, replica.Answered, at(20))
		q.HandleReply(1, 0, replica.Answered, at(30))
		took, covered := q.TimeToCover()
		require.True(t, covered)
		require.Equal(t, tc.want, took, "%+v", tc)
		require.False(t, q.WasHeld())
	}
}

// Guards against hedged requests of a query that must not send any, and against the loss of its
// retries after failures.
func TestNoHedging(t *testing.T) {
	first, table := twoShardQuery()
	q := New(table, first.route, defaultOptions(), Params{Start: epoch, Deadline: at(3000), NoHedging: true})
	startAll(t, q)
	require.Equal(t, at(195), q.NextCheck(epoch), "nothing is due before the answer")
	require.Empty(t, q.Tick(at(190)))
	requests := q.HandleReply(0, 0, replica.Refused, at(191))
	require.Empty(t, requests, "the reply would come after the answer")

	q = New(table, first.route, defaultOptions(), Params{Start: epoch, Deadline: at(3000), NoHedging: true})
	startAll(t, q)
	requests = q.HandleReply(0, 0, replica.Refused, at(2))
	require.Len(t, requests, 1)
	require.Equal(t, ReasonRetry, requests[0].Reason)
}

// Guards against an admission estimate that counts hedged requests for a query that sends none. A retry
// after a refusal by the leaf is sent and must count.
func TestEstimateWithoutHedging(t *testing.T) {
	const latency, left = 30 * time.Millisecond, 100 * time.Millisecond
	estimate := func(refusals int, params Params) float64 {
		table, route := loadedTable(latency)
		route.MaxAttempts = 2
		for range refusals {
			table.End(table.Begin(replica.Placement{Leaf: replica.Leaf{ID: "a0"}}, "r", at(999)), replica.Refused, at(1000))
		}
		params.Start, params.Deadline = at(1000), at(2000)
		q := New(table, route, defaultOptions(), params)
		p, v := table.Place("a", "r", []string{"a1"}, at(1000))
		require.Equal(t, replica.Placed, v)
		require.Equal(t, refusals > 0, p.RefusalRate > 0)
		return q.shardMissProbability(shardPlacement{shard: 0, placement: p}, left, at(1000))
	}
	late := math.Exp(-float64(left) / float64(latency))
	require.InDelta(t, late, estimate(0, Params{NoHedging: true}), 0.005, "a late reply is not replaced")
	require.Less(t, estimate(0, Params{}), 0.7*late, "a hedged request may replace a late reply")
	for _, reduced := range []bool{false, true} {
		keepsFree := Params{NoHedging: reduced, Returns: ReturnTerms{Planned: true, KeepFree: true}}
		require.Less(t, estimate(0, keepsFree), 0.7*late, "the threshold of such a query assumes a hedged request")
	}
	require.InDelta(t, late, estimate(3, Params{NoHedging: true}), 0.02, "a retry replaces a refused request")
}
