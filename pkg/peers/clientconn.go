package peers

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// clientConn is the client side of a connection to one peer.
type clientConn struct {
	peer  membership.Member
	conn  net.Conn
	codec Codec
	// onTimeout is called when the peer does not answer in time, onClosed once when the
	// connection is closed.
	onTimeout func(*clientConn)
	onClosed  func(*clientConn, error)
	// onFeedStatus and onUpdate receive frames about the store; nil if no feed is used.
	onFeedStatus func(*clientConn, feedStatus)
	onUpdate     func(*clientConn, []byte) error
	// subscribed reports whether the peer was asked for its feed, and subscribedAt when that last
	// changed or was renewed. Peers.mu guards both.
	subscribed   bool
	subscribedAt time.Time

	mu         sync.Mutex
	w          *bufio.Writer
	texts      textEncoder
	lastNumber uint64
	batches    map[uint64]*pendingBatch
	queries    map[uint64]*handedOffQuery
	closed     bool
	// withdrawn holds the requests that the peer did not accept in time, by their numbers.
	// onLateAccept is called when the peer accepts one of them nevertheless.
	withdrawn    map[uint64]withdrawnOffer
	onLateAccept func(*clientConn, withdrawnOffer)
	// lastFrameAt is when the last frame arrived. A pointer to a time.Time keeps the monotonic
	// clock reading, which changes of the wall clock do not affect.
	lastFrameAt atomic.Pointer[time.Time]
	// silentSince is when the peer first did not answer in time since the last frame; nil if it has
	// answered since.
	silentSince atomic.Pointer[time.Time]
	// rtt is the round-trip time of queries.
	rtt rttEstimator
	// batchRTT is the moving average of the round-trip time of batches; 0 before the first.
	batchRTT time.Duration
}

// pendingBatch is a batch whose replies are awaited.
type pendingBatch struct {
	deliver      func([]gateway.BatchReply)
	open         []bool // By call: no reply has arrived yet.
	remaining    int    // The number of open calls.
	sentAt       time.Time
	timer        *time.Timer
	acknowledged bool // The first frame has arrived, or none is expected after a cancellation.
}

const (
	// dialTimeout is the timeout for connecting to a peer.
	dialTimeout = 300 * time.Millisecond
	// firstReplyGrace is how long after the flush time of a batch its first frame may arrive:
	// a round trip, and a late timer on a small processor.
	firstReplyGrace = 60 * time.Millisecond
	// lossGrace is how long after the deadline of a batch its open calls fail: the peer's own
	// wait for a late leaf, and the return trip.
	lossGrace = 500 * time.Millisecond
	// batchRTTWeight is the weight of one batch in the moving average.
	batchRTTWeight = 0.2
)

// dial connects to a peer and sends the hello frame.
func dial(peer membership.Member, self membership.Member, codec Codec) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", peer.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &clientConn{
		peer: peer, conn: conn, codec: codec, w: bufio.NewWriter(conn),
		texts: textEncoder{numbers: make(map[string]uint16)}, batches: make(map[uint64]*pendingBatch), queries: make(map[uint64]*handedOffQuery),
		withdrawn: make(map[uint64]withdrawnOffer),
	}
	if err := c.writeLocked(kindHello, hello{Version: protocolVersion, Name: self.Name, Zone: self.Zone}); err != nil {
		_ = conn.Close() // The error of the write is reported.
		return nil, err
	}
	return c, nil
}

// sendBatch sends a batch. If ok is false nothing was sent.
func (c *clientConn) sendBatch(b gateway.Batch, deliver func([]gateway.BatchReply)) (cancel func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	c.lastNumber++
	number := c.lastNumber
	now := time.Now()
	p := &pendingBatch{deliver: deliver, open: make([]bool, len(b.Calls)), remaining: len(b.Calls), sentAt: now}
	for i := range p.open {
		p.open[i] = true
	}
	p.timer = time.AfterFunc(b.FlushAfter+firstReplyGrace, func() { c.handleBatchTimeout(number, b.Deadline) })
	c.batches[number] = p
	if err := c.writeLocked(kindBatch, c.encodeBatch(number, b, now)); err != nil {
		// A part of the frame may have been sent, and the batch may run.
		go c.closeWithError(err)
	}
	return func() { c.cancelBatch(number) }, true
}

// encodeBatch encodes a batch with the time that remains until its deadline.
func (c *clientConn) encodeBatch(number uint64, b gateway.Batch, now time.Time) batch {
	f := batch{
		Number: number, Request: c.texts.encodeRequest(b.Request.ID, c.codec.Request(b.Request.Content)),
		TimeoutMs:    uint32(max(b.Deadline.Sub(now).Milliseconds(), 1)),
		FlushAfterUs: uint32(b.FlushAfter.Microseconds()), FlushIntervalUs: uint32(b.FlushInterval.Microseconds()), TopK: uint32(b.Route.TopK),
	}
	for _, call := range b.Calls {
		f.Leafs = append(f.Leafs, c.texts.ref(formatLeaf(call.Leaf)))
	}
	return f
}

// writeLocked writes one frame. mu must be held unless c is not shared yet.
func (c *clientConn) writeLocked(k frameKind, v any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeFrame(c.w, k, v)
}

