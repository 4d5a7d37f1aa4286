package fanout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// tenShardQuery returns a query over ten shards of two leafs each. Its answer needs nine shards.
func tenShardQuery(params Params) *Query {
	table := replica.NewTable(replica.Options{
		Zone: "z", OtherZoneFactor: 1.6, ConnsPerLeaf: 4, Instances: 1,
		Budget: replica.BudgetOptions{Ratio: 1, Window: 10 * time.Second, Burst: 100},
	})
	route := &routing.Route{Name: "r", Kind: routing.Gather, MinShardShare: 0.9, MaxAttempts: 2, TargetLatency: 200 * time.Millisecond}
	for i := range 10 {
		service := fmt.Sprint("s", i)
		route.Shards = append(route.Shards, service)
		for _, id := range []string{"a", "b"} {
			table.Upsert(replica.Leaf{ID: service + id, Services: []string{service}, Zone: "z", Slots: 2}, epoch)
		}
	}
	params.Start, params.Deadline = epoch, at(3000)
	return New(table, route, defaultOptions(), params)
}

// Guards against a query that crashes 20 leafs. Its first requests crashed one leaf of each shard;
// the query then sent its second requests to the other leafs of these shards, as after any
// failure, and crashed these, too. No leaf had answered it.
func TestNoSecondRequestsAfterLeafsCrashedBeforeFirstReply(t *testing.T) {
	q := tenShardQuery(Params{})
	requests, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	require.Len(t, requests, 10)
	require.Empty(t, q.HandleReply(0, 0, replica.LeafCrashed, at(10)))
	require.Empty(t, q.HandleReply(1, 0, replica.LeafCrashed, at(11)))
	require.Empty(t, q.Tick(at(150)), "no hedged requests either")
	require.Equal(t, Running, q.State(at(150)))
	require.Empty(t, q.HandleReply(2, 0, replica.LeafCrashed, at(151)))
	require.Equal(t, Insufficient, q.State(at(151)), "the third ended leaf ends the query")
	require.True(t, q.GivenUp())
	require.True(t, q.InFlight(), "requests at the other leafs are still to be cancelled")
	require.Empty(t, q.HandleReply(3, 0, replica.ReplyLost, at(152)))
	require.Empty(t, q.Tick(at(200)))
}

// Guards against a query that crashes the second leaf of each shard, too, because its leafs run it for
// some time before they crash: 37 of 40 leafs crashed within 0.1 s. Hedged requests for the third and
// further shards, and retries after a reply was lost, wait for the first reply of any leaf.
func TestFewSecondRequestsBeforeFirstReply(t *testing.T) {
	q := tenShardQuery(Params{})
	_, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	hedged := q.Tick(at(100))
	require.Len(t, hedged, maxSecondsBeforeReply)
	require.Len(t, q.HandleReply(6, 0, replica.Refused, at(101)), 1, "a request that did not run is sent again")
	for ms := 115; ms < 180; ms += 15 {
		require.Empty(t, q.Tick(at(ms)))
	}
	require.Empty(t, q.HandleReply(5, 0, replica.ReplyLost, at(181)))
	require.Empty(t, q.HandleReply(hedged[0].Shard, 0, replica.Answered, at(182)))
	require.NotEmpty(t, q.Tick(at(196)), "the other shards are asked again after the first reply")
}

// A harmless query that is in flight at the same leafs gets replies from others. The first reply
// lets it send second requests for the shards whose leafs crashed, at once.
func TestFirstReplyReleasesSecondRequestsAfterLeafsCrashed(t *testing.T) {
	q := tenShardQuery(Params{})
	q.Start(epoch)
	q.HandleReply(0, 0, replica.LeafCrashed, at(10))
	q.HandleReply(1, 0, replica.LeafCrashed, at(11))
	q.HandleReply(2, 0, replica.Answered, at(12))
	require.False(t, q.NextCheck(at(12)).After(at(12)))
	requests := q.Tick(at(12))
	require.Len(t, requests, 2)
	require.Equal(t, ReasonRetry, requests[0].Reason)
	require.Len(t, q.HandleReply(3, 0, replica.LeafCrashed, at(13)), 1, "after a reply, retries are sent at once")
	for i := 4; i < 10; i++ {
		q.HandleReply(i, 0, replica.Answered, at(20))
	}
	for i := range 2 {
		q.HandleReply(i, 1, replica.Answered, at(30))
	}
	q.HandleReply(3, 1, replica.Answered, at(30))
	require.Equal(t, Complete, q.State(at(30)))
}

