package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

func TestNeed(t *testing.T) {
	for _, tc := range []struct {
		n    int
		min  float64
		want int
	}{{20, 0.89, 18}, {20, 0.9, 18}, {20, 0.75, 15}, {30, 0.9, 27}, {3, 0, 1}, {10, 1, 10}, {7, 0.5, 4}} {
		require.Equal(t, tc.want, RequiredShards(tc.n, tc.min), "%v", tc)
	}
}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// fixture is a query over two shards of two leafs each; one shard is enough.
func fixture() (*Query, *replica.Table) {
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
	return New(table, route, standard(), Params{Start: epoch, Deadline: at(3000)}), table
}

func startAll(t *testing.T, q *Query) []Request {
	t.Helper()
	sends, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	require.Len(t, sends, 2)
	return sends
}

func TestCompleteWhenEveryShardIsIn(t *testing.T) {
	q, _ := fixture()
	startAll(t, q)
	q.HandleReply(0, 0, replica.Answered, at(20))
	require.Equal(t, Running, q.State(at(20)))
	q.HandleReply(1, 0, replica.Answered, at(25))
	require.Equal(t, Complete, q.State(at(25)))
}

func TestEnoughAtTheTarget(t *testing.T) {
	q, _ := fixture()
	startAll(t, q)
	q.HandleReply(0, 0, replica.Answered, at(20))
	require.Equal(t, Running, q.State(at(194)))
	require.Equal(t, Complete, q.State(at(195)), "the target less the margin")
	require.Equal(t, Covered, q.ShardStatus(0))
	require.Equal(t, Unanswered, q.ShardStatus(1))
}

// A route that may miss nothing is refused at a smaller expected loss than one
// that may miss five shards, at the same chance.
func TestAtMost(t *testing.T) {
	for _, tc := range []struct {
		n    int
		mean float64
		want float64
	}{{0, 0, 1}, {0, 1, 0.368}, {0, 2, 0.135}, {2, 4, 0.238}, {5, 7, 0.301}, {5, 0.1, 1}} {
		require.InDelta(t, tc.want, atMost(tc.n, tc.mean), 0.001, "%v", tc)
	}
}

