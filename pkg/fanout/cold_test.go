package fanout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// coldStartSim simulates an instance that sends searches over every shard of an index, one after
// the other, while one backend server is in its cold start and takes seconds to reply. The host
// is short of CPU time, so replies of the warm servers are occasionally late, too.
type coldStartSim struct {
	rng   *rand.Rand
	table *replica.Table
	route *routing.Route
	now   time.Time
}

const (
	// coldServiceTime and warmServiceTime are the service times of the servers; coldDeadline is
	// the deadline of a search.
	coldServiceTime = 3 * time.Second
	warmServiceTime = time.Millisecond
	coldDeadline    = 150 * time.Millisecond
	// stallProbability is the probability that a reply waits for the CPU; stallMean is the mean
	// of that wait and maxStall its maximum. With this maximum, a warm server that receives the
	// second request can still answer by the deadline.
	stallProbability = 0.3
	stallMean        = 15 * time.Millisecond
	maxStall         = 60 * time.Millisecond
)

func newColdStartSim(seed uint64) *coldStartSim {
	c := &coldStartSim{rng: rand.New(rand.NewPCG(seed, 3)), now: epoch}
	c.table = replica.NewTable(replica.Options{
		Zone: "a", ConnsPerLeaf: 16, Instances: 1, OtherZonePenalty: 2 * time.Millisecond,
		Budget: replica.BudgetOptions{Ratio: 0.1, Window: 10 * time.Second, Burst: 2},
	})
	for id, shards := range map[string][]string{"a1": {"s1", "s3"}, "a2": {"s2", "s4"}, "b1": {"s1", "s3"}, "b2": {"s2", "s4"}} {
		c.table.Upsert(replica.Leaf{ID: id, Services: shards, Zone: id[:1], Slots: 8}, epoch)
	}
	c.route = &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"s1", "s2", "s3", "s4"}, MaxAttempts: 3}
	return c
}

// stall returns a random time that a reply waits for the CPU.
func (c *coldStartSim) stall() time.Duration {
	if c.rng.Float64() >= stallProbability {
		return 0
	}
	return min(time.Duration(c.rng.ExpFloat64()*float64(stallMean)), maxStall)
}

// pendingReply is a reply that has not arrived yet.
type pendingReply struct {
	request Request
	at      time.Time
}

// search runs one query and reports whether it covered every shard.
func (c *coldStartSim) search() bool {
	end := c.now.Add(coldDeadline)
	q := New(c.table, c.route, Options{HedgeTypicalFactor: 3, MinHedgeDelay: 5 * time.Millisecond}, Params{Start: c.now, Deadline: end})
	var pending []pendingReply
	send := func(requests []Request) {
		for _, request := range requests {
			took := warmServiceTime + c.stall()
			if request.Call.Leaf.ID == "a1" {
				took = coldServiceTime
			}
			pending = append(pending, pendingReply{request: request, at: c.now.Add(took)})
		}
	}
	requests, _ := q.Start(c.now)
	send(requests)
	for q.State(c.now) == Running {
		next := -1
		for i := range pending {
			if next < 0 || pending[i].at.Before(pending[next].at) {
				next = i
			}
		}
		due := q.NextCheck(c.now)
		if next < 0 || due.Before(pending[next].at) {
			c.now = due
			send(q.Tick(c.now))
			continue
		}
		reply := pending[next]
		pending = append(pending[:next], pending[next+1:]...)
		c.now = reply.at
		if q.ShardStatus(reply.request.Shard) == Covered {
			continue
		}
		c.table.End(reply.request.Call, replica.Answered, c.now)
		send(q.HandleReply(reply.request.Shard, reply.request.Attempt, replica.Answered, c.now))
		pending = c.abandonOpenRequests(pending, reply.request.Shard)
	}
	for _, a := range pending {
		c.table.End(a.request.Call, replica.Abandoned, c.now)
	}
	return q.CoveredShards() == len(c.route.Shards)
}

// abandonOpenRequests ends the open requests of a shard that has been answered, and returns the
// remaining ones.
func (c *coldStartSim) abandonOpenRequests(pending []pendingReply, shard int) []pendingReply {
	var left []pendingReply
	for _, a := range pending {
		if a.request.Shard == shard {
			c.table.End(a.request.Call, replica.Abandoned, c.now)
			continue
		}
		left = append(left, a)
	}
	return left
}

// Guards against searches that lack a shard of a server in its cold start although another server
// has the shard: beside busy processes only 19 of 20 searches were complete, in 1 of 15 to 4 of
// 12 runs. Warm servers reply late on such a host, and their second requests use up the budget.
// The cold server's service time is known only by a lower bound, so the cold server is asked
// first again. In the traced seeds, a server that takes 3 s was estimated to be 3.5 times as slow
// as usual and the warm one 5.8 times; and no second request was sent in the last 95 ms, because
// its reply was expected to take 99 ms.
func TestColdServerDoesNotReduceCoverageOnOverloadedHost(t *testing.T) {
	const seeds, searches = 4000, 20
	missed := 0
	for seed := range uint64(seeds) {
		c := newColdStartSim(seed)
		for range searches {
			if !c.search() {
				missed++
			}
		}
	}
	require.Zero(t, missed, "of %d searches", seeds*searches)
}
