package replica

import (
	"cmp"
	"slices"
	"time"
)

// SentCounts are the second requests to one service that an instance has sent within the window.
type SentCounts struct {
	Service string `cbor:"1,keyasint"`
	// Buckets are the numbers in each tenth of the window, the latest one first.
	Buckets []uint32 `cbor:"2,keyasint"`
	// AgeMs is how long ago the counts were taken.
	AgeMs uint64 `cbor:"3,keyasint,omitempty"`
}

// sent returns the second requests of this process and its predecessor per bucket, the current one
// first, without trailing zeros.
func (b *Budget) sent(now time.Time) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, n := b.advance(now), len(b.requests)
	out := make([]uint32, n)
	for age := range out {
		i := (current - age + n) % n
		out[age] = uint32(b.secondRequests[i] + b.inherited[i])
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	return out
}

// lastSent returns the time of the latest second request of this process.
func (b *Budget) lastSent() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastSecondRequest
}

// inherit counts second requests of the previous process of this instance. The same counts may be
// received several times, in any order.
func (b *Budget) inherit(c SentCounts, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, n := b.advance(now), len(b.requests)
	shift := int(min(c.AgeMs/uint64(max(b.bucketWidth.Milliseconds(), 1)), uint64(n)))
	for i := range min(len(c.Buckets), n-shift) {
		bucket := &b.inherited[(current-shift-i+n)%n]
		*bucket = max(*bucket, int(min(c.Buckets[i], maxInheritedCount)))
	}
}

// maxInheritedCount limits the count of a bucket that is received from another process.
const maxInheritedCount = 1 << 20

// HoldSecondRequests forbids second requests until a time. An instance that does not know what its
// previous process has sent holds them for one window.
func (t *Table) HoldSecondRequests(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.secondRequestsHeldUntil = until
}

// SecondRequestsHeld reports whether second requests are forbidden by HoldSecondRequests.
func (t *Table) SecondRequestsHeld(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.secondRequestsHeldUntil)
}

// SentSecondRequests returns the second requests to all services to which one was sent after since,
// ordered by service. The zero time selects all services.
func (t *Table) SentSecondRequests(since, now time.Time) []SentCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SentCounts
	for name, s := range t.services {
		if !since.IsZero() && !s.budget.lastSent().After(since) {
			continue
		}
		if buckets := s.budget.sent(now); len(buckets) > 0 {
			out = append(out, SentCounts{Service: name, Buckets: buckets})
		}
	}
	slices.SortFunc(out, func(a, b SentCounts) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// InheritSecondRequests counts what the previous process of this instance has sent.
func (t *Table) InheritSecondRequests(counts []SentCounts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		t.service(c.Service).budget.inherit(c, now)
	}
}
