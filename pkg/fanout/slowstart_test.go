package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Guards against a quarantined request that crashes a leaf of each shard when all instances were
// restarted together and none remembers it. A query that no leaf has answered reaches one leaf, then
// two, then four, and none after the first crash.
func TestUnprovenQueryReachesFewLeafsBeforeFirstReply(t *testing.T) {
	q := tenShardQuery(Params{Unproven: true})
	requests, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	require.Len(t, requests, 1)
	delay := int(q.hedgeDelay() / time.Millisecond)
	require.Empty(t, q.Tick(at(delay-1)))
	var sent []Request
	for _, r := range q.Tick(at(delay)) {
		if r.Reason == ReasonFirst {
			sent = append(sent, r)
		}
	}
	require.Len(t, sent, 1, "one more shard")
	require.Empty(t, q.HandleReply(requests[0].Shard, 0, replica.LeafCrashed, at(delay+1)))
	for ms := delay + 2; ms < 1000; ms++ {
		require.Empty(t, q.Tick(at(ms)))
		require.True(t, q.NextCheck(at(ms)).After(at(ms)), "the query is not checked all the time")
	}
}

// An unproven query whose only leaf has crashed ends at once: it must not be held to its deadline.
func TestUnprovenQueryEndsAfterCrashOfItsOnlyLeaf(t *testing.T) {
	q := tenShardQuery(Params{Unproven: true})
	requests, _ := q.Start(epoch)
	require.Empty(t, q.HandleReply(requests[0].Shard, 0, replica.LeafCrashed, at(10)))
	for ms := 10; q.State(at(ms)) == Running; ms++ {
		require.Less(t, ms, 200)
		require.Empty(t, q.Tick(at(ms)))
	}
	require.Equal(t, Insufficient, q.State(at(200)))
}

// The first reply shows that an unproven query is sound: all other shards are asked at once.
func TestFirstReplyReleasesUnprovenQuery(t *testing.T) {
	q := tenShardQuery(Params{Unproven: true})
	requests, _ := q.Start(epoch)
	require.Len(t, q.HandleReply(requests[0].Shard, 0, replica.Answered, at(10)), 9)
	require.Equal(t, Running, q.State(at(11)))
}

// An unproven query whose first leafs hang is not stuck: it reaches all shards in time.
func TestUnprovenQueryWidensWhileLeafsAreSilent(t *testing.T) {
	q := tenShardQuery(Params{Unproven: true})
	q.Start(epoch)
	for ms := 5; ms < 3000 && q.askedShards() < 10; ms += 5 {
		q.Tick(at(ms))
	}
	require.Equal(t, 10, q.askedShards())
}
