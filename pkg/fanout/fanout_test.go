package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

func TestRequiredShards(t *testing.T) {
	for _, tc := range []struct {
		n    int
		min  float64
		want int
	}{{20, 0.89, 18}, {20, 0.9, 18}, {20, 0.75, 15}, {30, 0.9, 27}, {3, 0, 1}, {10, 1, 10}, {7, 0.5, 4}} {
		require.Equal(t, tc.want, RequiredShards(tc.n, tc.min), "%v", tc)
	}
}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// twoShardQuery returns a query over two shards of two leafs each. Its answer needs one shard.
func twoShardQuery() (*Query, *replica.Table) {
	table := replica.NewTable(replica.Options{
		Zone: "z", OtherZoneFactor: 1.6, ConnsPerLeaf: 4, Instances: 1,
		Budget: replica.BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 1},
	})
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		table.Upsert(replica.Leaf{ID: id, Services: []string{id[:1]}, Zone: "z", Slots: 2}, epoch)
	}
	route := &routing.Route{
		Name: "r", Kind: routing.Gather, Shards: []string{"a", "b"}, MinShardShare: 0.5, MaxAttempts: 2,
		TargetLatency: 200 * time.Millisecond,
	}
	return New(table, route, defaultOptions(), Params{Start: epoch, Deadline: at(3000)}), table
}

func startAll(t *testing.T, q *Query) []Request {
	t.Helper()
	requests, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	require.Len(t, requests, 2)
	return requests
}

func TestQueryCompletesWhenEveryShardAnswered(t *testing.T) {
	q, _ := twoShardQuery()
	startAll(t, q)
	q.HandleReply(0, 0, replica.Answered, at(20))
	require.Equal(t, Running, q.State(at(20)))
	q.HandleReply(1, 0, replica.Answered, at(25))
	require.Equal(t, Complete, q.State(at(25)))
}

func TestPartialAnswerIsCompleteAtTarget(t *testing.T) {
	q, _ := twoShardQuery()
	startAll(t, q)
	q.HandleReply(0, 0, replica.Answered, at(20))
	require.Equal(t, Running, q.State(at(194)))
	require.Equal(t, Complete, q.State(at(195)), "target latency less the answer margin")
	require.Equal(t, Covered, q.ShardStatus(0))
	require.Equal(t, Unanswered, q.ShardStatus(1))
}

// At the same probability of success, a route that may miss no shard is refused at a smaller
// expected number of misses than one that may miss five.
func TestProbabilityAtMost(t *testing.T) {
	for _, tc := range []struct {
		n    int
		mean float64
		want float64
	}{{0, 0, 1}, {0, 1, 0.368}, {0, 2, 0.135}, {2, 4, 0.238}, {5, 7, 0.301}, {5, 0.1, 1}} {
		require.InDelta(t, tc.want, probabilityAtMost(tc.n, tc.mean), 0.001, "%v", tc)
	}
}

