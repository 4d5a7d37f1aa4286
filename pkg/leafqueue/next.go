package leafqueue

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

const (
	// maxScanned is the maximum number of waiting requests that one call of Next considers for a
	// start after one of them has found no room. A request may be confined to a region or have tried
	// some leafs, so that it finds no room where the next one does.
	maxScanned = 32
	// maxFailedPlacements is the maximum number of placements without a result in one call of Next,
	// each of which goes through all leafs.
	maxFailedPlacements = 4
	// pollInterval is the time after which Next should be called although no request has ended. Room
	// also appears without one: a leaf joins, leaves its probe backoff, or may get its next request
	// while cold.
	pollInterval = 10 * time.Millisecond
)

// search holds the arguments and results of one placement.
type search struct {
	now time.Time
	// relaxed admits leafs whose window may be exceeded and, unless requests have waited
	// recently, those that rest.
	relaxed bool
	// sawRelaxable reports that a leaf without room would be admitted by a relaxed search.
	sawRelaxable bool
}

// hasRoom reports whether a leaf has room in its window (replica.RoomFunc).
func (q *Queue) hasRoom(record uint64, slots int) bool {
	l := q.leafs[record]
	if l == nil {
		return true
	}
	l.seenAt, l.slots = q.search.now, slots
	if l.hasRoom() && !q.search.now.Before(l.restUntil) {
		return true
	}
	relaxable := l.mayExceed()
	if l.hasRoom() {
		relaxable = !q.rate.waitedRecently(q.search.now)
	}
	q.search.sawRelaxable = q.search.sawRelaxable || relaxable
	return relaxable && q.search.relaxed
}

// place chooses a leaf with room.
func (q *Queue) place(r *Request, relaxed bool, now time.Time) (replica.Placement, replica.PlaceResult) {
	q.search = search{now: now, relaxed: relaxed}
	return q.placer.PlaceWithRoom(q.service, r.Class, r.Tried, q.roomFunc, now)
}

// tryStart starts a request if a leaf has room, and returns Waiting if none has. alone means that
// no request waits: only then may the request go to a leaf that rests, or beyond a leaf's window.
func (q *Queue) tryStart(r *Request, alone bool, now time.Time) Verdict {
	p, result := q.place(r, false, now)
	if result == replica.AllBusy && alone && q.search.sawRelaxable {
		p, result = q.place(r, true, now)
	}
	switch result {
	case replica.Placed:
	case replica.AllBusy:
		return Waiting
	default:
		return Unavailable
	}
	if len(r.Tried) > 0 && !q.placer.TakeSecondRequestBudget(q.service, now) {
		return Unavailable
	}
	call := q.placer.Begin(p, r.Class, now)
	if call == nil {
		return Waiting
	}
	l := q.leaf(p, now)
	q.inFlight++
	l.inFlight++
	r.Lease = Lease{Placement: p, Call: call, leaf: l, startedAt: now, target: r.Target, class: r.Class, windowFull: !l.hasRoom()}
	return Started
}

// leaf returns the state of a leaf, which is created by its first request.
func (q *Queue) leaf(p replica.Placement, now time.Time) *leafState {
	l := q.leafs[p.Record]
	if l == nil {
		l = newLeafState(p.Leaf, q.runners, now)
		q.leafs[p.Record] = l
		q.windowSum += l.window
	}
	return l
}

// Next drops the waiting requests whose time is over, starts those for which there is room now, and
// appends the decisions to out. It must be called after each Done, and at the time that WakeAt
// returns.
func (q *Queue) Next(now time.Time, out []Decision) []Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.order.count > 0 && !now.Before(q.deadlines.first().StartBy) {
		out = append(out, q.drop(q.deadlines.first(), now))
	}
	return q.startWaiting(now, out)
}

// startWaiting starts waiting requests in order.
func (q *Queue) startWaiting(now time.Time, out []Decision) []Decision {
	var full [maxFailedPlacements]string
	failed, scanned := 0, 0
	for r := q.order.first(); r != nil && scanned < maxScanned && failed < maxFailedPlacements; {
		next := q.order.after(r)
		if len(r.Tried) == 0 && slices.Contains(full[:failed], r.Class) {
			scanned++
			r = next
			continue
		}
		verdict := q.tryStart(r, false, now)
		switch verdict {
		case Waiting:
			if len(r.Tried) == 0 {
				full[failed] = r.Class
			}
			failed++
			scanned++
		case Started:
			q.rate.recordStart(now)
			fallthrough
		default:
			q.remove(r, now)
			out = append(out, q.decision(r, verdict, 0, now))
		}
		r = next
	}
	return out
}

// WakeAt returns the time at which Next must be called at the latest. ok is false if no request
// waits.
func (q *Queue) WakeAt(now time.Time) (at time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.order.count == 0 {
		return at, false
	}
	at = now.Add(pollInterval)
	if first := q.deadlines.first().StartBy; first.Before(at) {
		at = first
	}
	return at, true
}
