package leafqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloads are the single requests of the deployments that the rule was written for.
var overloads = map[string]replayLoad{
	"4 leafs of 6 slots": {instances: 8, leafs: 4, slots: 6, queue: 24, workMs: 120, target: time.Second, timeout: 5 * time.Second, phase: 12 * time.Second},
	"7 leafs of 3 slots": {instances: 8, leafs: 7, slots: 3, queue: 12, workMs: 120, target: time.Second, timeout: 5 * time.Second, phase: 12 * time.Second},
}

// replaySeeds is the number of seeds with which each load is replayed.
const replaySeeds = 5

// Guards against the losses of 2 to 2.5 times the capacity without a queue: more than half of the
// arrivals at leafs rejected, and a p99 of three times the target. The bounds hold in each phase,
// and latencies count from a caller's first attempt. The leafs must not be left idle for it: nine
// tenths of the capacity of those that are not down is used; a slow leaf has a quarter.
func TestReplayOverload(t *testing.T) {
	for name, load := range overloads {
		for seed := range uint64(replaySeeds) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				load.factor, load.seed = 2.5, seed
				load.phases = []phase{{name: "overload"}, {name: "half slow", slowdown: 4}, {name: "half down", down: true}}
				perLeaf := float64(load.slots) / load.workMs * float64(load.phase.Milliseconds())
				affected, sound := float64((load.leafs+1)/2), float64(load.leafs/2)
				capacity := []float64{affected + sound, affected/4 + sound, sound}
				for i, p := range runReplay(load) {
					t.Logf("%s: %s", load.phases[i].name, &p)
					require.LessOrEqual(t, float64(p.rejected), 0.05*float64(p.arrivals), "rejected by a full leaf")
					require.GreaterOrEqual(t, float64(p.inTime), 0.9*float64(p.served), "answers within the target")
					require.LessOrEqual(t, p.quantile(0.99), 2*load.target, "p99 of the served")
					require.LessOrEqual(t, maxOf(p.refusals), load.target/4, "latest refusal")
					require.Greater(t, float64(p.served), 0.9*perLeaf*capacity[i], "served")
				}
			})
		}
	}
}

// Guards against a queue that holds or refuses requests although the leafs have capacity.
func TestReplayModerateLoad(t *testing.T) {
	for name, load := range overloads {
		for seed := range uint64(replaySeeds) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				load.factor, load.seed, load.phases = 0.6, seed, []phase{{name: "moderate"}}
				p := runReplay(load)[0]
				t.Log(&p)
				require.Zero(t, p.refused)
				require.Equal(t, p.callers, p.served)
				require.LessOrEqual(t, maxOf(p.waits), 5*time.Millisecond)
			})
		}
	}
}