// A suspected query is tried at one leaf of the shard for which it is suspected. If the leaf
// answers, the query continues; otherwise nothing more is sent.
func TestTrialOutcomeDecidesWhatIsSentNext(t *testing.T) {
	for _, tc := range []struct {
		outcome replica.Outcome
		sends   int
		state   State
		ran     bool
	}{
		{replica.Answered, 9, Running, true},
		{replica.LeafCrashed, 0, Insufficient, true},
		{replica.Refused, 0, Insufficient, false},
		{replica.TimedOut, 0, Insufficient, true},
		{replica.NotSent, 1, Running, false},
	} {
		t.Run(tc.outcome.String(), func(t *testing.T) {
			q := tenShardQuery(Params{Suspect: true, SuspectService: "s4"})
			requests, refusal := q.Start(epoch)
			require.Nil(t, refusal)
			require.Len(t, requests, 1)
			require.Equal(t, 4, requests[0].Shard)
			require.Equal(t, ReasonTrial, requests[0].Reason)
			require.True(t, q.InTrial())
			require.Empty(t, q.Tick(at(150)), "no second request during a trial")
			require.Equal(t, Running, q.State(at(150)))
			require.False(t, q.NextCheck(at(150)).Before(at(150)))
			got := q.HandleReply(4, 0, tc.outcome, at(160))
			require.Len(t, got, tc.sends)
			require.Equal(t, tc.state, q.State(at(160)))
			require.Equal(t, tc.ran, q.MayHaveRun())
			if tc.outcome == replica.NotSent {
				require.Empty(t, q.HandleReply(4, 1, replica.NotSent, at(161)))
				require.Equal(t, Insufficient, q.State(at(161)))
			}
		})
	}
}

// If the route does not have the suspected shard, the trial is made at the first shard that has a
// leaf.
func TestTrialFallsBackToAnotherShard(t *testing.T) {
	q := tenShardQuery(Params{Suspect: true, SuspectService: "elsewhere"})
	requests, _ := q.Start(epoch)
	require.Len(t, requests, 1)
	require.Equal(t, 0, requests[0].Shard)
}

// Guards against a request that crashes only the leafs of one shard, and is cleared by the answer of
// another shard while all leafs of the first are down.
func TestTrialWaitsForLeafOfSuspectedShard(t *testing.T) {
	q := tenShardQuery(Params{Suspect: true, SuspectService: "s3"})
	for _, id := range []string{"s3a", "s3b"} {
		q.table.Remove(id, epoch)
	}
	requests, refusal := q.Start(epoch)
	require.Empty(t, requests)
	require.NotNil(t, refusal)
	require.False(t, refusal.Overloaded)
	require.Equal(t, unreachableRetryAfter, refusal.RetryAfter)
}

// Guards against trials that end without a result. The trial's leaf was given the time until the
// target latency; a request that runs for longer before it crashes the leaf was cut off each time and
// tried again.
func TestTrialIsGivenTheTimeUntilTheDeadline(t *testing.T) {
	q := tenShardQuery(Params{Suspect: true, SuspectService: "s3"})
	requests, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	require.Len(t, requests, 1)
	require.Equal(t, at(3000), requests[0].Deadline)
	require.Equal(t, Running, q.State(at(2900)))
	remaining := q.HandleReply(3, 0, replica.Answered, at(20))
	require.Len(t, remaining, 9)
	require.Equal(t, at(200), remaining[0].Deadline, "the other shards are asked as usual")
}
