package priority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// gatherRoute returns a gather route over the given shards.
func gatherRoute(name string, rank int, target time.Duration, shards ...string) *routing.Route {
	return &routing.Route{Name: name, Kind: routing.Gather, Priority: rank, TargetLatency: target, MinShardShare: 0.9, Shards: shards}
}

const (
	urgentTarget = 50 * time.Millisecond
	otherTarget  = 150 * time.Millisecond
)

// twoRanks returns the routes of a group of ranks 0 and 1.
func twoRanks() []*routing.Route {
	return []*routing.Route{gatherRoute("urgent", 0, urgentTarget, "a", "b"), gatherRoute("other", 1, otherTarget, "b", "c")}
}

// harness drives a controller through simulated time.
type harness struct {
	*Controller
	now time.Time
}

func newHarness(opts Options, routes ...*routing.Route) *harness {
	h := &harness{Controller: New(opts), now: epoch}
	h.SetRoutes(routes)
	return h
}

// run lets time pass for d. Every 10 ms each of the given routes has a query, whose outcome is
// sample(route); the number of admitted queries is returned by route.
func (h *harness) run(d time.Duration, sample func(route string) Sample, routes ...string) (arrived int, admitted map[string]int) {
	admitted = make(map[string]int)
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(10 * time.Millisecond) {
		arrived++
		for _, name := range routes {
			if h.Admit(name, NewCaller, h.now).Admitted {
				admitted[name]++
				h.Observe(name, sample(name), h.now)
			}
		}
	}
	return arrived, admitted
}

// share returns the admitted share of a route.
func (h *harness) share(route string) float64 {
	for _, g := range h.Dump(h.now) {
		for _, r := range g.Routes {
			if r.Route == route {
				return r.Share
			}
		}
	}
	return -1
}

// took returns a function that gives every query the same latency.
func took(d time.Duration) func(string) Sample {
	return func(string) Sample { return Sample{Latency: d} }
}

func missed(string) Sample { return Sample{Missed: true} }

func defaults() Options { return Options{MinShare: 0.3} }

// Guards against refusals without pressure, and against a share that never falls, falls below its
// minimum, falls faster than the effect of a reduction can be seen, or does not recover.
func TestShareFollowsPressure(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	arrived, admitted := h.run(2*time.Second, took(20*time.Millisecond), "urgent", "other")
	require.Equal(t, arrived, admitted["other"], "nothing is refused without pressure")

	h.run(500*time.Millisecond, took(45*time.Millisecond), "urgent", "other")
	require.GreaterOrEqual(t, h.share("other"), 0.3)
	require.Less(t, h.share("other"), 0.5)
	arrived, admitted = h.run(5*time.Second, missed, "urgent", "other")
	require.Equal(t, arrived, admitted["urgent"], "the urgent rank is never reduced")
	require.InDelta(t, 0.3*float64(arrived), admitted["other"], 2, "the minimum share")
	require.Equal(t, 0.3, h.share("other"))

	h.run(3*time.Second, took(10*time.Millisecond), "urgent", "other")
	require.Equal(t, 1.0, h.share("other"))
}

// Guards against a share that falls more than once per step interval.
func TestShareFallsOncePerInterval(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(time.Second, took(10*time.Millisecond), "urgent", "other")
	before := h.share("other")
	for h.share("other") == before {
		h.run(10*time.Millisecond, missed, "urgent", "other")
	}
	require.InDelta(t, decreaseFactor, h.share("other"), 1e-9)
	h.run(80*time.Millisecond, missed, "urgent", "other")
	require.InDelta(t, decreaseFactor, h.share("other"), 1e-9)
	h.run(40*time.Millisecond, missed, "urgent", "other")
	require.InDelta(t, decreaseFactor*decreaseFactor, h.share("other"), 1e-9)
}

// Guards against refusals after a single miss among rare urgent queries that are otherwise fast. With a
// weight of 0.35 for each sample, one miss reduced the share at 0.6 of the capacity (replay).
func TestSingleMissReducesNothing(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(time.Second, took(20*time.Millisecond), "urgent", "other")
	for range 10 {
		h.now = h.now.Add(150 * time.Millisecond)
		h.Observe("urgent", Sample{Missed: true}, h.now)
		h.run(time.Second, took(20*time.Millisecond), "urgent", "other")
		require.Equal(t, 1.0, h.share("other"))
	}
}

// Guards against refusals after a single slow query of another rank while urgent queries are rare. Its
// excess latency alone reduced the share at 0.6 of the capacity (replay).
func TestSingleSlowQueryOfOtherRankReducesNothing(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(time.Second, took(10*time.Millisecond), "urgent", "other")
	for range 10 {
		h.run(300*time.Millisecond, took(10*time.Millisecond), "other")
		h.now = h.now.Add(120 * time.Millisecond)
		h.Observe("other", Sample{Missed: true}, h.now)
		h.run(time.Second, took(10*time.Millisecond), "other")
		require.Equal(t, 1.0, h.share("other"))
		h.run(100*time.Millisecond, took(10*time.Millisecond), "urgent", "other")
	}
}

// Guards against oscillation: between the two thresholds the share must not change.
func TestShareIsStableBetweenThresholds(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(300*time.Millisecond, missed, "urgent", "other")
	h.run(400*time.Millisecond, took(32*time.Millisecond), "urgent", "other")
	before := h.share("other")
	require.Less(t, before, 1.0)
	h.run(5*time.Second, took(32*time.Millisecond), "urgent", "other")
	require.Equal(t, before, h.share("other"))
}

