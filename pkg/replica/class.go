package replica

import (
	"slices"
	"time"
)

// How the typical time of a class of requests is learned.
const (
	// typicalDefault stands in until the first reply.
	typicalDefault = 20 * time.Millisecond
	// typicalWarmup is how many first replies are kept whole.
	typicalWarmup = 20
	// typicalRank is the quantile that is learned.
	typicalRank = 0.5
	// typicalStep is the part by which a reply moves the estimate.
	typicalStep = 0.0014
	// typicalFar and typicalFarStep bring an estimate down that is far too
	// high, as after a start in the middle of an overload: a reply in less
	// than a third of it takes off a twentieth. Work at an idle leaf is spread by
	// about a third, so that one reply in a thousand does so by chance.
	typicalFar     = 3
	typicalFarStep = 0.05
)

// class is one kind of work, whose replies take about equally long.
//
// Its typical time is what leafs are measured by. Were it a mean, an overload
// of some seconds would become the normal case: nothing would be slow by it, and
// second requests would come later and later. So it is a median that moves
// slowly.
type class struct {
	typical time.Duration
	first   []time.Duration
	// probedAt is when a request was last admitted as a probe, lookedAt when a
	// request that waits for room last looked for it.
	probedAt time.Time
	lookedAt time.Time
	holding  holding
}

// learn takes over one reply time.
func (c *class) learn(took time.Duration) {
	if len(c.first) < typicalWarmup {
		at, _ := slices.BinarySearch(c.first, took)
		c.first = slices.Insert(c.first, at, took)
		c.typical = c.first[int(typicalRank*float64(len(c.first)))]
		return
	}
	step := typicalStep * typicalRank
	switch {
	case took < c.typical/typicalFar:
		step = -typicalFarStep
	case took < c.typical:
		step = -typicalStep * (1 - typicalRank)
	}
	c.typical += time.Duration(step * float64(c.typical))
}

// known reports whether any reply has been seen.
func (c *class) known() bool { return c != nil && len(c.first) > 0 }

// typical is the typical reply time of a class.
func (t *Table) typical(className string) time.Duration {
	if c := t.classes[className]; c.known() {
		return max(c.typical, 1)
	}
	return typicalDefault
}

// TypicalLatency is the typical reply time of a class.
func (t *Table) TypicalLatency(className string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.typical(className)
}

// probeEvery is how often a request of a class is admitted although the
// estimates speak against it.
const probeEvery = 400 * time.Millisecond

// AdmitProbe reports whether a request of the class is to be admitted as a
// probe.
//
// Estimates are made of replies. If they say that every query would be late and
// every query is therefore refused, no reply ever corrects them; one notices an
// instance that refuses for good after an overload has passed. One query now
// and then keeps them true.
func (t *Table) AdmitProbe(className string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return once(&t.class(className).probedAt, probeEvery, now)
}

// once reports whether the last time is long enough ago, and takes now for it if so.
func once(last *time.Time, every time.Duration, now time.Time) bool {
	if now.Sub(*last) < every {
		return false
	}
	*last = now
	return true
}

// lookEvery is how often requests of a class that wait for room look for it: a part of
// a usual reply.
const lookEvery = 5 * time.Millisecond

// AllowCapacityCheck reports whether a request of the class that waits for room may look for it
// now.
func (t *Table) AllowCapacityCheck(className string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return once(&t.class(className).lookedAt, lookEvery, now)
}

// class returns the row of a class, made on first use.
func (t *Table) class(name string) *class {
	c := t.classes[name]
	if c == nil {
		c = &class{}
		t.classes[name] = c
	}
	return c
}

// paceWeight is the weight of one gap between requests in the smoothed one: what
// an instance is asked changes over about ten requests.
const paceWeight = 0.1

// pace takes over the time of a request for the service. It decides for how long
// what the leafs showed is believed.
//
// Were it believed for a fixed second, an instance that is asked once in two
// seconds would have forgotten by each query which leafs are slow: it would ask
// them first again and pay for second requests until their budget is used up. So
// the time grows with the gap between requests, of a leaf with several services by
// the one that is asked for most.
func (s *service) pace(now time.Time) {
	if !s.last.IsZero() {
		s.every += time.Duration(paceWeight * float64(now.Sub(s.last)-s.every))
	}
	s.last = now
	for _, r := range s.leafs {
		if r.busiest == nil || s.every < r.busiest.every {
			r.busiest = s
		}
	}
}
