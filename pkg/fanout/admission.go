package fanout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Refusal is why a query is refused before anything is sent.
type Refusal struct {
	// Unreachable is how many shards have no leaf to send to; Late is how
	// many have one that would answer too late.
	Unreachable int
	Late        int
	// Busy is how many shards have leafs whose connections are all in use
	// here.
	Busy int
	// ExpectedMisses is how many of the other shards are expected to miss the answer,
	// Spare how many may, and Chance how likely it is that no more do.
	ExpectedMisses     float64
	AllowedMisses      int
	SuccessProbability float64
	// Overloaded: enough shards have a leaf, but too many would be missing.
	Overloaded bool
	// RetryAfter is when the query is worth asking again.
	RetryAfter time.Duration
}

// Retry hints.
const (
	// retryUnreachable is half of the longest time that a leaf which is down
	// is left alone, and the time in which the balancer asks an instance
	// once whether it is ready.
	retryUnreachable = time.Second
	// OverloadRetryAfter, the hint of refusals for load, is the time in which a leaf's queue of a dozen requests
	// drains, or a pause ends.
	OverloadRetryAfter = 250 * time.Millisecond
)

// Start decides whether the query is admitted and what is sent first.
//
// The load it answers: a shard has two leafs of two slots; with one of them
// slow or down, the other cannot carry the rest, and its queue grows until
// every reply is late. One notices whole queries late although only a few
// shards are overloaded. A shard whose best leaf would answer after the target
// is left out at once while the least share allows it, which sheds that
// shard's load until its queue is short again. When more shards are overloaded
// than may be missing, the query is refused at once, unrun, and its caller
// told when to come back: it may then be served in time, while its requests
// would have made every queue longer.
//
// The query of a caller that has come again is not refused for overload at once. Refused
// again it would be lost: callers try a few times only. It waits, unrun, until the leafs
// have room that no query in time needs, as long as there is hope of that.
func (q *Query) Start(now time.Time) ([]Request, *Refusal) {
	for _, service := range q.route.Shards {
		q.table.CountRequest(service, now)
	}
	if q.onTrial {
		return q.startTrial(now)
	}
	sends, refusal := q.admit(now, q.opts.MinAdmitProbability)
	if refusal != nil && refusal.Overloaded && q.returned && q.hold(now) {
		return nil, nil
	}
	return sends, refusal
}

// admit sends the first requests if the query is at least so likely to cover enough
// shards in time, and refuses it otherwise.
func (q *Query) admit(now time.Time, leastChance float64) ([]Request, *Refusal) {
	found, refusal := q.place(now)
	if refusal.AllowedMisses < 0 {
		refusal.lacking()
		return nil, &refusal
	}
	late := q.late(found, now)
	refusal.Late = len(late)
	refusal.ExpectedMisses = q.risk(found, now)
	refusal.SuccessProbability = atMost(refusal.AllowedMisses, refusal.ExpectedMisses)
	refusal.Overloaded = refusal.Late > refusal.AllowedMisses || refusal.SuccessProbability < leastChance
	if refusal.Overloaded && (q.held || !q.table.AdmitProbe(q.route.Name, now)) {
		refusal.RetryAfter = OverloadRetryAfter
		return nil, &refusal
	}
	for _, p := range late[:min(refusal.Late, refusal.AllowedMisses)] {
		q.shards[p.shard].out = true
	}
	return q.sendFirst(found, now), nil
}

// place looks for a leaf of every shard. A query that waits for every shard also
// waits for a free connection: leaving the shard out, or asking the caller to come
// again, would only turn a short burst into missing shards.
func (q *Query) place(now time.Time) ([]placed, Refusal) {
	found := make([]placed, len(q.shards))
	var refusal Refusal
	for i := range q.shards {
		service := q.route.Shards[i]
		p, v := q.table.Place(service, q.route.Name, nil, now)
		found[i] = placed{shard: i, placement: p}
		q.shards[i].verdict = v
		q.shards[i].out = v != replica.Placed
		switch v {
		case replica.Placed:
		case replica.AllBusy:
			if !q.aimed() {
				q.shards[i].out = false
				q.shards[i].lookAt = now.Add(busyStep)
				continue
			}
			refusal.Busy++
		default:
			refusal.Unreachable++
		}
	}
	refusal.AllowedMisses = len(q.shards) - q.need - refusal.Unreachable - refusal.Busy
	return found, refusal
}

