package fanout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// wide is a query over ten shards of two leafs each, of which nine are enough.
func wide(timing Params) *Query {
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
	timing.Start, timing.Deadline = epoch, at(3000)
	return New(table, route, standard(), timing)
}

// A query whose first requests ended leafs sent its second requests to the other leafs of the
// same shards, as after any failure, and ended these, too: 20 leafs with one query. None had
// answered it.
func TestLeafsThatEndAreNotMadeUpForBeforeAnAnswer(t *testing.T) {
	q := wide(Params{})
	sends, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	require.Len(t, sends, 10)
	require.Empty(t, q.HandleReply(0, 0, replica.ProcessExited, at(10)))
	require.Empty(t, q.HandleReply(1, 0, replica.ProcessExited, at(11)))
	require.Empty(t, q.Tick(at(150)), "slow ones get none either")
	require.Equal(t, Running, q.State(at(150)))
	require.Empty(t, q.HandleReply(2, 0, replica.ProcessExited, at(151)))
	require.Equal(t, Insufficient, q.State(at(151)), "the third is enough")
	require.True(t, q.GivenUp())
	require.True(t, q.InFlight(), "what waits at the other leafs is to be withdrawn")
	require.Empty(t, q.HandleReply(3, 0, replica.Broken, at(152)))
	require.Empty(t, q.Tick(at(200)))
}

// A sound query that is struck beside it has replies from other leafs: the first one lets
// the shards whose leafs ended be asked again at once.
func TestAnAnswerLetsEndedLeafsBeMadeUpFor(t *testing.T) {
	q := wide(Params{})
	q.Start(epoch)
	q.HandleReply(0, 0, replica.ProcessExited, at(10))
	q.HandleReply(1, 0, replica.ProcessExited, at(11))
	q.HandleReply(2, 0, replica.Answered, at(12))
	require.False(t, q.NextCheck(at(12)).After(at(12)))
	sends := q.Tick(at(12))
	require.Len(t, sends, 2)
	require.Equal(t, ReasonRetry, sends[0].Reason)
	require.Len(t, q.HandleReply(3, 0, replica.ProcessExited, at(13)), 1, "later ones at once")
	for i := 4; i < 10; i++ {
		q.HandleReply(i, 0, replica.Answered, at(20))
	}
	for i := range 2 {
		q.HandleReply(i, 1, replica.Answered, at(30))
	}
	q.HandleReply(3, 1, replica.Answered, at(30))
	require.Equal(t, Complete, q.State(at(30)))
}

// A suspect is tried at one leaf, of the shard that it is suspected for. Answered, the query
// goes on; otherwise nothing more is sent.
func TestTrials(t *testing.T) {
	for _, tc := range []struct {
		outcome replica.Outcome
		sends   int
		state   State
		ran     bool
	}{
		{replica.Answered, 9, Running, true},
		{replica.ProcessExited, 0, Insufficient, true},
		{replica.Refused, 0, Insufficient, false},
		{replica.TimedOut, 0, Insufficient, true},
		{replica.NotSent, 1, Running, false},
	} {
		t.Run(tc.outcome.String(), func(t *testing.T) {
			q := wide(Params{Suspect: true, SuspectService: "s4"})
			sends, refusal := q.Start(epoch)
			require.Nil(t, refusal)
			require.Len(t, sends, 1)
			require.Equal(t, 4, sends[0].Shard)
			require.Equal(t, ReasonTrial, sends[0].Reason)
			require.True(t, q.InTrial())
			require.Empty(t, q.Tick(at(150)), "no second request beside it")
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

// A shard that the route does not have, or whose leafs are gone, is no reason not to try.
func TestTrialOfAnotherShard(t *testing.T) {
	q := wide(Params{Suspect: true, SuspectService: "elsewhere"})
	sends, _ := q.Start(epoch)
	require.Len(t, sends, 1)
	require.Equal(t, 0, sends[0].Shard)
}
