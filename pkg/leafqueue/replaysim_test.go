package leafqueue_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// The replay drives the real decisions (leafqueue.Queue and replica.Table) of several instances
// with simulated callers and leafs. Time is simulated and all chance comes from a seed, so the
// result is the same on every machine.

// replayLoad describes the load and the leafs.
type replayLoad struct {
	instances, leafs, slots, queue int
	// workMs is the mean time of a request on a leaf.
	workMs          float64
	target, timeout time.Duration
	// factor is the arrival rate of new callers as a multiple of the capacity of all leafs.
	factor float64
	// phase is the length of each of the phases.
	phase  time.Duration
	phases []phase
	seed   uint64
}

// phase is the state of half of the leafs during a phase.
type phase struct {
	name     string
	slowdown float64
	down     bool
}

// phaseResult counts the callers and requests that began in a phase.
type phaseResult struct {
	callers, served, inTime, dropped, refused, refusedTwice, unknown int
	// arrivals counts the requests that reached a leaf, rejected those that found it full.
	arrivals, rejected int
	// latencies are the times from the first attempt of a served caller to its answer, waits those
	// that started requests spent in queues, refusals those from an attempt to its refusal.
	latencies, waits, refusals []time.Duration
}

func (p *phaseResult) quantile(q float64) time.Duration {
	if len(p.latencies) == 0 {
		return 0
	}
	slices.Sort(p.latencies)
	return p.latencies[int(q*float64(len(p.latencies)-1))]
}

func maxOf(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list)
}

func (p *phaseResult) String() string {
	return fmt.Sprintf("%d callers, %d served (%.3f within the target, p50 %v, p99 %v), %d refused finally, %d refusals, %d dropped (latest %v), %d unknown; %d arrivals at leafs, %.3f rejected; longest wait %v",
		p.callers, p.served, float64(p.inTime)/float64(max(p.served, 1)), p.quantile(0.5).Round(time.Millisecond), p.quantile(0.99).Round(time.Millisecond),
		p.refusedTwice, p.refused, p.dropped, maxOf(p.refusals), p.unknown, p.arrivals, float64(p.rejected)/float64(max(p.arrivals, 1)), maxOf(p.waits))
}

// event is an action at a simulated time; seq orders events of the same time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

var epoch = time.Unix(10000, 0)

// networkDelay is the time of one way between an instance and a leaf.
const networkDelay = time.Millisecond

// replay is the state of one run.
type replay struct {
	load      replayLoad
	rng       *rand.Rand
	now       time.Duration
	events    events
	seq       int
	instances []*simInstance
	leafs     map[string]*simLeaf
	results   []phaseResult
}

func (r *replay) clock() time.Time { return epoch.Add(r.now) }

func (r *replay) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{r.now + d, r.seq, do})
}

// phaseIndex returns the index of the current phase. Requests that are still running after the last
// phase belong to it.
func (r *replay) phaseIndex() int { return min(int(r.now/r.load.phase), len(r.load.phases)-1) }

func (r *replay) result() *phaseResult { return &r.results[r.phaseIndex()] }

// runReplay simulates a load and returns the result of each phase.
func runReplay(load replayLoad) []phaseResult {
	r := &replay{load: load, rng: rand.New(rand.NewPCG(load.seed, 11)), leafs: map[string]*simLeaf{}, results: make([]phaseResult, len(load.phases))}
	for range load.instances {
		table := replica.NewTable(replica.Options{
			Zone: "z", OtherZoneFactor: 1.6, ConnsPerLeaf: 8, Instances: 10, TieBreaker: r.rng.Float64,
			Budget: replica.BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 2},
		})
		r.instances = append(r.instances, &simInstance{r: r, table: table, queue: leafqueue.New("s", table, load.instances)})
	}
	for i := range load.leafs {
		id := fmt.Sprint("leaf", i)
		r.leafs[id] = &simLeaf{r: r, affected: i%2 == 0}
		for _, instance := range r.instances {
			instance.table.Upsert(replica.Leaf{ID: id, Services: []string{"s"}, Zone: "z", Slots: load.slots}, epoch)
		}
	}
	for i := range load.phases {
		r.after(time.Duration(i)*load.phase, r.startPhase)
	}
	gap := load.workMs / (load.factor * float64(load.leafs*load.slots))
	for at := 0.0; ms(at) < time.Duration(len(load.phases))*load.phase; at += gap * r.rng.ExpFloat64() {
		r.after(ms(at), r.arrive)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.action()
	}
	return r.results
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// startPhase ends the requests at leafs that go down.
func (r *replay) startPhase() {
	for i := range r.load.leafs {
		l := r.leafs[fmt.Sprint("leaf", i)]
		if l.down() {
			l.crash()
		}
	}
}

// simLeaf is a leaf with slots and a queue that rejects what does not fit.
type simLeaf struct {
	r *replay
	// affected reports whether the leaf is in the half that is slow or down in some phases.
	affected bool
	running  []*simCall
	waiting  []*simCall
}

func (l *simLeaf) down() bool { return l.affected && l.r.load.phases[l.r.phaseIndex()].down }

// receive takes, rejects or does not accept a call.
func (l *simLeaf) receive(c *simCall) {
	if l.down() {
		c.reply(replica.NotSent)
		return
	}
	result := l.r.result()
	result.arrivals++
	switch {
	case c.cancelled:
	case len(l.running) < l.r.load.slots:
		l.run(c)
	case len(l.waiting) < l.r.load.queue:
		l.waiting = append(l.waiting, c)
	default:
		result.rejected++
		c.reply(replica.Refused)
	}
}

// run starts the work on a call.
func (l *simLeaf) run(c *simCall) {
	l.running = append(l.running, c)
	work := l.r.load.workMs * (0.8 + 0.4*l.r.rng.Float64())
	if l.affected {
		work *= max(l.r.load.phases[l.r.phaseIndex()].slowdown, 1)
	}
	l.r.after(ms(work), func() {
		if l.remove(c) {
			c.reply(replica.Answered)
			l.startNext()
		}
	})
}

// remove takes a call out of the leaf and reports whether it was there.
func (l *simLeaf) remove(c *simCall) bool {
	same := func(o *simCall) bool { return o == c }
	running, waiting := len(l.running), len(l.waiting)
	l.running, l.waiting = slices.DeleteFunc(l.running, same), slices.DeleteFunc(l.waiting, same)
	return len(l.running) < running || len(l.waiting) < waiting
}

func (l *simLeaf) startNext() {
	for len(l.running) < l.r.load.slots && len(l.waiting) > 0 {
		c := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.run(c)
	}
}

// crash loses all calls.
func (l *simLeaf) crash() {
	lost := append(l.running, l.waiting...)
	l.running, l.waiting = nil, nil
	for _, c := range lost {
		c.reply(replica.ReplyLost)
	}
}
