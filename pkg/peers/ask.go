package peers

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// asked is a query that a peer was asked to run.
type asked struct {
	// events has room for all that can come: taken, and the outcome.
	events chan queryEvent
	sent   time.Time
}

// queryEvent is news of a query.
type queryEvent struct {
	kind   queryEventKind
	answer answer
}

type queryEventKind int

const (
	queryTaken queryEventKind = iota
	queryDeclined
	queryAnswered
	// queryLost: the connection has ended.
	queryLost
)

// errPeerMalformed: a peer's answer does not fit its query.
var errPeerMalformed = errors.New("answer does not fit the query")

// errPeerBeats: a peer with open queries has stopped saying that it is well.
var errPeerBeats = errors.New("no word of a peer that runs queries")

// queryFrame takes over news of a query.
func (c *clientConn) queryFrame(k kind, raw []byte) error {
	var event queryEvent
	var number uint64
	var err error
	switch k {
	case kindTaken, kindDeclined:
		var n numbered
		n, err = decode[numbered](raw)
		number = n.Number
		event.kind = queryTaken
		if k == kindDeclined {
			event.kind = queryDeclined
		}
	case kindAnswer:
		event.kind = queryAnswered
		event.answer, err = decode[answer](raw)
		number = event.answer.Number
	default:
		return errKind
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	q := c.asked[number]
	if event.kind != queryTaken {
		delete(c.asked, number)
	}
	if event.kind == queryAnswered && q != nil {
		c.hop.learn(time.Since(q.sent) - micros(event.answer.HeldUs))
	}
	request, back := c.takenBack[number]
	delete(c.takenBack, number)
	c.mu.Unlock()
	if q == nil {
		if back && event.kind == queryTaken && c.late != nil {
			c.late(c, request)
		}
		return nil
	}
	select {
	case q.events <- event:
	default:
		return errPeerMalformed // It says the same again.
	}
	return nil
}

// ask sends a query; ok is false if nothing was sent.
func (c *clientConn) ask(q gateway.GatherQuery) (number uint64, a *asked, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, false
	}
	c.number++
	a = &asked{events: make(chan queryEvent, 3), sent: time.Now()}
	c.asked[c.number] = a
	req := q.Request
	f := query{
		Number: c.number, Request: c.texts.encode(req.ID, c.codec.Request(req.Content)), ConfigVersion: q.ConfigVersion,
		AgeUs: uint64(time.Since(req.Arrived).Microseconds()), WayUs: uint64((req.NetworkDelay + c.hopLocked()).Microseconds()),
		PatienceUs: uint64(req.Timeout.Microseconds()),
	}
	if err := c.writeLocked(kindQuery, f); err != nil {
		go c.end(err)
	}
	return c.number, a, true
}

// grant lets the peer run a query that it has taken.
func (c *clientConn) grant(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.asked[number] == nil {
		return
	}
	if err := c.writeLocked(kindGrant, numbered{Number: number}); err != nil {
		go c.end(err) // Whether it was granted is not known: it may have run.
	}
}

// drop tells the peer that nobody waits for a query any more.
func (c *clientConn) drop(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.asked[number] == nil {
		return
	}
	delete(c.asked, number)
	if err := c.writeLocked(kindCancel, numbered{Number: number}); err != nil {
		go c.end(err)
	}
}

// takenBackMost bounds the queries that are remembered as taken back.
const takenBackMost = 256

// takeBack drops a query that the peer has not taken in time.
func (c *clientConn) takeBack(number uint64, request string) {
	c.drop(number)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.takenBack) >= takenBackMost {
		clear(c.takenBack)
	}
	c.takenBack[number] = request
}

// takenLate records that a peer took a query that had been taken back.
func (p *Peers) takenLate(c *clientConn, request string) {
	p.QueriesTakenLate.Add(1)
	p.log.Decision("query_taken_late", oplog.Fields{"request": request, "peer": c.peer.Name})
}

// Delegate implements gateway.Gatherers.
func (p *Peers) Delegate(ctx context.Context, q gateway.GatherQuery) (gateway.Answer, bool) {
	c := p.gatherer(time.Now())
	if c == nil {
		return gateway.Answer{}, false
	}
	number, a, ok := c.ask(q)
	if !ok {
		return gateway.Answer{}, false
	}
	p.QueriesHandedOff.Add(1)
	wait := &queryWait{p: p, c: c, number: number, asked: a, query: q}
	return wait.run(ctx)
}

// queryWait waits for the answer to a query that a peer was asked to run.
type queryWait struct {
	p      *Peers
	c      *clientConn
	number uint64
	asked  *asked
	query  gateway.GatherQuery
	// offer says who runs the query.
	offer offer
	// due is when the next word of the peer is expected at the latest.
	due time.Time
}

