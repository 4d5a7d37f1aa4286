package fanout

import (
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
