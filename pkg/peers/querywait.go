package peers

import (
	"context"
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// HandOff implements gateway.Gatherers.
func (p *Peers) HandOff(ctx context.Context, q gateway.GatherQuery) (gateway.Answer, bool) {
	c := p.gathererConn(time.Now())
	if c == nil {
		return gateway.Answer{}, false
	}
	number, pending, ok := c.sendQuery(q)
	if !ok {
		return gateway.Answer{}, false
	}
	p.QueriesHandedOff.Add(1)
	wait := &queryWait{p: p, c: c, number: number, handedOff: pending, query: q}
	return wait.run(ctx)
}

// queryWait waits for the outcome of a handed-off query.
type queryWait struct {
	p         *Peers
	c         *clientConn
	number    uint64
	handedOff *handedOffQuery
	query     gateway.GatherQuery
	offer     offerState
	// expectedBy is when the next frame from the peer is due.
	expectedBy time.Time
}

// run waits for the outcome. ok is false if this instance is to run the query itself.
//
// The peer may crash, stall or become unreachable. Until the query is granted this instance can
// run it itself, and does so after acceptTimeout. After that a second run could reach more leafs of
// a shard than the route allows and would double the load during an overload. The caller is told
// at once that the query may have run, and can retry.
func (w *queryWait) run(ctx context.Context) (gateway.Answer, bool) {
	timer := time.NewTimer(acceptTimeout)
	defer timer.Stop()
	w.expectedBy = time.Now().Add(acceptTimeout)
	for {
		select {
		case e := <-w.handedOff.events:
			if a, ok, done := w.handleEvent(e); done {
				return a, ok
			}
			w.expectedBy = time.Now().Add(heartbeatTimeout)
			timer.Reset(heartbeatTimeout)
		case <-timer.C:
			if a, ok, done := w.handleTimeout(timer); done {
				return a, ok
			}
		case <-ctx.Done():
			w.c.cancelQuery(w.number)
			return gateway.Answer{Code: errcode.CallerDisconnected}, true
		}
	}
}

// handleEvent processes an event of the query. done reports whether a and ok are final.
func (w *queryWait) handleEvent(e queryEvent) (a gateway.Answer, ok, done bool) {
	switch e.kind {
	case queryAccepted:
		if w.offer.accept() {
			w.c.sendGrant(w.number)
		}
		return a, false, false
	case queryAnswered:
		a, err := w.decodeAnswer(e.answer)
		if err != nil {
			w.c.closeWithError(err)
			return w.peerLostAnswer(), true, true
		}
		return a, true, true
	}
	// The peer declined the query, or the connection was closed.
	if !w.offer.withdraw() {
		return w.peerLostAnswer(), true, true
	}
	w.p.QueriesDeclined.Add(1)
	return a, false, true
}

// handleTimeout is called when no event arrived until expectedBy.
func (w *queryWait) handleTimeout(timer *time.Timer) (a gateway.Answer, ok, done bool) {
	now := time.Now()
	if now.Sub(w.expectedBy) > timerLateThreshold {
		// This process was paused, and the peer's frame may be waiting to be read.
		w.expectedBy = now.Add(acceptTimeout)
		timer.Reset(acceptTimeout)
		return a, false, false
	}
	switch {
	case w.offer.withdraw():
		w.query.Request.HandoffTimedOut = true
		w.c.withdrawQuery(w.number, w.query.Request.ID)
		w.p.log.Decision("query_taken_back", oplog.Fields{
			"request": w.query.Request.ID, "route": w.query.Route.Name, "peer": w.c.peer.Name,
			"after_ms": now.Sub(w.query.Request.Arrived).Milliseconds(),
		})
		w.p.handleTimeout(w.c)
		return a, false, true
	case now.After(w.query.Deadline.Add(answerGrace)):
		w.c.cancelQuery(w.number)
		return gateway.Answer{Code: errcode.RequestTimeout}, true, true
	}
	idle := w.c.sinceLastFrame(now)
	if idle >= heartbeatTimeout {
		w.c.closeWithError(errNoHeartbeat)
		return w.peerLostAnswer(), true, true
	}
	next := min(heartbeatTimeout-idle, max(w.query.Deadline.Add(answerGrace).Sub(now), time.Millisecond))
	w.expectedBy = now.Add(next)
	timer.Reset(next)
	return a, false, false
}

// sinceLastFrame returns how long ago the last frame arrived, or 0 before the first one.
func (c *clientConn) sinceLastFrame(now time.Time) time.Duration {
	last := c.lastFrameAt.Load()
	if last == nil {
		return 0
	}
	return now.Sub(*last)
}

// peerLostAnswer logs the loss of the peer of a granted query and returns the answer.
func (w *queryWait) peerLostAnswer() gateway.Answer {
	req := w.query.Request
	w.p.log.Decision("gatherer_lost", oplog.Fields{
		"request": req.ID, "content": req.Key.String(), "route": w.query.Route.Name, "peer": w.c.peer.Name, "code": errcode.PeerLost.String(),
		"after_ms": time.Since(req.Arrived).Milliseconds(),
	})
	return gateway.Answer{Code: errcode.PeerLost}
}

// decodeAnswer decodes an answer. The first covered shard gets the merged records.
func (w *queryWait) decodeAnswer(f answer) (gateway.Answer, error) {
	a := gateway.Answer{Code: errcode.Code(f.Code), RetryAfter: micros(f.RetryAfterUs)}
	if !a.Code.Known() || len(f.Coverage) != len(w.query.Route.Shards) || slices.ContainsFunc(f.Coverage, isUnknownCoverage) {
		return a, errMalformedAnswer
	}
	a.Shards = make([]gateway.ShardAnswer, len(f.Coverage))
	proofs, body := f.Proofs, f.Body
	for i, coverage := range f.Coverage {
		a.Shards[i].MissingReason = fanout.ShardStatus(coverage)
		if a.Shards[i].MissingReason != fanout.Covered || a.Code != errcode.OK {
			continue
		}
		if len(proofs) == 0 {
			return a, errMalformedAnswer
		}
		a.Shards[i].Reply = &gateway.LeafReply{Content: w.c.codec.JoinReply(proofs[0], body)}
		proofs, body = proofs[1:], nil
	}
	if len(proofs) > 0 {
		return a, errMalformedAnswer
	}
	return a, nil
}

// isUnknownCoverage reports whether a coverage value is unknown to this version.
func isUnknownCoverage(coverage byte) bool { return !fanout.ShardStatus(coverage).Known() }
