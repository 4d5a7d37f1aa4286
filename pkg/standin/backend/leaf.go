package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

func (b *Server) handleLeaf(_ context.Context, c *app.RequestContext) {
	var req wire.LeafRequest
	if err := service.DecodeBody(c, &req); err != nil {
		c.JSON(400, wire.LeafResponse{Code: errcode.BadRequest, Message: err.Error()})
		return
	}
	// A frozen process answers nothing until it wakes; it then still holds
	// the request it read before the freeze.
	b.waitThawed()
	if b.isCutFrom(req.FromZone) {
		// A partition: the request never arrives.
		answerNothing(c, req)
		return
	}
	b.received.Inc()
	resp := b.serve(req)
	if b.losesReply() {
		answerNothing(c, req)
		return
	}
	resp.RequestID, resp.Shard = req.RequestID, req.Shard
	if resp.Snapshot == 0 {
		resp.Snapshot = req.Snapshot
	}
	resp.Load = &wire.Load{Running: len(b.slots), Waiting: int(b.waiting.Load()), Slots: cap(b.slots)}
	c.JSON(200, b.cross(resp))
}

// cross returns the previous reply in place of this one while the
// cross_replies fault is on.
func (b *Server) cross(resp wire.LeafResponse) wire.LeafResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.faults.CrossReplies {
		return resp
	}
	prev := b.lastReply
	b.lastReply = &resp
	if prev == nil {
		return resp
	}
	return *prev
}

// serve runs one leaf request and returns its reply. Every refusal before
// the work starts carries a code whose NotRun is true.
func (b *Server) serve(req wire.LeafRequest) wire.LeafResponse {
	if code := b.admit(req); code != errcode.OK {
		return refusal(code, b.isDraining())
	}
	ctx, end := b.begin(req)
	defer end()
	if !b.acquire(ctx) {
		b.shed.Inc()
		return refusal(errcode.ShardRefused, b.isDraining())
	}
	defer b.release()
	if err := b.wait(ctx, req.Shard); err != nil {
		return refusal(b.abandoned(err), b.isDraining())
	}
	if b.endsOn(req) {
		go b.Kill()
		<-ctx.Done() // The connection is gone by then.
	}
	b.executed.Inc()
	resp := wire.LeafResponse{Code: errcode.OK, Draining: b.isDraining()}
	if req.Kind == wire.LeafHold {
		resp.Held = b.hold(req)
		return resp
	}
	l, snapshot := b.snapshotFor(req)
	resp.Snapshot = snapshot
	resp.Hits = l.search(req.Shard, snapshot, req.Text, req.Limit, b.remaining)
	return resp
}

// abandoned counts a leaf request given up before its work was done, and
// returns its code.
func (b *Server) abandoned(err error) errcode.Code {
	if errors.Is(err, context.Canceled) {
		b.stopped.Inc()
		return errcode.ShardCancelled
	}
	b.late.Inc()
	return errcode.ShardTimeout
}

// cutSlack keeps a partitioned request open past its deadline, so the
// caller sees a timeout and not a reply.
const cutSlack = 50 * time.Millisecond

// answerNothing keeps the connection open past the caller's deadline and
// then answers nothing that counts.
func answerNothing(c *app.RequestContext, req wire.LeafRequest) {
	time.Sleep(max(time.Until(time.UnixMilli(req.DeadlineUnixMs)), 0) + cutSlack)
	c.AbortWithStatus(503)
}

func (b *Server) losesReply() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.LosePercent > 0 && rand.IntN(100) < b.faults.LosePercent
}

// endsOn reports whether the server ends when it runs req.
func (b *Server) endsOn(req wire.LeafRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.CrashOn != "" && (req.Text == b.faults.CrashOn || req.Item == b.faults.CrashOn)
}

func (b *Server) isCutFrom(zone string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return zone != "" && slices.Contains(b.faults.PartitionedZones, zone)
}

func refusal(code errcode.Code, draining bool) wire.LeafResponse {
	return wire.LeafResponse{Code: code, Message: code.Name(), Draining: draining}
}

// admit checks, before any work, that the server takes new work and holds
// the shard at the pinned snapshot.
func (b *Server) admit(req wire.LeafRequest) errcode.Code {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.draining:
		b.refusedDraining[req.RequestID] = true
		return errcode.ShardRefused
	case b.faults.Refuse:
		return errcode.ShardRefused
	case time.Now().After(time.UnixMilli(req.DeadlineUnixMs)):
		b.late.Inc()
		return errcode.ShardTimeout
	}
	l, ok := b.leafs[req.Index]
	if !ok || !l.shards[req.Shard] {
		return errcode.ShardNotHosted
	}
	if !l.snapshots[req.Snapshot] {
		return errcode.SnapshotUnavailable
	}
	if req.Kind == wire.LeafHold && req.IdempotencyKey == "" {
		return errcode.MissingIdempotencyKey
	}
	return errcode.OK
}

// snapshotFor returns the leaf and the snapshot a search is served from:
// the pinned one, or the newest held under the serve_newest fault.
func (b *Server) snapshotFor(req wire.LeafRequest) (*leaf, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leafs[req.Index]
	if !b.faults.ServeNewest {
		return l, req.Snapshot
	}
	newest := req.Snapshot
	for v := range l.snapshots {
		newest = max(newest, v)
	}
	return l, newest
}

func (b *Server) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

func (b *Server) acquire(ctx context.Context) bool {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	t := time.NewTimer(shedWait)
	defer t.Stop()
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-t.C:
		return false
	}
}

func (b *Server) release() { <-b.slots }

// wait works for the service time of the request (cold start and the slow
// fault) and returns the context's error when that ended first: the caller
// has given up, so finishing would do work nobody reads and, for a hold,
// would act after the entry answered "unknown".
func (b *Server) wait(ctx context.Context, shard string) error {
	service.Sleep(ctx, b.serviceTime(shard))
	return ctx.Err()
}

func (b *Server) serviceTime(shard string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var d time.Duration
	if cold := settings.Duration(b.set.ColdStartMs); cold > 0 {
		if left := cold - time.Since(b.started); left > 0 {
			d += left / 10
		}
	}
	if b.faults.DelayMs > 0 && b.faults.slows(shard) {
		d += settings.Duration(b.faults.DelayMs)
	}
	return d
}

func (b *Server) remaining(item string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n, ok := b.beds[item]; ok {
		return n
	}
	return bedsPerItem
}

// hold takes one bed of the item at most once per idempotency key: a
// repeated key gets the recorded result back and changes nothing.
func (b *Server) hold(req wire.LeafRequest) *wire.HoldResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	if prev, ok := b.holds[req.IdempotencyKey]; ok {
		b.replayed.Inc()
		prev.Result.Replayed = true
		return &prev.Result
	}
	left, ok := b.beds[req.Item]
	if !ok {
		left = bedsPerItem
	}
	res := wire.HoldResult{Item: req.Item, Granted: left > 0}
	if res.Granted {
		left--
	}
	b.beds[req.Item] = left
	res.Remaining = left
	b.holds[req.IdempotencyKey] = holdRecord{Index: req.Index, Shard: req.Shard, Result: res}
	b.holdsRun.Inc()
	return &res
}
