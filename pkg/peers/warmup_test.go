package peers

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// coldLimitPerSecond is the maximum request rate of a cold leaf, and leafsPerService the number of
// leafs that a service has in each zone.
const (
	coldLimitPerSecond = 14.0
	leafsPerService    = 2
)

// simNode is one instance of the simulation.
type simNode struct {
	self   membership.Member
	state  *membership.State
	table  *replica.Table
	warmup warmupPlanner
	// unavailableUntil is when a paused or stopped instance continues. partition is the part of
	// the network that the instance is in.
	unavailableUntil time.Duration
	partition        int
}

// warmupSim simulates instances that all have more queries than a cold leaf may receive.
type warmupSim struct {
	t       *testing.T
	rng     *rand.Rand
	start   time.Time
	elapsed time.Duration
	nodes   []*simNode
	index   map[string]int
	loss    float64
	queue   map[time.Duration][]membership.Envelope
	// sent holds the times of the requests to each leaf, by leaf ID.
	sent map[string][]time.Duration
}

// simTick is how often an instance updates its roles and sends requests.
const simTick = 100 * time.Millisecond

func newWarmupSim(t *testing.T, n, zones int, seed uint64) *warmupSim {
	s := &warmupSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 11)), start: time.Unix(9000, 0), index: map[string]int{},
		queue: map[time.Duration][]membership.Envelope{}, sent: map[string][]time.Duration{},
	}
	for i := range n {
		room := uint32(19)
		if i < 2*zones {
			room = 80
		}
		m := membership.Member{Name: fmt.Sprint("m", i), Addr: fmt.Sprint("10.0.0.", i, ":1"), Zone: fmt.Sprint("z", i%zones), Capacity: room}
		s.index[m.Addr] = i
		s.nodes = append(s.nodes, &simNode{self: m})
	}
	for i := range n {
		s.startNode(i)
	}
	return s
}

func (s *warmupSim) now() time.Time { return s.start.Add(s.elapsed) }

// startNode starts an instance without any state.
func (s *warmupSim) startNode(i int) {
	n := s.nodes[i]
	seeds := []string{s.nodes[0].self.Addr, s.nodes[min(1, len(s.nodes)-1)].self.Addr}
	n.state = membership.New(n.self, seeds, membership.DefaultOptions(), rand.New(rand.NewPCG(uint64(i), s.rng.Uint64())), s.now())
	n.warmup = warmupPlanner{zones: slices.Sorted(maps.Keys(s.zones())), expectsPeers: len(s.nodes) > 1}
	n.table = replica.NewTable(replica.Options{Zone: n.self.Zone, ConnsPerLeaf: 100, Instances: 1, TieBreaker: func() float64 { return 0 }})
	n.table.SetShards(map[string]bool{"queries": true})
	n.table.SetColdLimits(map[string]replica.ColdLimit{"queries": {PerSecond: coldLimitPerSecond}, "single": {PerSecond: coldLimitPerSecond}})
	for zone := range s.zones() {
		for _, service := range []string{"queries", "single"} {
			for k := range leafsPerService {
				id := fmt.Sprint(service, "-", zone, "-", k)
				n.table.Upsert(replica.Leaf{ID: id, Services: []string{service}, Zone: zone, ColdRemaining: time.Hour, Sequence: 1}, s.now())
			}
		}
	}
}

func (s *warmupSim) zones() map[string]bool {
	out := map[string]bool{}
	for _, n := range s.nodes {
		out[n.self.Zone] = true
	}
	return out
}

func (s *warmupSim) send(from int, out []membership.Envelope) {
	for _, e := range out {
		to, ok := s.index[e.To]
		if !ok || s.rng.Float64() < s.loss || s.nodes[from].partition != s.nodes[to].partition {
			continue
		}
		due := s.elapsed + time.Duration(1+s.rng.IntN(4))*time.Millisecond
		s.queue[due] = append(s.queue[due], e)
	}
}

// run advances the simulation by a duration.
func (s *warmupSim) run(d time.Duration) {
	for end := s.elapsed + d; s.elapsed < end; {
		s.elapsed += time.Millisecond
		for _, e := range s.queue[s.elapsed] {
			if n := s.nodes[s.index[e.To]]; s.elapsed >= n.unavailableUntil {
				s.send(s.index[e.To], n.state.Receive(e.Message, s.now()))
			}
		}
		delete(s.queue, s.elapsed)
		for i, n := range s.nodes {
			if s.elapsed >= n.unavailableUntil && (s.elapsed+time.Duration(i)*time.Millisecond)%simTick == 0 {
				s.send(i, n.state.Tick(s.now()))
				s.sendRequests(n)
			}
		}
	}
}

// sendRequests sends all requests that an instance may send to cold leafs.
func (s *warmupSim) sendRequests(n *simNode) {
	members := n.state.Members()
	r := assignRoles(n.self, members, neverAvoided)
	n.table.SetWarmUpAssignment(n.warmup.update(n.state.Self(), members, r, s.now()))
	for _, service := range []string{"queries", "single"} {
		for range 2 * int(coldLimitPerSecond) {
			p, verdict := n.table.Place(service, "class", nil, s.now())
			if verdict != replica.Placed {
				break
			}
			call := n.table.Begin(p, "class", s.now())
			require.NotNil(s.t, call)
			n.table.End(call, replica.Answered, s.now())
			s.sent[p.Leaf.ID] = append(s.sent[p.Leaf.ID], s.elapsed)
		}
	}
}

