package priority

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// The replay runs two classes of queries over the same simulated leafs through the decisions of this
// package and of fanout. Arrivals and service times are drawn from a seed, time is simulated, and
// leafs serve, queue and refuse requests as real ones do.

// replayClass is one class of queries.
type replayClass struct {
	rank, targetMs, timeoutMs int
	minShare                  float64
	// serviceTimeMs is the mean work of a leaf for one query, and work the fraction of all work.
	serviceTimeMs, work float64
}

// replayLoad describes one load.
type replayLoad struct {
	classes                     []replayClass
	shards, replicas, instances int
	slots, queue                int
	retries                     bool
	seed                        uint64
	// load returns the arrivals as a multiple of the leafs' capacity, for each class; loads end
	// after seconds.
	load    func(class int, at time.Duration) float64
	seconds int
	// slowdown returns the factor on the service times of a leaf; nil means 1.
	slowdown func(leaf int, at time.Duration) float64
	opts     Options
}

// replayCount counts the outcomes for the callers of a class.
type replayCount struct{ callers, inTime, late, failed, overloaded, lowPriority int }

func (c replayCount) inTimeShare() float64 { return float64(c.inTime) / float64(max(c.callers, 1)) }

// replayResult is the outcome of a replay.
type replayResult struct {
	// total holds the counts by class, bySecond the same by second of arrival.
	total    []replayCount
	bySecond [][]replayCount
	// shares holds the mean admitted share of the least urgent rank over all instances, every
	// 50 ms.
	shares []float64
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simInstance is an instance that decides on queries.
type simInstance struct {
	table      *replica.Table
	controller *Controller
}

// simQuery is one attempt of a caller's query.
type simQuery struct {
	class  int
	in     *simInstance
	query  *fanout.Query
	began  time.Duration
	isDone bool
}

// replay is the state of one simulation run.
type replay struct {
	load      replayLoad
	rng       *rand.Rand
	now       time.Duration
	events    simEvents
	seq       int
	instances []*simInstance
	leafs     map[string]*simLeaf
	routes    []*routing.Route
	result    replayResult
}

var epoch = time.Unix(10000, 0)

const (
	networkDelay  = time.Millisecond
	maxRetryShare = 3 // a caller honours a retry hint up to a third of its remaining time
)

func (r *replay) clock() time.Time { return epoch.Add(r.now) }

func (r *replay) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, simEvent{r.now + d, r.seq, do})
}

func millis(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// fanoutOptions are the default settings of the decisions about one query.
func fanoutOptions() fanout.Options {
	return fanout.Options{
		AnswerMargin: 5 * time.Millisecond, PartialAnswers: true,
		HedgeTypicalFactor: 2.5, HedgeTargetFraction: 0.25, MinHedgeDelay: 15 * time.Millisecond, RequestDeadlineFactor: 1, MinAdmitProbability: 0.25,
		LateWaitFraction: 0.5, MinReleaseProbability: 0.87, HeldWaitFraction: 0.7,
	}
}

// runReplay simulates a load.
func runReplay(load replayLoad) replayResult {
	r := &replay{load: load, rng: rand.New(rand.NewPCG(load.seed, 11)), leafs: map[string]*simLeaf{}}
	for i, c := range load.classes {
		route := &routing.Route{
			Name: fmt.Sprint("q", i), Kind: routing.Gather, MinShardShare: c.minShare, MaxAttempts: 2, Priority: c.rank,
			TargetLatency: millis(float64(c.targetMs)), Timeout: millis(float64(c.timeoutMs)),
		}
		for s := range load.shards {
			route.Shards = append(route.Shards, fmt.Sprint("s", s))
		}
		r.routes = append(r.routes, route)
	}
	r.result.total = make([]replayCount, len(load.classes))
	for range load.seconds + 1 {
		r.result.bySecond = append(r.result.bySecond, make([]replayCount, len(load.classes)))
	}
	r.build()
	for i := range load.classes {
		r.after(0, func() { r.scheduleArrival(i) })
	}
	r.after(0, r.tick)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(simEvent)
		r.now = e.at
		e.do()
	}
	return r.result
}

// build creates the instances and the leafs, which are in three of four zones.
func (r *replay) build() {
	for i := range r.load.instances {
		in := &simInstance{controller: New(r.load.opts)}
		in.controller.SetRoutes(r.routes)
		in.table = replica.NewTable(replica.Options{
			Zone: fmt.Sprint("z", i%4), OtherZoneFactor: 1.6, ConnsPerLeaf: 8, Instances: 1,
			TieBreaker: rand.New(rand.NewPCG(r.load.seed, uint64(i))).Float64,
			Budget:     replica.BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 2},
		})
		r.instances = append(r.instances, in)
	}
	for s := range r.load.shards {
		for n := range r.load.replicas {
			leaf := replica.Leaf{ID: fmt.Sprintf("s%d-%d", s, n), Services: []string{fmt.Sprint("s", s)}, Zone: fmt.Sprint("z", (s+n)%4), Slots: r.load.slots}
			r.leafs[leaf.ID] = &simLeaf{index: len(r.leafs)}
			for _, in := range r.instances {
				in.table.Upsert(leaf, epoch)
			}
		}
	}
}

