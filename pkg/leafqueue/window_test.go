package leafqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// windowOf returns the window of the only leaf of a queue.
func windowOf(t *testing.T, q *Queue, now time.Time) float64 {
	leafs := q.Dump(now).Leafs
	require.Len(t, leafs, 1)
	return leafs[0].Window
}

// Guards against instances that together start with far more requests than a leaf has slots, and
// against windows without bounds.
func TestInitialWindowIsShareOfSlots(t *testing.T) {
	for _, tc := range []struct {
		slots, runners int
		want           float64
	}{{6, 1, 6}, {6, 2, 3}, {6, 4, 1.5}, {6, 8, 1}, {0, 8, 1}, {6, 0, 6}, {6, -3, 6}, {1000, 1, 1000}} {
		l := newLeafState(replica.Leaf{Slots: tc.slots}, max(tc.runners, 1), t0)
		require.InDelta(t, tc.want, l.window, 1e-9, "%v", tc)
	}
}

// runOne starts a request and ends it with an outcome, with the window full.
func runOne(t *testing.T, q *Queue, table *replica.Table, outcome replica.Outcome, latency time.Duration, now *time.Time) {
	r := attemptAt(*now)
	require.Equal(t, Started, q.Submit(r, *now).Verdict)
	r.Lease.windowFull = true
	*now = now.Add(latency)
	end(q, table, r, outcome, latency, *now)
	*now = now.Add(3 * time.Second) // After the rest.
}

// Guards against windows that do not follow the leaf: replies within twice the typical latency raise
// them up to twice the slots, rejections and late replies reduce them, never below 1.
func TestWindowFollowsOutcomes(t *testing.T) {
	table := newTable(1, 4)
	q := New("s", table, 2)
	now := t0
	runOne(t, q, table, replica.Answered, 20*time.Millisecond, &now)
	require.InDelta(t, 2.5, windowOf(t, q, now), 1e-9)
	runOne(t, q, table, replica.Answered, 20*time.Millisecond, &now)
	require.InDelta(t, 2.9, windowOf(t, q, now), 1e-9)
	runOne(t, q, table, replica.Answered, 100*time.Millisecond, &now)
	require.InDelta(t, 2.9, windowOf(t, q, now), 1e-9, "neither quick nor late")
	runOne(t, q, table, replica.Answered, 600*time.Millisecond, &now)
	require.InDelta(t, 2.61, windowOf(t, q, now), 1e-9)
	runOne(t, q, table, replica.Refused, time.Millisecond, &now)
	require.InDelta(t, 2.61*0.7, windowOf(t, q, now), 1e-9)
	for _, o := range []replica.Outcome{replica.NotSent, replica.Misdirected, replica.PeerRefused, replica.ReplyLost} {
		before := windowOf(t, q, now)
		r := attemptAt(now)
		require.Equal(t, Started, q.Submit(r, now).Verdict, o.String())
		table.End(r.Lease.Call, replica.PeerRefused, now)
		q.Done(&r.Lease, o, time.Millisecond, now)
		require.InDelta(t, before, windowOf(t, q, now), 1e-9, o.String())
	}
	for range 20 {
		runOne(t, q, table, replica.Refused, time.Millisecond, &now)
		require.GreaterOrEqual(t, windowOf(t, q, now), 1.0)
	}
	require.InDelta(t, 1, windowOf(t, q, now), 1e-9)
	for range 200 {
		runOne(t, q, table, replica.Answered, 20*time.Millisecond, &now)
	}
	require.InDelta(t, 8, windowOf(t, q, now), 1e-9, "at most twice the slots")
}

// Guards against one overload of a leaf reducing the window once for each request in flight.
func TestWindowIsReducedOncePerReplyTime(t *testing.T) {
	table := newTable(1, 10)
	q := New("s", table, 1)
	started, waiting := fill(t, q, t0)
	require.Len(t, started, 10)
	for i, r := range started {
		end(q, table, r, replica.Refused, time.Duration(i+1)*time.Millisecond, at(i+1))
	}
	require.InDelta(t, 7, windowOf(t, q, at(10)), 1e-9)
	require.Equal(t, 1, q.Dump(at(10)).Waiting)
	q.Leave(waiting, at(10))
	r := attemptAt(at(11))
	require.Equal(t, Started, q.Submit(r, at(11)).Verdict)
	end(q, table, r, replica.Refused, time.Millisecond, at(12))
	require.InDelta(t, 7, windowOf(t, q, at(12)), 1e-9, "within a typical reply time")
}

