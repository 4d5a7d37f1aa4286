package replica

import (
	"math"
	"time"
)

// Parameters of the estimates of a leaf's state, and of how long they are valid.
const (
	// slownessWeight is the weight of one reply in the moving average of the slowness. If a leaf
	// becomes 6 times slower, the average exceeds 3 within two replies.
	slownessWeight = 0.3
	// slownessHalfLifeRequests is the half-life of the slowness without new replies, counted in
	// requests of this instance to the service. A slow leaf gets a request again after about
	// three half-lives, so that its recovery is noticed. minSlownessHalfLife and
	// maxSlownessHalfLife bound the half-life in time.
	slownessHalfLifeRequests = 16
	minSlownessHalfLife      = 1 * time.Second
	maxSlownessHalfLife      = 8 * time.Second
	// maxSlowness limits the effect of a single reply on the slowness, as a multiple of the
	// typical latency. A leaf that is slower cannot be used within a deadline anyway.
	maxSlowness = 30
	// timeoutFailureFactor is the multiple of the typical latency that a failure must have taken
	// to be attributed to a lack of time. timeoutFailureSpan is how long a leaf must have failed
	// in this way, without a successful reply in between, to count as slow. It is longer than a
	// pause and the processing of the queue after it.
	timeoutFailureFactor = 2
	timeoutFailureSpan   = 400 * time.Millisecond
	// refusalWeight is the weight of one outcome in the moving average of the refusal rate.
	refusalWeight = 0.2
	// refusalHalfLife is the half-life of the refusal rate without new outcomes.
	refusalHalfLife = time.Second
	// coldSlowness is the slowness assumed for a leaf that reports to be cold when its record is
	// created, until its replies show the actual one.
	coldSlowness = 1.6
	// downThreshold is the number of consecutive connection failures after which a leaf is down.
	downThreshold = 2
	// minProbeBackoff and maxProbeBackoff bound the time until one request probes a leaf that is
	// down. The time doubles with each failure.
	minProbeBackoff = 200 * time.Millisecond
	maxProbeBackoff = 2 * time.Second
)

// leafRecord is the state of one leaf as known to this instance.
type leafRecord struct {
	Leaf
	// number identifies the record among all records of the table.
	number uint64
	// lapsed means that the leaf vanished from the list around an outage of the store.
	lapsed bool

	// inFlightStarts are the start times of the requests in flight, oldest first. everRequested
	// means that this instance has sent the leaf at least one request.
	inFlightStarts []time.Time
	everRequested  bool
	// lastReply is the time of the leaf's last reply of any kind.
	lastReply time.Time

	// slowness is the moving average of the ratio of the latency to the typical latency of the
	// request's class, as of slownessAt. A leaf of typical latency has slowness 1.
	slowness   float64
	slownessAt time.Time
	// busiestService is the service of the leaf with the smallest gap between requests. It is
	// nil before the first request.
	busiestService *service
	// timeoutFailuresSince is the time of the first failure for lack of time since the last
	// success. refusalRate is the moving average of the fraction of requests that the leaf
	// refused or failed, as of refusalRateAt.
	timeoutFailuresSince time.Time
	refusalRate          float64
	refusalRateAt        time.Time
	// lastAbandoned means that a request was abandoned and the leaf has not replied since. Its
	// slowness is a lower bound then.
	lastAbandoned bool

	// learnedLimit is the number of requests that the leaf's connection limit appeared to allow
	// this instance at learnedLimitAt. Zero means that the limit was never reached.
	learnedLimit   int
	learnedLimitAt time.Time

	// load is the load that the leaf reported at loadAt, if loadAt is not zero.
	load   Load
	loadAt time.Time

	// coldUntil is the time at which the leaf becomes warm: the time that the leaf reports, but
	// not before assumedColdUntil. recentSends are the times of this instance's recent requests,
	// which are recorded only for leafs with a cold limit.
	coldUntil, assumedColdUntil time.Time
	recentSends                 []time.Time

	// connFailures is the number of consecutive connection failures. connectFailed means that
	// the last of them was a connection that could not be opened. While the leaf is down, it is
	// not probed before nextProbeAt.
	connFailures  int
	connectFailed bool
	nextProbeAt   time.Time
}

// newLeafRecord returns the record of a leaf without requests.
func newLeafRecord(leaf Leaf, now time.Time) *leafRecord {
	r := &leafRecord{Leaf: leaf, slowness: 1, slownessAt: now, refusalRateAt: now}
	if leaf.ColdRemaining > 0 {
		r.slowness = coldSlowness
	}
	r.setColdRemaining(leaf.ColdRemaining, now)
	return r
}

// decay returns the fraction of a value that is left after age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// slownessNow returns the current slowness, which decays towards 1.
func (r *leafRecord) slownessNow(now time.Time) float64 {
	return 1 + (r.slowness-1)*decay(now.Sub(r.slownessAt), r.slownessHalfLife())
}