// Symptom: a short burst leaves shards out although their leafs answer within
// milliseconds. Sequence: the connections to both leafs of a shard are in use when
// the query comes, and one is free again 5 ms later. Cause it guards against:
// leaving out at once what a query for every shard has time to wait for.
func TestQueryForEveryShardWaitsForAConnection(t *testing.T) {
	_, table := fixture()
	route := &routing.Route{Name: "r", Shards: []string{"a", "b"}, MaxAttempts: 2}
	var busy []*replica.Call
	for _, id := range []string{"a0", "a1"} {
		for range 2 {
			busy = append(busy, table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", epoch))
		}
	}
	q := New(table, route, Options{}, Params{Start: epoch, Deadline: at(300)})
	sends, refusal := q.Start(epoch)
	require.Nil(t, refusal)
	require.Len(t, sends, 1, "the other shard's request")
	require.Equal(t, AllBusy, q.ShardStatus(0))
	require.Empty(t, q.Tick(q.NextCheck(epoch)))
	table.End(busy[0], replica.Answered, at(5))
	sends = q.Tick(at(6))
	require.Len(t, sends, 1)
	require.Equal(t, ReasonFirst, sends[0].Reason)
	q.HandleReply(1, 0, replica.Answered, at(6))
	q.HandleReply(0, 0, replica.Answered, at(7))
	require.Equal(t, Complete, q.State(at(7)))
}

// Symptom: queries fail within milliseconds although a leaf is free again at once, and
// their callers storm back until descriptors run out. Sequence: a shard's leaf refuses
// while the connections to the other one are in use. Cause it guards against: giving the
// shard up for want of room, in a query that has no target to give up for.
func TestQueryForEveryShardWaitsForRoomAfterAFailure(t *testing.T) {
	_, table := fixture()
	route := &routing.Route{Name: "r", Shards: []string{"a", "b"}, MaxAttempts: 2}
	q := New(table, route, Options{}, Params{Start: epoch, Deadline: at(300)})
	sends, _ := q.Start(epoch)
	other := map[string]string{"a0": "a1", "a1": "a0"}[sends[0].Call.Leaf.ID]
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

// A query for every shard that may send no second request answers at once with
// what it has, and does not wait for a budget that refills over ten seconds.
func TestQueryForEveryShardGivesUpWithoutBudget(t *testing.T) {
	_, table := fixture()
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

func TestTooFewAtTheTargetWaitsOn(t *testing.T) {
	q, _ := fixture()
	startAll(t, q)
	require.Equal(t, Running, q.State(at(500)))
	q.HandleReply(0, 0, replica.Answered, at(510))
	require.Equal(t, Complete, q.State(at(510)))
	require.Equal(t, Expired, func() State { q, _ := fixture(); startAll(t, q); return q.State(at(3000)) }())
}

// A query whose leafs all failed ends at once when none is left, and without budget
// when half of the time after the target is over: not held to its deadline.
func TestFailedShardsEndTheQueryInTime(t *testing.T) {
	q, _ := fixture()
	startAll(t, q)
	for i := range 2 {
		require.Len(t, q.HandleReply(i, 0, replica.Broken, at(5)), 1, "the other leaf is asked")
		require.Empty(t, q.HandleReply(i, 1, replica.Broken, at(9)))
	}
	require.True(t, q.MayHaveRun())
	require.Empty(t, q.Tick(at(1500)), "no budget")
	require.Equal(t, Running, q.State(at(1500)))
	require.Empty(t, q.Tick(at(1600)))
	require.Equal(t, Insufficient, q.State(at(1600)))

	q, table := fixture()
	startAll(t, q)
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		table.Remove(id, at(3))
	}
	for i := range 2 {
		require.Empty(t, q.HandleReply(i, 0, replica.Broken, at(5)))
	}
	require.Equal(t, Insufficient, q.State(at(5)))
}

// Symptom: a query fails at the target with seconds of patience left. Sequence: a shard
// is left out because its leafs would be late; then the leafs of another one fail.
// Cause: the shard that was left out was never asked.
func TestShardLeftOutIsAskedWhenTheAnswerCanOnlyBeLate(t *testing.T) {
	q, table := fixture()
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
	q = New(table, q.route, standard(), Params{Start: at(2000), Deadline: at(5000)})
	sends, refusal := q.Start(at(2000))
	require.Nil(t, refusal)
	require.Len(t, sends, 1)
	require.Equal(t, Overloaded, q.ShardStatus(0))
	table.Remove("b0", at(2001))
	table.Remove("b1", at(2001))
	sends = q.HandleReply(1, 0, replica.Broken, at(2010))
	require.Len(t, sends, 1)
	require.Equal(t, ReasonFirst, sends[0].Reason, "on no budget")
	require.Equal(t, at(5000), sends[0].Deadline, "a late reply is of use")
	require.Equal(t, Running, q.State(at(2500)))
	q.HandleReply(0, 0, replica.Answered, at(4000))
	require.Equal(t, Complete, q.State(at(4000)))
}

// A caller that comes again into an overload waits unrun for room: it is started when
// the leafs answer in time again, or refused while it still has time to come again.
func TestReturnedCallerIsHeldForRoom(t *testing.T) {
	_, table := fixture()
	route := &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"a", "b"}, MinShardShare: 1, MaxAttempts: 2, TargetLatency: 200 * time.Millisecond}
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 20 {
			table.End(table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", epoch), replica.Answered, at(1000))
		}
	}
	table.AdmitProbe("r", at(1000))
	_, refusal := New(table, route, standard(), Params{Start: at(1000), Deadline: at(4000)}).Start(at(1000))
	require.True(t, refusal.Overloaded)
	q := New(table, route, standard(), Params{Start: at(1000), Deadline: at(3750), CallerRetried: true})
	sends, refusal := q.Start(at(1000))
	require.Nil(t, refusal)
	require.Empty(t, sends)
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
	require.Equal(t, Running, q.State(at(3100)), "a late answer is of use")
	q.HandleReply(0, 0, replica.Answered, at(3200))
	q.HandleReply(1, 0, replica.Answered, at(3210))
	require.Equal(t, Complete, q.State(at(3210)))
}