// Guards against windows that grow at low load, when replies say nothing about the capacity, and
// would then fill the leaf's queue at the start of an overload.
func TestWindowDoesNotGrowAtLowLoad(t *testing.T) {
	table := newTable(1, 4)
	q := New("s", table, 2)
	for i := range 100 {
		now := at(100 * i)
		r := attemptAt(now)
		require.Equal(t, Started, q.Submit(r, now).Verdict)
		end(q, table, r, replica.Answered, 20*time.Millisecond, now.Add(20*time.Millisecond))
	}
	require.InDelta(t, 2, windowOf(t, q, at(10000)), 1e-9)
}

// Guards against a leaf that restarts under its ID, or is removed and listed again, keeping the
// window and the requests in flight of the previous process.
func TestNewIncarnationStartsWithNewWindow(t *testing.T) {
	for name, renew := range map[string]func(*replica.Table){
		"restarted": func(table *replica.Table) {
			leaf := leafOf(0, 6)
			leaf.StartedAt = at(50)
			require.Equal(t, replica.Restarted, table.Upsert(leaf, at(60)))
		},
		"removed and listed again": func(table *replica.Table) {
			require.True(t, table.Remove("leaf0", at(50)))
			require.Equal(t, replica.Joined, table.Upsert(leafOf(0, 6), at(60)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(1, 6)
			q := New("s", table, 3)
			started, waiting := fill(t, q, t0)
			require.Len(t, started, 3)
			end(q, table, started[0], replica.Refused, time.Millisecond, at(1))
			require.Empty(t, q.Next(at(1), nil), "the window has shrunk to 1.4 with 2 in flight")
			renew(table)
			next := q.Next(at(61), nil)
			require.Len(t, next, 1)
			require.Same(t, waiting, next[0].Request)
			for _, want := range []Verdict{Started, Waiting} {
				require.Equal(t, want, q.Submit(attemptAt(at(62)), at(62)).Verdict)
				congest(q)
			}
			// The requests of the previous process end there.
			end(q, table, started[1], replica.ReplyLost, 70*time.Millisecond, at(70))
			end(q, table, started[2], replica.ReplyLost, 70*time.Millisecond, at(70))
			require.Empty(t, q.Next(at(70), nil))
			require.Len(t, q.leafs, 2)
			q.Sweep(at(71 + int(stateTTL.Milliseconds())))
			require.Len(t, q.leafs, 1, "the state of the previous process is forgotten")
		})
	}
}

// Guards against leafs whose work alone takes more than the quick fraction of the target latency
// being taken for full forever, so that their windows could not grow.
func TestWindowGrowsWhereWorkIsLong(t *testing.T) {
	table := newTable(1, 4)
	q := New("s", table, 4)
	now := t0
	for range 50 {
		runOne(t, q, table, replica.Answered, 400*time.Millisecond, &now)
	}
	require.InDelta(t, 8, windowOf(t, q, now), 1e-9)
}

// Guards against a leaf whose queue no window can limit, since each of many instances has one request
// there: it rests earlier and longer than a leaf with more slots.
func TestCrowdedLeafRestsEarlierAndLonger(t *testing.T) {
	for _, tc := range []struct {
		slots, runners int
		// late and quick are the rests in milliseconds after a reply at 0.47 of the target and after
		// a quick one.
		late, quick int64
	}{{3, 6, 0, 0}, {3, 7, 20, 17}, {3, 8, 20, 17}, {0, 8, 0, 0}} {
		table := newTable(1, tc.slots)
		q := New("s", table, tc.runners)
		now := t0
		runOne(t, q, table, replica.Answered, 470*time.Millisecond, &now)
		require.Equal(t, tc.late, q.Dump(now).Leafs[0].RestMs, "%v", tc)
		runOne(t, q, table, replica.Answered, 20*time.Millisecond, &now)
		require.Equal(t, tc.quick, q.Dump(now).Leafs[0].RestMs, "%v", tc)
	}
}
