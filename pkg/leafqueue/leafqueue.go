// Package leafqueue decides when single requests (requests that go to one leaf) are sent to the
// leafs of a service that has too little capacity: at once, after waiting, or not at all
// (docs/design/hard-load.md, part 2). A Queue limits this instance's requests in flight at each
// leaf to a window that it learns from the leaf's replies, and keeps the other requests in order.
// The leaf itself is chosen by replica.Table among those with room in their window.
//
// The package addresses loads of 2 to 2.5 times the capacity of the leafs. Without it, every
// request is sent at once: more than half of them are rejected by full leafs, and those that are
// not wait in the queues of leafs until they are late. It does no I/O, and time is an argument.
package leafqueue

import (
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// maxWaiting is the maximum number of waiting requests of a queue. The limit on the expected start
// keeps queues far below it; it bounds the memory if the measured rate is far too high.
const maxWaiting = 4096

// maxWaitFraction is the fraction of the target latency for which a request may wait. The limit on
// the time until a refusal is a quarter; the rest of it is for a call that a leaf rejects at the end
// of the wait, and for the way of the request and of the refusal between caller and instances.
const maxWaitFraction = 0.22

// MaxWait returns how long a request with a target latency may wait.
func MaxWait(target time.Duration) time.Duration {
	return time.Duration(maxWaitFraction * float64(target))
}

// Placer chooses the leaf of a request and counts its second requests and requests in flight.
// *replica.Table implements it.
type Placer interface {
	PlaceWithRoom(service, class string, tried []string, hasRoom replica.RoomFunc, now time.Time) (replica.Placement, replica.PlaceResult)
	TakeSecondRequestBudget(service string, now time.Time) bool
	Begin(p replica.Placement, class string, now time.Time) *replica.Call
	TypicalLatency(class string) time.Duration
}

// Request is one attempt of a request. The caller of the queue fills in the exported fields and
// does not change them while the request waits. A Request is submitted once.
type Request struct {
	// Class is the request's class in the replica table: the name of its route.
	Class string
	// Rank is the rank of the route; 0 is the most urgent.
	Rank int
	// Returning means that the caller was refused before and is preferred to new callers.
	Returning bool
	// Again means that this is a further attempt, after one that failed. It is preferred to all
	// other requests of its rank.
	Again bool
	// Tried are the IDs of the leafs of earlier attempts, which do not get the request again.
	Tried []string
	// Target is the target latency of the route; it must be positive.
	Target time.Duration
	// StartBy is the time at which the request is dropped if it has not started.
	StartBy time.Time
	// Owner is for the caller of the queue.
	Owner any

	// Lease is the request's place at a leaf; valid when the request has started.
	Lease Lease

	submitted  time.Time
	isWaiting  bool
	bucket     *bucket
	prev, next *Request
	heapIndex  int
}

// Waited returns how long the request has waited at the given time.
func (r *Request) Waited(now time.Time) time.Duration { return now.Sub(r.submitted) }

// Verdict is a decision about a request.
type Verdict int

const (
	// Started means that the request has a place at a leaf and must be sent now.
	Started Verdict = iota
	// Waiting means that the request waits. Next decides about it later.
	Waiting
	// Refused means that the request would start too late.
	Refused
	// Dropped means that the request has waited for as long as it may. It never starts.
	Dropped
	// Unavailable means that no leaf can take the request: none is listed or reachable, or the
	// budget allows no further attempt.
	Unavailable
)

// String returns the name of the verdict in metrics and logs.
func (v Verdict) String() string {
	return [...]string{"started", "waiting", "refused", "dropped", "unavailable"}[v]
}

// Decision is a verdict and its inputs.
type Decision struct {
	Request *Request
	Verdict Verdict
	// ExpectedStart is the time until the request was expected to start when it was submitted,
	// or, if it is dropped, until it would start now.
	ExpectedStart time.Duration
	// DrainTime is the time in which the requests that wait now are expected to have started.
	DrainTime time.Duration
	// Waiting is the number of waiting requests, and WindowSum the sum of the windows of all leafs.
	Waiting   int
	WindowSum float64
}

// Queue is the queue of one service. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	service string
	placer  Placer
	// runners is the number of instances that run single requests, including this one.
	runners int
	// leafs are the states of the leafs by the numbers of their records. windowSum and inFlight are
	// sums over them.
	leafs     map[uint64]*leafState
	windowSum float64
	inFlight  int
	order     order
	deadlines deadlines
	rate      startRate
	// meanLatency is the average latency of replies, and bestLatency the lowest one, which rises
	// slowly; zero: no reply yet.
	meanLatency, bestLatency time.Duration
	// roomFunc is the method hasRoom, and search are its arguments and results for the placement
	// in progress.
	roomFunc replica.RoomFunc
	search   search
}

