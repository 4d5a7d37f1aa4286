package peers

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// QueryRunner runs whole queries, and requests to single leafs, for peers in the zone of this
// instance.
type QueryRunner interface {
	// Gather runs a query under the given version of the configuration. It calls granted before
	// it sends anything, and runs the query only if that returns true. ok is false if the query
	// did not run and will not run.
	Gather(ctx context.Context, req *gateway.Request, configVersion int64, granted func() bool) (a gateway.Answer, ok bool)
	// RunSingle is like Gather for a request that goes to a single leaf.
	RunSingle(ctx context.Context, req *gateway.Request, configVersion int64, granted func() bool) (a gateway.Answer, ok bool)
}

// query asks a peer in the same zone to run a whole query.
type query struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Request requestFrame
	// ConfigVersion is the version of the configuration under which the query must run. A peer
	// with another version declines it.
	ConfigVersion int64
	// AgeUs is how long ago the request was read, TransitUs the time that the request and its answer
	// spend between the caller and the peer, and CallerTimeoutUs how long the caller waits (0 if
	// unknown).
	AgeUs, TransitUs, CallerTimeoutUs uint64
}

// answer is the outcome of a query.
type answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// ElapsedUs is the time from receiving the query until its answer.
	ElapsedUs    uint64
	Code         uint16
	RetryAfterUs uint64
	// Coverage holds for each shard whether it is covered, or why not (fanout.ShardStatus).
	Coverage []byte
	// Proofs are the proofs of the covered shards in their order, and Body their merged
	// records.
	Proofs []string
	Body   []byte
}

// Timeouts and intervals of handed-off queries.
const (
	// acceptTimeout is how long an instance waits for a peer to accept a query before it runs the
	// query itself. It is far more than a round trip within a zone, and short compared to target
	// latencies.
	acceptTimeout = 40 * time.Millisecond
	// grantTimeout is how long a peer waits for an instance that neither grants nor cancels a
	// query, for example because it is paused. The query counts as in flight meanwhile.
	grantTimeout = 400 * time.Millisecond
	// timerLateThreshold is the delay of a timer from which on this process is assumed to have
	// been paused.
	timerLateThreshold = 15 * time.Millisecond
	// heartbeatInterval is how often a peer with open queries sends a heartbeat.
	heartbeatInterval = 100 * time.Millisecond
	// heartbeatTimeout is how long a peer with open queries may send nothing: three heartbeats, and
	// one more for a processor that has used up its CPU quota.
	heartbeatTimeout = 4 * heartbeatInterval
	// answerGrace is how long after the end of a query its answer may arrive.
	answerGrace = 50 * time.Millisecond
)

// errRepeatedNumber is returned for a query or single request whose number is not greater than that
// of the one before. If a grant were repeated too, the request would run twice.
var errRepeatedNumber = errors.New("the number of a query is repeated")

// prepareQuery decodes a query or single request, registers it and returns the function that runs
// it.
func (c *serverConn) prepareQuery(work *servedKind, q query) (func(), error) {
	if q.Number <= c.lastNumber {
		return nil, errRepeatedNumber
	}
	c.lastNumber = q.Number
	request, err := c.texts.decodeRequest(q.Request)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	path, _, _ := strings.Cut(request.Target, "?")
	content := c.s.codec.Content(request)
	req := &gateway.Request{
		ID: q.Request.ID, Key: c.s.codec.Key(content), Host: request.Host, Path: path, Content: content,
		Arrived: now.Add(-micros(q.AgeUs)), NetworkDelay: micros(q.TransitUs), Timeout: micros(q.CallerTimeoutUs),
	}
	ctx, cancel := c.register(q.Number)
	h := c.registerHandoff(q.Number)
	return func() {
		defer c.unregister(q.Number)
		defer cancel()
		c.runQuery(ctx, work, q, h, req, now)
	}, nil
}

// runQuery runs a query or single request that was received at the given time, and sends its answer.
// A failed write closes the connection, which tells the requesting peer that it is lost.
func (c *serverConn) runQuery(ctx context.Context, work *servedKind, q query, h *handoff, req *gateway.Request, receivedAt time.Time) {
	c.s.inFlight.Add(1)
	defer c.s.inFlight.Add(-1)
	if c.s.queries == nil || ctx.Err() != nil || work.declinedWhileDraining && c.s.draining.Load() {
		_ = c.write(kindDeclined, numbered{Number: q.Number})
		return
	}
	a, ok := work.run(c.s.queries, ctx, req, q.ConfigVersion, func() bool {
		c.scheduleHeartbeat()
		_ = c.write(kindAccepted, numbered{Number: q.Number})
		if !c.waitForGrant(ctx, h) {
			c.s.log.Decision(work.notGranted, oplog.Fields{
				"request": req.ID, "content": req.Key.String(), "peer": c.peer.Name, "after_ms": time.Since(receivedAt).Milliseconds(),
			})
			return false
		}
		work.recordGrant(c, req)
		return true
	})
	switch {
	case !ok:
		_ = c.write(kindDeclined, numbered{Number: q.Number})
	case ctx.Err() == nil:
		work.answer(c, q.Number, a, time.Since(receivedAt))
	}
}

// waitForGrant waits until the query is granted. It returns false if the query is cancelled, the
// connection is closed or grantTimeout expires.
func (c *serverConn) waitForGrant(ctx context.Context, h *handoff) bool {
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case <-h.grantedCh:
		return ctx.Err() == nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// registerHandoff registers a query that waits for its grant.
func (c *serverConn) registerHandoff(number uint64) *handoff {
	h := newHandoff()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handoffs[number] = h
	return h
}

// handleGrant grants the query with the given number, if it is still registered.
func (c *serverConn) handleGrant(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.handoffs[number]; h != nil {
		h.grant()
	}
}

// encodeAnswer encodes an answer with the merged records of all its parts.
func (c *serverConn) encodeAnswer(number uint64, a gateway.Answer) answer {
	f := answer{Number: number, Code: uint16(a.Code), RetryAfterUs: uint64(a.RetryAfter.Microseconds()), Coverage: make([]byte, len(a.Shards))}
	var bodies [][]byte
	for i, shard := range a.Shards {
		f.Coverage[i] = byte(shard.MissingReason)
		if shard.Reply == nil || a.Code != errcode.OK {
			continue
		}
		proof, body := c.s.codec.SplitReply(*shard.Reply)
		f.Coverage[i] = byte(fanout.Covered)
		f.Proofs = append(f.Proofs, proof)
		bodies = append(bodies, body)
	}
	if len(bodies) > 0 {
		f.Body = c.s.codec.Merge(bodies, a.Route.TopK)
	}
	return f
}

// scheduleHeartbeat schedules the next heartbeat, which schedules the one after it. The heartbeats
// end when no batch and no query is open.
func (c *serverConn) scheduleHeartbeat() {
	if c.heartbeatScheduled.Swap(true) {
		return
	}
	time.AfterFunc(heartbeatInterval, func() {
		c.heartbeatScheduled.Store(false)
		if c.ctx.Err() != nil || !c.hasOpenWork() {
			return
		}
		c.scheduleHeartbeat()
		_ = c.write(kindHeartbeat, numbered{}) // A failed write closes the connection.
	})
}

// hasOpenWork reports whether batches or queries are open.
func (c *serverConn) hasOpenWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cancels) > 0
}
