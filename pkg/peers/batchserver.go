package peers

import (
	"context"
	"errors"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// batchRun is the execution of one batch for a peer.
type batchRun struct {
	c     *serverConn
	frame batch
	// arrived is when the batch was read, and deadline when its leaf calls must end.
	arrived  time.Time
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	req      *gateway.Request
	// leafs are the IDs and addresses of the leafs (see formatLeaf).
	leafs   []string
	results chan leafResult
}

// leafResult is the outcome of one leaf call. leaf is an index of batchRun.leafs.
type leafResult struct {
	leaf  int
	reply gateway.LeafReply
	took  time.Duration
}

// newBatchRun decodes a batch and registers it on the connection.
func (c *serverConn) newBatchRun(b batch) (*batchRun, error) {
	now := time.Now()
	request, err := c.texts.decodeRequest(b.Request)
	if err != nil {
		return nil, err
	}
	leafs, err := c.texts.resolveAll(b.Leafs)
	if err != nil {
		return nil, err
	}
	content := c.s.codec.Content(request)
	w := &batchRun{
		c: c, frame: b, arrived: now, deadline: now.Add(time.Duration(b.TimeoutMs) * time.Millisecond), leafs: leafs,
		req:     &gateway.Request{ID: b.Request.ID, Key: c.s.codec.Key(content), Content: content, Arrived: now},
		results: make(chan leafResult, len(leafs)),
	}
	w.ctx, w.cancel = c.register(b.Number)
	return w, nil
}

// run sends the leaf calls and returns their replies. Successes are collected until the flush time
// of the batch, and after it for the flush interval each time. A failure is returned at once, since
// another leaf may be asked. At the flush time a frame is sent even without replies, to show the
// requesting peer that this instance is alive.
func (w *batchRun) run() {
	defer w.release()
	w.c.s.BatchesServed.Add(1)
	w.c.s.inFlight.Add(1)
	defer w.c.s.inFlight.Add(-1)
	for i := range w.leafs {
		w.startCall(i)
	}
	timer := time.NewTimer(time.Duration(w.frame.FlushAfterUs) * time.Microsecond)
	defer timer.Stop()
	timerArmed, acknowledged := true, false
	var ready []leafResult
	for outstanding := len(w.leafs); outstanding > 0; {
		select {
		case d := <-w.results:
			ready = append(ready, d)
			outstanding--
			if outstanding > 0 && d.reply.Outcome == replica.Answered {
				if !timerArmed {
					timer.Reset(time.Duration(w.frame.FlushIntervalUs) * time.Microsecond)
					timerArmed = true
				}
				continue
			}
		case <-timer.C:
			timerArmed = false
			if acknowledged && len(ready) == 0 {
				continue
			}
		case <-w.ctx.Done():
			return
		}
		if err := w.sendReplies(ready); err != nil {
			return
		}
		ready, acknowledged = nil, true
	}
}

// startCall calls one leaf, unless local state forbids it.
func (w *batchRun) startCall(i int) {
	w.c.s.LeafCallsServed.Add(1)
	leaf, began := w.resolveLeaf(i), time.Now()
	err := w.refusalReason(leaf, began)
	if err == nil {
		call := gateway.LeafCall{Leaf: leaf, Request: w.req, Deadline: w.deadline}
		err = w.c.s.pool.Submit(func() {
			reply := w.c.s.leafs.Do(w.ctx, call)
			w.results <- leafResult{leaf: i, reply: reply, took: time.Since(began)}
		})
	}
	if err != nil {
		w.results <- leafResult{leaf: i, reply: gateway.LeafReply{Outcome: replica.PeerRefused, Err: err}}
	}
}

// refusalReason returns why the leaf must not be called, or nil if it may be.
func (w *batchRun) refusalReason(leaf replica.Leaf, now time.Time) error {
	s := w.c.s
	switch {
	case leaf.Draining:
		return errDraining
	case s.table.IsEvacuated(leaf.Zone):
		return errEvacuated
	case s.table.IsColdLimited(leaf.ID, now):
		return errCold
	case s.quarantine != nil && s.quarantine.Remaining(w.req.Key, now) > 0:
		return errQuarantined
	}
	return nil
}

// errQuarantined is returned for requests that make leafs crash, according to this instance.
var errQuarantined = errors.New("the request is quarantined")

// errEvacuated is returned for leafs in a zone that is evacuated, according to this instance.
var errEvacuated = errors.New("the availability zone is evacuated")

// errCold is returned for cold leafs: only the instances selected for warm-up may call them.
var errCold = errors.New("the leaf is cold")

// errDraining is returned for leafs that accept no new work, according to this instance.
var errDraining = errors.New("the leaf is draining")

// resolveLeaf returns the leaf with the given index as this instance knows it, or else as the
// batch describes it.
//
// An instance that cannot reach the store does not learn of new leafs. If it refused them, each
// would appear unreachable, and a newly deployed set of shards would appear down to all instances
// that send their batches through this one.
func (w *batchRun) resolveLeaf(i int) replica.Leaf {
	described := parseLeaf(w.leafs[i])
	if known, ok := w.c.s.table.Leaf(described.ID); ok {
		return known
	}
	return described
}

// sendReplies sends replies with the merged records of all successes.
func (w *batchRun) sendReplies(results []leafResult) error {
	f := batchReplies{Number: w.frame.Number, ElapsedUs: uint32(time.Since(w.arrived).Microseconds()), Parts: make([]leafPart, 0, len(results))}
	var bodies [][]byte
	for _, d := range results {
		p := leafPart{
			Leaf: uint16(d.leaf), Outcome: uint8(d.reply.Outcome), Status: uint16(d.reply.Status),
			TookUs: uint32(d.took.Microseconds()), Load: encodeLoad(d.reply.Load),
		}
		if d.reply.Outcome == replica.Answered {
			proof, body := w.c.s.codec.SplitReply(d.reply)
			p.Proof = proof
			bodies = append(bodies, body)
		}
		f.Parts = append(f.Parts, p)
	}
	if len(bodies) > 0 {
		f.Body = w.c.s.codec.Merge(bodies, int(w.frame.TopK))
	}
	return w.c.write(kindBatchReplies, f)
}

// release releases the context of the batch and unregisters it.
func (w *batchRun) release() {
	w.cancel()
	w.c.unregister(w.frame.Number)
}