// maxPerSecond returns the largest number of requests that a leaf received in any second, the leaf,
// and the start of that second.
func (s *warmupSim) maxPerSecond() (most int, leaf string, when time.Duration) {
	for id, sent := range s.sent {
		for first := range sent {
			n := 0
			for _, at := range sent[first:] {
				if at-sent[first] > time.Second {
					break
				}
				n++
			}
			if n > most {
				most, leaf, when = n, id, sent[first]
			}
		}
	}
	return most, leaf, when
}

// averagePerSecond returns the average request rate of the leafs of a service since a time.
func (s *warmupSim) averagePerSecond(service string, since time.Duration) float64 {
	n, leafs := 0, 0
	for id, sent := range s.sent {
		if id[:len(service)] != service {
			continue
		}
		leafs++
		for _, at := range sent {
			if at >= since {
				n++
			}
		}
	}
	return float64(n) / float64(max(leafs, 1)) / (s.elapsed - since).Seconds()
}

// injectFault applies one random fault or repair.
func (s *warmupSim) injectFault() {
	some := func() []int {
		out := s.rng.Perm(len(s.nodes))
		return out[:1+s.rng.IntN(max(len(out)/2, 1))]
	}
	away := func() time.Duration { return s.elapsed + time.Duration(300+s.rng.IntN(4000))*time.Millisecond }
	switch s.rng.IntN(5) {
	case 0: // Instances are paused, and resume with stale state.
		for _, i := range some() {
			s.nodes[i].unavailableUntil = away()
		}
	case 1: // Instances are killed and restarted.
		for _, i := range some() {
			s.startNode(i)
			s.nodes[i].unavailableUntil = away()
		}
	case 2: // The network is partitioned.
		parts := 2 + s.rng.IntN(3)
		for _, i := range some() {
			s.nodes[i].partition = s.rng.IntN(parts)
		}
	case 3: // The partitions are healed.
		for _, n := range s.nodes {
			n.partition = 0
		}
	case 4: // Messages are lost.
		s.loss = 0.3 * s.rng.Float64()
	}
}

// TestColdLeafsStayWithinRateLimit guards against instances that together send a cold leaf more
// than its limit because each underestimates the number of the others. Datagrams are lost, the
// network is partitioned inside and between zones, and instances are paused and restarted, while
// all of them send as much as they may.
func TestColdLeafsStayWithinRateLimit(t *testing.T) {
	for _, c := range []struct{ instances, zones, seeds, disturbances int }{
		{3, 1, 40, 12}, {3, 3, 40, 12}, {8, 3, 40, 12}, {58, 3, 4, 12}, {300, 3, 1, 4},
	} {
		t.Run(fmt.Sprint(c.instances, "in", c.zones), func(t *testing.T) {
			for seed := range uint64(c.seeds) {
				s := newWarmupSim(t, c.instances, c.zones, seed)
				s.run(time.Second)
				for range c.disturbances {
					s.injectFault()
					s.run(time.Duration(200+s.rng.IntN(2500)) * time.Millisecond)
				}
				most, leaf, when := s.maxPerSecond()
				require.LessOrEqual(t, float64(most), coldLimitPerSecond, "seed %d: %s got %d in the second from %v", seed, leaf, most, when)
			}
		})
	}
}

// TestColdLeafsReceiveWarmupRequests guards against cold leafs that receive no requests although
// the instances know each other.
func TestColdLeafsReceiveWarmupRequests(t *testing.T) {
	for _, instances := range []int{1, 3, 8, 58} {
		s := newWarmupSim(t, instances, min(instances, 3), 1)
		s.run(6 * time.Second)
		start := s.elapsed
		s.run(5 * time.Second)
		require.Greater(t, s.averagePerSecond("queries", start), coldLimitPerSecond/5, instances)
		require.Greater(t, s.averagePerSecond("single", start), coldLimitPerSecond/5, instances)
	}
}

// TestLeavingInstancesStayWithinColdLimit guards against cold leafs that receive more than their limit
// while several instances stop gracefully at the same time. The others divide the limit without them,
// and they go on serving callers for seconds.
func TestLeavingInstancesStayWithinColdLimit(t *testing.T) {
	for _, instances := range []int{6, 12} {
		for seed := range uint64(20) {
			s := newWarmupSim(t, instances, 2, seed)
			s.run(6 * time.Second)
			for i, n := range s.nodes {
				s.send(i, n.state.Leave(s.now()))
				s.run(300 * time.Millisecond)
				if i >= 7 {
					s.startNode(i - 7)
					s.nodes[i-7].unavailableUntil = s.elapsed + 500*time.Millisecond
				}
			}
			s.run(3 * time.Second)
			most, leaf, when := s.maxPerSecond()
			require.LessOrEqual(t, float64(most), coldLimitPerSecond, "seed %d: %s got %d in the second from %v", seed, leaf, most, when)
		}
	}
}
