package peers

import (
	"errors"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// handedOffQuery is a query that was offered to a gatherer and has no outcome yet.
type handedOffQuery struct {
	// events has room for all events of a query.
	events chan queryEvent
	sentAt time.Time
}

// queryEvent is a change of the state of a handed-off query.
type queryEvent struct {
	kind   queryEventKind
	answer answer
	// single is the answer to a request that goes to a single leaf; nil for a query.
	single *singleAnswer
}

// elapsed returns the time that the peer had the query.
func (e queryEvent) elapsed() time.Duration {
	if e.single != nil {
		return micros(e.single.ElapsedUs)
	}
	return micros(e.answer.ElapsedUs)
}

// queryEventKind is the kind of a queryEvent.
type queryEventKind int

const (
	queryAccepted queryEventKind = iota
	queryDeclined
	queryAnswered
	queryLost // The connection was closed.
)

// errMalformedAnswer is returned for repeated frames and answers that do not match the query.
var errMalformedAnswer = errors.New("answer does not match the query")

// errNoHeartbeat closes the connection to a peer with open queries that sends no heartbeats.
var errNoHeartbeat = errors.New("no heartbeat from a peer with open queries")

// handleQueryFrame passes a frame about a query to the goroutine that waits for it.
func (c *clientConn) handleQueryFrame(k frameKind, raw []byte) error {
	var event queryEvent
	var number uint64
	var err error
	switch k {
	case kindAccepted, kindDeclined:
		var n numbered
		n, err = decode[numbered](raw)
		number = n.Number
		event.kind = queryAccepted
		if k == kindDeclined {
			event.kind = queryDeclined
		}
	case kindAnswer:
		event.kind = queryAnswered
		event.answer, err = decode[answer](raw)
		number = event.answer.Number
	case kindSingleAnswer:
		var f singleAnswer
		f, err = decode[singleAnswer](raw)
		event.kind, event.single, number = queryAnswered, &f, f.Number
	default:
		return errFrameKind
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	q := c.queries[number]
	if event.kind != queryAccepted {
		delete(c.queries, number)
	}
	if event.kind == queryAnswered && q != nil {
		c.rtt.observe(time.Since(q.sentAt) - event.elapsed())
	}
	offer, wasWithdrawn := c.withdrawn[number]
	delete(c.withdrawn, number)
	c.mu.Unlock()
	if q == nil {
		if wasWithdrawn && event.kind == queryAccepted && c.onLateAccept != nil {
			c.onLateAccept(c, offer)
		}
		return nil
	}
	select {
	case q.events <- event:
	default:
		return errMalformedAnswer // The frame is a repetition.
	}
	return nil
}

// sendQuery offers a query to the peer. ok is false if nothing was sent.
func (c *clientConn) sendQuery(q gateway.GatherQuery) (number uint64, pending *handedOffQuery, ok bool) {
	return c.sendOffer(queryHandoff, q)
}

// sendOffer offers a request of the given kind to the peer. ok is false if nothing was sent.
func (c *clientConn) sendOffer(kind *handoffKind, q gateway.GatherQuery) (number uint64, pending *handedOffQuery, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, false
	}
	c.lastNumber++
	pending = &handedOffQuery{events: make(chan queryEvent, 3), sentAt: time.Now()}
	c.queries[c.lastNumber] = pending
	req := q.Request
	f := query{
		Number: c.lastNumber, Request: c.texts.encodeRequest(req.ID, c.codec.Request(req.Content)), ConfigVersion: q.ConfigVersion,
		AgeUs: uint64(time.Since(req.Arrived).Microseconds()), TransitUs: uint64((req.NetworkDelay + c.rttLocked()).Microseconds()),
		CallerTimeoutUs: uint64(req.Timeout.Microseconds()),
	}
	if err := c.writeLocked(kind.frame, f); err != nil {
		go c.closeWithError(err)
	}
	return c.lastNumber, pending, true
}

// sendGrant allows the peer to run a query that it has accepted.
func (c *clientConn) sendGrant(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.queries[number] == nil {
		return
	}
	if err := c.writeLocked(kindGrant, numbered{Number: number}); err != nil {
		go c.closeWithError(err) // The peer may have received the grant and run the query.
	}
}

// cancelQuery tells the peer that the answer to a query is no longer needed.
func (c *clientConn) cancelQuery(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.queries[number] == nil {
		return
	}
	delete(c.queries, number)
	if err := c.writeLocked(kindCancel, numbered{Number: number}); err != nil {
		go c.closeWithError(err)
	}
}

// maxWithdrawn is the maximum number of withdrawn queries that a connection remembers.
const maxWithdrawn = 256

// withdrawnOffer is a request that the peer did not accept in time.
type withdrawnOffer struct {
	kind    *handoffKind
	request string
}

// withdraw cancels a request that the peer did not accept in time.
func (c *clientConn) withdraw(number uint64, offer withdrawnOffer) {
	c.cancelQuery(number)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.withdrawn) >= maxWithdrawn {
		clear(c.withdrawn)
	}
	c.withdrawn[number] = offer
}

// handleLateAccept records that a peer accepted a request after it was withdrawn.
func (p *Peers) handleLateAccept(c *clientConn, offer withdrawnOffer) {
	offer.kind.counts(p).AcceptedLate.Add(1)
	p.log.Decision(offer.kind.acceptedLate, oplog.Fields{"request": offer.request, "peer": c.peer.Name})
}

// micros converts a number of microseconds to a duration.
func micros(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
