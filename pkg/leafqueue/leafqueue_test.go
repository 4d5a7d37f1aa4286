package leafqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

var t0 = time.Unix(10000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

const testTarget = time.Second

// newTable returns a table with n leafs of a service "s".
func newTable(n, slots int) *replica.Table {
	table := replica.NewTable(replica.Options{
		Zone: "z", OtherZoneFactor: 1.6, ConnsPerLeaf: 64, Instances: 1,
		Budget: replica.BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 2},
	})
	for i := range n {
		table.Upsert(leafOf(i, slots), t0)
	}
	return table
}

func leafOf(i, slots int) replica.Leaf {
	return replica.Leaf{ID: fmt.Sprint("leaf", i), Services: []string{"s"}, Zone: "z", Slots: slots, StartedAt: t0}
}

// attemptAt returns an attempt that arrives at a time.
func attemptAt(now time.Time) *Request {
	return &Request{Class: "r", Rank: 2, Target: testTarget, StartBy: now.Add(MaxWait(testTarget))}
}

// end ends a started request.
func end(q *Queue, table *replica.Table, r *Request, outcome replica.Outcome, latency time.Duration, now time.Time) {
	table.EndWithLatency(r.Lease.Call, outcome, latency, now)
	q.Done(&r.Lease, outcome, latency, now)
}

// fill starts requests until one waits, and returns those that started and the one that waits.
func fill(t *testing.T, q *Queue, now time.Time) (started []*Request, waiting *Request) {
	for {
		r := attemptAt(now)
		switch d := q.Submit(r, now); d.Verdict {
		case Started:
			started = append(started, r)
		case Waiting:
			return started, r
		default:
			require.Fail(t, "neither started nor waiting", d.Verdict.String())
		}
	}
}

// congest marks the leafs as having no capacity left, so that their windows are not exceeded.
func congest(q *Queue) {
	for _, l := range q.leafs {
		l.congested = true
	}
}

// newFullQueue returns a queue of one leaf with a window of 1 that is full, and the request there.
func newFullQueue(t *testing.T) (*Queue, *replica.Table, *Request) {
	table := newTable(1, 1)
	q := New("s", table, 1)
	r := attemptAt(t0)
	require.Equal(t, Started, q.Submit(r, t0).Verdict)
	congest(q)
	return q, table, r
}

// Guards against less urgent requests, or new callers, starting before others.
func TestOrderIsRankThenReturningThenArrival(t *testing.T) {
	q, table, running := newFullQueue(t)
	add := func(name string, rank int, again, returning bool) {
		r := attemptAt(t0)
		r.Rank, r.Again, r.Returning, r.Owner = rank, again, returning, name
		require.Equal(t, Waiting, q.Submit(r, t0).Verdict)
	}
	add("new 1", 2, false, false)
	add("new 2", 2, false, false)
	add("returning", 2, false, true)
	add("again", 2, true, false)
	add("less urgent", 3, false, true)
	add("urgent", 0, false, false)
	var got []any
	for i := range 6 {
		end(q, table, running, replica.Answered, 20*time.Millisecond, at(i+1))
		congest(q)
		started := q.Next(at(i+1), nil)
		require.Len(t, started, 1)
		require.Equal(t, Started, started[0].Verdict)
		running = started[0].Request
		got = append(got, running.Owner)
	}
	require.Equal(t, []any{"urgent", "again", "returning", "new 1", "new 2", "less urgent"}, got)
}

// Guards against holding callers that cannot be served in time: one is refused at once if its
// expected start is later than it may wait, and the others are dropped when their time is over.
func TestLateStartIsRefusedOrDropped(t *testing.T) {
	q, table, running := newFullQueue(t)
	end(q, table, running, replica.Answered, 100*time.Millisecond, at(100))
	running = attemptAt(at(100))
	require.Equal(t, Started, q.Submit(running, at(100)).Verdict)
	congest(q)
	var d Decision
	waiting := 0
	for d = q.Submit(attemptAt(at(100)), at(100)); d.Verdict == Waiting; d = q.Submit(attemptAt(at(100)), at(100)) {
		waiting++
	}
	// One start in 100 ms is expected, and requests may wait for 220 ms.
	require.Equal(t, 3, waiting)
	require.Equal(t, Refused, d.Verdict)
	require.Equal(t, 300*time.Millisecond, d.ExpectedStart)
	require.Equal(t, 400*time.Millisecond, d.DrainTime)
	require.Equal(t, 3, d.Waiting)
	require.InDelta(t, 1, d.WindowSum, 1)
	wake, ok := q.WakeAt(at(319))
	require.True(t, ok)
	require.Equal(t, at(320), wake)
	require.Empty(t, q.Next(at(319), nil))
	dropped := q.Next(at(320), nil)
	require.Len(t, dropped, 3)
	for _, d := range dropped {
		require.Equal(t, Dropped, d.Verdict)
		_, left := q.Leave(d.Request, at(320))
		require.False(t, left)
	}
	end(q, table, running, replica.Answered, 240*time.Millisecond, at(320))
	require.Empty(t, q.Next(at(320), nil), "a dropped request does not start")
	_, ok = q.WakeAt(at(320))
	require.False(t, ok)
}