// Symptom: callers are kept for most of their time and then refused. Sequence: an overload
// lasts on; one caller after the other comes again, is held for room and finds none. Cause
// it guards against: holding whoever comes again, whatever came of the ones before.
func TestNobodyIsHeldWithoutHope(t *testing.T) {
	_, table := fixture()
	route := &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"a", "b"}, MinShardShare: 1, MaxAttempts: 2, TargetLatency: 200 * time.Millisecond}
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 20 {
			table.End(table.Begin(replica.Placement{Leaf: replica.Leaf{ID: id}}, "r", epoch), replica.Answered, at(1000))
		}
	}
	ask := func(ms int) (*Query, *Refusal) {
		table.AdmitProbe("r", at(ms))
		q := New(table, route, standard(), Params{Start: at(ms), Deadline: at(ms + 2750), CallerRetried: true})
		_, refusal := q.Start(at(ms))
		return q, refusal
	}
	first, refusal := ask(1000)
	require.Nil(t, refusal)
	later, refusal := ask(1500)
	require.Nil(t, refusal, "nothing is known yet")
	require.Empty(t, first.Tick(at(1790)))
	require.Equal(t, Running, first.State(at(1790)))
	require.Empty(t, first.Tick(at(1800)))
	require.Equal(t, Insufficient, first.State(at(1800)))
	require.False(t, first.MayHaveRun())
	require.Empty(t, later.Tick(at(1825)), "it is told as well")
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
	require.LessOrEqual(t, held, 2, "one each two seconds finds out whether there is room again")
}

// The second request for a slow shard is sent once, to the other leaf, and only
// while the budget has room.
func TestSecondRequestKeepsToTheBudget(t *testing.T) {
	q, table := fixture()
	first := startAll(t, q)
	require.Empty(t, q.Tick(at(40)))
	sends := q.Tick(at(60))
	require.Len(t, sends, 2)
	for i, s := range sends {
		require.NotEqual(t, first[i].Call.Leaf.ID, s.Call.Leaf.ID)
	}
	require.Empty(t, q.Tick(at(100)))
	require.False(t, table.TakeSecondRequestBudget("a", at(100)), "a burst of one is used up")
}

func TestDeadlineHandedOnIsTheTarget(t *testing.T) {
	q, _ := fixture()
	require.Equal(t, at(200), startAll(t, q)[0].Deadline)
}

func TestOutOfRangeRepliesAreIgnored(t *testing.T) {
	q, _ := fixture()
	startAll(t, q)
	q.HandleReply(0, 0, replica.Answered, at(10))
	require.Empty(t, q.HandleReply(0, 0, replica.Broken, at(11)), "an attempt ends once")
	require.Equal(t, 1, q.CoveredShards())
}

// Symptom: an instance refuses every query for good after a restart in the
// middle of an overload. Sequence: its first replies are all late; every query is
// then refused, so that no reply corrects the estimates. Cause: no probe.
func TestRefusingInstanceFindsBack(t *testing.T) {
	q, table := fixture()
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		for range 20 {
			p := replica.Placement{Leaf: replica.Leaf{ID: id, Services: []string{id[:1]}, Zone: "z"}}
			table.End(table.Begin(p, "r", epoch), replica.Answered, at(1000))
		}
	}
	admitted := 0
	for ms := 1000; ms < 60000; ms += 50 {
		q = New(table, q.route, standard(), Params{Start: at(ms), Deadline: at(ms + 3000)})
		sends, refusal := q.Start(at(ms))
		if refusal != nil {
			continue
		}
		admitted++
		for _, s := range sends {
			table.End(s.Call, replica.Answered, at(ms+20))
		}
	}
	require.Greater(t, admitted, 600, "of 1180")
}

// A shard that cannot be asked again ends the query when half of the time after the
// target is over.
func TestLateQueryGivesUpWhatItCannotAsk(t *testing.T) {
	q, table := fixture()
	q.need = 2
	startAll(t, q)
	q.HandleReply(0, 0, replica.Answered, at(20))
	for table.TakeSecondRequestBudget("b", at(20)) {
		continue
	}
	q.HandleReply(1, 0, replica.TimedOut, at(150))
	require.Equal(t, Running, q.State(at(150)), "the budget may have room before the target")
	q.Tick(at(195))
	require.Equal(t, Running, q.State(at(195)), "a late answer is of use, and the caller has time")
	q.Tick(at(1600))
	require.Equal(t, Insufficient, q.State(at(1600)))
}

// A query whose shards only lack a free connection is refused as overload, with a
// short hint; one whose leafs are gone is not.
func TestRefusalsSayWhy(t *testing.T) {
	q, table := fixture()
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

	q, table = fixture()
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		table.Remove(id, epoch)
	}
	_, refusal = q.Start(epoch)
	require.False(t, refusal.Overloaded)
	require.Equal(t, 2, refusal.Unreachable)
	require.Equal(t, retryUnreachable, refusal.RetryAfter)
}
