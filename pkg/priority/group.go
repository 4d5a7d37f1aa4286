package priority

import (
	"sync"
	"time"
)

// Parameters of the control rule. In trial replays of two classes at 1.5 times the capacity (mean of
// three seeds), 0.925 of the urgent queries were in time. With thresholds that were 0.05 of the
// target higher, the fraction was 0.908; with a decreaseFactor of 0.8, it was 0.882. The lower thresholds
// cost the other class 0.01.
const (
	// stepInterval is the minimum time between two changes of a share. The effect of a change is
	// visible after about the time in which a leaf's queue drains (90 ms).
	stepInterval = 100 * time.Millisecond
	// highSlack is the fraction of the urgent route's slack above whose use less urgent queries are
	// reduced. The slack is what the target leaves above the typical latency: a route whose typical
	// latency is 0.7 of its target would be protected all the time by a fixed fraction of the target.
	// It is less than 1 because the growth of the queues must be detected before the target is missed.
	highSlack = 0.55
	// lowSlack is the fraction of the slack below whose use they are increased. Between the two
	// nothing changes, so that the share does not oscillate.
	lowSlack = 0.3
	// maxTypical limits the typical latency to this fraction of the target. Above it there is no slack
	// to speak of, and misses must still count as pressure.
	maxTypical = 0.9
	// decreaseFactor multiplies the share in each step of a reduction, and increaseStep is added to
	// it in each step of an increase.
	decreaseFactor = 0.7
	increaseStep   = 0.05
	// cautiousStep replaces increaseStep near the share at which the last reduction was needed:
	// between cautiousFrom and cautiousTo times that share, for cautiousFor after the reduction.
	// The leafs fill there within some steps, before any latency shows it. After an overload, the
	// share returns to 1 in about 2 s.
	cautiousStep             = 0.015
	cautiousFrom, cautiousTo = 0.85, 1.1
	cautiousFor              = 1500 * time.Millisecond
	// maxSteps limits the increase after a time without queries.
	maxSteps = 20
)

// overdrafts holds the credit that a query may use beyond what has accrued, by caller. It makes the
// admission of returning callers independent of the moment of their arrival, and is small enough
// that new callers wait for a few arrivals only.
var overdrafts = [...]float64{NewCaller: 0, ReturningCaller: 2, PromisedCaller: 8, EarlyCaller: 0}

// initialCredit is the credit of a route that begins to be reduced: a new query is then as likely to be
// admitted first as to be refused first.
const initialCredit = 0.5

// returnFraction is the part of the admissions for which returning callers go before new ones. It
// does not apply to promised callers, whose number the promises limit. Each caller admitted on its
// return takes the place of a new one, which would be answered within its target. In the replay with
// callers that retry once, 0.456 of the less urgent callers were answered in time and 0.106 late; with
// a quarter 0.39 and 0.15, with a half 0.28 and 0.26. The fraction refused twice was the same.
const returnFraction = 0.1

// maxRefusedNew limits the number of refused callers that are expected back. Callers that do not return
// must not be expected for long.
const maxRefusedNew = 256

// rank is the state of the routes of one rank in a group.
type rank struct {
	value int
	// share is the admitted share of the rank's queries (0 to 1).
	share float64
	// ceiling is the share at which the last reduction was needed.
	ceiling float64
	// reported is whether the last reported change was a reduction; reportedAt is its time.
	reported   bool
	reportedAt time.Time
}

// member is a route in a group.
type member struct {
	group  *group
	rank   *rank
	name   string
	target time.Duration
	signal signal
	// credit is increased by the share with each arrival and reduced by 1 with each admission.
	credit float64
	// returnCredit is increased by the part of the share for which returning callers go before new
	// ones, and reduced by 1 when such a caller is admitted.
	returnCredit float64
	// refusedNew is the number of refused new callers that have not returned yet. The return of one of
	// them accrues no credit: its first arrival did.
	refusedNew int
	// admitted and refused count the decisions.
	admitted, refused uint64
}

