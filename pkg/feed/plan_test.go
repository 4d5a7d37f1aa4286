package feed

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulation runs the plans of one zone against each other: each steps every 100 ms;
// one that reads has news of the store at once unless the store turns it away; the others
// hear from those that they listen to.

const (
	simStep  = 100 * time.Millisecond
	simFresh = 2900 * time.Millisecond
)

// simReader is one instance.
type simReader struct {
	plan   *Planner
	listen []string
	read   bool
	proven time.Time
	// answered is when the store answered it itself.
	answered time.Time
	down     bool
	frozen   bool
	turned   bool
	readFor  time.Duration
}

// simZone is a zone; order is that of its instances.
type simZone struct {
	now   time.Time
	order []*simReader
}

func newSimZone(n int) *simZone {
	z := &simZone{now: time.Unix(9000, 0)}
	for range n {
		z.order = append(z.order, &simReader{plan: NewPlanner(Options{MaxAge: simFresh, StartWait: 300 * time.Millisecond}, z.now)})
	}
	return z
}

func simName(i int) string { return fmt.Sprint(i) }

// reach are the instances from one to before another that can be reached.
func (z *simZone) reach(from, to int) []string {
	var out []string
	for j := from; j < to; j++ {
		if !z.order[j].down {
			out = append(out, simName(j))
		}
	}
	return out
}

// run plays for a time.
func (z *simZone) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(simStep) {
		for i, r := range z.order {
			if r.down || r.frozen {
				continue
			}
			other := func(name string) simReader {
				j, _ := strconv.Atoi(name)
				if z.order[j].down || z.order[j].frozen {
					return simReader{}
				}
				return *z.order[j]
			}
			r.listen, r.read = r.plan.Decide(View{
				Ahead: z.reach(0, i), Behind: z.reach(i+1, len(z.order)), OwnAnswered: r.answered, Synced: !r.proven.IsZero(),
				LastAnswered: func(name string) time.Time { return other(name).answered },
			}, z.now)
			for _, name := range r.listen {
				if at := other(name).proven; at.After(r.proven) {
					r.proven = at
				}
			}
			if r.read {
				r.readFor += simStep
				if !r.turned {
					r.proven, r.answered = z.now, z.now
				}
			}
		}
	}
}

// readers is how many read now.
func (z *simZone) readers() int {
	n := 0
	for _, r := range z.order {
		if r.read && !r.down && !r.frozen {
			n++
		}
	}
	return n
}

// oldest is how old the oldest news is among those that run.
func (z *simZone) oldest() time.Duration {
	var most time.Duration
	for _, r := range z.order {
		if !r.down && !r.frozen {
			most = max(most, z.now.Sub(r.proven))
		}
	}
	return most
}

// In calm times two instances read and all the others listen to both.
func TestTwoReadForAll(t *testing.T) {
	z := newSimZone(40)
	z.run(5 * time.Second)
	require.Equal(t, ReadersPerZone, z.readers())
	for i, r := range z.order[2:] {
		require.False(t, r.read, i)
		require.Equal(t, []string{"0", "1"}, r.listen)
	}
	require.LessOrEqual(t, z.oldest(), time.Second)
}

// Symptom: a zone's news of the store get old although most of its instances could read it.
// Sequence: those that read are killed, stand still, or are turned away by the store, and
// the next ones in line too. Cause it guards against: waiting for one that does not come
// back. And not more than a few turn to the store at once.
func TestNextInLineTakeOver(t *testing.T) {
	for name, strike := range map[string]func(*simReader){
		"killed":      func(r *simReader) { r.down = true },
		"frozen":      func(r *simReader) { r.frozen = true },
		"turned away": func(r *simReader) { r.turned = true },
	} {
		for _, struck := range []int{1, 2, 4} {
			t.Run(fmt.Sprint(name, " ", struck), func(t *testing.T) {
				z := newSimZone(40)
				z.run(5 * time.Second)
				for _, r := range z.order[:struck] {
					strike(r)
				}
				most := 0
				for range 60 {
					z.run(simStep)
					most = max(most, z.readers())
					require.LessOrEqual(t, z.oldest(), simFresh+2*time.Second)
				}
				require.LessOrEqual(t, z.oldest(), time.Second)
				require.LessOrEqual(t, most, struck+3*ReadersPerZone)
				for _, r := range z.order[:struck] {
					r.down, r.frozen, r.turned = false, false, false
				}
				z.run(8 * time.Second)
				require.Equal(t, ReadersPerZone, z.readers())
			})
		}
	}
}

// Symptom: a store that is down for a while answers nobody when it is back, because all
// instances of the fleet ask at once. Sequence: the store is away for nine seconds; its
// readers have no news, nor has anybody who takes their place. Cause it guards against: all
// turning to the store themselves.
func TestOutageBringsFewToTheStore(t *testing.T) {
	z := newSimZone(40)
	z.run(5 * time.Second)
	for _, r := range z.order {
		r.turned = true
	}
	z.run(9 * time.Second)
	require.Less(t, z.readers(), len(z.order)/3)
	spent := time.Duration(0)
	for _, r := range z.order {
		r.turned = false
		spent += r.readFor
		r.readFor = 0
	}
	t.Logf("%v of reading in an outage of 9 s", spent)
	z.run(2 * time.Second)
	require.LessOrEqual(t, z.oldest(), time.Second)
	z.run(6 * time.Second)
	require.Equal(t, ReadersPerZone, z.readers())
}

// An instance that starts waits a moment for its peers, and then reads the store.
func TestStartWithoutPeers(t *testing.T) {
	z := newSimZone(1)
	z.run(200 * time.Millisecond)
	require.Zero(t, z.readers())
	z.run(400 * time.Millisecond)
	require.Equal(t, 1, z.readers())
}