// slownessHalfLife returns the half-life of the slowness. It grows with the gap between
// requests to the leaf's busiest service.
func (r *leafRecord) slownessHalfLife() time.Duration {
	if r.busiestService == nil {
		return minSlownessHalfLife
	}
	return min(
		max(slownessHalfLifeRequests*r.busiestService.requestGap, minSlownessHalfLife),
		maxSlownessHalfLife,
	)
}

// refusalRateNow returns the current refusal rate, which decays towards 0.
func (r *leafRecord) refusalRateNow(now time.Time) float64 {
	return r.refusalRate * decay(now.Sub(r.refusalRateAt), refusalHalfLife)
}

// recordSlowness updates the slowness with the latency of one request, as a multiple of the
// typical latency.
func (r *leafRecord) recordSlowness(ratio float64, now time.Time) {
	previous := r.slownessNow(now)
	r.slowness = previous + slownessWeight*(min(ratio, maxSlowness)-previous)
	r.slownessAt = now
}

// recordRefusal updates the refusal rate with the outcome of one request.
func (r *leafRecord) recordRefusal(refused bool, now time.Time) {
	previous := r.refusalRateNow(now)
	sample := 0.0
	if refused {
		sample = 1
	}
	r.refusalRate = previous + refusalWeight*(sample-previous)
	r.refusalRateAt = now
}

// silentFor returns how long the leaf has not replied although a request of this instance is in
// flight there, or 0 if none is.
func (r *leafRecord) silentFor(now time.Time) time.Duration {
	if len(r.inFlightStarts) == 0 {
		return 0
	}
	since := r.inFlightStarts[0]
	if r.lastReply.After(since) {
		since = r.lastReply
	}
	return now.Sub(since)
}

// begin adds a request to those in flight.
func (r *leafRecord) begin(now time.Time) {
	r.inFlightStarts = append(r.inFlightStarts, now)
	r.everRequested = true
}

// end removes a request from those in flight.
func (r *leafRecord) end(start time.Time) {
	for i, s := range r.inFlightStarts {
		if s.Equal(start) {
			r.inFlightStarts = append(r.inFlightStarts[:i], r.inFlightStarts[i+1:]...)
			return
		}
	}
}

// recordConnFailure records a connection failure and sets the time of the next probe if the
// leaf is down.
func (r *leafRecord) recordConnFailure(now time.Time) {
	r.connFailures++
	if r.connFailures < downThreshold {
		return
	}
	wait := minProbeBackoff << min(r.connFailures-downThreshold, 10)
	r.nextProbeAt = now.Add(min(wait, maxProbeBackoff))
}

// recordTimeoutFailure updates the slowness with a failed request that took latency, where
// typical is the typical latency of its class.
//
// A leaf reports that a request ran out of time both when the leaf is slow and when it paused
// with the request in its queue. If every such failure counted as slowness, leafs that have
// recovered from a pause would get no requests. If none did, a leaf that is too slow for every
// deadline would merely look unreliable, and every query would choose it first and fail there.
// The two cases are distinguished by how long the failures continue.
func (r *leafRecord) recordTimeoutFailure(latency, typical time.Duration, now time.Time) {
	if latency < timeoutFailureFactor*typical {
		return
	}
	if r.timeoutFailuresSince.IsZero() {
		r.timeoutFailuresSince = now
	}
	if now.Sub(r.timeoutFailuresSince) >= timeoutFailureSpan {
		r.recordSlowness(float64(latency)/float64(typical), now)
	}
}

// learnedLimitGrowthInterval is the time after which the learned limit grows by one request.
// Leafs count a lost connection until its idle timeout has passed, which takes some seconds.
const learnedLimitGrowthInterval = 2 * time.Second

// recordConnLimitReached records that the leaf closed a new connection.
//
// A leaf accepts connections up to a limit that all instances share, and fewer while its queue
// is long. The number of instances is not published. Without a limit of its own, an instance
// would continue to open connections that are reset, each at the cost of a second request;
// after a restart or with more instances there would be thousands of resets. The number of
// requests in flight is therefore taken as this instance's share, which grows again over time.
func (r *leafRecord) recordConnLimitReached(now time.Time) {
	if len(r.inFlightStarts) == 0 {
		r.recordConnFailure(now)
		return
	}
	r.learnedLimit = len(r.inFlightStarts)
	r.learnedLimitAt = now
}

// limitNow returns the number of requests that the leaf is expected to accept, at most limit.
func (r *leafRecord) limitNow(limit int, now time.Time) int {
	if r.learnedLimit == 0 {
		return limit
	}
	return min(limit, r.learnedLimit+int(now.Sub(r.learnedLimitAt)/learnedLimitGrowthInterval))
}

// recordReply records that the leaf has replied and is reachable.
func (r *leafRecord) recordReply(now time.Time) {
	r.connFailures = 0
	r.connectFailed = false
	r.lastAbandoned = false
	r.nextProbeAt = time.Time{}
	r.lastReply = now
}
