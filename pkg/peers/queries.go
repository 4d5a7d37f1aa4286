package peers

import (
	"context"
	"strings"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// QueryRunner runs whole queries for peers of this instance's zone.
type QueryRunner interface {
	// Gather runs a query under a version of the configuration, once granted, which is called
	// before anything is sent, says that it is this instance that runs it. ok is false if it
	// did not run and will not.
	Gather(ctx context.Context, req *gateway.Request, configVersion int64, granted func() bool) (a gateway.Answer, ok bool)
}

// query asks a peer of the same zone to run a whole query.
type query struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Request requestFrame
	// ConfigVersion is the configuration that the query is run under, or not at all.
	ConfigVersion int64
	// AgeUs is how long ago the request was read, WayUs how long it and its answer spend
	// between the caller and the peer, PatienceUs how long the caller waits (0: not said).
	AgeUs, WayUs, PatienceUs uint64
}

// answer is the outcome of a query.
type answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// HeldUs is how long the peer has had the query.
	HeldUs       uint64
	Code         uint16
	RetryAfterUs uint64
	// Lacks says of each shard why it has no part (fanout.ShardStatus).
	Lacks []byte
	// Proofs are those of the covered shards in their order, and Body their records.
	Proofs []string
	Body   []byte
}

// Times of queries that peers run.
const (
	// takenWithin is how soon a peer says that it runs a query. It is far more than a round
	// trip in a zone, and small against target latencies: the query is run here otherwise.
	takenWithin = 40 * time.Millisecond
	// grantedWithin bounds the wait for a caller that neither grants a query nor takes it
	// back, as one that stands still: the query counts among those in flight meanwhile.
	grantedWithin = 400 * time.Millisecond
	// timerLate is how late a timer may be before this process itself is taken to have
	// stood still.
	timerLate = 15 * time.Millisecond
	// beatEvery is how often a peer with open queries says that it is well.
	beatEvery = 100 * time.Millisecond
	// beatsMissed is how long a peer with open queries may be silent: three beats, and one
	// more for a processor that has used up its share.
	beatsMissed = 4 * beatEvery
	// answerSlack is how long after the end of a query its answer may come.
	answerSlack = 50 * time.Millisecond
)

// query decodes a query and returns the function that runs it.
func (c *serverConn) query(q query) (func(), error) {
	request, err := c.texts.decode(q.Request)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	path, _, _ := strings.Cut(request.Target, "?")
	content := c.s.codec.Content(request)
	req := &gateway.Request{
		ID: q.Request.ID, Key: c.s.codec.Key(content), Host: request.Host, Path: path, Content: content,
		Arrived: now.Add(-micros(q.AgeUs)), NetworkDelay: micros(q.WayUs), Timeout: micros(q.PatienceUs),
	}
	ctx, end := c.begin(q.Number)
	h := c.expectGrant(q.Number)
	return func() {
		defer c.forget(q.Number)
		defer end()
		c.gather(ctx, q, h, req, now)
	}, nil
}

// gather runs a query that has come at a time and sends its answer. A write that fails ends the connection, and
// with it the query's caller knows.
func (c *serverConn) gather(ctx context.Context, q query, h *handover, req *gateway.Request, came time.Time) {
	c.s.active.Add(1)
	defer c.s.active.Add(-1)
	if c.s.queries == nil || ctx.Err() != nil {
		_ = c.write(kindDeclined, numbered{Number: q.Number})
		return
	}
	a, ok := c.s.queries.Gather(ctx, req, q.ConfigVersion, func() bool {
		c.beat()
		_ = c.write(kindTaken, numbered{Number: q.Number})
		if !c.granted(ctx, h) {
			c.s.log.Decision("query_not_granted", oplog.Fields{
				"request": req.ID, "content": req.Key.String(), "peer": c.peer.Name, "after_ms": time.Since(came).Milliseconds(),
			})
			return false
		}
		c.s.QueriesServed.Add(1)
		return true
	})
	switch {
	case !ok:
		_ = c.write(kindDeclined, numbered{Number: q.Number})
	case ctx.Err() == nil:
		f := c.answer(q.Number, a)
		f.HeldUs = uint64(time.Since(came).Microseconds())
		_ = c.write(kindAnswer, f)
	}
}

// granted waits until the caller grants a query; false: it has taken it back, or is gone.
func (c *serverConn) granted(ctx context.Context, h *handover) bool {
	timer := time.NewTimer(grantedWithin)
	defer timer.Stop()
	select {
	case <-h.grants:
		return ctx.Err() == nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// expectGrant notes a query that waits to be granted.
func (c *serverConn) expectGrant(number uint64) *handover {
	h := newHandover()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handovers[number] = h
	return h
}

// grant is called when the caller grants a query.
func (c *serverConn) grant(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.handovers[number]; h != nil {
		h.grant()
	}
}

// answer encodes an answer with the records of all parts merged.
func (c *serverConn) answer(number uint64, a gateway.Answer) answer {
	f := answer{Number: number, Code: uint16(a.Code), RetryAfterUs: uint64(a.RetryAfter.Microseconds()), Lacks: make([]byte, len(a.Shards))}
	var bodies [][]byte
	for i, shard := range a.Shards {
		f.Lacks[i] = byte(shard.MissingReason)
		if shard.Reply == nil || a.Code != errcode.OK {
			continue
		}
		proof, body := c.s.codec.SplitReply(*shard.Reply)
		f.Lacks[i] = byte(fanout.Covered)
		f.Proofs = append(f.Proofs, proof)
		bodies = append(bodies, body)
	}
	if len(bodies) > 0 {
		f.Body = c.s.codec.Merge(bodies, a.Route.TopK)
	}
	return f
}

// beat keeps telling the caller that this instance is well while work is open.
func (c *serverConn) beat() {
	if c.beating.Swap(true) {
		return
	}
	time.AfterFunc(beatEvery, func() {
		c.beating.Store(false)
		if c.ctx.Err() != nil || !c.busy() {
			return
		}
		c.beat()
		_ = c.write(kindBeat, numbered{}) // Its failure ends the connection.
	})
}

// busy reports whether batches or queries are open.
func (c *serverConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cancels) > 0
}
