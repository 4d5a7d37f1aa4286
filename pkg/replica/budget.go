package replica

import (
	"sync"
	"time"
)

// BudgetOptions bound the second requests to one service.
type BudgetOptions struct {
	// Ratio is how many second requests there may be for each request, as
	// published for all instances together.
	Ratio float64
	// Window is the span over which the ratio holds.
	Window time.Duration
	// Burst is how many second requests this instance may send beyond the
	// ratio in any window.
	Burst float64
}

// ratioPart is the part of the published ratio that is used. The rest covers
// requests that another instance was counted for when a client moved.
const ratioPart = 0.95

// budgetBuckets is how many parts the window is counted in.
const budgetBuckets = 10

// Budget bounds the second requests (hedges and repeats alike) to one service.
// It is safe for concurrent use.
//
// The published bound is on the sum over all instances, which do not talk to
// each other. Each instance keeps the same ratio of its own requests, so the
// sum keeps it however traffic is spread; only Burst adds up over instances.
// Without the bound, a slow shard gets twice its load from all instances just
// when it can least take it.
type Budget struct {
	mu      sync.Mutex
	opts    BudgetOptions
	width   time.Duration
	first   [budgetBuckets + 1]int
	second  [budgetBuckets + 1]int
	current int64
	// started is the first count. Buckets are counted from it by the steady
	// clock, which no change of the time of day moves.
	started time.Time
}

// BurstLimits are how many second requests this instance may send to a service beyond the
// ratio in any window: to a shard of queries, and to a service that is asked alone.
type BurstLimits struct{ Shard, Single float64 }

// NewBudget returns a budget with nothing counted.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{opts: opts, width: opts.Window / budgetBuckets}
}

// SetOptions puts other bounds in force; what was counted stays.
func (b *Budget) SetOptions(opts BudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts = opts
}

// advance clears the buckets that fell out of the window.
func (b *Budget) advance(now time.Time) int {
	if b.started.IsZero() {
		b.started = now
	}
	at := int64(now.Sub(b.started) / b.width)
	n := int64(len(b.first))
	for i := max(b.current+1, at-n+1); i <= at; i++ {
		b.first[i%n] = 0
		b.second[i%n] = 0
	}
	b.current = max(b.current, at)
	return int(b.current % n)
}

// CountRequest counts one request for the service, sent or not.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first[b.advance(now)]++
}

// TryTake counts one second request if the budget has room for it.
func (b *Budget) TryTake(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	if b.room(i) < 1 {
		return false
	}
	b.second[i]++
	return true
}

// Available reports whether the budget has room for a second request.
func (b *Budget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room(b.advance(now)) >= 1
}

// room is how many second requests there is room for. Repeats are summed over
// one bucket more than the window, so that no alignment of the window exceeds
// the bound; requests over the window only.
func (b *Budget) room(current int) float64 {
	first, second := 0, 0
	oldest := (current + 1) % len(b.first)
	for i := range b.first {
		second += b.second[i]
		if i != oldest {
			first += b.first[i]
		}
	}
	return ratioPart*b.opts.Ratio*float64(first) + b.opts.Burst - float64(second)
}

// SetBurstLimits puts this instance's part of what all may send beyond the ratio in force.
func (t *Table) SetBurstLimits(b BurstLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bursts = b
	t.setBudgets()
}

// SetShards takes over which services are shards of queries, and of nothing else.
func (t *Table) SetShards(shards map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shards = shards
	t.setBudgets()
}

// setBudgets puts the bounds of all services in force; mu is held.
func (t *Table) setBudgets() {
	for name, s := range t.services {
		s.budget.SetOptions(t.budgetOptions(name))
	}
}

// budgetOptions are the bounds of a service; mu is held.
func (t *Table) budgetOptions(serviceName string) BudgetOptions {
	opts := t.opts.Budget
	switch {
	case t.bursts == BurstLimits{}:
	case t.shards[serviceName]:
		opts.Burst = t.bursts.Shard
	default:
		opts.Burst = t.bursts.Single
	}
	return opts
}

// CountRequest counts one request for the service's budget of second
// requests, whether it is sent or not.
func (t *Table) CountRequest(serviceName string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	s.budget.CountRequest(now)
	s.pace(now)
}

// HasSecondRequestBudget reports whether a second request would be within the service's budget.
func (t *Table) HasSecondRequestBudget(serviceName string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(serviceName).budget.Available(now)
}

// TakeSecondRequestBudget takes one second request out of the service's budget.
func (t *Table) TakeSecondRequestBudget(serviceName string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(serviceName).budget.TryTake(now)
}
