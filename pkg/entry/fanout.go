package entry

import (
	"context"
	"sort"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/backend"
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

// search fans req out to every shard of the pinned index at the pinned
// snapshot and gathers until every shard answered or the deadline came.
func (e *Entry) search(ctx context.Context, cl *call, req wire.SearchRequest) wire.Answer {
	ctx, cancel := context.WithDeadline(ctx, cl.deadline.Add(-replyMargin))
	defer cancel()
	shards := cl.index.Shards
	// Buffered to the shard count and owned by this request alone: a reply
	// that comes after the answer was written lands here and is dropped
	// with the channel, never in another caller's answer.
	results := make(chan shardResult, len(shards))
	leaf := wire.LeafRequest{
		RequestID: cl.id, Kind: wire.LeafSearch, Index: cl.index.Name, Snapshot: cl.index.Snapshot,
		Text: req.Text, Limit: req.Limit, DeadlineUnixMs: cl.deadline.Add(-replyMargin).UnixMilli(),
		FromZone: e.set.Zone,
	}
	for _, s := range shards {
		s := s
		task := func() { results <- e.callShard(ctx, leaf, s, maxAttempts) }
		if err := e.pool.Submit(task); err != nil {
			results <- shardResult{shard: s.ID, code: errcode.EntryOverloaded, msg: "worker pool full: not run"}
		}
	}
	got := e.gather(ctx, results, len(shards))
	return e.assemble(cl, shards, got)
}

func (e *Entry) gather(ctx context.Context, results <-chan shardResult, n int) map[string]shardResult {
	got := make(map[string]shardResult, n)
	for len(got) < n {
		select {
		case r := <-results:
			got[r.shard] = r
		case <-ctx.Done():
			return got
		}
	}
	return got
}

// assemble writes the answer: every shard is either covered or missing with
// a reason, and hits come only from covered shards.
func (e *Entry) assemble(cl *call, shards []topology.Shard, got map[string]shardResult) wire.Answer {
	a := wire.Answer{RequestID: cl.id, Code: errcode.OK, Snapshot: cl.index.Snapshot}
	for _, s := range shards {
		r, ok := got[s.ID]
		switch {
		case !ok:
			a.Missing = append(a.Missing, wire.MissingShard{Shard: s.ID, Code: errcode.ShardTimeout, Reason: errcode.ShardTimeout.Name()})
		case r.code != errcode.OK:
			a.Missing = append(a.Missing, wire.MissingShard{Shard: s.ID, Code: r.code, Reason: r.msg})
		default:
			a.Covered = append(a.Covered, s.ID)
			a.Hits = append(a.Hits, r.hits...)
		}
	}
	for _, m := range a.Missing {
		e.stats.missing(m.Code)
	}
	sort.Strings(a.Covered)
	sort.Slice(a.Missing, func(i, j int) bool { return a.Missing[i].Shard < a.Missing[j].Shard })
	wire.SortHits(a.Hits)
	a.Partial = len(a.Missing) > 0
	return a
}

// callShard sends leaf to one leaf of shard s, and to the next candidate
// when the reply guarantees the first did not run, up to attempts leafs.
func (e *Entry) callShard(ctx context.Context, leaf wire.LeafRequest, s topology.Shard, attempts int) shardResult {
	leaf.Shard = s.ID
	hedged := e.set.Policy == settings.PolicyHedged
	cands := e.backends.candidates(s.Leafs, e.set.Zone, time.Now(), hedged, leaf.Kind == wire.LeafSearch)
	if len(cands) == 0 {
		return shardResult{shard: s.ID, code: errcode.ShardUnavailable, msg: "no live leaf"}
	}
	if hedged && leaf.Kind == wire.LeafSearch {
		return e.hedged(ctx, leaf, cands)
	}
	last := shardResult{shard: s.ID, code: errcode.ShardUnavailable, msg: "no leaf tried"}
	for i, c := range cands {
		if i >= attempts || ctx.Err() != nil {
			break
		}
		if i > 0 {
			e.stats.retries.Inc()
		}
		last = e.send(ctx, c, leaf)
		if !retryable(leaf.Kind, last.code) {
			return last
		}
	}
	return last
}

// retryable reports whether a shard may move to its next leaf after code.
// A not-run reply always allows it. A search is a read, so a lost replica
// (refused connection, dropped reply) may be retried on another one too;
// without this, a replica killed without warning drops its shards from
// every answer although other zones hold them. A hold moves only on not
// run, and never past the deadline.
func retryable(kind wire.LeafKind, code errcode.Code) bool {
	switch {
	case code == errcode.OK, code == errcode.ShardTimeout:
		return false
	case code.NotRun():
		return true
	}
	return kind == wire.LeafSearch && code == errcode.ShardFailed
}

// send makes one leaf call and checks that the reply belongs to it.
func (e *Entry) send(ctx context.Context, c candidate, leaf wire.LeafRequest) shardResult {
	e.stats.leafCalls.Inc()
	c.row.inFlight.Add(1)
	defer c.row.inFlight.Add(-1)
	start := time.Now()
	var resp wire.LeafResponse
	deadline, _ := ctx.Deadline()
	_, err := e.client.Do(ctx, "POST", "http://"+c.addr+backend.PathLeaf, nil, leaf, &resp, deadline)
	took := time.Since(start)
	if err != nil {
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			e.backends.observe(c.row, took, silent, false, time.Now())
			return shardResult{shard: leaf.Shard, code: errcode.ShardTimeout, msg: "deadline passed"}
		}
		e.backends.observe(c.row, took, failed, false, time.Now())
		return shardResult{shard: leaf.Shard, code: errcode.ShardFailed, msg: err.Error()}
	}
	if e.backends.observe(c.row, took, answered, resp.Draining, time.Now()) {
		e.log.WithField("backend", c.row.Name).Info("backend server leaving")
	}
	// A reply for another request, shard or snapshot would put someone
	// else's rows in this answer; it is refused and counted.
	if resp.RequestID != leaf.RequestID || resp.Shard != leaf.Shard || resp.Snapshot != leaf.Snapshot {
		e.stats.mismatched.Inc()
		return shardResult{shard: leaf.Shard, code: errcode.ShardFailed, msg: "reply did not match the request"}
	}
	return shardResult{shard: leaf.Shard, code: resp.Code, msg: resp.Message, hits: resp.Hits, held: resp.Held}
}