// New returns an empty queue. runners is the number of instances that run single requests.
func New(service string, placer Placer, runners int) *Queue {
	q := &Queue{service: service, placer: placer, runners: max(runners, 1), leafs: make(map[uint64]*leafState)}
	q.roomFunc = q.hasRoom
	return q
}

// SetRunners sets the number of instances that run single requests. It determines the initial
// windows of leafs that the queue has not seen.
func (q *Queue) SetRunners(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runners = max(n, 1)
}

// Submit decides about a new request. A request that finds a leaf with room starts at once,
// however slow the leafs are, unless requests that wait come before it.
func (q *Queue) Submit(r *Request, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.submitted = now
	ahead := q.order.countBefore(keyOf(r))
	if ahead == 0 {
		if verdict := q.tryStart(r, q.order.count == 0, now); verdict != Waiting {
			return q.decision(r, verdict, 0, now)
		}
	}
	expected := q.rate.expectedStart(ahead, now, q.fallbackGap(r.Class))
	maxWait := r.StartBy.Sub(now)
	if maxWait <= 0 || expected > q.rate.maxExpectedStart(maxWait, now) || q.order.count >= maxWaiting {
		return q.decision(r, Refused, expected, now)
	}
	if q.order.count == 0 {
		q.rate.begin(now, q.fallbackGap(r.Class))
	}
	r.isWaiting = true
	q.order.push(r)
	q.deadlines.push(r)
	return q.decision(r, Waiting, expected, now)
}

// decision returns a decision about a request with its inputs.
func (q *Queue) decision(r *Request, v Verdict, expected time.Duration, now time.Time) Decision {
	d := Decision{Request: r, Verdict: v, ExpectedStart: expected, Waiting: q.order.count, WindowSum: q.windowSum}
	if v != Started {
		d.DrainTime = q.rate.expectedStart(q.order.count+1, now, q.fallbackGap(r.Class))
	}
	return d
}

// Leave drops a request whose caller no longer waits for it. It returns false if the request does
// not wait: it has started or was dropped before, which Next has reported or is about to report.
func (q *Queue) Leave(r *Request, now time.Time) (Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !r.isWaiting {
		return Decision{}, false
	}
	return q.drop(r, now), true
}

// drop takes a request out of the waiting ones because it has waited for as long as it may.
func (q *Queue) drop(r *Request, now time.Time) Decision {
	expected := q.rate.expectedStart(q.order.countAhead(r), now, q.fallbackGap(r.Class))
	q.remove(r, now)
	return q.decision(r, Dropped, expected, now)
}

// remove takes a request out of the waiting ones.
func (q *Queue) remove(r *Request, now time.Time) {
	r.isWaiting = false
	q.order.remove(r)
	q.deadlines.remove(r)
	if q.order.count == 0 {
		q.rate.end(now)
	}
}

// Hedge starts a second call of a running request at a leaf that is not in tried, if nothing waits
// and such a leaf has room. r must not have been submitted.
func (q *Queue) Hedge(r *Request, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.submitted = now
	return q.order.count == 0 && q.tryStart(r, false, now) == Started
}

// Busy reports whether requests wait or are in flight.
func (q *Queue) Busy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.count > 0 || q.inFlight > 0
}

// WaitingCount returns the number of waiting requests.
func (q *Queue) WaitingCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.count
}
