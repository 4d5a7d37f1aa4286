package feed

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulation runs the planners of one zone against each other, each every 100 ms. A reader
// has fresh data at once unless the store refuses it; the others get theirs from their sources.

const (
	simStep   = 100 * time.Millisecond
	simMaxAge = 2900 * time.Millisecond
)

// simInstance is one simulated instance.
type simInstance struct {
	planner *Planner
	sources []string
	read    bool
	// knownAsOf is the time up to which its data is known to be current, from any source.
	knownAsOf time.Time
	// answered is when the store last answered the instance itself.
	answered time.Time
	down     bool
	frozen   bool
	refused  bool
	readTime time.Duration
}

// simZone is a zone with its instances in order.
type simZone struct {
	now       time.Time
	instances []*simInstance
}

func newSimZone(n int) *simZone {
	z := &simZone{now: time.Unix(9000, 0)}
	for range n {
		z.instances = append(z.instances, &simInstance{planner: NewPlanner(Options{MaxAge: simMaxAge, StartWait: 300 * time.Millisecond}, z.now)})
	}
	return z
}

func simName(i int) string { return fmt.Sprint(i) }

// reachable returns the names of the running instances in a range of the order.
func (z *simZone) reachable(from, to int) []string {
	var out []string
	for j := from; j < to; j++ {
		if !z.instances[j].down {
			out = append(out, simName(j))
		}
	}
	return out
}

// run advances the simulation by a duration.
func (z *simZone) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(simStep) {
		for i, inst := range z.instances {
			if inst.down || inst.frozen {
				continue
			}
			other := func(name string) simInstance {
				j, _ := strconv.Atoi(name)
				if z.instances[j].down || z.instances[j].frozen {
					return simInstance{}
				}
				return *z.instances[j]
			}
			inst.sources, inst.read = inst.planner.Decide(View{
				Ahead: z.reachable(0, i), Behind: z.reachable(i+1, len(z.instances)), OwnAnswered: inst.answered, Synced: !inst.knownAsOf.IsZero(),
				LastAnswered: func(name string) time.Time { return other(name).answered },
			}, z.now)
			for _, name := range inst.sources {
				if at := other(name).knownAsOf; at.After(inst.knownAsOf) {
					inst.knownAsOf = at
				}
			}
			if inst.read {
				inst.readTime += simStep
				if !inst.refused {
					inst.knownAsOf, inst.answered = z.now, z.now
				}
			}
		}
	}
}

// readers returns how many instances read the store now.
func (z *simZone) readers() int {
	n := 0
	for _, inst := range z.instances {
		if inst.read && !inst.down && !inst.frozen {
			n++
		}
	}
	return n
}

// maxStaleness returns the age of the most outdated data among the running instances.
func (z *simZone) maxStaleness() time.Duration {
	var oldest time.Duration
	for _, inst := range z.instances {
		if !inst.down && !inst.frozen {
			oldest = max(oldest, z.now.Sub(inst.knownAsOf))
		}
	}
	return oldest
}

// Without faults two instances read, and all others subscribe to both.
func TestTwoInstancesReadForTheZone(t *testing.T) {
	z := newSimZone(40)
	z.run(5 * time.Second)
	require.Equal(t, ReadersPerZone, z.readers())
	for i, inst := range z.instances[2:] {
		require.False(t, inst.read, i)
		require.Equal(t, []string{"0", "1"}, inst.sources)
	}
	require.LessOrEqual(t, z.maxStaleness(), time.Second)
}

// Guards against a zone's view of the store becoming stale while most of its instances could read
// it. The readers, and the next ones in the order too, are killed, freeze, or are refused by the
// store. Others must take over instead of waiting for them, but only a few at a time.
func TestNextInstancesTakeOverFromFailedReaders(t *testing.T) {
	for name, fail := range map[string]func(*simInstance){
		"killed":  func(inst *simInstance) { inst.down = true },
		"frozen":  func(inst *simInstance) { inst.frozen = true },
		"refused": func(inst *simInstance) { inst.refused = true },
	} {
		for _, failed := range []int{1, 2, 4} {
			t.Run(fmt.Sprint(name, " ", failed), func(t *testing.T) {
				z := newSimZone(40)
				z.run(5 * time.Second)
				for _, inst := range z.instances[:failed] {
					fail(inst)
				}
				maxReaders := 0
				for range 60 {
					z.run(simStep)
					maxReaders = max(maxReaders, z.readers())
					require.LessOrEqual(t, z.maxStaleness(), simMaxAge+2*time.Second)
				}
				require.LessOrEqual(t, z.maxStaleness(), time.Second)
				require.LessOrEqual(t, maxReaders, failed+3*ReadersPerZone)
				for _, inst := range z.instances[:failed] {
					inst.down, inst.frozen, inst.refused = false, false, false
				}
				z.run(8 * time.Second)
				require.Equal(t, ReadersPerZone, z.readers())
			})
		}
	}
}

// Guards against overloading a store that recovers from an outage, because all instances of the
// fleet read it at once. The store is unavailable for 9 s: its readers get no fresh data, nor do
// those that take their place.
func TestFewInstancesReadDuringAnOutage(t *testing.T) {
	z := newSimZone(40)
	z.run(5 * time.Second)
	for _, inst := range z.instances {
		inst.refused = true
	}
	z.run(9 * time.Second)
	require.Less(t, z.readers(), len(z.instances)/3)
	totalReadTime := time.Duration(0)
	for _, inst := range z.instances {
		inst.refused = false
		totalReadTime += inst.readTime
		inst.readTime = 0
	}
	t.Logf("instances read the store for %v in total during an outage of 9 s", totalReadTime)
	z.run(2 * time.Second)
	require.LessOrEqual(t, z.maxStaleness(), time.Second)
	z.run(6 * time.Second)
	require.Equal(t, ReadersPerZone, z.readers())
}

// An instance that starts waits a moment for its peers and then reads the store.
func TestInstanceWithoutPeersReadsAfterStartWait(t *testing.T) {
	z := newSimZone(1)
	z.run(200 * time.Millisecond)
	require.Zero(t, z.readers())
	z.run(400 * time.Millisecond)
	require.Equal(t, 1, z.readers())
}
