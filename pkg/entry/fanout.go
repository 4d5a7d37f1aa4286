package entry

import (
	"context"
	"sort"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Fan-out limits.
const (
	// maxAttempts bounds the leafs tried for one shard of a search.
	maxAttempts = 3
	// replyMargin is kept back from the caller's deadline to gather and
	// write the answer.
	replyMargin = 3 * time.Millisecond
)

// shardResult is one shard's outcome within one request.
type shardResult struct {
	shard string
	code  errcode.Code
	msg   string
	hits  []wire.Hit
	held  *wire.HoldResult
}

// shardRow is one shard's row in the table of a fan-out.
type shardRow struct {
	cands []candidate
	// waiting marks the attempts sent and not yet answered.
	waiting [maxAttempts]bool
	sent    int
	pending int
	// hedgeAt is when a second request is due; zero: never.
	hedgeAt time.Time
	done    bool
	result  shardResult
}

// leafReply is one leaf call's outcome on its way to the gather loop.
type leafReply struct {
	shard   int
	attempt int
	result  shardResult
}

// fanout is one search in flight: a table of its shards, run by one gather
// loop that takes replies, retries, hedges and the deadline in turn.
type fanout struct {
	e      *Entry
	ctx    context.Context
	leaf   wire.LeafRequest
	shards []topology.Shard
	rows   []shardRow
	// replies is buffered for every attempt there can be and owned by this
	// request alone: a reply that comes after the answer was written lands
	// here and is dropped with the channel, never in another caller's
	// answer.
	replies chan leafReply
	open    int
}

// search fans req out to every shard of the pinned index at the pinned
// snapshot and gathers until every shard answered, the deadline came or the
// caller left.
func (e *Entry) search(ctx context.Context, cl *call, req wire.SearchRequest) wire.Answer {
	ctx, cancel := context.WithDeadline(ctx, cl.deadline.Add(-replyMargin))
	defer cancel()
	f := &fanout{
		e: e, ctx: ctx, shards: cl.index.Shards,
		rows:    make([]shardRow, len(cl.index.Shards)),
		replies: make(chan leafReply, len(cl.index.Shards)*maxAttempts),
		leaf: wire.LeafRequest{
			RequestID: cl.id, Kind: wire.LeafSearch, Index: cl.index.Name, Snapshot: cl.index.Snapshot,
			Text: req.Text, Limit: req.Limit, DeadlineUnixMs: cl.deadline.Add(-replyMargin).UnixMilli(),
			FromZone: e.set.Zone,
		},
	}
	f.start()
	f.gather()
	return f.answer(cl)
}

// start sends the first request of every shard.
func (f *fanout) start() {
	now := time.Now()
	hedged := f.e.set.Policy == settings.PolicyHedged
	prefer := preference{zone: f.e.set.Zone, byLoad: hedged, zonePenalty: f.e.set.ZonePenaltyMs, probe: true}
	for i := range f.rows {
		r := &f.rows[i]
		r.result = shardResult{shard: f.shards[i].ID, code: errcode.ShardTimeout, msg: errcode.ShardTimeout.Name()}
		r.cands = f.e.backends.candidates(f.shards[i].Leafs, now, prefer)
		f.open++
		switch {
		case len(r.cands) == 0:
			f.finish(i, shardResult{shard: f.shards[i].ID, code: errcode.ShardUnavailable, msg: "no live leaf"})
		case !f.send(i):
			f.finish(i, shardResult{shard: f.shards[i].ID, code: errcode.EntryOverloaded, msg: "worker pool full: not run"})
		case hedged:
			f.e.budget.Request(now)
			r.hedgeAt = now.Add(f.e.hedgeDelay(r.cands[0]))
		}
	}
}

// send submits the next attempt for shard i to the worker pool.
func (f *fanout) send(i int) bool {
	r := &f.rows[i]
	c, attempt := r.cands[r.sent], r.sent
	leaf := f.leaf
	leaf.Shard = f.shards[i].ID
	r.sent++
	patient := !r.another()
	task := func() { f.replies <- leafReply{shard: i, attempt: attempt, result: f.e.send(f.ctx, c, leaf, patient)} }
	if f.e.pool.Submit(task) != nil {
		r.sent--
		return false
	}
	r.waiting[attempt] = true
	r.pending++
	return true
}

// another reports whether shard i has a leaf left to try.
func (r *shardRow) another() bool { return r.sent < len(r.cands) && r.sent < maxAttempts }

func (f *fanout) finish(i int, result shardResult) {
	f.rows[i].result = result
	f.rows[i].done = true
	f.open--
}

// gather runs the fan-out until every shard is done or the context ends.
func (f *fanout) gather() {
	hedge := time.NewTimer(f.untilHedge(time.Now()))
	defer hedge.Stop()
	for f.open > 0 {
		select {
		case r := <-f.replies:
			f.onReply(r)
		case now := <-hedge.C:
			f.hedgeDue(now)
			hedge.Reset(f.untilHedge(now))
		case <-f.ctx.Done():
			f.onEnd()
			return
		}
	}
}

// onReply takes one leaf call's outcome: the first good reply of a shard
// wins, and a failed one moves on to the next leaf at once.
func (f *fanout) onReply(reply leafReply) {
	r := &f.rows[reply.shard]
	r.pending--
	r.waiting[reply.attempt] = false
	if r.done {
		return
	}
	if reply.result.code == errcode.OK {
		f.finish(reply.shard, reply.result)
		f.cancelLosers(reply.shard)
		return
	}
	r.result = reply.result
	if retryable(reply.result.code) && r.another() && f.send(reply.shard) {
		f.e.stats.retries.Inc()
	}
	if r.pending == 0 {
		f.finish(reply.shard, reply.result)
	}
}

// hedgeDue sends a second request for every shard whose first has not
// answered within its hedge delay, as far as the budget goes.
func (f *fanout) hedgeDue(now time.Time) {
	for i := range f.rows {
		r := &f.rows[i]
		if r.done || r.hedgeAt.IsZero() || now.Before(r.hedgeAt) {
			continue
		}
		r.hedgeAt = time.Time{}
		if r.another() && f.e.budget.Take(now) && f.send(i) {
			f.e.stats.hedges.Inc()
		}
	}
}

// untilHedge is how long until the next hedge is due; with none due it
// reaches past the deadline.
func (f *fanout) untilHedge(now time.Time) time.Duration {
	end, _ := f.ctx.Deadline()
	next := end.Add(time.Second)
	for i := range f.rows {
		r := &f.rows[i]
		if !r.done && !r.hedgeAt.IsZero() && r.hedgeAt.Before(next) {
			next = r.hedgeAt
		}
	}
	return next.Sub(now)
}

// answer writes the answer: every shard is either covered or missing with a
// reason, and hits come only from covered shards.
func (f *fanout) answer(cl *call) wire.Answer {
	a := wire.Answer{RequestID: cl.id, Code: errcode.OK, Snapshot: cl.index.Snapshot}
	for i := range f.rows {
		r := f.rows[i].result
		if r.code == errcode.OK {
			a.Covered = append(a.Covered, r.shard)
			a.Hits = append(a.Hits, r.hits...)
			continue
		}
		f.e.stats.missing(r.code)
		a.Missing = append(a.Missing, wire.MissingShard{Shard: r.shard, Code: r.code, Reason: r.msg})
	}
	sort.Strings(a.Covered)
	sort.Slice(a.Missing, func(i, j int) bool { return a.Missing[i].Shard < a.Missing[j].Shard })
	wire.SortHits(a.Hits)
	a.Partial = len(a.Missing) > 0
	return a
}