// run waits for the answer.
//
// The peer may be killed, stand still or be cut off. As long as the query was not granted to
// it this instance may run it itself, and does so soon. After that a second run could reach
// more leafs of a shard than the route allows, and would double the load of an overload; the
// caller is told at once that the query may have run, and comes again.
func (w *queryWait) run(ctx context.Context) (gateway.Answer, bool) {
	timer := time.NewTimer(takenWithin)
	defer timer.Stop()
	w.due = time.Now().Add(takenWithin)
	for {
		select {
		case e := <-w.asked.events:
			if a, ok, done := w.event(e); done {
				return a, ok
			}
			w.due = time.Now().Add(beatsMissed)
			timer.Reset(beatsMissed)
		case <-timer.C:
			if a, ok, done := w.overdue(timer); done {
				return a, ok
			}
		case <-ctx.Done():
			w.c.drop(w.number)
			return gateway.Answer{Code: errcode.CallerDisconnected}, true
		}
	}
}

// event takes over news of the query.
func (w *queryWait) event(e queryEvent) (a gateway.Answer, ok, done bool) {
	switch e.kind {
	case queryTaken:
		if w.offer.taken() {
			w.c.grant(w.number)
		}
		return a, false, false
	case queryAnswered:
		a, err := w.answer(e.answer)
		if err != nil {
			w.c.end(err)
			return w.lost(), true, true
		}
		return a, true, true
	}
	// It is declined, or the connection has ended.
	if !w.offer.refused() {
		return w.lost(), true, true
	}
	w.p.QueriesDeclined.Add(1)
	return a, false, true
}

// overdue is called when the peer should have been heard of.
func (w *queryWait) overdue(timer *time.Timer) (a gateway.Answer, ok, done bool) {
	now := time.Now()
	if now.Sub(w.due) > timerLate {
		// This process has stood still, and the word may be waiting to be read.
		w.due = now.Add(takenWithin)
		timer.Reset(takenWithin)
		return a, false, false
	}
	switch {
	case w.offer.refused():
		w.query.Request.HandoffTimedOut = true
		w.c.takeBack(w.number, w.query.Request.ID)
		w.p.log.Decision("query_taken_back", oplog.Fields{
			"request": w.query.Request.ID, "route": w.query.Route.Name, "peer": w.c.peer.Name,
			"after_ms": now.Sub(w.query.Request.Arrived).Milliseconds(),
		})
		w.p.silent(w.c)
		return a, false, true
	case now.After(w.query.Deadline.Add(answerSlack)):
		w.c.drop(w.number)
		return gateway.Answer{Code: errcode.RequestTimeout}, true, true
	}
	silent := w.c.silentFor(now)
	if silent >= beatsMissed {
		w.c.end(errPeerBeats)
		return w.lost(), true, true
	}
	next := min(beatsMissed-silent, max(w.query.Deadline.Add(answerSlack).Sub(now), time.Millisecond))
	w.due = now.Add(next)
	timer.Reset(next)
	return a, false, false
}

// silentFor is how long nothing has come on the connection.
func (c *clientConn) silentFor(now time.Time) time.Duration {
	at := c.heard.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// lost is the answer to a query whose peer is gone.
func (w *queryWait) lost() gateway.Answer {
	req := w.query.Request
	w.p.log.Decision("gatherer_lost", oplog.Fields{
		"request": req.ID, "content": req.Key.String(), "route": w.query.Route.Name, "peer": w.c.peer.Name, "code": errcode.PeerLost.String(),
		"after_ms": time.Since(req.Arrived).Milliseconds(),
	})
	return gateway.Answer{Code: errcode.PeerLost}
}

// answer decodes an answer. The merged records go with the first part.
func (w *queryWait) answer(f answer) (gateway.Answer, error) {
	a := gateway.Answer{Code: errcode.Code(f.Code), RetryAfter: micros(f.RetryAfterUs)}
	if !a.Code.Known() || len(f.Lacks) != len(w.query.Route.Shards) || slices.ContainsFunc(f.Lacks, unknownLack) {
		return a, errPeerMalformed
	}
	a.Shards = make([]gateway.ShardAnswer, len(f.Lacks))
	proofs, body := f.Proofs, f.Body
	for i, lack := range f.Lacks {
		a.Shards[i].MissingReason = fanout.ShardStatus(lack)
		if a.Shards[i].MissingReason != fanout.Covered || a.Code != errcode.OK {
			continue
		}
		if len(proofs) == 0 {
			return a, errPeerMalformed
		}
		a.Shards[i].Reply = &gateway.LeafReply{Content: w.c.codec.JoinReply(proofs[0], body)}
		proofs, body = proofs[1:], nil
	}
	if len(proofs) > 0 {
		return a, errPeerMalformed
	}
	return a, nil
}

// unknownLack reports whether a reason is none that this instance knows.
func unknownLack(lack byte) bool { return !fanout.ShardStatus(lack).Known() }

// micros is a number of microseconds as a duration.
func micros(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
