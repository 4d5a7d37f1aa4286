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
	// latency that was learned during an overload is too long: with a third, a tenth of the answers
	// missed the target when half of the leafs were slow. The limit is at least quickBestFactor times
	// the best latency, as the work alone may take longer than that fraction; 1.5 times let windows
	// grow in an overload of such requests.
	quickFactor     = 2
	quickFraction   = 0.25
	quickBestFactor = 1.2
	// minExcessLimit is the smallest limit of the requests in flight at a leaf whose window is
	// exceeded.
	minExcessLimit = 2
	// restDecay multiplies the rest of a leaf after a reply that is not late.
	restDecay = 0.7
	// A leaf is crowded if more than crowdedRunnersPerSlot instances share each of its slots. There
	// only the rests limit its queue, since no window is below 1: a reply is late after
	// crowdedLateFraction of the target, and the rest decays by crowdedRestDecay. With the values of
	// other leafs 0.84 of the answers of 7 leafs with 3 slots met a target of 3.75 times the work, with
	// these 0.88. With 0.4 and 0.93 it was 0.90, but 0.04 less of the capacity was used while half of
	// the leafs were slow.
	crowdedRunnersPerSlot = 2
	crowdedLateFraction   = 0.45
	crowdedRestDecay      = 0.85
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
	// reducedAt is when the window was last reduced. congested means that the latest outcome was no
	// quick reply, so that the leaf may have no capacity left.
	reducedAt time.Time
	congested bool
	// crowded means that the instances outnumber the slots so far that windows cannot limit the
	// leaf's queue.
	crowded bool
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

// mayExceed reports whether the window may be exceeded by a request that would otherwise
// wait. At low load requests come in groups by chance, and a window that only grows by one for each
// window of replies would make some of them wait for nothing. Half of the slots is the limit, since
// all instances may do so before the first of them sees that the leaf is full.
func (l *leafState) mayExceed() bool {
	return !l.congested && l.inFlight < max(minExcessLimit, l.slots/2)
}

// reduce multiplies the window, at most once per typical reply time and once for all requests that
// were in flight at the last reduction: their outcomes have the same cause. If the window only has
// room for one request, it also adds restStep to the rest.
func (l *leafState) reduce(factor float64, startedAt time.Time, restStep, typical time.Duration, now time.Time) {
	l.congested = true
	if !l.reducedAt.IsZero() && (startedAt.Before(l.reducedAt) || now.Sub(l.reducedAt) < typical) {
		return
	}
	l.reducedAt = now
	if l.window < minWindow+1 {
		l.rest = min(l.rest+restStep, maxRest)
	}
	l.window = max(l.window*factor, minWindow)
}

// recordReply applies the latency of an answered request. Up to quick it shows capacity that is left.
func (l *leafState) recordReply(lease *Lease, latency, typical, quick time.Duration, now time.Time) {
	switch {
	case latency > lease.lateAfter():
		l.reduce(lateFactor, lease.startedAt, latency-lease.lateAfter(), typical, now)
		return
	case latency > quick:
		l.congested = true
	default:
		l.congested = false
		if lease.windowFull {
			l.window = min(l.window+1/l.window, l.maxWindow())
		}
	}
	decay := restDecay
	if l.crowded {
		decay = crowdedRestDecay
	}
	l.rest = time.Duration(decay * float64(l.rest))
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
func (l *Lease) lateAfter() time.Duration {
	fraction := lateFraction
	if l.leaf.crowded {
		fraction = crowdedLateFraction
	}
	return time.Duration(fraction * float64(l.target))
}

// Done records the outcome of a started request and how long the leaf had it. It must be called once
// for each lease, also if the request was not sent; the outcome is then replica.NotSent. The replica
// table's record of the call is ended by the caller.
func (q *Queue) Done(lease *Lease, outcome replica.Outcome, latency time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := lease.leaf
	l.inFlight--
	q.inFlight--
	l.crowded = l.slots > 0 && q.runners > crowdedRunnersPerSlot*l.slots
	previous := l.window
	typical := q.placer.TypicalLatency(lease.class)
	switch outcome {
	case replica.Answered:
		q.recordLatency(latency)
		l.recordReply(lease, latency, typical, q.quickLimit(lease.target, typical), now)
	case replica.Refused, replica.ConnLimitReached:
		l.reduce(rejectFactor, lease.startedAt, typical/2, typical, now)
	case replica.Failed, replica.TimedOut, replica.Abandoned:
		if latency > lease.lateAfter() {
			l.reduce(lateFactor, lease.startedAt, latency-lease.lateAfter(), typical, now)
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
