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

// clientConn is a connection to one peer.
type clientConn struct {
	peer  membership.Member
	conn  net.Conn
	codec Codec
	// silent is told when the peer does not answer in time, ended when the
	// connection has ended.
	silent func(*clientConn)
	ended  func(*clientConn, error)
	// news and page are told what the peer knows of the store; nil: nobody listens.
	news func(*clientConn, news)
	page func(*clientConn, []byte) error
	// listening: the peer was asked for that. The agent's lock guards it.
	listening  bool
	listenedAt time.Time

	mu      sync.Mutex
	w       *bufio.Writer
	texts   refWriter
	number  uint64
	pending map[uint64]*pending
	asked   map[uint64]*asked
	closed  bool
	// takenBack are queries that the peer did not take in time, by number, with the IDs of
	// their requests. late is told of one that it takes all the same.
	takenBack map[uint64]string
	late      func(c *clientConn, request string)
	// heard is when the last frame came. A pointer to a time keeps its steady clock, which no
	// change of the time of day moves.
	heard atomic.Pointer[time.Time]
	// hop is how long queries are on their way.
	hop hop
	// way is the smoothed time that a batch takes beyond what the peer accounts for.
	way time.Duration
}

// pending is a batch whose replies are waited for.
type pending struct {
	take  func([]gateway.BatchReply)
	open  []bool
	left  int
	sent  time.Time
	timer *time.Timer
	heard bool
}

const (
	// dialTimeout bounds a new connection to a peer.
	dialTimeout = 300 * time.Millisecond
	// silence is how long after the time of a batch's first replies a peer may be
	// silent: a round trip and a late timer on a small processor.
	silence = 60 * time.Millisecond
	// lostAfter is how long after the deadline of a batch its replies are given up:
	// the peer's own wait for a leaf that is late, and the way back.
	lostAfter = 500 * time.Millisecond
	// wayWeight is the weight of one batch in the smoothed way.
	wayWeight = 0.2
)

// dial connects to a peer and says who calls.
func dial(peer membership.Member, self membership.Member, codec Codec) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", peer.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &clientConn{
		peer: peer, conn: conn, codec: codec, w: bufio.NewWriter(conn),
		texts: refWriter{numbers: make(map[string]uint16)}, pending: make(map[uint64]*pending), asked: make(map[uint64]*asked),
		takenBack: make(map[uint64]string),
	}
	if err := c.writeLocked(kindHello, hello{Version: version, Name: self.Name, Zone: self.Zone}); err != nil {
		_ = conn.Close() // The write's error says more.
		return nil, err
	}
	return c, nil
}

// send puts a batch on the connection. It reports whether it was taken: if not, nothing
// was sent.
func (c *clientConn) send(b gateway.Batch, take func([]gateway.BatchReply)) (cancel func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	c.number++
	number := c.number
	now := time.Now()
	p := &pending{take: take, open: make([]bool, len(b.Calls)), left: len(b.Calls), sent: now}
	for i := range p.open {
		p.open[i] = true
	}
	p.timer = time.AfterFunc(b.FlushAfter+silence, func() { c.overdue(number, b.Deadline) })
	c.pending[number] = p
	if err := c.writeLocked(kindBatch, c.frame(number, b, now)); err != nil {
		// A part of the frame may have left: whether it ran is not known.
		go c.end(err)
	}
	return func() { c.cancel(number) }, true
}

// frame encodes a batch.
func (c *clientConn) frame(number uint64, b gateway.Batch, now time.Time) batch {
	f := batch{
		Number: number, Request: c.texts.encode(b.Request.ID, c.codec.Request(b.Request.Content)),
		LeftMs:  uint32(max(b.Deadline.Sub(now).Milliseconds(), 1)),
		FlushUs: uint32(b.FlushAfter.Microseconds()), StepUs: uint32(b.FlushInterval.Microseconds()), TopK: uint32(b.Route.TopK),
	}
	for _, call := range b.Calls {
		f.Leafs = append(f.Leafs, c.texts.ref(leafText(call.Leaf)))
	}
	return f
}

// writeLocked writes one frame; mu is held, or nobody else knows c yet.
func (c *clientConn) writeLocked(k kind, v any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeFrame(c.w, k, v)
}

// cancel tells the peer that nobody waits for a batch any more.
func (c *clientConn) cancel(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.pending[number] == nil {
		return
	}
	if err := c.writeLocked(kindCancel, numbered{Number: number}); err != nil {
		go c.end(err)
	}
}

