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
	return p.handOff(ctx, queryHandoff, q)
}

// handOff offers a request to a gatherer and waits for its outcome. ok is false if this instance is
// to run it.
func (p *Peers) handOff(ctx context.Context, kind *handoffKind, q gateway.GatherQuery) (a gateway.Answer, ok bool) {
	c := p.gathererConn(time.Now())
	if c == nil {
		return a, false
	}
	number, pending, ok := c.sendOffer(kind, q)
	if !ok {
		return a, false
	}
	kind.counts(p).HandedOff.Add(1)
	p.logOffer(kind.handedOff, q, c.peer.Name, nil)
	wait := &queryWait{p: p, c: c, kind: kind, number: number, handedOff: pending, query: q}
	return wait.run(ctx)
}

// queryWait waits for the outcome of a handed-off query.
type queryWait struct {
	p         *Peers
	c         *clientConn
	kind      *handoffKind
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
		a, err := w.decodeEvent(e)
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
	w.kind.counts(w.p).Declined.Add(1)
	cause := "declined"
	if e.kind == queryLost {
		cause = "connection closed"
	}
	w.p.logOffer(w.kind.declined, w.query, w.c.peer.Name, oplog.Fields{"cause": cause, "after_ms": w.age().Milliseconds()})
	return a, false, true
}

// age returns the time since the request was read.
func (w *queryWait) age() time.Duration { return time.Since(w.query.Request.Arrived) }

// decodeEvent decodes the answer of an event.
func (w *queryWait) decodeEvent(e queryEvent) (gateway.Answer, error) {
	switch {
	case w.kind == queryHandoff && e.single == nil:
		return w.decodeAnswer(e.answer)
	case w.kind == singleHandoff && e.single != nil:
		return decodeSingleAnswer(*e.single, w.c.codec)
	}
	return gateway.Answer{}, errMalformedAnswer
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
		w.c.withdraw(w.number, withdrawnOffer{kind: w.kind, request: w.query.Request.ID})
		w.kind.counts(w.p).TakenBack.Add(1)
		w.p.logOffer(w.kind.takenBack, w.query, w.c.peer.Name, oplog.Fields{"after_ms": w.age().Milliseconds()})
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
	w.kind.counts(w.p).Lost.Add(1)
	w.p.logOffer(w.kind.lost, w.query, w.c.peer.Name, oplog.Fields{
		"content": w.query.Request.Key.String(), "code": errcode.PeerLost.String(), "after_ms": w.age().Milliseconds(),
	})
	return gateway.Answer{Code: errcode.PeerLost}
}

// decodeAnswer decodes an answer. The first covered shard gets the merged records.
func (w *queryWait) decodeAnswer(f answer) (gateway.Answer, error) {
	a := gateway.Answer{Code: errcode.Code(f.Code), RetryAfter: micros(f.RetryAfterUs)}
	if !isHTTPCode(a.Code) || len(f.Coverage) != len(w.query.Route.Shards) || slices.ContainsFunc(f.Coverage, isUnknownCoverage) {
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
