package replica

import (
	"math/rand/v2"
	"slices"
	"time"
)

// How leafs are compared.
const (
	// crossZoneFactor is what a leaf in another zone must be faster by to be
	// taken: bytes between zones are billed and take a round trip longer.
	crossZoneFactor = 1.6
	// tieSpread spreads instances that see two equal leafs over both, as a
	// part of the cost.
	tieSpread = 0.1
	// silentFactor and silentFloor say when a leaf that answers nothing is
	// suspected: after that many times its usual time, and the floor. A
	// paused leaf (200 to 250 ms) is suspected after about a fifth of its
	// pause.
	silentFactor = 3
	silentFloor  = 15 * time.Millisecond
	// suspectCost is added to a suspected leaf's cost: half of a usual pause.
	suspectCost = 120 * time.Millisecond
	// refusalsCap keeps the cost of a leaf that refuses everything finite.
	refusalsCap = 0.95
)

// Verdict says whether a leaf was found.
type Verdict int

const (
	// Placed: a leaf was found.
	Placed Verdict = iota
	// NoLeaf: none is listed that takes new work.
	NoLeaf
	// AllDown: those listed do not accept connections.
	AllDown
	// AllBusy: this instance's connections to each are in use.
	AllBusy
)

// String names the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"placed", "no_leaf", "all_down", "all_busy"}[v]
}

// Placement is a leaf chosen for a request.
type Placement struct {
	Leaf Leaf
	// Expected is how long a reply is expected to take.
	Expected time.Duration
	// Refusals is the share of requests that the leaf refuses or breaks.
	Refusals float64
	// Suspect: the leaf has been silent for longer than usual.
	Suspect bool
}

// Place returns the cheapest leaf of a service for a request of a class,
// leaving out the leafs in tried.
func (t *Table) Place(serviceName, className string, tried []string, now time.Time) (Placement, Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := NoLeaf
	var best Placement
	bestCost := time.Duration(0)
	limit := t.connLimit(serviceName)
	for _, r := range t.service(serviceName).leafs {
		if r.Draining || slices.Contains(tried, r.ID) {
			continue
		}
		if !t.reachable(r, now) {
			verdict = worse(verdict, AllDown)
			continue
		}
		if len(r.starts) >= limit {
			verdict = worse(verdict, AllBusy)
			continue
		}
		p, cost := t.price(r, className, now)
		if verdict != Placed || cost < bestCost {
			verdict, best, bestCost = Placed, p, cost
		}
	}
	return best, verdict
}

// worse keeps the verdict that says most of why there is no leaf.
func worse(have, found Verdict) Verdict {
	if have == NoLeaf || (have == AllDown && found == AllBusy) {
		return found
	}
	return have
}

// reachable reports whether a request may go to r: a leaf that failed is
// probed by one request at a time once its wait is over, and a leaf of a
// suspected zone waits for the zone's probe.
func (t *Table) reachable(r *row, now time.Time) bool {
	if z := t.zones[r.Zone]; z != nil && z.suspected {
		return false
	}
	if r.failures < downAfter {
		return true
	}
	return !now.Before(r.downUntil) && len(r.starts) == 0
}

// price returns the expected time of a request on r and its cost, by which
// leafs are compared.
func (t *Table) price(r *row, className string, now time.Time) (Placement, time.Duration) {
	base := float64(t.typical(className)) * r.slownessNow(now)
	expected := time.Duration(base * float64(1+len(r.starts)))
	p := Placement{Leaf: r.Leaf, Expected: expected}
	if r.silentFor(now) > silentFloor+time.Duration(silentFactor*base) {
		p.Suspect = true
		p.Expected += suspectCost
	}
	p.Refusals = r.refusalsNow(now)
	cost := float64(p.Expected) / (1 - min(p.Refusals, refusalsCap))
	if r.Zone != t.opts.Zone {
		cost *= crossZoneFactor
	}
	if r.lapsed {
		cost *= 2
	}
	cost *= 1 + tieSpread*rand.Float64()
	return p, time.Duration(cost)
}

// Outcome is what became of a request to a leaf.
type Outcome int

const (
	// Answered: a whole, valid success.
	Answered Outcome = iota
	// Failed: the leaf ran the request and reported a failure of its own.
	Failed
	// Refused: the leaf says that it did not run the request.
	Refused
	// Misdirected: another leaf has the address; not run.
	Misdirected
	// NotSent: no connection, or nothing was written; not run.
	NotSent
	// Broken: the connection ended, or what came was no valid answer; the
	// request may have run.
	Broken
	// TimedOut: no answer within the time the leaf was given; it may have
	// run.
	TimedOut
	// Abandoned: given up from this side; says nothing of the leaf.
	Abandoned
)

// String names the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "misdirected", "not_sent", "broken", "timed_out", "abandoned"}[o]
}

// NotRun reports whether the outcome is certain proof that the request did
// not run and will not.
func (o Outcome) NotRun() bool {
	return o == Refused || o == Misdirected || o == NotSent
}

// Call is a request in flight at a leaf.
type Call struct {
	Leaf  Leaf
	class string
	start time.Time
}

// Begin counts a request as in flight at the placed leaf.
func (t *Table) Begin(p Placement, className string, now time.Time) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.leafs[p.Leaf.ID]; r != nil {
		r.begin(now)
	}
	return &Call{Leaf: p.Leaf, class: className, start: now}
}

// End takes over what became of a call. It reports whether the leaf, or its
// zone, is now out of use and was not before.
func (t *Table) End(c *Call, outcome Outcome, now time.Time) (wentDown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[c.Leaf.ID]
	if r == nil {
		return false
	}
	r.end(c.start)
	wasUp := r.failures < downAfter
	t.learn(r, c, outcome, now)
	return wasUp && r.failures >= downAfter
}

// learn updates what is known of r.
func (t *Table) learn(r *row, c *Call, outcome Outcome, now time.Time) {
	took := now.Sub(c.start)
	switch outcome {
	case Answered:
		r.answered(now)
		t.zoneReplied(r.Zone, now)
		r.learnRefusal(false, now)
		t.class(c.class).learn(took)
		r.learnSlowness(float64(took)/float64(t.typical(c.class)), now)
	case Failed:
		r.answered(now)
		t.zoneReplied(r.Zone, now)
		r.learnRefusal(true, now)
	case Refused:
		r.answered(now)
		t.zoneReplied(r.Zone, now)
		r.learnRefusal(true, now)
	case Misdirected:
		r.failures = downAfter
		r.downUntil = now.Add(downMost)
		t.zoneReplied(r.Zone, now)
	case NotSent:
		r.fail(now)
	case Broken:
		r.learnRefusal(true, now)
		r.fail(now)
	case TimedOut:
		r.learnSlowness(float64(took)/float64(t.typical(c.class)), now)
	}
}

// Suspect reports whether the leaf of a call is silent for longer than usual.
func (t *Table) Suspect(c *Call, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[c.Leaf.ID]
	if r == nil {
		return true
	}
	base := float64(t.typical(c.class)) * r.slownessNow(now)
	z := t.zones[r.Zone]
	return r.silentFor(now) > silentFloor+time.Duration(silentFactor*base) || (z != nil && z.suspected)
}

// CountRequest counts one request for the service's budget of second
// requests, whether it is sent or not.
func (t *Table) CountRequest(serviceName string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(serviceName).budget.Request(now)
}

// TakeSecond takes one second request out of the service's budget.
func (t *Table) TakeSecond(serviceName string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(serviceName).budget.Take(now)
}
