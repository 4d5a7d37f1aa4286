package fanout

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/returns"
)

// returnsLoad is an overload whose refused callers return once, after the retry hint or a third of
// their remaining time, whichever is shorter. A second at idleShare of the rate precedes and follows
// the overload.
type returnsLoad struct {
	// planned: a book at each instance plans the returns. Otherwise hints are fixed and returning
	// callers are held, as on routes without planned returns.
	planned  bool
	overload time.Duration
	// impatientShare is the fraction (0 to 1) of the callers that return after impatientDelay.
	impatientShare float64
	callerTimeout  time.Duration
}

const (
	impatientDelay = 5 * time.Millisecond
	idleShare      = 0.4
	idleDuration   = time.Second
)

// returnsResult counts the outcomes of the callers that arrived during the overload.
type returnsResult struct {
	callers, inTime, refusedOnce, refusedTwice int
	// promised counts the callers with a promise, and brokenPromises those of them that were refused.
	promised, brokenPromises int
	// returnsPer100ms counts the returns by the tenth of a second since the first.
	returnsPer100ms []int
	longestHold     time.Duration
	// impatient and impatientInTime count the callers that return at once.
	impatient, impatientInTime int
}

func (r *returnsResult) share(n int) float64 { return float64(n) / float64(r.callers) }

// returnsReplay is the state of a run with returning callers.
type returnsReplay struct {
	*replay
	load        *returnsLoad
	books       []*returns.Book
	firstReturn time.Duration
	result      *returnsResult
}

// runReturns schedules the callers of a load with returns and runs it.
func (r *replay) runReturns() {
	p := &returnsReplay{replay: r, load: r.load.returns, result: &r.result.returns}
	for range r.tables {
		p.books = append(p.books, returns.NewBook())
	}
	end := idleDuration + p.load.overload
	for at := time.Duration(0); at < end+idleDuration; {
		rate := r.load.queriesPerSecond
		counted := at >= idleDuration && at < end
		if !counted {
			rate *= idleShare
		}
		r.after(at, func() {
			impatient := p.load.impatientShare > 0 && p.rng.Float64() < p.load.impatientShare
			p.submit(&returnsCaller{deadline: p.clock().Add(p.load.callerTimeout), counted: counted, impatient: impatient})
		})
		at += ms(1000 / rate * r.rng.ExpFloat64())
	}
	r.runEvents()
}

// returnsCaller is a caller and its state.
type returnsCaller struct {
	deadline time.Time
	// counted: it arrived during the overload.
	counted, impatient  bool
	returning, promised bool
}

// submit runs an attempt of a caller at a random instance, as the gateway does.
func (p *returnsReplay) submit(c *returnsCaller) {
	n, now := p.rng.IntN(len(p.tables)), p.clock()
	params := Params{Start: now, Deadline: c.deadline, CallerRetried: c.returning}
	if p.load.planned {
		sinceFirst := p.load.callerTimeout - c.deadline.Sub(now)
		c.promised = c.returning && returns.MayClaim(sinceFirst) && p.books[n].Claim(p.route.Name, now)
		params.Returns = ReturnTerms{
			Planned: true, Promised: c.promised, MaxHold: p.route.TargetLatency / 4,
			KeepFree: p.books[n].Due(p.route.Name, now),
		}
	}
	p.countAttempt(c)
	run := &simQuery{start: p.now, query: New(p.tables[n], p.route, p.opts, params)}
	requests, refusal := run.query.Start(now)
	if refusal != nil {
		p.refuse(n, c)
		return
	}
	run.end = func(s State) { p.end(n, c, run, s) }
	if run.query.HeldFor(now) == 0 {
		p.books[n].RecordAdmission(p.route.Name, now)
	}
	p.send(run, requests)
	p.update(run)
}

func (p *returnsReplay) countAttempt(c *returnsCaller) {
	if !c.counted {
		return
	}
	r := p.result
	if !c.returning {
		r.callers++
		if c.impatient {
			r.impatient++
		}
		return
	}
	if c.promised {
		r.promised++
	}
	if p.firstReturn == 0 {
		p.firstReturn = p.now
	}
	i := int((p.now - p.firstReturn) / (100 * time.Millisecond))
	for len(r.returnsPer100ms) <= i {
		r.returnsPer100ms = append(r.returnsPer100ms, 0)
	}
	r.returnsPer100ms[i]++
}

// end counts the outcome of a query that was not refused when it arrived.
func (p *returnsReplay) end(n int, c *returnsCaller, run *simQuery, s State) {
	took := p.now - run.start
	if run.query.HeldFor(p.clock()) > 0 {
		p.result.longestHold = max(p.result.longestHold, took)
		p.refuse(n, c)
		return
	}
	if c.counted && s == Complete && took <= p.route.TargetLatency {
		p.result.inTime++
		if c.impatient {
			p.result.impatientInTime++
		}
	}
}

