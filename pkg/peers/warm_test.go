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

// warmLimit is what a cold leaf of the simulation may get in a second, and warmLeafs how many
// leafs a zone has.
const (
	warmLimit = 14.0
	warmLeafs = 2
)

// warmNode is one instance of the simulation.
type warmNode struct {
	self    membership.Member
	state   *membership.State
	table   *replica.Table
	warming warming
	// awayUntil: it is frozen or down until then. part is the part of the network that it is in.
	awayUntil time.Duration
	part      int
}

// warmSim plays instances that all have more queries than a cold leaf may get.
type warmSim struct {
	t     *testing.T
	rng   *rand.Rand
	start time.Time
	at    time.Duration
	nodes []*warmNode
	index map[string]int
	loss  float64
	queue map[time.Duration][]membership.Envelope
	// sent are the requests to each leaf.
	sent map[string][]time.Duration
}

// warmNodeTick is how often an instance looks at its members and asks leafs.
const warmNodeTick = 100 * time.Millisecond

func newWarmSim(t *testing.T, n, zones int, seed uint64) *warmSim {
	s := &warmSim{
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
		s.nodes = append(s.nodes, &warmNode{self: m})
	}
	for i := range n {
		s.boot(i)
	}
	return s
}

func (s *warmSim) now() time.Time { return s.start.Add(s.at) }

// boot starts an instance that knows nothing.
func (s *warmSim) boot(i int) {
	n := s.nodes[i]
	seeds := []string{s.nodes[0].self.Addr, s.nodes[min(1, len(s.nodes)-1)].self.Addr}
	n.state = membership.New(n.self, seeds, membership.DefaultOptions(), rand.New(rand.NewPCG(uint64(i), s.rng.Uint64())), s.now())
	n.warming = warming{zones: slices.Sorted(maps.Keys(s.zones())), expectsPeers: len(s.nodes) > 1}
	n.table = replica.NewTable(replica.Options{Zone: n.self.Zone, ConnsPerLeaf: 100, Instances: 1, TieBreaker: func() float64 { return 0 }})
	n.table.SetShards(map[string]bool{"queries": true})
	n.table.SetColdLimits(map[string]replica.ColdLimit{"queries": {PerSecond: warmLimit}, "single": {PerSecond: warmLimit}})
	for zone := range s.zones() {
		for _, service := range []string{"queries", "single"} {
			for k := range warmLeafs {
				id := fmt.Sprint(service, "-", zone, "-", k)
				n.table.Upsert(replica.Leaf{ID: id, Services: []string{service}, Zone: zone, ColdRemaining: time.Hour, Sequence: 1}, s.now())
			}
		}
	}
}

func (s *warmSim) zones() map[string]bool {
	out := map[string]bool{}
	for _, n := range s.nodes {
		out[n.self.Zone] = true
	}
	return out
}

func (s *warmSim) send(from int, out []membership.Envelope) {
	for _, e := range out {
		to, ok := s.index[e.To]
		if !ok || s.rng.Float64() < s.loss || s.nodes[from].part != s.nodes[to].part {
			continue
		}
		due := s.at + time.Duration(1+s.rng.IntN(4))*time.Millisecond
		s.queue[due] = append(s.queue[due], e)
	}
}

// run plays for a time.
func (s *warmSim) run(d time.Duration) {
	for end := s.at + d; s.at < end; {
		s.at += time.Millisecond
		for _, e := range s.queue[s.at] {
			if n := s.nodes[s.index[e.To]]; s.at >= n.awayUntil {
				s.send(s.index[e.To], n.state.Receive(e.Message, s.now()))
			}
		}
		delete(s.queue, s.at)
		for i, n := range s.nodes {
			if s.at >= n.awayUntil && (s.at+time.Duration(i)*time.Millisecond)%warmNodeTick == 0 {
				s.send(i, n.state.Tick(s.now()))
				s.ask(n)
			}
		}
	}
}