// Guards against a short burst that causes missing shards although their leafs answer within
// milliseconds. All connections to a shard's leafs are in use when the query arrives, and one
// is free again 5 ms later. A query that waits for every shard has time to wait for it.
func TestQueryForEveryShardWaitsForFreeConnection(t *testing.T) {
	_, table := twoShardQuery()
	route := &routing.Route{Name: "r", Shards: []string{"a", "b"}, MaxAttempts: 2}
	var busy []*replica.Call
	for _, id := range []string{"a0", "a1"} {
		for range 2 {
			busy = append(busy, table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", epoch))
		}
	}
	q := New(table, route, Options{}, Params{Start: epoch, Deadline: at(300)})
	requests, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	require.Len(t, requests, 1, "only the other shard's request")
	require.Equal(t, AllBusy, q.ShardStatus(0))
	require.Empty(t, q.Tick(q.NextCheck(epoch)))
	table.End(busy[0], replica.Answered, at(5))
	requests = q.Tick(at(6))
	require.Len(t, requests, 1)
	require.Equal(t, ReasonFirst, requests[0].Reason)
	q.HandleReply(1, 0, replica.Answered, at(6))
	q.HandleReply(0, 0, replica.Answered, at(7))
	require.Equal(t, Complete, q.State(at(7)))
}

// Guards against queries that fail within milliseconds although a leaf is about to become free;
// their callers then retry in such numbers that file descriptors run out. A shard's leaf refuses
// while all connections to the other leaf are in use. A query without a target must not exclude
// the shard because of that.
func TestQueryForEveryShardWaitsForFreeConnectionAfterFailure(t *testing.T) {
	_, table := twoShardQuery()
	route := &routing.Route{Name: "r", Shards: []string{"a", "b"}, MaxAttempts: 2}
	q := New(table, route, Options{}, Params{Start: epoch, Deadline: at(300)})
	requests, _ := q.Start(epoch)
	other := map[string]string{"a0": "a1", "a1": "a0"}[requests[0].Call.Leaf.ID]
	var busy []*replica.Call
	for range 2 {
		busy = append(busy, table.Begin(replica.Placement{Leaf: replica.Leaf{ID: other}}, "r", epoch))
	}
	require.Empty(t, q.HandleReply(0, 0, replica.Refused, at(1)))
	q.HandleReply(1, 0, replica.Answered, at(2))
	require.Equal(t, Running, q.State(at(2)))
	table.End(busy[0], replica.Answered, at(10))
	require.Len(t, q.Tick(at(20)), 1)
}

// A query that waits for every shard but may send no second request answers at once with the
// shards that it has. It does not wait for a budget that refills over ten seconds.
func TestQueryForEveryShardEndsWithoutRetryBudget(t *testing.T) {
	_, table := twoShardQuery()
	route := &routing.Route{Name: "r", Shards: []string{"a", "b"}, MaxAttempts: 2}
	for table.TakeSecondRequestBudget("a", epoch) {
	}
	q := New(table, route, Options{}, Params{Start: epoch, Deadline: at(300)})
	startAll(t, q)
	require.Empty(t, q.HandleReply(0, 0, replica.Refused, at(1)))
	q.HandleReply(1, 0, replica.Answered, at(2))
	require.Equal(t, Complete, q.State(at(2)))
	require.Equal(t, Failed, q.ShardStatus(0))
}

func TestQueryContinuesAfterTargetWithTooFewShards(t *testing.T) {
	q, _ := twoShardQuery()
	startAll(t, q)
	require.Equal(t, Running, q.State(at(500)))
	q.HandleReply(0, 0, replica.Answered, at(510))
	require.Equal(t, Complete, q.State(at(510)))
	require.Equal(t, Expired, func() State { q, _ := twoShardQuery(); startAll(t, q); return q.State(at(3000)) }())
}

// A query whose requests all failed must not be kept until its deadline: it ends at once if no
// leaf is left and, if only the budget is exhausted, when half of the time after the target has
// passed.
func TestQueryEndsBeforeDeadlineWhenAllShardsFailed(t *testing.T) {
	q, _ := twoShardQuery()
	startAll(t, q)
	for i := range 2 {
		require.Len(t, q.HandleReply(i, 0, replica.ReplyLost, at(5)), 1, "the other leaf is asked as a retry")
		require.Empty(t, q.HandleReply(i, 1, replica.ReplyLost, at(9)))
	}
	require.True(t, q.MayHaveRun())
	require.Empty(t, q.Tick(at(1500)), "the budget is used up")
	require.Equal(t, Running, q.State(at(1500)))
	require.Empty(t, q.Tick(at(1600)))
	require.Equal(t, Insufficient, q.State(at(1600)))

	q, table := twoShardQuery()
	startAll(t, q)
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		table.Remove(id, at(3))
	}
	for i := range 2 {
		require.Empty(t, q.HandleReply(i, 0, replica.ReplyLost, at(5)))
	}
	require.Equal(t, Insufficient, q.State(at(5)))
}

