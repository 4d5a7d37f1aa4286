package fanout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// coldStart is an instance that searches every shard of an index, one query after the other,
// beside a backend server that has just started and takes seconds. The machine is short of
// processor time: replies of the warm servers, too, are late now and then.
type coldStart struct {
	rng   *rand.Rand
	table *replica.Table
	route *routing.Route
	now   time.Time
}

const (
	// coldWork and warmWork are how long servers take; coldPatience is the deadline.
	coldWork     = 3 * time.Second
	warmWork     = time.Millisecond
	coldPatience = 150 * time.Millisecond
	// stallShare of the replies wait for the processor, stallMean on average and stallMost at
	// most: a warm server that is asked second can still answer by the deadline.
	stallShare = 0.3
	stallMean  = 15 * time.Millisecond
	stallMost  = 60 * time.Millisecond
)

func newColdStart(seed uint64) *coldStart {
	c := &coldStart{rng: rand.New(rand.NewPCG(seed, 3)), now: epoch}
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

// stall is how long something waits for the processor.
func (c *coldStart) stall() time.Duration {
	if c.rng.Float64() >= stallShare {
		return 0
	}
	return min(time.Duration(c.rng.ExpFloat64()*float64(stallMean)), stallMost)
}

// arriving is a reply on its way.
type arriving struct {
	send Request
	at   time.Time
}

// search runs one query and reports whether it covered every shard.
func (c *coldStart) search() bool {
	end := c.now.Add(coldPatience)
	q := New(c.table, c.route, Options{HedgeTypicalFactor: 3, MinHedgeDelay: 5 * time.Millisecond}, Params{Start: c.now, Deadline: end})
	var air []arriving
	send := func(sends []Request) {
		for _, s := range sends {
			took := warmWork + c.stall()
			if s.Call.Leaf.ID == "a1" {
				took = coldWork
			}
			air = append(air, arriving{send: s, at: c.now.Add(took)})
		}
	}
	sends, _ := q.Start(c.now)
	send(sends)
	for q.State(c.now) == Running {
		next := -1
		for i := range air {
			if next < 0 || air[i].at.Before(air[next].at) {
				next = i
			}
		}
		due := q.NextCheck(c.now)
		if next < 0 || due.Before(air[next].at) {
			c.now = due
			send(q.Tick(c.now))
			continue
		}
		a := air[next]
		air = append(air[:next], air[next+1:]...)
		c.now = a.at
		if q.ShardStatus(a.send.Shard) == Covered {
			continue
		}
		c.table.End(a.send.Call, replica.Answered, c.now)
		send(q.HandleReply(a.send.Shard, a.send.Attempt, replica.Answered, c.now))
		air = c.endLosers(air, a.send.Shard)
	}
	for _, a := range air {
		c.table.End(a.send.Call, replica.Abandoned, c.now)
	}
	return q.CoveredShards() == len(c.route.Shards)
}

// endLosers ends what is still open of a shard that is answered.
func (c *coldStart) endLosers(air []arriving, shard int) []arriving {
	var left []arriving
	for _, a := range air {
		if a.send.Shard == shard {
			c.table.End(a.send.Call, replica.Abandoned, c.now)
			continue
		}
		left = append(left, a)
	}
	return left
}

// Searches lacked shards of a server that had just started, although another one had them:
// 19 of 20 were whole beside busy processes, in 1 of 15 to 4 of 12 runs. Replies of warm
// servers are late on such a machine, their second requests use the budget up, and the cold
// server, of which only the least is known that it takes, is asked first again. Traced seeds: a
// server that takes 3 s was believed 3.5 times as slow as usual and the warm one 5.8 times; and
// no second request was sent in the last 95 ms, because 99 ms were expected for it.
func TestColdServerCostsNoCoverageOnAStarvedMachine(t *testing.T) {
	const seeds, searches = 4000, 20
	missed := 0
	for seed := range uint64(seeds) {
		c := newColdStart(seed)
		for range searches {
			if !c.search() {
				missed++
			}
		}
	}
	require.Zero(t, missed, "of %d searches", seeds*searches)
}
