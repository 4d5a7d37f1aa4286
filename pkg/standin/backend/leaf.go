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

// handleLeaf runs one leaf request, subject to the faults in force.
func (b *Server) handleLeaf(_ context.Context, c *app.RequestContext) {
	var req wire.LeafRequest
	if err := service.DecodeBody(c, &req); err != nil {
		c.JSON(400, wire.LeafResponse{Code: errcode.BadRequest, Message: err.Error()})
		return
	}
	// A frozen process does not answer until it resumes. It then continues with the
	// requests that it had read before.
	b.waitUntilThawed()
	if b.isPartitionedFrom(req.FromZone) {
		// In a network partition the request never arrives.
		dropReply(c, req)
		return
	}
	b.received.Inc()
	resp := b.serve(req)
	if b.shouldLoseReply() {
		dropReply(c, req)
		return
	}
	resp.RequestID, resp.Shard = req.RequestID, req.Shard
	if resp.Snapshot == 0 {
		resp.Snapshot = req.Snapshot
	}
	resp.Load = &wire.Load{Running: len(b.slots), Waiting: int(b.waitingForSlot.Load()), Slots: cap(b.slots)}
	c.JSON(200, b.swapReply(resp))
}

// swapReply returns the previous reply instead of this one while the cross_replies fault
// is in force.
func (b *Server) swapReply(resp wire.LeafResponse) wire.LeafResponse {
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

// serve runs one leaf request and returns its reply. A refusal before the request starts to
// run carries a code for which NotRun is true, except ShardTimeout for a request whose
// deadline has already passed.
func (b *Server) serve(req wire.LeafRequest) wire.LeafResponse {
	if code := b.admit(req); code != errcode.OK {
		return refusal(code, b.isDraining())
	}
	ctx, end := b.newRequestContext(req)
	defer end()
	if !b.acquireSlot(ctx) {
		b.shed.Inc()
		return refusal(errcode.ShardRefused, b.isDraining())
	}
	defer b.releaseSlot()
	if err := b.simulateWork(ctx, req.Shard); err != nil {
		return refusal(b.countUnfinished(err), b.isDraining())
	}
	if b.shouldCrashOn(req) {
		go b.Kill()
		<-ctx.Done() // Kill closes the connection in the meantime.
	}
	b.executed.Inc()
	resp := wire.LeafResponse{Code: errcode.OK, Draining: b.isDraining()}
	if req.Kind == wire.LeafHold {
		resp.Held = b.executeHold(req)
		return resp
	}
	l, snapshot := b.snapshotFor(req)
	resp.Snapshot = snapshot
	resp.Hits = l.search(req.Shard, snapshot, req.Text, req.Limit, b.remainingBeds)
	return resp
}

// countUnfinished counts a leaf request whose context ended before it finished and
// returns the code of its reply.
func (b *Server) countUnfinished(err error) errcode.Code {
	if errors.Is(err, context.Canceled) {
		b.cancelled.Inc()
		return errcode.ShardCancelled
	}
	b.pastDeadline.Inc()
	return errcode.ShardTimeout
}

// droppedReplyDelay is how long past its deadline a request without a reply stays open,
// so that the caller sees a timeout instead of a reply.
const droppedReplyDelay = 50 * time.Millisecond

// dropReply simulates a request or reply that is lost: it waits until the caller's
// deadline has passed and then answers with status 503, which the caller no longer reads.
func dropReply(c *app.RequestContext, req wire.LeafRequest) {
	time.Sleep(max(time.Until(time.UnixMilli(req.DeadlineUnixMs)), 0) + droppedReplyDelay)
	c.AbortWithStatus(503)
}

// shouldLoseReply decides at random whether the lose_replies fault affects a reply.
func (b *Server) shouldLoseReply() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.LosePercent > 0 && rand.IntN(100) < b.faults.LosePercent
}

// shouldCrashOn reports whether the server crashes when it runs req.
func (b *Server) shouldCrashOn(req wire.LeafRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.CrashOn != "" && (req.Text == b.faults.CrashOn || req.Item == b.faults.CrashOn)
}

// isPartitionedFrom reports whether requests from zone are dropped.
func (b *Server) isPartitionedFrom(zone string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return zone != "" && slices.Contains(b.faults.PartitionedZones, zone)
}

func refusal(code errcode.Code, draining bool) wire.LeafResponse {
	return wire.LeafResponse{Code: code, Message: code.Name(), Draining: draining}
}

// admit returns OK if the server accepts new requests and hosts the shard at the pinned
// snapshot, and otherwise the code of the refusal.
func (b *Server) admit(req wire.LeafRequest) errcode.Code {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.draining:
		b.refusedWhileDraining[req.RequestID] = true
		return errcode.ShardRefused
	case b.faults.Refuse:
		return errcode.ShardRefused
	case time.Now().After(time.UnixMilli(req.DeadlineUnixMs)):
		b.pastDeadline.Inc()
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

// snapshotFor returns the leaf and the snapshot that a search reads: the pinned snapshot,
// or the newest one while the serve_newest fault is in force.
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

// acquireSlot waits for a slot for at most maxSlotWait and reports whether it got one.
func (b *Server) acquireSlot(ctx context.Context) bool {
	b.waitingForSlot.Add(1)
	defer b.waitingForSlot.Add(-1)
	t := time.NewTimer(maxSlotWait)
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

func (b *Server) releaseSlot() { <-b.slots }

// simulateWork sleeps for the service time of the request. If ctx ends first, it returns
// the error of ctx and the request must not run: the entry instance has given up on it, so
// a search would be wasted, and a hold would take effect after the entry instance has
// reported its outcome as unknown.
func (b *Server) simulateWork(ctx context.Context, shard string) error {
	service.Sleep(ctx, b.serviceTime(shard))
	return ctx.Err()
}

// serviceTime returns how long a request to shard takes: a tenth of the remaining warm-up
// time after a cold start, plus the delay of the slow fault.
func (b *Server) serviceTime(shard string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var d time.Duration
	if cold := settings.Duration(b.settings.ColdStartMs); cold > 0 {
		if left := cold - time.Since(b.started); left > 0 {
			d += left / 10
		}
	}
	if b.faults.DelayMs > 0 && b.faults.shouldSlow(shard) {
		d += settings.Duration(b.faults.DelayMs)
	}
	return d
}

// remainingBeds returns the number of free beds of an item.
func (b *Server) remainingBeds(item string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n, ok := b.bedsLeft[item]; ok {
		return n
	}
	return bedsPerItem
}

// executeHold takes one bed of an item, at most once for each idempotency key. A repeated
// key gets the recorded result and changes nothing.
func (b *Server) executeHold(req wire.LeafRequest) *wire.HoldResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	if prev, ok := b.holdRecords[req.IdempotencyKey]; ok {
		b.holdsReplayed.Inc()
		prev.Result.Replayed = true
		return &prev.Result
	}
	left, ok := b.bedsLeft[req.Item]
	if !ok {
		left = bedsPerItem
	}
	res := wire.HoldResult{Item: req.Item, Granted: left > 0}
	if res.Granted {
		left--
	}
	b.bedsLeft[req.Item] = left
	res.Remaining = left
	b.holdRecords[req.IdempotencyKey] = holdRecord{Index: req.Index, Shard: req.Shard, Result: res}
	b.holdsExecuted.Inc()
	return &res
}
