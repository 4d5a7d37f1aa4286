package replica

import (
	"sync"
	"time"
)

// BudgetOptions configures the limit on second requests to one service.
type BudgetOptions struct {
	// Ratio is the maximum number of second requests per request. The published ratio applies to
	// all instances together.
	Ratio float64
	// Window is the period over which the ratio must hold.
	Window time.Duration
	// Burst is the number of second requests that this instance may send in excess of the ratio
	// in any window.
	Burst float64
}

// usedRatioFraction is the fraction of the published ratio that an instance uses. The rest is
// headroom for requests that were counted at another instance because their client moved from
// one instance to another.
const usedRatioFraction = 0.95

// budgetBuckets is the number of buckets that the window is divided into for counting.
const budgetBuckets = 10

// Budget limits the second requests (hedges and retries alike) to one service. It is safe for
// concurrent use.
//
// The published limit applies to the sum over all instances, which do not coordinate. Each
// instance keeps the ratio for its own requests, so the sum keeps it however the traffic is
// distributed; only Burst adds up over the instances. Without the limit, a slow shard would
// receive twice its load from all instances exactly when it can least handle it.
type Budget struct {
	mu          sync.Mutex
	opts        BudgetOptions
	bucketWidth time.Duration
	// requests and secondRequests are ring buffers of counts per bucket, with one bucket more
	// than the window has. inherited are the second requests of the previous process of this
	// instance. currentBucket is the number of the newest bucket since startedAt.
	requests       [budgetBuckets + 1]int
	secondRequests [budgetBuckets + 1]int
	inherited      [budgetBuckets + 1]int
	currentBucket  int64
	// startedAt is one window before the first count. Buckets are numbered from it by the monotonic
	// clock, so that changes of the wall clock do not move them.
	startedAt time.Time
	// lastSecondRequest is the time of the latest second request.
	lastSecondRequest time.Time
}

// BurstLimits holds the number of second requests that this instance may send to a service in
// excess of the ratio in any window: Shard for a shard of gather queries, Single for any other
// service.
type BurstLimits struct{ Shard, Single float64 }

// NewBudget returns a budget with all counts at zero.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{opts: opts, bucketWidth: opts.Window / budgetBuckets}
}

// SetOptions replaces the limits and keeps the counts.
func (b *Budget) SetOptions(opts BudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts = opts
}

// advance clears the buckets that have left the window and returns the index of the current
// bucket.
func (b *Budget) advance(now time.Time) int {
	if b.startedAt.IsZero() {
		b.startedAt = now.Add(-time.Duration(len(b.requests)) * b.bucketWidth)
	}
	bucket := int64(now.Sub(b.startedAt) / b.bucketWidth)
	n := int64(len(b.requests))
	for i := max(b.currentBucket+1, bucket-n+1); i <= bucket; i++ {
		b.requests[i%n] = 0
		b.secondRequests[i%n] = 0
		b.inherited[i%n] = 0
	}
	b.currentBucket = max(b.currentBucket, bucket)
	return int(b.currentBucket % n)
}

// CountRequest counts one request to the service, whether or not it is sent.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// TryTake counts one second request and returns true if the budget allows it.
func (b *Budget) TryTake(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	if b.remaining(i) < 1 {
		return false
	}
	b.secondRequests[i]++
	b.lastSecondRequest = now
	return true
}

// Available reports whether the budget allows a second request.
func (b *Budget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(b.advance(now)) >= 1
}

// BudgetState describes a budget.
type BudgetState struct {
	// Requests and SecondRequests are the numbers of requests and second requests in the window.
	Requests, SecondRequests int
	// Burst is the number of second requests in excess of the ratio that are allowed in it.
	Burst float64
}

// State returns the state of the budget.
func (b *Budget) State(now time.Time) BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(b.advance(now))
}

// state counts second requests over one bucket more than the window, so that no alignment of the
// window exceeds the limit, and requests over the window only. mu must be held.
func (b *Budget) state(current int) BudgetState {
	s := BudgetState{Burst: b.opts.Burst}
	oldest := (current + 1) % len(b.requests)
	for i := range b.requests {
		s.SecondRequests += b.secondRequests[i] + b.inherited[i]
		if i != oldest {
			s.Requests += b.requests[i]
		}
	}
	return s
}

// remaining returns the number of second requests that the budget still allows. mu must be held.
func (b *Budget) remaining(current int) float64 {
	s := b.state(current)
	return usedRatioFraction*b.opts.Ratio*float64(s.Requests) + s.Burst - float64(s.SecondRequests)
}