// Guards against queries that fail at the target although the caller waits for seconds more. A
// shard is excluded because its leafs would be late; then the leafs of another shard fail. The
// excluded shard was never asked.
func TestExcludedShardIsAskedOnceTargetCannotBeMet(t *testing.T) {
	q, table := twoShardQuery()
	for range 40 {
		for _, id := range []string{"a0", "a1"} {
			p := replica.Placement{Leaf: replica.Leaf{ID: id}}
			table.End(table.Begin(p, "r", epoch), replica.Answered, at(2000))
		}
		for _, id := range []string{"b0", "b1"} {
			p := replica.Placement{Leaf: replica.Leaf{ID: id}}
			table.End(table.Begin(p, "r", at(1990)), replica.Answered, at(2000))
		}
	}
	q = New(table, q.route, defaultOptions(), Params{Start: at(2000), Deadline: at(5000)})
	requests, refusal := q.Start(at(2000))
	require.Nil(t, refusal)
	require.Len(t, requests, 1)
	require.Equal(t, Overloaded, q.ShardStatus(0))
	table.Remove("b0", at(2001))
	table.Remove("b1", at(2001))
	requests = q.HandleReply(1, 0, replica.ReplyLost, at(2010))
	require.Len(t, requests, 1)
	require.Equal(t, ReasonFirst, requests[0].Reason, "a first request does not use the budget")
	require.Equal(t, at(5000), requests[0].Deadline, "a reply after the target is still useful")
	require.Equal(t, Running, q.State(at(2500)))
	q.HandleReply(0, 0, replica.Answered, at(4000))
	require.Equal(t, Complete, q.State(at(4000)))
}

// A query whose caller retries during an overload is held without running. It is started when the
// leafs answer in time again, or refused while the caller still has time to retry.
func TestRetriedQueryIsHeldUntilLeafsHaveCapacity(t *testing.T) {
	_, table := twoShardQuery()
	route := &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"a", "b"}, MinShardShare: 1, MaxAttempts: 2, TargetLatency: 200 * time.Millisecond}
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 20 {
			table.End(table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", epoch), replica.Answered, at(1000))
		}
	}
	table.AdmitProbe("r", at(1000))
	_, refusal := New(table, route, defaultOptions(), Params{Start: at(1000), Deadline: at(4000)}).Start(at(1000))
	require.True(t, refusal.Overloaded)
	q := New(table, route, defaultOptions(), Params{Start: at(1000), Deadline: at(3750), CallerRetried: true})
	requests, refusal := q.Start(at(1000))
	require.Nil(t, refusal)
	require.Empty(t, requests)
	require.False(t, q.MayHaveRun())
	require.Equal(t, at(1025), q.NextCheck(at(1000)))
	require.Empty(t, q.Tick(at(1100)))
	require.Equal(t, Running, q.State(at(1100)))
	require.Equal(t, 100*time.Millisecond, q.HeldFor(at(1100)))

	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 20 {
			table.End(table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", at(1100)), replica.Answered, at(1120))
		}
	}
	require.Len(t, q.Tick(at(1200)), 2)
	require.Zero(t, q.HeldFor(at(1200)))
	require.Equal(t, Running, q.State(at(3100)), "an answer after the target is still useful")
	q.HandleReply(0, 0, replica.Answered, at(3200))
	q.HandleReply(1, 0, replica.Answered, at(3210))
	require.Equal(t, Complete, q.State(at(3210)))
}

// Guards against callers that are held for most of their time and then refused. An overload
// lasts; one caller after the other retries, is held for capacity and gets none. The cause was
// holding every retry, whatever the result of the earlier ones.
func TestQueriesAreNotHeldInLastingOverload(t *testing.T) {
	_, table := twoShardQuery()
	route := &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"a", "b"}, MinShardShare: 1, MaxAttempts: 2, TargetLatency: 200 * time.Millisecond}
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 20 {
			table.End(table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", epoch), replica.Answered, at(1000))
		}
	}
	ask := func(ms int) (*Query, *Refusal) {
		table.AdmitProbe("r", at(ms))
		q := New(table, route, defaultOptions(), Params{Start: at(ms), Deadline: at(ms + 2750), CallerRetried: true})
		_, refusal := q.Start(at(ms))
		return q, refusal
	}
	first, refusal := ask(1000)
	require.Nil(t, refusal)
	later, refusal := ask(1500)
	require.Nil(t, refusal, "no held query has ended yet")
	require.Empty(t, first.Tick(at(1790)))
	require.Equal(t, Running, first.State(at(1790)))
	require.Empty(t, first.Tick(at(1800)))
	require.Equal(t, Insufficient, first.State(at(1800)))
	require.False(t, first.MayHaveRun())
	require.Empty(t, later.Tick(at(1825)), "it ends together with the first one")
	require.Equal(t, Insufficient, later.State(at(1825)))
	held := 0
	for ms := 1900; ms < 5800; ms += 200 {
		_, refusal := ask(ms)
		if refusal == nil {
			held++
			continue
		}
		require.True(t, refusal.Overloaded)
		require.Equal(t, OverloadRetryAfter, refusal.RetryAfter)
	}
	require.LessOrEqual(t, held, 2, "one query every two seconds is held to detect free capacity")
}