// tick updates the shares and records them.
func (r *replay) tick() {
	sum := 0.0
	for _, in := range r.instances {
		in.controller.Tick(r.clock())
		sum += in.controller.MinShare(func(int) bool { return true })
	}
	r.result.shares = append(r.result.shares, sum/float64(len(r.instances)))
	if r.now < time.Duration(r.load.seconds)*time.Second {
		r.after(50*time.Millisecond, r.tick)
	}
}

// scheduleArrival starts one query of a class now and schedules the next one.
func (r *replay) scheduleArrival(class int) {
	if r.now >= time.Duration(r.load.seconds)*time.Second {
		return
	}
	c := r.load.classes[class]
	perSecond := r.load.load(class, r.now) * c.work * float64(r.load.replicas*r.load.slots) * 1000 / c.serviceTimeMs
	if perSecond <= 0 {
		r.after(10*time.Millisecond, func() { r.scheduleArrival(class) })
		return
	}
	if r.now > 0 {
		r.count(class, r.now).callers++
		r.total(class).callers++
		r.submit(class, r.now, r.clock().Add(millis(float64(c.timeoutMs))), false)
	}
	r.after(millis(1000*r.rng.ExpFloat64()/perSecond), func() { r.scheduleArrival(class) })
}

func (r *replay) count(class int, began time.Duration) *replayCount {
	return &r.result.bySecond[int(began/time.Second)][class]
}

func (r *replay) total(class int) *replayCount { return &r.result.total[class] }

// submit starts the first or second attempt of a caller's query at a random instance.
func (r *replay) submit(class int, began time.Duration, deadline time.Time, isRetry bool) {
	in := r.instances[r.rng.IntN(len(r.instances))]
	route := r.routes[class]
	caller := NewCaller
	if isRetry {
		caller = ReturningCaller
	}
	if d := in.controller.Admit(route.Name, caller, r.clock()); !d.Admitted {
		r.refuse(class, began, deadline, isRetry, fanout.OverloadRetryAfter, func(c *replayCount) { c.lowPriority++ })
		return
	}
	query := fanout.New(in.table, route, fanoutOptions(), fanout.Params{
		Start: r.clock(), Deadline: deadline, CallerRetried: isRetry, NoHedging: in.controller.Reduced(route.Name), MeasuredShare: in.controller.MeasuredShare(route.Name),
	})
	run := &simQuery{class: class, in: in, query: query, began: began}
	requests, refusal := query.Start(r.clock())
	if refusal != nil {
		if refusal.Overloaded {
			in.controller.Observe(route.Name, Sample{Missed: true}, r.clock())
		}
		r.refuse(class, began, deadline, isRetry, refusal.RetryAfter, func(c *replayCount) { c.overloaded++ })
		return
	}
	if query.WasHeld() {
		in.controller.Observe(route.Name, Sample{Missed: true}, r.clock())
	}
	r.send(run, requests)
	r.update(run)
}

// refuse makes a caller retry once, or counts it.
func (r *replay) refuse(class int, began time.Duration, deadline time.Time, isRetry bool, hint time.Duration, count func(*replayCount)) {
	if !r.load.retries || isRetry {
		count(r.count(class, began))
		count(r.total(class))
		return
	}
	wait := min(hint, deadline.Sub(r.clock())/maxRetryShare)
	r.after(wait, func() { r.submit(class, began, deadline, true) })
}

// reply delivers an outcome to the query.
func (r *replay) reply(job *simJob, outcome replica.Outcome) {
	r.after(networkDelay, func() {
		job.run.in.table.End(job.request.Call, outcome, r.clock())
		if job.run.isDone {
			return
		}
		r.send(job.run, job.run.query.HandleReply(job.request.Shard, job.request.Attempt, outcome, r.clock()))
		r.update(job.run)
	})
}

// update ends a query whose answer is due, or schedules its next check.
func (r *replay) update(run *simQuery) {
	if run.isDone {
		return
	}
	if state := run.query.State(r.clock()); state != fanout.Running {
		run.isDone = true
		r.end(run, state)
		return
	}
	wait := max(run.query.NextCheck(r.clock()).Sub(r.clock()), time.Millisecond)
	r.after(wait, func() {
		if !run.isDone {
			r.send(run, run.query.Tick(r.clock()))
			r.update(run)
		}
	})
}

// end reports and counts the outcome of a query.
func (r *replay) end(run *simQuery, state fanout.State) {
	took, covered := run.query.TimeToCover()
	if !run.query.WasHeld() {
		run.in.controller.Observe(r.routes[run.class].Name, Sample{Latency: took, Missed: !covered}, r.clock())
	}
	target := millis(float64(r.load.classes[run.class].targetMs))
	for _, c := range []*replayCount{r.count(run.class, run.began), r.total(run.class)} {
		switch {
		case state != fanout.Complete:
			c.failed++
		case r.now-run.began <= target:
			c.inTime++
		default:
			c.late++
		}
	}
}
