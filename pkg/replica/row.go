package replica

import (
	"math"
	"time"
)

// What is learned of a leaf, and for how long it is believed.
const (
	// slownessWeight is the weight of one reply in the smoothed slowness: a
	// leaf that turned six times slower is at three times within two replies.
	slownessWeight = 0.3
	// slownessRequests is how many requests of this instance to a service
	// halve what is believed of a leaf's slowness without a new reply: a slow
	// leaf gets a request again after about three half lives, so that one that
	// recovered is found again. slownessLeast and slownessMost bound the time
	// that this takes.
	slownessRequests = 16
	slownessLeast    = 1 * time.Second
	slownessMost     = 8 * time.Second
	// slownessCap bounds what one reply can say, in multiples of the typical
	// time: beyond it a leaf is out of use for a deadline anyway.
	slownessCap = 30
	// lateFactor is what a failure must take, in multiples of the typical
	// time, to be one for lack of time. lateProof is how long a leaf must have
	// failed so, without a reply in between, to count as slow: longer than a
	// pause and the queue behind it.
	lateFactor = 2
	lateProof  = 400 * time.Millisecond
	// refusalWeight is the weight of one outcome in the smoothed share of
	// refused requests.
	refusalWeight = 0.2
	// refusalHalfLife is how fast that share is forgotten.
	refusalHalfLife = time.Second
	// coldSlowness is assumed of a leaf that has just started, until replies
	// say otherwise.
	coldSlowness = 1.6
	// downAfter is how many failed connections in a row take a leaf out.
	downAfter = 2
	// downFirst and downMost bound how long a leaf that fails is left alone
	// before one request probes it; the time doubles with each failure.
	downFirst = 200 * time.Millisecond
	downMost  = 2 * time.Second
)

// row is what this instance knows of one leaf.
type row struct {
	Leaf
	// lapsed: vanished from the list around an outage of the store.
	lapsed bool

	// starts are when the requests in flight were sent, oldest first; asked: some
	// request was ever sent.
	starts []time.Time
	asked  bool
	// lastReply is when the leaf last answered anything.
	lastReply time.Time

	// slowness is the smoothed ratio of reply time to the typical time of
	// the request's class; refusals is the smoothed share of refused ones.
	slowness   float64
	slownessAt time.Time
	// busiest is the service of the leaf that is asked for most; nil: none was
	// asked for yet.
	busiest *service
	// lateSince is the first failure for lack of time since the last reply.
	lateSince  time.Time
	refusals   float64
	refusalsAt time.Time
	// givenUp: the last request was given up, and nothing has been answered since. What is
	// believed of its slowness is then the least that it can be.
	givenUp bool

	// room is how many requests the leaf's connection limit seemed to allow
	// this instance at roomAt; zero: no limit was met.
	room   int
	roomAt time.Time

	// load is what the leaf has said of itself at loadAt; zero: nothing.
	load   Load
	loadAt time.Time

	// coldUntil is when the leaf is warm, as it says itself or, until assumedCold, as is assumed;
	// sent are the latest requests of this instance, where that is bounded.
	coldUntil, assumedCold time.Time
	sent                   []time.Time

	// failures counts failed connections in a row; unreached: the last one
	// could not be opened.
	failures  int
	unreached bool
	downUntil time.Time
}

func newRow(leaf Leaf, now time.Time) *row {
	r := &row{Leaf: leaf, slowness: 1, slownessAt: now, refusalsAt: now}
	if leaf.ColdRemaining > 0 {
		r.slowness = coldSlowness
	}
	r.learnCold(leaf.ColdRemaining, now)
	return r
}

// decay is the part of a value that is left after age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// slownessNow is the slowness as believed now: it returns to 1 as it ages.
func (r *row) slownessNow(now time.Time) float64 {
	return 1 + (r.slowness-1)*decay(now.Sub(r.slownessAt), r.halfLife())
}

