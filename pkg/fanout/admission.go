package fanout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Refusal says why a query is refused before anything is sent.
type Refusal struct {
	// Unreachable is the number of shards without a leaf to send to. Late is the number of shards
	// whose best leaf would answer too late.
	Unreachable int
	Late        int
	// Busy is the number of shards for which all connections of this instance to their leafs are
	// in use.
	Busy int
	// ExpectedMisses is the expected number of the remaining shards that miss the answer.
	// AllowedMisses is the number that may miss it. SuccessProbability is the probability that no
	// more than AllowedMisses do.
	ExpectedMisses     float64
	AllowedMisses      int
	SuccessProbability float64
	// Overloaded means that enough shards have a leaf, but too many of them would miss the
	// answer.
	Overloaded bool
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// Delays that refused callers are told to wait before they retry.
const (
	// unreachableRetryAfter is half of the longest backoff for a leaf that is down, and equals
	// the interval at which the load balancer checks an instance's readiness.
	unreachableRetryAfter = time.Second
	// OverloadRetryAfter is used for refusals because of load. It is the time in which a leaf's
	// queue of a dozen requests drains, or in which a pause ends.
	OverloadRetryAfter = 250 * time.Millisecond
)

// Start decides whether the query is admitted, and returns the first requests or the refusal.
//
// It is designed for the following overload. A shard has two leafs of two slots each. If one leaf
// is slow or down, the other cannot serve the whole load, and its queue grows until every reply
// is late. Whole queries then become late although only a few shards are overloaded. Start
// therefore leaves out a shard whose best leaf would answer after the target, as long as the
// minimum share allows it; this sheds the shard's load until its queue is short again. If more
// shards are overloaded than may be missing, the query is refused immediately, before anything
// has run, and the caller is told when to retry. The retry may be served in time, whereas the
// requests of the refused query would have made every queue longer.
//
// A query whose caller has already been refused once is not refused immediately for overload.
// Callers retry only a few times, so another refusal would lose the query. Instead it is held,
// without sending anything, until the leafs have more capacity than new queries need, as long as
// that is likely to happen.
func (q *Query) Start(now time.Time) ([]Request, *Refusal) {
	for _, service := range q.route.Shards {
		q.table.CountRequest(service, now)
	}
	if q.startWithTrial {
		return q.startTrial(now)
	}
	requests, refusal := q.admit(now, q.startProbability())
	if refusal != nil && refusal.Overloaded && q.mayHold() && q.hold(now) {
		return nil, nil
	}
	return requests, refusal
}

// admit returns the first requests, or a refusal if too many shards would be late or if the
// probability that the query covers enough shards in time is below minProbability. Such a query is
// nevertheless admitted if it is not held and a probe is due.
func (q *Query) admit(now time.Time, minProbability float64) ([]Request, *Refusal) {
	placements, refusal := q.placeAll(now)
	if refusal.AllowedMisses < 0 {
		refusal.setShortage()
		return nil, &refusal
	}
	late := q.lateShards(placements, now)
	refusal.Late = len(late)
	refusal.ExpectedMisses = q.expectedMisses(placements, now)
	refusal.SuccessProbability = probabilityAtMost(refusal.AllowedMisses, refusal.ExpectedMisses)
	refusal.Overloaded = refusal.Late > refusal.AllowedMisses || refusal.SuccessProbability < minProbability
	if refusal.Overloaded && (q.held || !q.table.AdmitProbe(q.route.Name, now)) {
		refusal.RetryAfter = OverloadRetryAfter
		return nil, &refusal
	}
	for _, p := range late[:min(refusal.Late, refusal.AllowedMisses)] {
		q.shards[p.shard].excluded = true
	}
	return q.sendFirstRequests(placements, now), nil
}

// placeAll chooses a leaf for every shard. A query that waits for every shard also waits for a
// free connection: leaving the shard out, or telling the caller to retry, would only turn a short
// burst into missing shards.
func (q *Query) placeAll(now time.Time) ([]shardPlacement, Refusal) {
	placements := make([]shardPlacement, len(q.shards))
	var refusal Refusal
	for i := range q.shards {
		service := q.route.Shards[i]
		p, v := q.table.Place(service, q.route.Name, nil, now)
		placements[i] = shardPlacement{shard: i, placement: p}
		q.shards[i].placeResult = v
		q.shards[i].excluded = v != replica.Placed
		switch v {
		case replica.Placed:
		case replica.AllBusy:
			if !q.hasTarget() {
				q.shards[i].excluded = false
				q.shards[i].nextCheck = now.Add(busyCheckInterval)
				continue
			}
			refusal.Busy++
		default:
			refusal.Unreachable++
		}
	}
	refusal.AllowedMisses = len(q.shards) - q.requiredShards - refusal.Unreachable - refusal.Busy
	return placements, refusal
}

// setShortage sets the kind and the retry delay of a refusal for which too few shards have a
// leaf. Connections in use become free again within a leaf's reply time, so a query that lacks
// only connections is refused as overload. Holding such a query for a fifth of the target latency
// made no difference, because the leafs behind the connections are saturated.
func (r *Refusal) setShortage() {
	if r.AllowedMisses+r.Busy < 0 {
		r.RetryAfter = unreachableRetryAfter
		return
	}
	r.Overloaded = true
	r.RetryAfter = OverloadRetryAfter
}

// shardPlacement is a shard and the leaf chosen for it.
type shardPlacement struct {
	shard     int
	placement replica.Placement
}

// lateShards returns the shards whose reply is expected too late for the answer, latest first.
func (q *Query) lateShards(placements []shardPlacement, now time.Time) []shardPlacement {
	if !q.hasTarget() {
		return nil
	}
	left := q.timeToTarget(now)
	var out []shardPlacement
	for _, p := range placements {
		if !q.shards[p.shard].excluded && p.placement.ExpectedLatency > left {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b shardPlacement) int {
		return cmp.Compare(b.placement.ExpectedLatency, a.placement.ExpectedLatency)
	})
	return out
}

// expectedMisses returns the expected number of shards with a leaf that miss the answer.
//
// The reply times of a leaf with a queue are distributed roughly exponentially around their mean.
// Even a leaf whose mean is far below the target misses it occasionally, and over twenty shards
// this adds up. If an availability zone is cut off, for example, two thirds of the shards have
// one leaf left, each at 105 % of its capacity: the mean stays below the target while half of all
// queries are late.
func (q *Query) expectedMisses(placements []shardPlacement, now time.Time) float64 {
	if !q.hasTarget() {
		return 0
	}
	left := q.timeToTarget(now)
	sum := 0.0
	for _, p := range placements {
		if q.shards[p.shard].excluded {
			continue
		}
		sum += q.shardMissProbability(p, left, now)
	}
	return sum
}

// shardMissProbability returns the probability that neither the first request for a shard nor a second
// one brings an answer within left.
func (q *Query) shardMissProbability(p shardPlacement, left time.Duration, now time.Time) float64 {
	miss := missProbability(p.placement, left)
	// A held query must not count on the budget of second requests that new queries need.
	if miss <= negligibleMissProbability || q.held {
		return miss
	}
	if !q.noHedging {
		return miss * q.secondMissProbability(p, left-q.hedgeDelay(), now)
	}
	// A late reply is not replaced, but a request that the leaf refuses is repeated within
	// milliseconds.
	refused := p.placement.RefusalRate
	if refused <= 0 {
		return miss
	}
	return miss - refused*(1-q.secondMissProbability(p, left, now))
}

// negligibleMissProbability is the miss probability below which a shard's second request is
// ignored. Ignoring it saves placements; of a hundred such shards one misses the answer.
const negligibleMissProbability = 0.01

// missProbability returns the probability that a request to the leaf of p brings no answer within
// left.
func missProbability(p replica.Placement, left time.Duration) float64 {
	inTime := 1 - math.Exp(-float64(left)/float64(max(p.ExpectedLatency, 1)))
	return 1 - inTime*(1-p.RefusalRate)
}

// secondMissProbability returns the probability that the second request for a shard, which is sent
// when left remains of the time, brings no answer in time. It is 1 if there is no budget or no other
// leaf.
//
// If one of a shard's leafs sheds load, the other one replaces a refused request within
// milliseconds, as long as there is budget. An estimate that ignores this refuses callers that
// could be served.
func (q *Query) secondMissProbability(first shardPlacement, left time.Duration, now time.Time) float64 {
	service := q.route.Shards[first.shard]
	if q.route.MaxAttempts < 2 || !q.table.HasSecondRequestBudget(service, now) {
		return 1
	}
	p, v := q.table.Place(service, q.route.Name, []string{first.placement.Leaf.ID}, now)
	if v != replica.Placed {
		return 1
	}
	return missProbability(p, max(left, 0))
}

// probabilityAtMost returns the probability that at most n of many independent events happen if
// mean are expected (Poisson distribution). A limit on the expected number alone would be far
// stricter for routes that may miss many shards than for those that may miss none.
func probabilityAtMost(n int, mean float64) float64 {
	if n < 0 {
		return 0
	}
	term := math.Exp(-mean)
	sum := term
	for k := 1; k <= n; k++ {
		term *= mean / float64(k)
		sum += term
	}
	return sum
}

// sendFirstRequests sends the first request for every shard that is not excluded.
func (q *Query) sendFirstRequests(placements []shardPlacement, now time.Time) []Request {
	requests := make([]Request, 0, len(placements))
	if q.firstWindow > 0 {
		// The leaf that is asked first delays all others.
		slices.SortStableFunc(placements, func(a, b shardPlacement) int {
			return cmp.Compare(a.placement.ExpectedLatency, b.placement.ExpectedLatency)
		})
	}
	for _, p := range placements {
		s := &q.shards[p.shard]
		if s.excluded || s.placeResult != replica.Placed {
			continue
		}
		if !q.mayAskFirst(s, len(requests), now) {
			continue
		}
		requests = q.send(requests, p.shard, p.placement, ReasonFirst, now)
	}
	return requests
}
