package peers

import (
	"context"
	"errors"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// work is one batch under way.
type work struct {
	c        *serverConn
	b        batch
	arrived  time.Time
	deadline time.Time
	ctx      context.Context
	end      context.CancelFunc
	req      *gateway.Request
	leafs    []string
	replies  chan done
}

// done is a leaf call that has ended.
type done struct {
	leaf  int
	reply gateway.LeafReply
	took  time.Duration
}

// work decodes a batch.
func (c *serverConn) work(b batch) (*work, error) {
	now := time.Now()
	request, err := c.texts.decode(b.Request)
	if err != nil {
		return nil, err
	}
	leafs, err := c.texts.all(b.Leafs)
	if err != nil {
		return nil, err
	}
	content := c.s.codec.Content(request)
	w := &work{
		c: c, b: b, arrived: now, deadline: now.Add(time.Duration(b.LeftMs) * time.Millisecond), leafs: leafs,
		req:     &gateway.Request{ID: b.Request.ID, Key: c.s.codec.Key(content), Content: content, Arrived: now},
		replies: make(chan done, len(leafs)),
	}
	w.ctx, w.end = c.begin(b.Number)
	return w, nil
}

// run sends the calls, and their replies back: successes together, after the time of the
// first replies and then in steps; a failure at once, since another leaf may be asked.
// At the time of the first replies something is sent even if none is in, so that the
// caller knows this instance to be well.
func (w *work) run() {
	defer w.finish()
	w.c.s.BatchesServed.Add(1)
	w.c.s.active.Add(1)
	defer w.c.s.active.Add(-1)
	for i := range w.leafs {
		w.start(i)
	}
	timer := time.NewTimer(time.Duration(w.b.FlushUs) * time.Microsecond)
	defer timer.Stop()
	armed, told := true, false
	var ready []done
	for open := len(w.leafs); open > 0; {
		select {
		case d := <-w.replies:
			ready = append(ready, d)
			open--
			if open > 0 && d.reply.Outcome == replica.Answered {
				if !armed {
					timer.Reset(time.Duration(w.b.StepUs) * time.Microsecond)
					armed = true
				}
				continue
			}
		case <-timer.C:
			armed = false
			if told && len(ready) == 0 {
				continue
			}
		case <-w.ctx.Done():
			return
		}
		if err := w.flush(ready); err != nil {
			return
		}
		ready, told = nil, true
	}
}

// start sends the request to one leaf, unless something that this instance knows forbids it.
func (w *work) start(i int) {
	w.c.s.LeafCallsServed.Add(1)
	leaf, began := w.leaf(i), time.Now()
	err := w.refusal(leaf, began)
	if err == nil {
		call := gateway.LeafCall{Leaf: leaf, Request: w.req, Deadline: w.deadline}
		err = w.c.s.pool.Submit(func() {
			reply := w.c.s.leafs.Do(w.ctx, call)
			w.replies <- done{leaf: i, reply: reply, took: time.Since(began)}
		})
	}
	if err != nil {
		w.replies <- done{leaf: i, reply: gateway.LeafReply{Outcome: replica.PeerRefused, Err: err}}
	}
}

// refusal is why the request must not be sent to a leaf, nil where it may be.
func (w *work) refusal(leaf replica.Leaf, now time.Time) error {
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

// errQuarantined: this instance has heard that the request ends leafs.
var errQuarantined = errors.New("the request is quarantined")

// errEvacuated: this instance has heard that the leaf's zone is evacuated.
var errEvacuated = errors.New("the availability zone is evacuated")

// errCold: the leaf is cold, and gets requests from those only that are drawn for it.
var errCold = errors.New("the leaf is cold")

// errDraining: this instance has heard that the leaf takes no new work.
var errDraining = errors.New("the leaf is draining")

// leaf is what this instance knows of a leaf, or else what the caller says.
//
// A peer without the store has not heard of new leafs. Refusing them would make each
// look like a leaf that cannot be reached; one notices a whole new set of shards down
// for the instances whose peer is cut off from the store.
func (w *work) leaf(i int) replica.Leaf {
	told := leafOf(w.leafs[i])
	if known, ok := w.c.s.table.Leaf(told.ID); ok {
		return known
	}
	return told
}

// flush sends replies back, with the records of all successes merged.
func (w *work) flush(ready []done) error {
	f := flush{Number: w.b.Number, HeldUs: uint32(time.Since(w.arrived).Microseconds()), Parts: make([]part, 0, len(ready))}
	var bodies [][]byte
	for _, d := range ready {
		p := part{
			Leaf: uint16(d.leaf), Outcome: uint8(d.reply.Outcome), Status: uint16(d.reply.Status),
			TookUs: uint32(d.took.Microseconds()), Load: loadFrame(d.reply.Load),
		}
		if d.reply.Outcome == replica.Answered {
			proof, body := w.c.s.codec.SplitReply(d.reply)
			p.Proof = proof
			bodies = append(bodies, body)
		}
		f.Parts = append(f.Parts, p)
	}
	if len(bodies) > 0 {
		f.Body = w.c.s.codec.Merge(bodies, int(w.b.TopK))
	}
	return w.c.write(kindFlush, f)
}

// finish forgets the batch.
func (w *work) finish() {
	w.end()
	w.c.forget(w.b.Number)
}
