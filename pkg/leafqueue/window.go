package leafqueue

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Parameters of the windows.
const (
	// minWindow is the smallest window. A window of 0 would never be corrected by a reply.
	minWindow = 1
	// maxWindowPerSlot limits a window to this multiple of the leaf's slots, and maxWindowUnknown
	// limits that of a leaf whose slots are not published.
	maxWindowPerSlot = 2
	maxWindowUnknown = 16
	// rejectFactor and lateFactor multiply the window when the leaf rejects a request because it is
	// full, and when a reply is late. A rejection means that the leaf's queue is full, a late reply
	// only that it is long.
	rejectFactor = 0.7
	lateFactor   = 0.9
	// lateFraction is the fraction of the target latency after which a reply is late. The other half
	// is for the wait in this queue and for the way to the caller.
	lateFraction = 0.5
	// quickFactor is the multiple of the typical latency up to which a reply shows that the leaf has
	// capacity left. quickFraction limits it to a fraction of the target latency, because a typical
	// latency that was learned during an overload is too long.
	quickFactor   = 2
	quickFraction = 0.4
	// calmTime is how long a sign of congestion at a leaf keeps its window from growing on demand.
	calmTime = time.Second
	// restGrowth and restDecay multiply the rest of a leaf after a late reply and after others.
	restGrowth = 1.5
	restDecay  = 0.7
	// maxRest and negligibleRest bound the rest.
	maxRest        = 2 * time.Second
	negligibleRest = 5 * time.Millisecond
	// stateTTL is how long the state of a leaf without requests is kept after the leaf was last
	// considered for a request: a removed or restarted leaf is never considered again.
	stateTTL = 30 * time.Second
)

// leafState is the window of one incarnation of a leaf.
type leafState struct {
	id       string
	slots    int
	window   float64
	inFlight int
	seenAt   time.Time
	// reducedAt is when the window was last reduced, and congestedAt the time of the last sign that
	// the leaf has no capacity left.
	reducedAt, congestedAt time.Time
	// rest is the pause after each reply while the window is at its minimum, and restUntil the end
	// of the current one.
	//
	// The windows of several instances at a slow leaf add up to more than the leaf can answer in
	// time even if each is 1. Since a window cannot be smaller, the leaf then rests between requests.
	rest      time.Duration
	restUntil time.Time
}

// newLeafState returns the state of a leaf with the initial window: the instance's share of the
// leaf's slots.
func newLeafState(leaf replica.Leaf, runners int, now time.Time) *leafState {
	l := &leafState{id: leaf.ID, slots: leaf.Slots, seenAt: now}
	l.window = min(max(float64(leaf.Slots)/float64(runners), minWindow), l.maxWindow())
	return l
}

func (l *leafState) maxWindow() float64 {
	if l.slots <= 0 {
		return maxWindowUnknown
	}
	return float64(maxWindowPerSlot * l.slots)
}

// hasRoom reports whether another request fits into the window.
func (l *leafState) hasRoom() bool { return float64(l.inFlight+1) <= l.window }

// mayGrowOnDemand reports whether the window may be exceeded by a request that would otherwise
// wait. At low load requests come in groups by chance, and a window that only grows by one for each
// window of replies would make some of them wait for nothing. Half of the slots is the limit, since
// all instances may do so before the first of them sees that the leaf is full.
func (l *leafState) mayGrowOnDemand(now time.Time) bool {
	calm := l.congestedAt.IsZero() || now.Sub(l.congestedAt) >= calmTime
	return calm && l.inFlight < max(2, l.slots/2)
}

func (l *leafState) begin() { l.inFlight++ }

// growToInFlight raises the window to the number of requests in flight and returns the difference.
func (l *leafState) growToInFlight() float64 {
	previous := l.window
	l.window = max(l.window, float64(l.inFlight))
	return l.window - previous
}

// reduce multiplies the window, at most once per typical reply time and once for all requests that
// were in flight at the last reduction: their outcomes have the same cause.
func (l *leafState) reduce(factor float64, startedAt time.Time, typical time.Duration, now time.Time) {
	l.congestedAt = now
	if !l.reducedAt.IsZero() && (startedAt.Before(l.reducedAt) || now.Sub(l.reducedAt) < typical) {
		return
	}
	l.reducedAt = now
	if l.window <= minWindow {
		l.rest = min(max(time.Duration(restGrowth*float64(l.rest)), typical/2), maxRest)
	}
	l.window = max(l.window*factor, minWindow)
}

// recordReply applies the latency of an answered request.
func (l *leafState) recordReply(lease *Lease, latency, typical time.Duration, now time.Time) {
	quick := min(quickFactor*typical, time.Duration(quickFraction*float64(lease.target)))
	switch {
	case latency > lease.lateAfter():
		l.reduce(lateFactor, lease.startedAt, typical, now)
		return
	case latency > quick:
		l.congestedAt = now
	case lease.windowFull:
		l.window = min(l.window+1/l.window, l.maxWindow())
	}
	l.rest = time.Duration(restDecay * float64(l.rest))
	if l.rest < negligibleRest {
		l.rest = 0
	}
}

// Lease is the place of a started request at a leaf. It ends with Done.
type Lease struct {
	Placement replica.Placement
	// Call is the request's entry in the replica table.
	Call *replica.Call

	leaf      *leafState
	startedAt time.Time
	target    time.Duration
	class     string
	// windowFull reports that the request took the last place in the window. The window only grows
	// with the replies to such requests: otherwise it would grow without bound at low load.
	windowFull bool
}

// lateAfter returns the latency above which a reply is late.
func (l *Lease) lateAfter() time.Duration { return time.Duration(lateFraction * float64(l.target)) }

// Done records the outcome of a started request and how long the leaf had it. It must be called once
// for each lease, also if the request was not sent; the outcome is then replica.NotSent. The replica
// table's record of the call is ended by the caller.
func (q *Queue) Done(lease *Lease, outcome replica.Outcome, latency time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := lease.leaf
	l.inFlight--
	q.inFlight--
	previous := l.window
	typical := q.placer.TypicalLatency(lease.class)
	switch outcome {
	case replica.Answered:
		q.recordLatency(latency)
		l.recordReply(lease, latency, typical, now)
	case replica.Refused, replica.ConnLimitReached:
		l.reduce(rejectFactor, lease.startedAt, typical, now)
	case replica.Failed, replica.TimedOut, replica.Abandoned:
		if latency > lease.lateAfter() {
			l.reduce(lateFactor, lease.startedAt, typical, now)
		}
	}
	if l.rest > 0 {
		l.restUntil = now.Add(l.rest)
	}
	if q.leafs[lease.Placement.Record] == l {
		q.windowSum += l.window - previous
	}
}

// Sweep removes the states of leafs that have not been considered for a request for some time. It
// is called on every tick.
func (q *Queue) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for record, l := range q.leafs {
		if l.inFlight == 0 && now.Sub(l.seenAt) > stateTTL {
			delete(q.leafs, record)
			q.windowSum -= l.window
		}
	}
}
