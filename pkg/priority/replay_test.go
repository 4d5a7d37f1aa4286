package priority

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// competingLoad is the load for which the package is designed: rank 0 is an eighth of
// the work.
func competingLoad() replayLoad {
	return replayLoad{
		classes: []replayClass{
			{rank: 0, targetMs: 50, timeoutMs: 600, minShare: 0.85, serviceTimeMs: 5, work: 0.125},
			{rank: 1, targetMs: 150, timeoutMs: 1200, minShare: 0.95, serviceTimeMs: 15, work: 0.875},
		},
		shards: 90, replicas: 3, instances: 8, slots: 2, queue: 12, seed: 7,
		load: func(_ int, at time.Duration) float64 {
			if at >= 2*time.Second && at < 12*time.Second {
				return 1.5
			}
			return 0.6
		},
		seconds: 16, opts: Options{MinShare: 0.3},
	}
}

// constantLoad returns the same classes at a constant multiple of the capacity.
func constantLoad(load float64, seconds int) replayLoad {
	l := competingLoad()
	l.load = func(int, time.Duration) float64 { return load }
	l.seconds = seconds
	return l
}

// between sums the counts of a class for arrivals from second a to second b.
func (r replayResult) between(class, a, b int) replayCount {
	var sum replayCount
	for _, second := range r.bySecond[a:b] {
		c := second[class]
		sum.callers += c.callers
		sum.inTime += c.inTime
		sum.late += c.late
		sum.failed += c.failed
		sum.overloaded += c.overloaded
		sum.lowPriority += c.lowPriority
	}
	return sum
}

// requireRecovery checks that the mean share is 1 from 3 s after the given second on, and that it does
// not fall by more than one instance's reduction on the way.
func (r replayResult) requireRecovery(t *testing.T, end, instances int) {
	t.Helper()
	const perSecond = 20
	after := r.shares[(end+1)*perSecond:]
	for i := 1; i < len(after); i++ {
		require.GreaterOrEqual(t, after[i], after[i-1]-0.3/float64(instances), "the share oscillates %d ms after the overload", 1000+i*50)
	}
	for _, share := range after[2*perSecond:] {
		require.InDelta(t, 1, share, 1e-9, "the share is not back at 1 within 3 s")
	}
}

// Guards against urgent queries that are late because the queues of the leafs are full of less
// urgent work, and against less urgent ones that are refused more than necessary.
func TestReplayCompetingClasses(t *testing.T) {
	for _, seed := range []uint64{7, 8} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			load := competingLoad()
			load.seed = seed
			got := runReplay(load)
			load.opts.Scope = NoGroups
			before := runReplay(load)
			urgent, other := got.between(0, 2, 12), got.between(1, 2, 12)
			t.Logf("without ranks: %.3f and %.3f in time; with ranks: %.3f and %.3f (%+v, %+v)",
				before.between(0, 2, 12).inTimeShare(), before.between(1, 2, 12).inTimeShare(), urgent.inTimeShare(), other.inTimeShare(), urgent, other)
			require.GreaterOrEqual(t, urgent.inTimeShare(), 0.85)
			require.GreaterOrEqual(t, other.inTimeShare(), 0.45)
			require.Zero(t, got.between(0, 0, 16).lowPriority)
			require.Zero(t, got.between(1, 0, 2).lowPriority)
			got.requireRecovery(t, 12, load.instances)
		})
	}
}

// Guards against urgent queries that are late because refused callers return: each refused caller
// sends its query once more after its retry hint. The less urgent queries are counted as answered
// in time or late, because an answer to a returning caller is later than its target.
func TestReplayReturningCallers(t *testing.T) {
	t.Parallel()
	load := competingLoad()
	load.retries = true
	got := runReplay(load)
	load.opts.Scope = NoGroups
	before := runReplay(load)
	urgent, other := got.between(0, 2, 12), got.between(1, 2, 12)
	t.Logf("without ranks: %+v, %+v; with ranks: %+v, %+v", before.between(0, 2, 12), before.between(1, 2, 12), urgent, other)
	t.Logf("in time with ranks: %.3f and %.3f", urgent.inTimeShare(), other.inTimeShare())
	require.GreaterOrEqual(t, urgent.inTimeShare(), 0.85)
	require.GreaterOrEqual(t, float64(other.inTime+other.late), 0.45*float64(other.callers))
	got.requireRecovery(t, 12, load.instances)
}

// Guards against instances that disagree: each decides by itself, and with more of them each sees
// fewer urgent queries.
func TestReplayManyInstances(t *testing.T) {
	t.Parallel()
	load := competingLoad()
	load.instances = 24
	got := runReplay(load)
	urgent, other := got.between(0, 2, 12), got.between(1, 2, 12)
	t.Logf("%.3f and %.3f in time", urgent.inTimeShare(), other.inTimeShare())
	require.GreaterOrEqual(t, urgent.inTimeShare(), 0.85)
	require.GreaterOrEqual(t, other.inTimeShare(), 0.45)
}

// Guards against refusals by rank at a load that the leafs can serve.
func TestReplayNoRefusalAtModerateLoad(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			load := constantLoad(0.6, 15)
			load.seed = seed
			got := runReplay(load)
			require.Zero(t, got.total[1].lowPriority)
			require.GreaterOrEqual(t, got.total[0].inTimeShare(), 0.99)
			require.GreaterOrEqual(t, got.total[1].inTimeShare(), 0.98)
		})
	}
}

// Guards against a share that stays reduced after urgent queries were late for another reason: for
// 4 s a third of the leafs are four times slower.
func TestReplaySlowLeafsRecover(t *testing.T) {
	t.Parallel()
	load := constantLoad(0.6, 12)
	load.slowdown = func(leaf int, at time.Duration) float64 {
		if leaf%3 == 0 && at > 2*time.Second && at < 6*time.Second {
			return 4
		}
		return 1
	}
	got := runReplay(load)
	other := got.between(1, 2, 6)
	t.Logf("urgent %+v, other %+v", got.between(0, 2, 6), other)
	require.GreaterOrEqual(t, float64(other.inTime+other.late), 0.3*float64(other.callers))
	got.requireRecovery(t, 6, load.instances)
}

// Guards against an overload with a single class of queries that is made worse by ranks: nothing may
// be refused in favour of a route without queries.
func TestReplayOneClassOnly(t *testing.T) {
	t.Parallel()
	for class := range 2 {
		load := competingLoad()
		load.shards, load.seconds = 30, 8
		load.load = func(c int, _ time.Duration) float64 {
			if c != class {
				return 0
			}
			return 1.3 / load.classes[c].work
		}
		got := runReplay(load)
		require.Zero(t, got.total[class].lowPriority)
		load.opts.Scope = NoGroups
		require.Equal(t, runReplay(load).total, got.total)
	}
}

// Guards against changed decisions for routes that do not call for control: without a route of rank
// 0 all outcomes must equal those without the controller.
func TestReplayWithoutUrgentRouteChangesNothing(t *testing.T) {
	t.Parallel()
	load := competingLoad()
	load.shards, load.seconds = 30, 8
	load.classes[0].rank, load.classes[1].rank = 1, 2
	got := runReplay(load)
	load.opts.Scope = NoGroups
	require.Equal(t, runReplay(load), got)
}