// overdue is called when the first replies of a batch are late. The peer is avoided;
// the batch is given up only after its deadline, as a leaf's reply would be.
func (c *clientConn) overdue(number uint64, deadline time.Time) {
	c.mu.Lock()
	p := c.pending[number]
	if p == nil {
		c.mu.Unlock()
		return
	}
	heard := p.heard
	p.timer = time.AfterFunc(time.Until(deadline)+lostAfter, func() { c.lose(number) })
	c.mu.Unlock()
	if !heard {
		c.silent(c)
	}
}

// lose gives up what is open of a batch.
func (c *clientConn) lose(number uint64) {
	c.mu.Lock()
	p := c.pending[number]
	delete(c.pending, number)
	c.mu.Unlock()
	if p != nil {
		p.lose()
	}
}

// lose ends the open calls of a batch: they may have run.
func (p *pending) lose() {
	p.timer.Stop()
	var lost []gateway.BatchReply
	for i, open := range p.open {
		if open {
			lost = append(lost, gateway.BatchReply{Call: i, Reply: gateway.LeafReply{Outcome: replica.PeerLost, Err: errPeerLost}})
		}
	}
	if len(lost) > 0 {
		p.take(lost)
	}
}

// read takes over replies until the connection ends.
func (c *clientConn) read() {
	r := bufio.NewReader(c.conn)
	for {
		if err := c.frameRead(r); err != nil {
			c.end(err)
			return
		}
	}
}

// frameRead takes over one frame.
func (c *clientConn) frameRead(r *bufio.Reader) error {
	k, raw, err := readFrame(r)
	if err != nil {
		return err
	}
	now := time.Now()
	c.heard.Store(&now)
	switch k {
	case kindFlush:
		f, err := decode[flush](raw)
		if err != nil {
			return err
		}
		c.taken(f)
		return nil
	case kindBeat:
		return nil
	case kindNews:
		n, err := decode[news](raw)
		if err == nil && c.news != nil {
			c.news(c, n)
		}
		return err
	case kindPage:
		if c.page == nil {
			return nil
		}
		return c.page(c, raw)
	}
	return c.queryFrame(k, raw)
}

// taken hands the replies of a frame on. Those of one frame go together: their records
// cannot be told apart any more.
func (c *clientConn) taken(f flush) {
	c.mu.Lock()
	p := c.pending[f.Number]
	if p == nil {
		c.mu.Unlock()
		return
	}
	if !p.heard {
		p.heard = true
		way := time.Since(p.sent) - time.Duration(f.HeldUs)*time.Microsecond
		c.way += time.Duration(wayWeight * float64(way-c.way))
	}
	replies := p.replies(f, c.codec)
	if p.left == 0 {
		p.timer.Stop()
		delete(c.pending, f.Number)
	}
	c.mu.Unlock()
	if len(replies) > 0 {
		p.take(replies)
	}
}

// replies decodes a frame. The merged records go with the first success.
func (p *pending) replies(f flush, codec Codec) []gateway.BatchReply {
	out := make([]gateway.BatchReply, 0, len(f.Parts))
	body := f.Body
	for _, part := range f.Parts {
		if int(part.Leaf) >= len(p.open) || !p.open[part.Leaf] || !replica.Outcome(part.Outcome).Valid() {
			continue
		}
		p.open[part.Leaf] = false
		p.left--
		r := gateway.BatchReply{
			Call: int(part.Leaf), Took: time.Duration(part.TookUs) * time.Microsecond,
			Reply: gateway.LeafReply{Outcome: replica.Outcome(part.Outcome), Status: int(part.Status)},
		}
		r.Reply.Load, r.Reply.LoadErr = loadOf(part.Load)
		if r.Reply.Outcome == replica.Answered {
			r.Reply.Content = codec.JoinReply(part.Proof, body)
			body = nil
		}
		out = append(out, r)
	}
	return out
}

// end closes the connection and gives up all that is open on it.
func (c *clientConn) end(err error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	all, asked := c.pending, c.asked
	c.pending, c.asked = nil, nil
	c.mu.Unlock()
	_ = c.conn.Close() // It is of no more use.
	for _, p := range all {
		p.lose()
	}
	for _, q := range asked {
		q.events <- queryEvent{kind: queryLost}
	}
	c.ended(c, err)
}

// forgetWay lets the peer be tried again.
func (c *clientConn) forgetWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.way = 0
}

// state is whether the connection is in use, how many batches and queries are open on it, and how
// long the way is.
func (c *clientConn) state() (usable bool, open int, way time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed, len(c.pending) + len(c.asked), c.way
}
