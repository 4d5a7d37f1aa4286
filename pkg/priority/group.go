package priority

import (
	"sync"
	"time"
)

// Parameters of the control rule.
const (
	// stepInterval is the minimum time between two changes of a share. The effect of a change is
	// visible after about the time in which a leaf's queue drains (90 ms).
	stepInterval = 100 * time.Millisecond
	// highPressure is the fraction of the urgent target above which less urgent queries are
	// reduced. It is less than 1 because the growth of the queues must be detected before the
	// target is missed.
	highPressure = 0.8
	// lowPressure is the fraction of the urgent target below which they are increased. Between the
	// two nothing changes, so that the share does not oscillate.
	lowPressure = 0.6
	// decreaseFactor multiplies the share in each step of a reduction, and increaseStep is added to
	// it in each step of an increase.
	decreaseFactor = 0.7
	increaseStep   = 0.05
	// maxSteps limits the increase after a time without queries.
	maxSteps = 20
	// initialCredit of a reduced route makes its first refusals as likely as its first admissions.
	initialCredit = 0.5
)

// overdrafts holds the credit that a query may use beyond what has accrued, by caller. It makes the
// admission of returning callers independent of the moment of their arrival, and is small enough
// that new callers wait for a few arrivals only.
var overdrafts = [...]float64{NewCaller: 0, ReturningCaller: 2, PromisedCaller: 8}

// rank is the state of the routes of one rank in a group.
type rank struct {
	value int
	// share is the admitted share of the rank's queries (0 to 1).
	share float64
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
	lastStep time.Time
	// lastCut is the time of the last reduction.
	lastCut time.Time
}

// admit decides on a query of m. The caller holds mu.
func (g *group) admit(m *member, caller Caller, now time.Time) Decision {
	m.signal.lastArrival = now
	g.step(now)
	d := Decision{Admitted: true, Controlled: true, Rank: m.rank.value, Share: m.rank.share}
	if m.rank.share >= 1 {
		m.credit = initialCredit
		m.admitted++
		return d
	}
	m.credit += m.rank.share
	if m.credit >= 1-overdrafts[caller] {
		m.credit--
		m.admitted++
		return d
	}
	m.refused++
	p := g.pressure(now)
	d.Admitted, d.Pressure, d.PressureAge = false, p.value, p.age
	if p.favored != nil {
		d.Favored = p.favored.name
	}
	return d
}

// step changes a share if a step is due. The caller holds mu.
func (g *group) step(now time.Time) {
	steps := min(now.Sub(g.lastStep)/stepInterval, maxSteps)
	if steps < 1 {
		return
	}
	p := g.pressure(now)
	switch {
	case p.value > highPressure && p.measuredAt.After(g.lastCut) && p.age <= freshFor:
		g.decrease(p.signalRank)
		g.lastCut = now
	case p.value < lowPressure:
		g.increase(increaseStep * float64(steps))
	}
	g.lastStep = now
}

// decrease reduces the share of the least urgent rank that is less urgent than the given one and
// above the minimum.
func (g *group) decrease(urgent *rank) {
	for i := len(g.ranks) - 1; i >= 0 && g.ranks[i] != urgent; i-- {
		if r := g.ranks[i]; r.share > g.minShare {
			r.share = max(r.share*decreaseFactor, g.minShare)
			return
		}
	}
}

// increase raises the share of the most urgent rank that is reduced.
func (g *group) increase(by float64) {
	for _, r := range g.ranks {
		if r.share < 1 {
			r.share = min(r.share+by, 1)
			return
		}
	}
}