// refuse refuses an attempt at instance n. A caller that was not refused before returns.
func (p *returnsReplay) refuse(n int, c *returnsCaller) {
	if c.returning {
		if c.counted {
			p.result.refusedTwice++
		}
		if c.counted && c.promised {
			p.result.brokenPromises++
		}
		return
	}
	if c.counted {
		p.result.refusedOnce++
	}
	remaining, hint := c.deadline.Sub(p.clock()), OverloadRetryAfter
	if p.load.planned {
		hint, _ = p.books[n].Promise(p.route.Name, remaining, p.clock())
	}
	c.returning = true
	if c.impatient {
		hint = impatientDelay
	}
	p.after(min(hint, remaining/3), func() { p.submit(c) })
}

// leafsPerShard returns how many leafs each shard has.
func (l *replayLoad) leafsPerShard() int {
	if l.returns == nil {
		return 2
	}
	return 3
}

// instanceZone returns the zone of instance i. Leaf n of each shard is in zone n.
func (l *replayLoad) instanceZone(i int) string {
	if l.returns == nil {
		return "z0"
	}
	return fmt.Sprint("z", i%4)
}

// hardLoad is the overload of docs/design/hard-load.md at 1.5 times the capacity: 90 shards, each
// with 3 leafs of 2 slots, and 15 ms of work per leaf (the mean of the simulated service times is
// 1.063 times their median).
func hardLoad(overload time.Duration, planned bool) replayLoad {
	const slotsPerShard, workMs = 6, 15
	return replayLoad{
		shards: 90, instances: 8, queriesPerSecond: 1.5 * slotsPerShard * 1000 / workMs, serviceTimeMs: workMs / 1.063,
		targetMs: 150, minShare: 0.95, hedgeBurst: 2,
		returns: &returnsLoad{planned: planned, overload: overload, callerTimeout: 1200 * time.Millisecond},
	}
}

// returnsComparison holds the results of one overload with fixed hints and with planned returns.
type returnsComparison struct {
	overload       time.Duration
	fixed, planned returnsResult
}

// compareReturns runs the overloads of 3 and 10 s once for all tests.
var compareReturns = sync.OnceValue(func() []returnsComparison {
	out := []returnsComparison{{overload: 3 * time.Second}, {overload: 10 * time.Second}}
	var runs sync.WaitGroup
	for i := range out {
		c := &out[i]
		runs.Go(func() { c.fixed = runReplay(hardLoad(c.overload, false), defaultOptions()).returns })
		runs.Go(func() { c.planned = runReplay(hardLoad(c.overload, true), defaultOptions()).returns })
	}
	runs.Wait()
	return out
})

// Guards against planned returns that serve fewer callers than fixed hints, break their promises,
// hold callers for longer than a quarter of the target, or return as a herd.
func TestReplayPlannedReturns(t *testing.T) {
	for _, c := range compareReturns() {
		got, mean := c.planned, 0.0
		for _, n := range got.returnsPer100ms {
			mean += float64(n) / float64(len(got.returnsPer100ms))
		}
		t.Logf("%v, %d callers: fixed hints: %.3f in target, %.3f refused once, %.3f twice; planned: %.3f, %.3f, %.3f, %d of %d promises broken, returns %v",
			c.overload, got.callers, c.fixed.share(c.fixed.inTime), c.fixed.share(c.fixed.refusedOnce), c.fixed.share(c.fixed.refusedTwice),
			got.share(got.inTime), got.share(got.refusedOnce), got.share(got.refusedTwice), got.brokenPromises, got.promised, got.returnsPer100ms)
		require.GreaterOrEqual(t, got.share(got.inTime), c.fixed.share(c.fixed.inTime))
		require.Less(t, got.share(got.refusedTwice), c.fixed.share(c.fixed.refusedTwice))
		require.Less(t, got.brokenPromises, got.promised/10)
		require.LessOrEqual(t, got.longestHold, 150*time.Millisecond/4)
		for i, n := range got.returnsPer100ms {
			require.LessOrEqual(t, float64(n), 2*mean, "returns in tenth %d", i)
		}
	}
}

// Guards against callers that are refused twice more than a third as often as with fixed hints.
func TestReplayPlannedReturnsAreRarelyRefusedAgain(t *testing.T) {
	for _, c := range compareReturns() {
		require.LessOrEqual(t, c.planned.share(c.planned.refusedTwice), c.fixed.share(c.fixed.refusedTwice)/3, "overload of %v", c.overload)
	}
}

// Guards against callers that gain from retrying at once: they would be served from the promises of
// those that wait as they were told.
func TestReplayRetryingAtOnceDoesNotPay(t *testing.T) {
	load := hardLoad(3*time.Second, true)
	load.returns.impatientShare = 0.2
	got := runReplay(load, defaultOptions()).returns
	impatient := float64(got.impatientInTime) / float64(got.impatient)
	patient := float64(got.inTime-got.impatientInTime) / float64(got.callers-got.impatient)
	t.Logf("served in target: %.3f of %d impatient callers, %.3f of the %d others", impatient, got.impatient, patient, got.callers-got.impatient)
	require.Less(t, impatient, patient-0.1)
}