// Guards against a share that stays reduced when the harm is not caused by the load of less urgent
// queries (here: leafs that are slow for other reasons), and against one that falls below its
// minimum meanwhile.
func TestOtherCauseRecovers(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(time.Second, took(10*time.Millisecond), "urgent", "other")
	arrived, admitted := h.run(20*time.Second, took(200*time.Millisecond), "urgent", "other")
	require.GreaterOrEqual(t, admitted["other"], int(0.3*float64(arrived))-1)
	require.Equal(t, 0.3, h.share("other"))
	h.run(3*time.Second, took(10*time.Millisecond), "urgent", "other")
	require.Equal(t, 1.0, h.share("other"))
}

// Guards against refusals in favour of nobody: if only one rank has queries, no overload reduces a
// rank.
func TestOverloadWithOneRank(t *testing.T) {
	for _, route := range []string{"urgent", "other"} {
		h := newHarness(defaults(), twoRanks()...)
		h.run(time.Second, took(10*time.Millisecond), route)
		arrived, admitted := h.run(10*time.Second, missed, route)
		require.Equal(t, arrived, admitted[route])
		require.Equal(t, 1.0, h.share("other"))
	}
}

// Guards against an overload that is not noticed because urgent queries are rare: the queueing delay
// of other queries must then count.
func TestQueueingDelayOfOtherRanksCounts(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(time.Second, took(10*time.Millisecond), "urgent", "other")
	h.run(300*time.Millisecond, took(10*time.Millisecond), "other")
	require.Equal(t, 1.0, h.share("other"))
	h.run(500*time.Millisecond, took(60*time.Millisecond), "other")
	require.Less(t, h.share("other"), 0.6)
	require.Equal(t, "urgent", h.Dump(h.now)[0].Favored)
}

// Guards against a refusal that cannot be explained: it must name the favored route and the inputs.
func TestRefusalNamesFavoredRoute(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(2*time.Second, missed, "urgent", "other")
	var d Decision
	for d = h.Admit("other", NewCaller, h.now); d.Admitted; d = h.Admit("other", NewCaller, h.now) {
	}
	require.Equal(t, Decision{Controlled: true, Rank: 1, Share: 0.3, Favored: "urgent", Pressure: d.Pressure, PressureAge: 10 * time.Millisecond}, d)
	require.InDelta(t, missedPressure, d.Pressure, 0.01)
}

// Guards against a wrong order of ranks: the least urgent rank must be reduced to its minimum before
// the next one is, and raised last.
func TestLeastUrgentRankIsReducedFirst(t *testing.T) {
	routes := append(twoRanks(), gatherRoute("last", 5, time.Second, "c"))
	h := newHarness(defaults(), routes...)
	all := []string{"urgent", "other", "last"}
	h.run(400*time.Millisecond, missed, all...)
	require.Equal(t, 1.0, h.share("other"))
	require.Less(t, h.share("last"), 1.0)
	h.run(2*time.Second, missed, all...)
	require.Equal(t, 0.3, h.share("other"))
	require.Equal(t, 0.3, h.share("last"))
	for h.share("other") < 1 {
		require.Equal(t, 0.3, h.share("last"))
		h.run(100*time.Millisecond, took(10*time.Millisecond), all...)
	}
	h.run(3*time.Second, took(10*time.Millisecond), all...)
	require.Equal(t, 1.0, h.share("last"))
}

// Guards against one log line for each step, and against a share that stays reduced without queries.
func TestChangesAreReportedOnce(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	var changes []Change
	tick := func(d time.Duration, sample func(string) Sample, routes ...string) {
		for end := h.now.Add(d); h.now.Before(end); {
			h.run(50*time.Millisecond, sample, routes...)
			changes = append(changes, h.Tick(h.now)...)
		}
	}
	tick(time.Second, took(10*time.Millisecond), "urgent", "other")
	require.Empty(t, changes)
	tick(3*time.Second, missed, "urgent", "other")
	require.Len(t, changes, 1)
	require.True(t, changes[0].Reduced)
	require.Equal(t, "urgent", changes[0].Favored)
	require.Equal(t, 1, changes[0].Rank)
	tick(4*time.Second, missed)
	require.Len(t, changes, 2)
	require.False(t, changes[1].Reduced)
	require.Equal(t, 1.0, h.share("other"))
}

// Guards against allocations on the path of every query.
func TestAdmitDoesNotAllocate(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(time.Second, missed, "urgent", "other")
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		h.now = h.now.Add(time.Millisecond)
		h.Admit("other", NewCaller, h.now)
		h.Observe("urgent", Sample{Missed: true}, h.now)
		h.Reduced("other")
		h.MeasuredShare("other")
	}))
}

// BenchmarkAdmit measures one decision and one observation in a reduced group.
func BenchmarkAdmit(b *testing.B) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(time.Second, missed, "urgent", "other")
	b.ReportAllocs()
	for b.Loop() {
		h.now = h.now.Add(100 * time.Microsecond)
		h.Admit("other", NewCaller, h.now)
		h.Observe("urgent", Sample{Missed: true}, h.now)
	}
}