// halfLife is for how long what the leaf showed is half believed.
func (r *row) halfLife() time.Duration {
	if r.busiest == nil {
		return slownessLeast
	}
	return min(max(slownessRequests*r.busiest.every, slownessLeast), slownessMost)
}

func (r *row) refusalsNow(now time.Time) float64 {
	return r.refusals * decay(now.Sub(r.refusalsAt), refusalHalfLife)
}

// learnSlowness takes over one reply time as a multiple of the typical one.
func (r *row) learnSlowness(ratio float64, now time.Time) {
	was := r.slownessNow(now)
	r.slowness = was + slownessWeight*(min(ratio, slownessCap)-was)
	r.slownessAt = now
}

// learnRefusal takes over whether a request was refused.
func (r *row) learnRefusal(refused bool, now time.Time) {
	was := r.refusalsNow(now)
	x := 0.0
	if refused {
		x = 1
	}
	r.refusals = was + refusalWeight*(x-was)
	r.refusalsAt = now
}

// silentFor is how long the leaf has answered nothing although a request of
// this instance waits on it.
func (r *row) silentFor(now time.Time) time.Duration {
	if len(r.starts) == 0 {
		return 0
	}
	since := r.starts[0]
	if r.lastReply.After(since) {
		since = r.lastReply
	}
	return now.Sub(since)
}

// begin and end keep the requests in flight.
func (r *row) begin(now time.Time) {
	r.starts = append(r.starts, now)
	r.asked = true
}

func (r *row) end(start time.Time) {
	for i, s := range r.starts {
		if s.Equal(start) {
			r.starts = append(r.starts[:i], r.starts[i+1:]...)
			return
		}
	}
}

// fail records a failed connection.
func (r *row) fail(now time.Time) {
	r.failures++
	if r.failures < downAfter {
		return
	}
	wait := downFirst << min(r.failures-downAfter, 10)
	r.downUntil = now.Add(min(wait, downMost))
}

// learnLate takes over a failure after took, of which base is the usual time.
//
// A leaf reports that its time was up both when it is slow and when it paused
// with the request in its queue. Taking each such report for slowness keeps
// requests away from leafs that are well again. Taking none lets a leaf that is
// too slow for every deadline look merely unreliable: one notices it asked first,
// query after query, and failing each time. Time tells them apart.
func (r *row) learnLate(took, base time.Duration, now time.Time) {
	if took < lateFactor*base {
		return
	}
	if r.lateSince.IsZero() {
		r.lateSince = now
	}
	if now.Sub(r.lateSince) >= lateProof {
		r.learnSlowness(float64(took)/float64(base), now)
	}
}

// roomGrowth is how soon one more request than the leaf had room for is tried:
// leafs count a lost connection for as long as they let one idle, some seconds.
const roomGrowth = 2 * time.Second

// learnCrowded takes over that the leaf ended a new connection.
//
// A leaf accepts connections up to a limit that all instances share, and fewer
// while its queue is long; how many instances there are is published nowhere.
// Without a limit of its own an instance goes on opening connections that are
// reset, and each costs a second request; one notices thousands of resets after a
// restart or on a grown fleet. So what is in flight is taken for the instance's
// part, which grows again with time.
func (r *row) learnCrowded(now time.Time) {
	if len(r.starts) == 0 {
		r.fail(now)
		return
	}
	r.room = len(r.starts)
	r.roomAt = now
}

// roomNow is how many requests the leaf has room for, at most limit.
func (r *row) roomNow(limit int, now time.Time) int {
	if r.room == 0 {
		return limit
	}
	return min(limit, r.room+int(now.Sub(r.roomAt)/roomGrowth))
}

// answered records that the leaf is reachable.
func (r *row) answered(now time.Time) {
	r.failures = 0
	r.unreached = false
	r.givenUp = false
	r.downUntil = time.Time{}
	r.lastReply = now
}