// lacking gives a refusal for want of leafs its kind and hint. Connections that
// are in use are free again within a leaf's reply time, so a query that lacks
// only those is overload; waiting for them, unrun, for a fifth of the target made
// no difference, because the leafs behind them are full.
func (r *Refusal) lacking() {
	if r.AllowedMisses+r.Busy < 0 {
		r.RetryAfter = retryUnreachable
		return
	}
	r.Overloaded = true
	r.RetryAfter = OverloadRetryAfter
}

// placed is a shard with the leaf found for it.
type placed struct {
	shard     int
	placement replica.Placement
}

// late lists the shards whose reply is expected after the answer is given,
// latest first.
func (q *Query) late(found []placed, now time.Time) []placed {
	if !q.aimed() {
		return nil
	}
	left := q.timeLeft(now)
	var out []placed
	for _, p := range found {
		if !q.shards[p.shard].out && p.placement.ExpectedLatency > left {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b placed) int {
		return cmp.Compare(b.placement.ExpectedLatency, a.placement.ExpectedLatency)
	})
	return out
}

// risk is how many of the shards with a leaf are expected to miss the answer.
//
// Reply times of a leaf that queues are spread about exponentially around their
// mean, so that a mean far below the target still misses it now and then; over
// twenty shards that adds up. With an availability zone cut off, two thirds of
// the shards have one leaf, each at 105 % of what it can take: the mean stays
// below the target while half of all queries come late.
func (q *Query) risk(found []placed, now time.Time) float64 {
	if !q.aimed() {
		return 0
	}
	left := q.timeLeft(now)
	sum := 0.0
	for _, p := range found {
		if q.shards[p.shard].out {
			continue
		}
		miss := missing(p.placement, left)
		// A query that is held is not to live on the budget that new ones need.
		if miss > missNegligible && !q.held {
			miss *= q.secondMissing(p, left, now)
		}
		sum += miss
	}
	return sum
}

// missNegligible is the risk of a shard below which a second request is not looked at: it
// saves placements, and of a hundred such shards one is missed.
const missNegligible = 0.01

// missing is how likely a request to a leaf is to bring nothing within a time.
func missing(p replica.Placement, left time.Duration) float64 {
	inTime := 1 - math.Exp(-float64(left)/float64(max(p.ExpectedLatency, 1)))
	return 1 - inTime*(1-p.RefusalRate)
}

// secondMissing is how likely the second request for a shard is to bring nothing in time; 1
// without budget or another leaf.
//
// Where one of a shard's leafs sheds, a refused request is made up for by the other one
// within milliseconds, as long as there is budget. An estimate that leaves this out turns
// away callers that could be served.
func (q *Query) secondMissing(first placed, left time.Duration, now time.Time) float64 {
	service := q.route.Shards[first.shard]
	if q.route.MaxAttempts < 2 || !q.table.HasSecondRequestBudget(service, now) {
		return 1
	}
	p, v := q.table.Place(service, q.route.Name, []string{first.placement.Leaf.ID}, now)
	if v != replica.Placed {
		return 1
	}
	return missing(p, max(left-q.hedgeDelay(), 0))
}

// atMost is the probability that at most n of many independent events happen when
// mean are expected (Poisson). A bound on the expected number alone would be far
// stricter for routes that may miss many shards than for those that may miss none.
func atMost(n int, mean float64) float64 {
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

// sendFirst sends the first request of every shard that is not left out.
func (q *Query) sendFirst(found []placed, now time.Time) []Request {
	sends := make([]Request, 0, len(found))
	for _, p := range found {
		s := &q.shards[p.shard]
		if s.out || s.verdict != replica.Placed {
			continue
		}
		sends = q.send(sends, p.shard, p.placement, ReasonFirst, now)
	}
	return sends
}