// Guards against refusing requests because of slow leafs although they would take no room from
// others.
func TestRequestThatNeedNotWaitStartsAtSlowLeaf(t *testing.T) {
	table := newTable(1, 2)
	q := New("s", table, 8)
	now := t0
	for range 20 {
		r := attemptAt(now)
		require.Equal(t, Started, q.Submit(r, now).Verdict)
		now = now.Add(3 * time.Second)
		end(q, table, r, replica.Answered, 3*time.Second, now)
	}
	require.Positive(t, q.Dump(now).Leafs[0].RestMs)
}

// Guards against more requests in flight at a slow leaf than it can answer in time: while others
// wait, it rests between requests.
func TestSlowLeafRestsWhileRequestsWait(t *testing.T) {
	q, table, running := newFullQueue(t)
	_, waiting := fill(t, q, at(750))
	end(q, table, running, replica.Answered, 800*time.Millisecond, at(800))
	require.Empty(t, q.Next(at(800), nil))
	require.Empty(t, q.Next(at(960), nil))
	q.Leave(waiting, at(960))
	require.Equal(t, Waiting, q.Submit(attemptAt(at(961)), at(961)).Verdict)
	require.Len(t, q.Next(at(1100), nil), 1, "300 ms after a reply that was 300 ms late")
}

// Guards against one request that has tried some leafs, or may not use them, blocking the others.
func TestRequestWithoutUsableLeafBlocksNoOther(t *testing.T) {
	table := newTable(2, 1)
	q := New("s", table, 1)
	a, b := attemptAt(t0), attemptAt(t0)
	require.Equal(t, Started, q.Submit(a, t0).Verdict)
	require.Equal(t, Started, q.Submit(b, t0).Verdict)
	congest(q)
	again, other := attemptAt(t0), attemptAt(t0)
	again.Again, again.Tried = true, []string{a.Lease.Placement.Leaf.ID}
	require.Equal(t, Waiting, q.Submit(again, t0).Verdict)
	require.Equal(t, Waiting, q.Submit(other, t0).Verdict)
	end(q, table, a, replica.Answered, 20*time.Millisecond, at(20))
	started := q.Next(at(20), nil)
	require.Len(t, started, 1)
	require.Same(t, other, started[0].Request)
}

// Guards against requests that wait for nothing: if all leafs are down or gone, they end at the next
// call of Next.
func TestWaitingRequestsEndWhenNoLeafIsLeft(t *testing.T) {
	q, table, running := newFullQueue(t)
	_, waiting := fill(t, q, t0)
	table.Remove("leaf0", at(5))
	ended := q.Next(at(5), nil)
	require.Len(t, ended, 1)
	require.Same(t, waiting, ended[0].Request)
	require.Equal(t, Unavailable, ended[0].Verdict)
	require.Equal(t, Unavailable, q.Submit(attemptAt(at(6)), at(6)).Verdict)
	end(q, table, running, replica.ReplyLost, 10*time.Millisecond, at(10))
}

// Guards against exceeding the budget of second requests through the queue.
func TestFurtherAttemptsTakeBudget(t *testing.T) {
	table := newTable(3, 6)
	q := New("s", table, 1)
	verdicts := map[Verdict]int{}
	for range 10 {
		r := attemptAt(t0)
		r.Again, r.Tried = true, []string{"leaf0"}
		verdicts[q.Submit(r, t0).Verdict]++
	}
	require.Equal(t, map[Verdict]int{Started: 2, Unavailable: 8}, verdicts)
}

// Guards against hedges that take the room of requests that wait, or exceed a window.
func TestHedgeOnlyWhileNothingWaits(t *testing.T) {
	table := newTable(2, 1)
	q := New("s", table, 1)
	first := attemptAt(t0)
	require.Equal(t, Started, q.Submit(first, t0).Verdict)
	hedge := func() *Request {
		r := attemptAt(t0)
		r.Again, r.Tried = true, []string{first.Lease.Placement.Leaf.ID}
		return r
	}
	h := hedge()
	require.True(t, q.Hedge(h, at(1)))
	require.False(t, q.Hedge(hedge(), at(1)), "no leaf has room")
	congest(q)
	_, waiting := fill(t, q, at(2))
	end(q, table, h, replica.Answered, 20*time.Millisecond, at(20))
	require.False(t, q.Hedge(hedge(), at(20)), "a request waits")
	require.Len(t, q.Next(at(20), nil), 1)
	require.True(t, waiting.Lease.Call != nil)
}

// Guards against unbounded memory when the measured rate is far too high.
func TestQueueIsBounded(t *testing.T) {
	q, _, _ := newFullQueue(t)
	q.meanLatency = time.Nanosecond
	n := 0
	for q.Submit(attemptAt(t0), t0).Verdict == Waiting {
		n++
	}
	require.Equal(t, maxWaiting, n)
}
