// Package returns plans when callers that were refused because of load come back, so that they find
// capacity. It does no I/O; the current time is an argument.
//
// The load it addresses: at 1.5 times the capacity a third of the callers are refused. With a fixed
// retry hint they return into the same overload, and those that were refused together return
// together. The book issues return times at a fraction of the rate at which the route's requests are
// admitted, so that each promised return finds a place, and tells the other callers at once that
// none will come.
package returns

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reservedFraction is the fraction of the admission rate at which returns are promised. In a
	// lasting overload each return takes the place of a new caller that could be answered within the
	// target: with a half, as many callers were answered, but a third fewer in time.
	reservedFraction = 0.15
	// minDelay is the earliest return: about the time in which a full leaf queue (12 requests of
	// 15 ms on 2 slots) drains.
	minDelay = 100 * time.Millisecond
	// claimTolerance is by how much the time since a caller's first attempt may seem shorter than it
	// was: callers state their timeout in whole milliseconds.
	claimTolerance = 5 * time.Millisecond
	// remainingDivisor: a return must be due within 1/3 of the caller's remaining time, because
	// callers wait no longer than that.
	remainingDivisor = 3
	// claimEarly and claimLate are how long before and after its time a promise can be claimed.
	// Callers count from when the refusal reached them, some milliseconds after the promise, and a
	// caller on another instance claims a promise made at a slightly different time.
	claimEarly = 50 * time.Millisecond
	claimLate  = 500 * time.Millisecond
	// maxPromises bounds the open promises of a route.
	maxPromises = 1024
	// routeTTL is how long the state of an unused route is kept.
	routeTTL = time.Minute
)

// Book holds the promised returns of each route. It counts promises and does not identify callers,
// so a promise can be claimed by any returning caller. Book is safe for concurrent use.
type Book struct {
	mu     sync.Mutex
	routes map[string]*routeBook
	counts Counts
}

// Counts are counters of events since the start.
type Counts struct {
	// Made counts promises, Kept those that a caller claimed, Missed those that expired.
	Made, Kept, Missed atomic.Int64
	// NoSlot counts refused callers to whom no return was promised.
	NoSlot atomic.Int64
}

// routeBook is the state of one route.
type routeBook struct {
	admissions rateWindow
	promises   promiseQueue
	// lastDue is the time of the last promise that was made.
	lastDue time.Time
	usedAt  time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{routes: make(map[string]*routeBook)} }

// Counts returns the counters.
func (b *Book) Counts() *Counts { return &b.counts }

// RecordAdmission records that a request of the route was admitted.
func (b *Book) RecordAdmission(route string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.use(route, now).admissions.add(now)
}

// Promise returns the time after which a refused caller with the given remaining time should
// return, and whether a place is promised to it then. Without a promise, the hint is the whole
// remaining time: no capacity is expected within the time for which the caller would wait.
func (b *Book) Promise(route string, remaining time.Duration, now time.Time) (hint time.Duration, promised bool) {
	remaining = max(remaining, 0)
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.use(route, now)
	b.expire(r, now)
	due, ok := r.nextSlot(now)
	if !ok || due.Sub(now) > remaining/remainingDivisor || !r.promises.push(due) {
		b.counts.NoSlot.Add(1)
		return remaining, false
	}
	r.lastDue = due
	b.counts.Made.Add(1)
	return due.Sub(now), true
}

// MayClaim reports whether a caller whose first attempt was the given time ago may claim a promise.
// A caller that retries at once cannot have waited for its own, and would claim that of another.
func MayClaim(sinceFirst time.Duration) bool { return sinceFirst >= minDelay-claimTolerance }

// Claim uses up the earliest promise of the route that is due, and reports whether there was one.
func (b *Book) Claim(route string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.routes[route]
	if r == nil {
		return false
	}
	r.usedAt = later(r.usedAt, now)
	b.expire(r, now)
	if !r.dueWithin(claimEarly, now) {
		return false
	}
	r.promises.pop()
	b.counts.Kept.Add(1)
	return true
}

// Due reports whether a promise of the route can be claimed now, which means that capacity must be
// kept for a returning caller.
func (b *Book) Due(route string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.routes[route]
	if r == nil {
		return false
	}
	b.expire(r, now)
	return r.dueWithin(claimEarly, now)
}

// Sweep expires promises and forgets routes that were not used for a minute.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, r := range b.routes {
		b.expire(r, now)
		if now.Sub(r.usedAt) > routeTTL {
			delete(b.routes, name)
		}
	}
}

// use returns the state of a route and creates it on first use. The caller holds mu.
func (b *Book) use(route string, now time.Time) *routeBook {
	r := b.routes[route]
	if r == nil {
		r = &routeBook{}
		b.routes[route] = r
	}
	r.usedAt = later(r.usedAt, now)
	return r
}

// expire removes the promises that can no longer be claimed. The caller holds mu.
func (b *Book) expire(r *routeBook, now time.Time) {
	for r.promises.size > 0 && now.Sub(r.promises.first()) > claimLate {
		r.promises.pop()
		b.counts.Missed.Add(1)
	}
}

// nextSlot returns the time of the next return. It returns false if no requests are admitted.
func (r *routeBook) nextSlot(now time.Time) (time.Time, bool) {
	perSecond := reservedFraction * r.admissions.perSecond(now)
	if perSecond <= 0 {
		return time.Time{}, false
	}
	gap := time.Duration(float64(time.Second) / perSecond)
	return later(r.lastDue.Add(gap), now.Add(minDelay)), true
}

// dueWithin reports whether the earliest promise is due at most d from now.
func (r *routeBook) dueWithin(d time.Duration, now time.Time) bool {
	return r.promises.size > 0 && r.promises.first().Sub(now) <= d
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