// The second request for a slow shard is sent once, to the other leaf, and only within the
// budget.
func TestSecondRequestsStayWithinBudget(t *testing.T) {
	q, table := twoShardQuery()
	first := startAll(t, q)
	require.Empty(t, q.Tick(at(40)))
	requests := q.Tick(at(60))
	require.Len(t, requests, 2)
	for i, s := range requests {
		require.NotEqual(t, first[i].Call.Leaf.ID, s.Call.Leaf.ID)
	}
	require.Empty(t, q.Tick(at(100)))
	require.False(t, table.TakeSecondRequestBudget("a", at(100)), "the burst of one request is used up")
}

func TestRequestDeadlineIsTargetLatency(t *testing.T) {
	q, _ := twoShardQuery()
	require.Equal(t, at(200), startAll(t, q)[0].Deadline)
}

func TestDuplicateReplyIsIgnored(t *testing.T) {
	q, _ := twoShardQuery()
	startAll(t, q)
	q.HandleReply(0, 0, replica.Answered, at(10))
	require.Empty(t, q.HandleReply(0, 0, replica.ReplyLost, at(11)), "a request has only one outcome")
	require.Equal(t, 1, q.CoveredShards())
}

// Guards against an instance that refuses every query indefinitely after a restart during an
// overload. Its first replies are all late. Without probes, every query is then refused and no
// reply ever corrects the estimates.
func TestRefusingInstanceRecoversThroughProbes(t *testing.T) {
	q, table := twoShardQuery()
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 20 {
			p := replica.Placement{Leaf: replica.Leaf{ID: id, Services: []string{id[:1]}, Zone: "z"}}
			table.End(table.Begin(p, "r", epoch), replica.Answered, at(1000))
		}
	}
	admitted := 0
	for ms := 1000; ms < 60000; ms += 50 {
		q = New(table, q.route, defaultOptions(), Params{Start: at(ms), Deadline: at(ms + 3000)})
		requests, refusal := q.Start(at(ms))
		if refusal != nil {
			continue
		}
		admitted++
		for _, s := range requests {
			table.End(s.Call, replica.Answered, at(ms+20))
		}
	}
	require.Greater(t, admitted, 600, "of 1180 queries")
}

// A query with a shard that cannot be asked again ends when half of the time after the target has
// passed.
func TestLateQueryEndsWhenNoBudgetIsLeft(t *testing.T) {
	q, table := twoShardQuery()
	q.requiredShards = 2
	startAll(t, q)
	q.HandleReply(0, 0, replica.Answered, at(20))
	for table.TakeSecondRequestBudget("b", at(20)) {
		continue
	}
	q.HandleReply(1, 0, replica.TimedOut, at(150))
	require.Equal(t, Running, q.State(at(150)), "budget may become available before the target")
	q.Tick(at(195))
	require.Equal(t, Running, q.State(at(195)), "an answer after the target is still useful")
	q.Tick(at(1600))
	require.Equal(t, Insufficient, q.State(at(1600)))
}

// A query whose shards lack only a free connection is refused as overload, with a short retry
// delay; one whose leafs are gone is not.
func TestRefusalTellsBusyFromUnreachable(t *testing.T) {
	q, table := twoShardQuery()
	for range 4 {
		for _, id := range []string{"a0", "a1", "b0", "b1"} {
			table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", epoch)
		}
	}
	_, refusal := q.Start(epoch)
	require.NotNil(t, refusal)
	require.True(t, refusal.Overloaded)
	require.Equal(t, 2, refusal.Busy)
	require.Equal(t, OverloadRetryAfter, refusal.RetryAfter)

	q, table = twoShardQuery()
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		table.Remove(id, epoch)
	}
	_, refusal = q.Start(epoch)
	require.False(t, refusal.Overloaded)
	require.Equal(t, 2, refusal.Unreachable)
	require.Equal(t, unreachableRetryAfter, refusal.RetryAfter)
}