// ask lets an instance send all that it may.
func (s *warmSim) ask(n *warmNode) {
	members := n.state.Members()
	r := drawRoles(n.self, members, never)
	n.table.SetWarmUpAssignment(n.warming.step(n.self, members, r, s.now()))
	for _, service := range []string{"queries", "single"} {
		for range 2 * int(warmLimit) {
			p, v := n.table.Place(service, "class", nil, s.now())
			if v != replica.Placed {
				break
			}
			call := n.table.Begin(p, "class", s.now())
			require.NotNil(s.t, call)
			n.table.End(call, replica.Answered, s.now())
			s.sent[p.Leaf.ID] = append(s.sent[p.Leaf.ID], s.at)
		}
	}
}

// worst is the most that a leaf got in any second, and which leaf, and when.
func (s *warmSim) worst() (most int, leaf string, when time.Duration) {
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

// perSecond is what the leafs of a service have got on average in a second since a time.
func (s *warmSim) perSecond(service string, since time.Duration) float64 {
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
	return float64(n) / float64(max(leafs, 1)) / (s.at - since).Seconds()
}

// disturb does one thing to the instances.
func (s *warmSim) disturb() {
	some := func() []int {
		out := s.rng.Perm(len(s.nodes))
		return out[:1+s.rng.IntN(max(len(out)/2, 1))]
	}
	away := func() time.Duration { return s.at + time.Duration(300+s.rng.IntN(4000))*time.Millisecond }
	switch s.rng.IntN(5) {
	case 0: // Frozen: what they know is old when they wake.
		for _, i := range some() {
			s.nodes[i].awayUntil = away()
		}
	case 1: // Killed, and started anew.
		for _, i := range some() {
			s.boot(i)
			s.nodes[i].awayUntil = away()
		}
	case 2: // The network falls into parts.
		parts := 2 + s.rng.IntN(3)
		for _, i := range some() {
			s.nodes[i].part = s.rng.IntN(parts)
		}
	case 3: // It is whole again.
		for _, n := range s.nodes {
			n.part = 0
		}
	case 4:
		s.loss = 0.3 * s.rng.Float64()
	}
}

// TestColdLeafsGetNoMoreThanTheyMay guards against instances that together send more to a cold
// leaf than it bears, each thinking that few others do: lost datagrams, cuts inside and between
// zones, frozen and restarted instances, all sending as much as they may.
func TestColdLeafsGetNoMoreThanTheyMay(t *testing.T) {
	for _, c := range []struct{ instances, zones, seeds, disturbances int }{
		{3, 1, 40, 12}, {3, 3, 40, 12}, {8, 3, 40, 12}, {58, 3, 4, 12}, {300, 3, 1, 4},
	} {
		t.Run(fmt.Sprint(c.instances, "in", c.zones), func(t *testing.T) {
			for seed := range uint64(c.seeds) {
				s := newWarmSim(t, c.instances, c.zones, seed)
				s.run(time.Second)
				for range c.disturbances {
					s.disturb()
					s.run(time.Duration(200+s.rng.IntN(2500)) * time.Millisecond)
				}
				most, leaf, when := s.worst()
				require.LessOrEqual(t, float64(most), warmLimit, "seed %d: %s got %d in the second from %v", seed, leaf, most, when)
			}
		})
	}
}

// TestColdLeafsGetAGoodPart guards against cold leafs that nobody asks although the instances
// know each other.
func TestColdLeafsGetAGoodPart(t *testing.T) {
	for _, instances := range []int{1, 3, 8, 58} {
		s := newWarmSim(t, instances, min(instances, 3), 1)
		s.run(6 * time.Second)
		began := s.at
		s.run(5 * time.Second)
		require.Greater(t, s.perSecond("queries", began), warmLimit/5, instances)
		require.Greater(t, s.perSecond("single", began), warmLimit/5, instances)
	}
}
