package leafqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// fixedPlacer chooses the leafs in turn, so that the benchmarks measure the decisions of the queue
// without the placement.
type fixedPlacer struct {
	n    int
	next uint64
	call replica.Call
	busy bool
}

func (f *fixedPlacer) PlaceWithRoom(_, _ string, _ []string, hasRoom replica.RoomFunc, _ time.Time) (replica.Placement, replica.PlaceResult) {
	f.next = (f.next + 1) % uint64(f.n)
	if !hasRoom(f.next, 1<<20) || f.busy {
		return replica.Placement{}, replica.AllBusy
	}
	return replica.Placement{Record: f.next, Leaf: replica.Leaf{Slots: 1 << 20}}, replica.Placed
}
func (f *fixedPlacer) TakeSecondRequestBudget(string, time.Time) bool { return true }
func (f *fixedPlacer) Begin(replica.Placement, string, time.Time) *replica.Call {
	return &f.call
}
func (f *fixedPlacer) TypicalLatency(string) time.Duration { return 20 * time.Millisecond }

// newBenchQueue returns a queue that knows 1,000 leafs and in which n requests wait.
func newBenchQueue(n int) (*Queue, *fixedPlacer) {
	placer := &fixedPlacer{n: 1000}
	q := New("s", placer, 1)
	for range placer.n {
		q.Submit(attemptAt(t0), t0)
	}
	placer.busy = true
	q.meanLatency = time.Microsecond
	for range n {
		q.Submit(attemptAt(t0), t0)
	}
	return q, placer
}

// BenchmarkStartAtOnce measures a request that starts at once and ends, with 1,000 leafs.
func BenchmarkStartAtOnce(b *testing.B) {
	q, _ := newBenchQueue(0)
	q.placer.(*fixedPlacer).busy = false
	r := attemptAt(t0)
	b.ReportAllocs()
	for b.Loop() {
		if q.Submit(r, t0).Verdict != Started {
			b.Fatal("not started")
		}
		q.Done(&r.Lease, replica.Answered, 20*time.Millisecond, t0)
	}
}

// BenchmarkWaitAndStart measures a request that waits behind n others, and the start of the first.
func BenchmarkWaitAndStart(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q, placer := newBenchQueue(n)
			r := attemptAt(t0)
			out := make([]Decision, 0, 2*n)
			b.ReportAllocs()
			for b.Loop() {
				if q.Submit(r, t0).Verdict != Waiting {
					b.Fatal("does not wait")
				}
				placer.busy = false
				r = startFirst(q)
				placer.busy = true
				q.Done(&r.Lease, replica.Answered, 20*time.Millisecond, t0)
				out = q.Next(t0, out[:0])
			}
		})
	}
}

// startFirst starts the first waiting request only.
func startFirst(q *Queue) *Request {
	r := q.order.first()
	q.tryStart(r, false, t0)
	q.rate.recordStart(t0)
	q.remove(r, t0)
	return r
}

// BenchmarkRefuse measures a request that is refused at once behind n others.
func BenchmarkRefuse(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q, _ := newBenchQueue(n)
			q.rate.gap = time.Second
			r := attemptAt(t0)
			b.ReportAllocs()
			for b.Loop() {
				if q.Submit(r, t0).Verdict != Refused {
					b.Fatal("not refused")
				}
			}
		})
	}
}

// BenchmarkPlaceWithRoom measures the placement, which goes through all leafs of the service.
func BenchmarkPlaceWithRoom(b *testing.B) {
	for _, n := range []int{7, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(n, 6)
			q := New("s", table, 8)
			for i := range n {
				q.leaf(replica.Placement{Record: uint64(i + 1), Leaf: leafOf(i, 6)}, t0)
			}
			r := attemptAt(t0)
			b.ReportAllocs()
			for b.Loop() {
				q.place(r, false, t0)
			}
		})
	}
}

// Guards against allocations on the path that starts a request at once, which every request takes
// while the leafs have capacity.
func TestStartAtOnceDoesNotAllocate(t *testing.T) {
	q, placer := newBenchQueue(0)
	placer.busy = false
	r := attemptAt(t0)
	if n := testing.AllocsPerRun(1000, func() {
		q.Submit(r, t0)
		q.Done(&r.Lease, replica.Answered, 20*time.Millisecond, t0)
	}); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}