// group is a set of routes connected through shared services.
type group struct {
	// key identifies the routes and their ranks.
	key string

	mu sync.Mutex
	// ranks and members are sorted, the most urgent first.
	ranks    []*rank
	members  []*member
	minShare float64
	// measuredShare is the smallest fraction of the shards that a route requires.
	measuredShare float64
	lastStep      time.Time
	// lastCut is the time of the last reduction.
	lastCut time.Time
}

// admit decides on a query of m. The caller holds mu.
func (g *group) admit(m *member, caller Caller, now time.Time) Decision {
	m.signal.lastArrival = now
	g.step(now)
	d := Decision{Admitted: true, Controlled: true, Rank: m.rank.value, Share: m.rank.share}
	if m.rank.share >= 1 {
		m.credit, m.returnCredit, m.refusedNew = initialCredit, 0, 0
		m.admitted++
		return d
	}
	if m.takeCredit(caller) {
		m.admitted++
		return d
	}
	m.refused++
	if caller == NewCaller {
		m.refusedNew = min(m.refusedNew+1, maxRefusedNew)
	}
	p := g.pressure(now)
	d.Admitted, d.Pressure, d.PressureAge = false, p.value, p.age
	if p.favored != nil {
		d.Favored = p.favored.name
	}
	return d
}

// takeCredit accrues the credit of one arrival, and reports whether the query of the caller may use
// it. A returning caller is admitted before new ones as long as returnCredit lasts, and like a new
// one otherwise.
func (m *member) takeCredit(caller Caller) bool {
	if caller != NewCaller && m.refusedNew > 0 {
		m.refusedNew--
	} else {
		m.credit += m.rank.share
		m.returnCredit = min(m.returnCredit+returnFraction*m.rank.share, 1)
	}
	overdraft := overdrafts[caller]
	if caller == ReturningCaller && m.returnCredit < 1-overdraft {
		overdraft = 0
	}
	if m.credit < 1-overdraft {
		return false
	}
	m.credit--
	if caller == ReturningCaller {
		m.returnCredit = max(m.returnCredit-1, -overdrafts[ReturningCaller])
	}
	return true
}

// step changes a share if a step is due. The caller holds mu.
func (g *group) step(now time.Time) {
	steps := min(now.Sub(g.lastStep)/stepInterval, maxSteps)
	if steps < 1 {
		return
	}
	p := g.pressure(now)
	switch {
	case p.value > p.threshold(highSlack) && p.measuredAt.After(g.lastCut) && p.age <= freshFor:
		g.decrease(p.signalRank, now)
		g.lastCut = now
	case p.value < p.threshold(lowSlack):
		g.increase(float64(steps), now)
	}
	g.lastStep = now
}

// decrease reduces the share of the least urgent rank that is less urgent than the given one, has
// queries, and is above the minimum.
func (g *group) decrease(urgent *rank, now time.Time) {
	for i := len(g.ranks) - 1; i >= 0 && g.ranks[i] != urgent; i-- {
		if r := g.ranks[i]; r.share > g.minShare && g.active(r, now) {
			r.ceiling = r.share
			r.share = max(r.share*decreaseFactor, g.minShare)
			return
		}
	}
}

// increase raises the share of the most urgent rank that is reduced, by a number of steps.
func (g *group) increase(steps float64, now time.Time) {
	for _, r := range g.ranks {
		if r.share < 1 {
			by := increaseStep
			if now.Sub(g.lastCut) < cautiousFor && r.share > cautiousFrom*r.ceiling && r.share < cautiousTo*r.ceiling {
				by = cautiousStep
			}
			r.share = min(r.share+steps*by, 1)
			return
		}
	}
}

// active reports whether a route of the rank has had queries recently.
func (g *group) active(r *rank, now time.Time) bool {
	for _, m := range g.members {
		if m.rank == r && m.signal.active(now) {
			return true
		}
	}
	return false
}

// reduced reports whether the share of any rank is reduced. The caller holds mu.
func (g *group) reduced() bool {
	for _, r := range g.ranks {
		if r.share < 1 {
			return true
		}
	}
	return false
}
