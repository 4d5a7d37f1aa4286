package entry

import (
	"context"
	"errors"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// cancelTimeout bounds a cancel call; past it the leaf's own deadline ends
// the work.
const cancelTimeout = 200 * time.Millisecond

// retryable reports whether a search may move to the shard's next leaf
// after code. A not-run reply always allows it; and since a search is a
// read, so does a lost replica (refused connection, dropped reply). Without
// this, a replica killed without warning drops its shards from every answer
// although other zones hold them.
func retryable(code errcode.Code) bool {
	return code == errcode.ShardFailed || (code.NotRun() && code != errcode.OK)
}

// send makes one leaf call, once there is a connection for it, and checks
// that the reply belongs to it. A patient call waits for the connection as
// long as it takes.
func (e *Entry) send(ctx context.Context, c candidate, leaf wire.LeafRequest, patient bool) shardResult {
	c.row.inFlight.Add(1)
	defer c.row.inFlight.Add(-1)
	if !c.permits.takeCall(ctx, patient) {
		return shardResult{shard: leaf.Shard, code: errcode.ShardNotSent, msg: errcode.ShardNotSent.Name()}
	}
	defer func() { <-c.permits.calls }()
	e.stats.leafCalls.Inc()
	start := time.Now()
	var resp wire.LeafResponse
	deadline, _ := ctx.Deadline()
	_, err := e.client.Do(ctx, "POST", "http://"+c.addr+wire.PathLeaf, nil, leaf, &resp, deadline)
	took := time.Since(start)
	if err != nil {
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			e.backends.observe(c.row, took, silent, false, time.Now())
			return shardResult{shard: leaf.Shard, code: errcode.ShardTimeout, msg: errcode.ShardTimeout.Name()}
		}
		e.backends.observe(c.row, took, failed, false, time.Now())
		if service.NotSent(err) {
			return shardResult{shard: leaf.Shard, code: errcode.ShardUnavailable, msg: "connection refused: not run"}
		}
		return shardResult{shard: leaf.Shard, code: errcode.ShardFailed, msg: err.Error()}
	}
	if e.backends.observe(c.row, took, outcomeOf(resp.Code), resp.Draining, time.Now()) {
		e.log.WithField("backend", c.row.name).Info("backend server leaving")
	}
	// A reply for another request, shard or snapshot would put someone
	// else's rows in this answer; it is refused and counted.
	if resp.RequestID != leaf.RequestID || resp.Shard != leaf.Shard || resp.Snapshot != leaf.Snapshot {
		e.stats.mismatched.Inc()
		return shardResult{shard: leaf.Shard, code: errcode.ShardFailed, msg: "reply did not match the request"}
	}
	return shardResult{shard: leaf.Shard, code: resp.Code, msg: resp.Message, hits: resp.Hits, held: resp.Held}
}

func outcomeOf(code errcode.Code) outcome {
	if code == errcode.ShardCancelled {
		return cancelled
	}
	return answered
}

// cancelLosers cancels the requests of shard i that its winner has made
// useless.
func (f *fanout) cancelLosers(i int) {
	r := &f.rows[i]
	for attempt, waiting := range r.waiting {
		if waiting {
			f.e.cancelLeafs(r.cands[attempt], wire.CancelRequest{RequestID: f.leaf.RequestID, Shards: []string{f.shards[i].ID}})
		}
	}
}

// onEnd is called when the context ends before every shard is done. At the
// deadline the leafs stop by themselves. When the caller has left, they do
// not know: each would hold a slot until the deadline for an answer nobody
// reads, so every backend server still working is told, with one message.
func (f *fanout) onEnd() {
	if !errors.Is(f.ctx.Err(), context.Canceled) {
		return
	}
	f.e.stats.callersLeft.Inc()
	type server struct {
		candidate
		shards []string
	}
	byRow := map[*backendRow]*server{}
	for i := range f.rows {
		for attempt, waiting := range f.rows[i].waiting {
			if !waiting {
				continue
			}
			c := f.rows[i].cands[attempt]
			if byRow[c.row] == nil {
				byRow[c.row] = &server{candidate: c}
			}
			byRow[c.row].shards = append(byRow[c.row].shards, f.shards[i].ID)
		}
	}
	for _, s := range byRow {
		f.e.cancelLeafs(s.candidate, wire.CancelRequest{RequestID: f.leaf.RequestID, Shards: s.shards})
	}
}

// cancelLeafs tells a backend server to stop working on a search. It is a
// message and not a closed connection, because a new connection costs a
// backend server several milliseconds and counts against its limit. If it
// is lost, or the worker pool is full, the leaf's deadline still bounds the
// work.
func (e *Entry) cancelLeafs(c candidate, req wire.CancelRequest) {
	task := func() {
		ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
		defer done()
		if !take(ctx, c.permits.cancels) {
			return
		}
		defer func() { <-c.permits.cancels }()
		e.stats.cancels.Inc()
		_, _ = e.client.Do(ctx, "POST", "http://"+c.addr+wire.PathCancel, nil, req, nil, time.Now().Add(cancelTimeout))
	}
	if cap(c.permits.cancels) > 0 {
		_ = e.pool.Submit(task)
	}
}
