package peers

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/succession"
)

// Parameters of the simulated fleet: two zones of two instances and two zones of one, as a deployment
// of the users has them, and the published limits on second requests.
const (
	simStep        = 10 * time.Millisecond
	simWindow      = 10 * time.Second
	simRatio       = 0.2
	simBurst       = 52
	simRestartTime = 500 * time.Millisecond
	simRate        = 6 // Requests per second of each instance.
	simFailShare   = 0.6
	simLoss        = 0.02 // Share of lost datagrams.
)

// simInstance is one instance with its current process.
type simInstance struct {
	self  membership.Member
	down  time.Time // When its process starts again; zero if it runs.
	table *replica.Table
	burst burstShare
	// processID identifies the process, and stopping that it is draining.
	processID uint64
	stopping  bool
	reporter  succession.Reporter
	keeper    *succession.Keeper
	successor *succession.Successor
}

// restartSim replays restarts of the instances of a fleet while a service fails requests.
type restartSim struct {
	rng       *rand.Rand
	now       time.Time
	instances []*simInstance
	// service is the service, which is a shard of queries if shard is set.
	service string
	shard   bool
	// requests and second are the times of requests and second requests in seconds.
	requests, second []float64
	failFrom         time.Time
}

func newRestartSim(seed uint64, shard bool) *restartSim {
	s := &restartSim{rng: rand.New(rand.NewPCG(seed, 1)), now: burstStart, service: "s", shard: shard}
	for _, zone := range []string{"a", "a", "b", "b", "c", "d"} {
		i := &simInstance{self: membership.Member{Name: fmt.Sprint("i", len(s.instances)), Zone: zone, Capacity: 40}}
		s.instances = append(s.instances, i)
		s.start(i, false)
	}
	return s
}

// start starts a process of an instance.
func (s *restartSim) start(i *simInstance, hasPredecessor bool) {
	i.down, i.stopping, i.processID = time.Time{}, false, s.rng.Uint64()
	i.table = replica.NewTable(replica.Options{Budget: replica.BudgetOptions{Ratio: simRatio, Window: simWindow, Burst: 2}})
	i.table.SetShards(map[string]bool{s.service: s.shard})
	i.burst = burstShare{budget: BurstBudget{Total: simBurst, Zones: []string{"a", "b", "c", "d"}}}
	i.reporter = succession.Reporter{}
	i.keeper = succession.NewKeeper(simWindow)
	i.successor = succession.NewSuccessor(hasPredecessor, simWindow, s.now)
	if hasPredecessor {
		i.table.HoldSecondRequests(s.now.Add(simWindow))
	}
}

// stop ends the process of an instance, after a final report if it stops gracefully.
func (s *restartSim) stop(i *simInstance, gracefully bool) {
	if !i.down.IsZero() {
		return
	}
	if gracefully && !i.successor.Waiting(s.now) {
		s.report(i, maxKeepers, succession.Report{Services: i.table.SentSecondRequests(time.Time{}, s.now), Full: true, Final: true})
	}
	i.down = s.now.Add(simRestartTime)
}

// others returns the members that an instance may give work to.
func (s *restartSim) others(i *simInstance) (usable []membership.Member) {
	for _, o := range s.instances {
		if o != i && o.down.IsZero() && !o.stopping {
			usable = append(usable, o.self)
		}
	}
	return usable
}

// report sends a report to n keepers.
func (s *restartSim) report(i *simInstance, n int, r succession.Report) {
	r.Zone = i.burst.zoneSize()
	for _, part := range r.Split() {
		for _, to := range s.keepers(i, n) {
			if s.rng.Float64() >= simLoss {
				to.keeper.Receive(i.self.Name, i.processID, part, s.now)
			}
		}
	}
}

// keepers returns the first n keepers of an instance.
func (s *restartSim) keepers(i *simInstance, n int) (out []*simInstance) {
	r := assignRoles(i.self, s.others(i), neverAvoided)
	for _, m := range r.keepers[:min(n, len(r.keepers))] {
		for _, o := range s.instances {
			if o.self.Name == m.Name {
				out = append(out, o)
			}
		}
	}
	return out
}

// tick does what an instance does several times a second.
func (s *restartSim) tick(i *simInstance) {
	others := s.others(i)
	i.table.SetBurstLimits(i.burst.compute(assignRoles(i.self, others, neverAvoided), others, i.self.Zone, s.now))
	if i.successor.Asks(s.now) {
		for _, k := range s.keepers(i, maxKeepers) {
			s.answer(i, k)
		}
	}
	if i.successor.Waiting(s.now) {
		return
	}
	since, full, due := i.reporter.Due(s.now)
	if full {
		since = time.Time{}
	}
	if due {
		s.report(i, keeperCount, succession.Report{Services: i.table.SentSecondRequests(since, s.now), Full: full})
	}
}

// answer sends the answer of a keeper to a starting process.
func (s *restartSim) answer(i, keeper *simInstance) {
	report, known := keeper.keeper.Predecessor(i.self.Name, i.processID, s.now)
	if !known {
		return
	}
	for _, part := range report.Split() {
		if s.rng.Float64() < simLoss {
			continue
		}
		counts, complete := i.successor.Receive(keeper.self.Name, part, s.now)
		i.table.InheritSecondRequests(counts, s.now)
		if complete {
			i.burst.inherit(part.Zone, s.now)
			i.table.HoldSecondRequests(time.Time{})
		}
	}
}

// run replays the time until end. at is called in each step.
func (s *restartSim) run(end time.Duration, at func(since time.Duration)) {
	for since := time.Duration(0); since < end; since += simStep {
		s.now = burstStart.Add(since)
		at(since)
		for _, i := range s.instances {
			if !i.down.IsZero() && !s.now.Before(i.down) {
				s.start(i, true)
			}
			if i.down.IsZero() && since%(100*time.Millisecond) == 0 {
				s.tick(i)
			}
			if i.down.IsZero() && s.rng.Float64() < simRate*simStep.Seconds() {
				s.request(i)
			}
		}
	}
}

// request sends one request, and a second one if it fails.
func (s *restartSim) request(i *simInstance) {
	i.table.CountRequest(s.service, s.now)
	at := s.now.Sub(burstStart).Seconds()
	s.requests = append(s.requests, at)
	if s.now.Before(s.failFrom) || s.rng.Float64() >= simFailShare {
		return
	}
	if i.table.TakeSecondRequestBudget(s.service, s.now) {
		s.second = append(s.second, at)
	}
}

// excess returns by how many second requests the worst window is over the published limit.
func (s *restartSim) excess() float64 {
	worst := math.Inf(-1)
	for _, from := range s.second {
		requests := max(countIn(s.requests, from), countIn(s.requests, from-simWindow.Seconds()/2), countIn(s.requests, from-simWindow.Seconds()))
		worst = max(worst, float64(countIn(s.second, from))-simRatio*float64(requests)-simBurst)
	}
	return worst
}

// countIn returns how many times lie in the window that begins at from.
func countIn(times []float64, from float64) int {
	n := 0
	for _, t := range times {
		if t >= from && t < from+simWindow.Seconds() {
			n++
		}
	}
	return n
}
