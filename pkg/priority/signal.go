package priority

import (
	"math"
	"time"
)

// Parameters of the measurement.
const (
	// missedPressure is the pressure for which a missed or refused query counts.
	missedPressure = 1.5
	// smoothing is the time constant of the averages. The weight of one sample is limited on both
	// sides, so that a single miss among rare queries causes no reduction.
	smoothing            = 100 * time.Millisecond
	minWeight, maxWeight = 0.05, 0.3
	// freshFor is the age up to which a sample of an urgent route counts; queries of other ranks
	// are used instead of older ones.
	freshFor = 200 * time.Millisecond
	// holdFor is the age from which a measured pressure is forgotten.
	holdFor = time.Second
	// activeFor is how long after its last query a route is protected.
	activeFor = 5 * time.Second
	// typicalFall and typicalRise are the time constants with which the typical latency follows
	// lower and higher samples. While a rank is reduced, it rises more slowly, so that an overload
	// of some seconds does not become the typical case.
	typicalFall        = 3 * time.Second
	typicalRise        = 10 * time.Second
	typicalRiseReduced = 60 * time.Second
)

// signal is what is measured of the queries of one route.
type signal struct {
	// lastArrival is the time of the last query, lastSample that of the last outcome.
	lastArrival, lastSample time.Time
	// pressure is the smoothed latency as a fraction of the target latency.
	pressure float64
	// latency is the smoothed and typical the usual latency, in seconds; zero: none is known. latency
	// follows the lower of two successive samples: with each sample, a single slow query of another
	// rank reduced the share at 0.6 of the capacity in 1 of 16 replays of 15 s.
	latency, typical float64
	// lastLatency is the latency of the last sample, in seconds.
	lastLatency float64
}

// observe records the outcome of one query. reduced means that a rank of the group is reduced.
func (s *signal) observe(sample Sample, target time.Duration, reduced bool, now time.Time) {
	if target <= 0 {
		return
	}
	value := missedPressure
	if !sample.Missed {
		value = min(sample.Latency.Seconds()/target.Seconds(), missedPressure)
	}
	since := now.Sub(s.lastSample)
	w := min(max(weight(since, smoothing), minWeight), maxWeight)
	latency := value * target.Seconds()
	if s.lastSample.IsZero() {
		s.pressure, s.latency, s.lastLatency = 0, latency, latency
	}
	s.pressure += w * (value - s.pressure)
	s.latency += w * (min(latency, s.lastLatency) - s.latency)
	s.lastLatency = latency
	s.followTypical(latency, sample.Missed, reduced, since)
	s.lastSample = now
}

// followTypical moves the typical latency towards the latency of a sample. It is first learned from a
// query that was answered in time while no rank was reduced: what is seen first in an overload is
// not typical.
func (s *signal) followTypical(latency float64, missed, reduced bool, since time.Duration) {
	follow := typicalRise
	switch {
	case s.typical == 0:
		if !missed && !reduced {
			s.typical = latency
		}
		return
	case latency < s.typical:
		follow = typicalFall
	case reduced:
		follow = typicalRiseReduced
	}
	s.typical += weight(min(since, time.Second), follow) * (latency - s.typical)
}

// weight returns the weight of a sample that arrives some time after the previous one, in an
// average with the given time constant.
func weight(since, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(max(since, 0))/float64(constant))
}

// excess returns by how much the latency is above the typical one, in seconds; 0 if that is unknown.
func (s *signal) excess() float64 {
	if s.typical == 0 {
		return 0
	}
	return max(s.latency-s.typical, 0)
}

// active reports whether the route has had queries recently.
func (s *signal) active(now time.Time) bool {
	return !s.lastArrival.IsZero() && now.Sub(s.lastArrival) <= activeFor
}

// pressure is what the queries of a group say about the latency of its most urgent route.
type pressure struct {
	// value is the latency as a fraction of the target latency, measured at measuredAt, age ago.
	value      float64
	measuredAt time.Time
	age        time.Duration
	// favored is the route with the highest pressure, and signalRank its rank; nil: no urgent route
	// has queries.
	favored    *member
	signalRank *rank
}

// threshold returns the pressure at which the given fraction of the slack is used.
func (p *pressure) threshold(slack float64) float64 {
	typical := 0.0
	if p.favored != nil {
		typical = min(p.favored.signal.typical/p.favored.target.Seconds(), maxTypical)
	}
	return typical + slack*(1-typical)
}

// pressure returns the current pressure. The caller holds mu.
//
// The signal is the latency of the most urgent rank that has queries. If it has had none for
// freshFor, the latency of the other ranks' queries in excess of their typical latency is added to
// the typical latency of the urgent route: it is queueing delay that an urgent query would meet. Using
// the higher of the two at all times kept 0.01 more of the urgent queries in time at 1.5 times the
// capacity, but refused a tenth more of the others at 0.95 of it (replay).
func (g *group) pressure(now time.Time) pressure {
	urgent := g.signalRank(now)
	if urgent == nil {
		return pressure{}
	}
	own := g.ownPressure(urgent, now)
	if own.favored != nil && own.age <= freshFor {
		return own
	}
	if other := g.inferredPressure(urgent, now); other.favored != nil {
		return other
	}
	return own
}

// signalRank returns the most urgent rank with recent queries, except the least urgent one; nil if
// there is none.
func (g *group) signalRank(now time.Time) *rank {
	for _, m := range g.members {
		if m.rank != g.ranks[len(g.ranks)-1] && m.target > 0 && m.signal.active(now) {
			return m.rank
		}
	}
	return nil
}

// ownPressure returns the highest pressure of the routes of a rank.
func (g *group) ownPressure(r *rank, now time.Time) pressure {
	p := pressure{signalRank: r}
	for _, m := range g.members {
		s := &m.signal
		age := now.Sub(s.lastSample)
		if m.rank != r || s.lastSample.IsZero() || age > holdFor {
			continue
		}
		if p.favored == nil || s.pressure > p.value {
			p.value, p.measuredAt, p.age, p.favored = s.pressure, s.lastSample, age, m
		}
	}
	return p
}

// inferredPressure returns the pressure on the routes of rank r that the queries of less urgent
// ranks indicate.
func (g *group) inferredPressure(r *rank, now time.Time) pressure {
	p := pressure{signalRank: r}
	delay := 0.0
	for _, m := range g.members {
		age := now.Sub(m.signal.lastSample)
		if m.rank == r || m.signal.lastSample.IsZero() || age > freshFor || m.signal.excess() < delay {
			continue
		}
		delay, p.measuredAt, p.age = m.signal.excess(), m.signal.lastSample, age
	}
	if p.measuredAt.IsZero() {
		return p
	}
	for _, m := range g.members {
		if m.rank != r || m.target <= 0 || !m.signal.active(now) {
			continue
		}
		if v := (m.signal.typical + delay) / m.target.Seconds(); p.favored == nil || v > p.value {
			p.value, p.favored = v, m
		}
	}
	return p
}