// cancelBatch tells the peer that the replies to a batch are no longer needed.
func (c *clientConn) cancelBatch(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.batches[number]
	if c.closed || p == nil {
		return
	}
	p.acknowledged = true
	if err := c.writeLocked(kindCancel, numbered{Number: number}); err != nil {
		go c.closeWithError(err)
	}
}

// handleBatchTimeout is called when the first frame of a batch is due. A peer that sent none is
// avoided. The batch itself fails only after its deadline, as a direct leaf call would.
func (c *clientConn) handleBatchTimeout(number uint64, deadline time.Time) {
	c.mu.Lock()
	p := c.batches[number]
	if p == nil {
		c.mu.Unlock()
		return
	}
	acknowledged := p.acknowledged
	p.timer = time.AfterFunc(time.Until(deadline)+lossGrace, func() { c.giveUpBatch(number) })
	c.mu.Unlock()
	if !acknowledged {
		c.onTimeout(c)
	}
}

// giveUpBatch fails the open calls of a batch.
func (c *clientConn) giveUpBatch(number uint64) {
	c.mu.Lock()
	p := c.batches[number]
	delete(c.batches, number)
	c.mu.Unlock()
	if p != nil {
		p.failOpenCalls()
	}
}

// failOpenCalls ends the open calls with PeerLost: they may have run.
func (p *pendingBatch) failOpenCalls() {
	p.timer.Stop()
	var lost []gateway.BatchReply
	for i, open := range p.open {
		if open {
			lost = append(lost, gateway.BatchReply{Call: i, Reply: gateway.LeafReply{Outcome: replica.PeerLost, Err: errPeerLost}})
		}
	}
	if len(lost) > 0 {
		p.deliver(lost)
	}
}

// read handles frames until the connection is closed.
func (c *clientConn) read() {
	r := bufio.NewReader(c.conn)
	for {
		if err := c.handleNextFrame(r); err != nil {
			c.closeWithError(err)
			return
		}
	}
}

// handleNextFrame reads and handles one frame.
func (c *clientConn) handleNextFrame(r *bufio.Reader) error {
	k, raw, err := readFrame(r, maxFrameBytes)
	if err != nil {
		return err
	}
	now := time.Now()
	c.lastFrameAt.Store(&now)
	c.silentSince.Store(nil)
	switch k {
	case kindBatchReplies:
		f, err := decode[batchReplies](raw)
		if err != nil {
			return err
		}
		c.handleBatchReplies(f)
		return nil
	case kindHeartbeat:
		return nil
	case kindFeedStatus:
		n, err := decode[feedStatus](raw)
		if err == nil && c.onFeedStatus != nil {
			c.onFeedStatus(c, n)
		}
		return err
	case kindUpdate:
		if c.onUpdate == nil {
			return nil
		}
		return c.onUpdate(c, raw)
	}
	return c.handleQueryFrame(k, raw)
}

// handleBatchReplies delivers the replies of a frame. They are delivered together because their
// merged records cannot be separated.
func (c *clientConn) handleBatchReplies(f batchReplies) {
	c.mu.Lock()
	p := c.batches[f.Number]
	if p == nil {
		c.mu.Unlock()
		return
	}
	if !p.acknowledged {
		p.acknowledged = true
		rtt := time.Since(p.sentAt) - time.Duration(f.ElapsedUs)*time.Microsecond
		c.batchRTT += time.Duration(batchRTTWeight * float64(rtt-c.batchRTT))
	}
	replies := p.decodeReplies(f, c.codec)
	if p.remaining == 0 {
		p.timer.Stop()
		delete(c.batches, f.Number)
	}
	c.mu.Unlock()
	if len(replies) > 0 {
		p.deliver(replies)
	}
}

// decodeReplies decodes a frame. The first success gets the merged records.
func (p *pendingBatch) decodeReplies(f batchReplies, codec Codec) []gateway.BatchReply {
	replies := make([]gateway.BatchReply, 0, len(f.Parts))
	body := f.Body
	for _, part := range f.Parts {
		if int(part.Leaf) >= len(p.open) || !p.open[part.Leaf] || !replica.Outcome(part.Outcome).Valid() {
			continue
		}
		p.open[part.Leaf] = false
		p.remaining--
		r := gateway.BatchReply{
			Call: int(part.Leaf), Took: time.Duration(part.TookUs) * time.Microsecond,
			Reply: gateway.LeafReply{Outcome: replica.Outcome(part.Outcome), Status: int(part.Status)},
		}
		r.Reply.Load, r.Reply.LoadErr = decodeLoad(part.Load)
		if r.Reply.Outcome == replica.Answered {
			r.Reply.Content = codec.JoinReply(part.Proof, body)
			body = nil
		}
		replies = append(replies, r)
	}
	return replies
}

// closeWithError closes the connection and fails the open batches and queries.
func (c *clientConn) closeWithError(err error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	batches, queries := c.batches, c.queries
	c.batches, c.queries = nil, nil
	c.mu.Unlock()
	_ = c.conn.Close() // The connection is not used any more.
	for _, p := range batches {
		p.failOpenCalls()
	}
	for _, q := range queries {
		q.events <- queryEvent{kind: queryLost}
	}
	c.onClosed(c, err)
}

// state reports whether the connection is usable, how many batches and queries are open on it, and
// the average round-trip time of batches.
func (c *clientConn) state() (usable bool, open int, batchRTT time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed, len(c.batches) + len(c.queries), c.batchRTT
}
