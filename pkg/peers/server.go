package peers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Codec translates between the messages of one installation and what peers exchange.
type Codec interface {
	// Request is what a caller's message asks of leafs, and Content its inverse.
	Request(content gateway.Content) Request
	Content(r Request) gateway.Content
	// Key names what a caller's message asks.
	Key(content gateway.Content) quarantine.Key
	// Part takes a leaf's success apart, and Reply puts one together.
	Part(reply gateway.LeafReply) (proof string, body []byte)
	Reply(proof string, body []byte) gateway.Content
	// Merge joins the bodies of several parts into one that gives the same answer.
	Merge(bodies [][]byte, topK int) []byte
}

// Server works for peers: it sends requests to leafs for those of other zones, and runs
// queries for those of its own.
type Server struct {
	listener net.Listener
	queries  Queries
	// quarantine knows the requests that end leafs; nil: all are sent.
	quarantine *quarantine.Table
	// feeder is nil where peers are not fed.
	feeder *feeder
	table  *replica.Table
	leafs  gateway.Leafs
	codec  Codec
	pool   *ants.Pool
	log    *oplog.Log
	// Batches, Calls and Gathered count what was served; active is the work under way.
	Batches, Calls, Gathered atomic.Int64
	active                   atomic.Int64

	// connsMost bounds the connections; turned counts those that were closed for it.
	connsMost int
	turned    atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// greeting is how many connections have not said yet who calls.
	greeting int
}

// helloTimeout bounds the first frame of a connection.
const helloTimeout = 2 * time.Second

// NewServer serves on a listener; workers bounds the leaf calls in flight, connsMost the
// connections. queries may be nil where none are run for peers.
func NewServer(ln net.Listener, table *replica.Table, leafs gateway.Leafs, queries Queries, codec Codec, workers, connsMost int, log *oplog.Log) (*Server, error) {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Server{listener: ln, queries: queries, table: table, leafs: leafs, codec: codec, pool: pool, log: log, connsMost: connsMost, conns: make(map[net.Conn]struct{})}, nil
}

// Heed keeps requests that end leafs from them, also where the caller has not heard of that
// yet. It is called before Run.
func (s *Server) Heed(table *quarantine.Table) { s.quarantine = table }

// Run accepts peers until Close.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors may be used up for the moment; ending would leave this
			// zone without a peer for good.
			s.log.Decision("peer_accept_failed", oplog.Fields{"error": err.Error()})
			time.Sleep(acceptPause)
			continue
		}
		if !s.admit(conn) {
			_ = conn.Close() // As if it had not been accepted.
			continue
		}
		go s.serve(conn)
	}
}

// greetingMost is how many connections may be open that have not said who calls: those of a
// fleet's instances that connect at the same moment. They have 2 s for it.
const greetingMost = 64

// admit takes a connection unless there are too many.
//
// Whoever reaches the port can open connections and say nothing. Each holds a descriptor; one
// notices that an instance finds none for its own calls to leafs and for its callers.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.connsMost || s.greeting >= greetingMost {
		s.turned.Add(1)
		s.log.Decision("peer_connections_too_many", oplog.Fields{"open": len(s.conns), "without_greeting": s.greeting})
		return false
	}
	s.conns[conn] = struct{}{}
	s.greeting++
	return true
}

// greeted notes that a connection has said who calls, or has ended before.
func (c *serverConn) greeted() {
	c.once.Do(func() {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		c.s.greeting--
	})
}

// acceptPause is how long accepting waits after an error.
const acceptPause = 50 * time.Millisecond

// drainStep is how often Drain looks whether all batches have ended.
const drainStep = 10 * time.Millisecond

// Drain waits until no batch and no query is under way, or ctx ends. Peers that have heard that this
// instance leaves send no new ones.
func (s *Server) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainStep)
	defer ticker.Stop()
	for s.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the listener and the connections.
func (s *Server) Close() {
	_ = s.listener.Close() // Nothing is left to be done about an error.
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close() // As above.
	}
	s.pool.Release()
}

// serverConn is one peer's connection.
type serverConn struct {
	s     *Server
	conn  net.Conn
	peer  hello
	texts refReader
	// ctx ends with the connection: what is in flight for a peer that is gone is
	// ended at the leafs.
	ctx context.Context

	writeMu sync.Mutex
	w       *bufio.Writer

	// stopFeeding ends feeding the peer; nil while it is not fed. mu guards it.
	stopFeeding context.CancelFunc
	once        sync.Once
	// beating: the next word that this instance is well is due.
	beating atomic.Bool

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
	// handovers are the queries that were taken, by number.
	handovers map[uint64]*handover
}

// serve reads batches until the connection ends.
func (s *Server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		_ = conn.Close() // It is of no more use.
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	c := &serverConn{
		s: s, conn: conn, ctx: ctx, w: bufio.NewWriter(conn),
		texts: refReader{texts: make(map[uint16]string)}, cancels: make(map[uint64]context.CancelFunc),
		handovers: make(map[uint64]*handover),
	}
	err := c.read(bufio.NewReader(conn))
	c.greeted()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.log.Decision("peer_connection_ended", oplog.Fields{"peer": c.peer.Name, "error": err.Error()})
	}
}

// read handles the frames of a connection.
func (c *serverConn) read(r *bufio.Reader) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	k, raw, err := readFrame(r)
	if err != nil {
		return err
	}
	if c.peer, err = decode[hello](raw); err != nil || k != kindHello {
		return errors.Join(errKind, err)
	}
	if c.peer.Version != version {
		return errVersion
	}
	c.greeted()
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	// Work starts only when all that has come is read: what waited here while this
	// process stood still may have been cancelled since.
	var waiting []func()
	for {
		start, err := c.frame(r)
		if err != nil {
			return err
		}
		if start != nil {
			waiting = append(waiting, start)
		}
		if r.Buffered() > 0 {
			continue
		}
		for _, run := range waiting {
			go run()
		}
		waiting = nil
	}
}

// frame takes over one frame and returns the work that it asks for, nil for none.
func (c *serverConn) frame(r *bufio.Reader) (func(), error) {
	k, raw, err := readFrame(r)
	if err != nil {
		return nil, err
	}
	switch k {
	case kindBatch:
		b, err := decode[batch](raw)
		if err != nil {
			return nil, err
		}
		w, err := c.work(b)
		if err != nil {
			return nil, err
		}
		return w.run, nil
	case kindQuery:
		q, err := decode[query](raw)
		if err != nil {
			return nil, err
		}
		return c.query(q)
	case kindListen:
		l, err := decode[listen](raw)
		if err == nil {
			c.listen(l)
		}
		return nil, err
	case kindGrant:
		n, err := decode[numbered](raw)
		c.grant(n.Number)
		return nil, err
	case kindCancel:
		n, err := decode[numbered](raw)
		c.cancel(n.Number)
		return nil, err
	}
	return nil, errKind
}

// begin notes a batch or query under way; end ends it.
func (c *serverConn) begin(number uint64) (ctx context.Context, end context.CancelFunc) {
	ctx, end = context.WithCancel(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[number] = end
	return ctx, end
}

// forget is called when a batch or query has ended.
func (c *serverConn) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, number)
	delete(c.handovers, number)
}

// cancel ends a batch or query whose caller has left.
func (c *serverConn) cancel(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := c.cancels[number]; end != nil {
		end()
	}
}

// writeTimeout bounds a write to a peer that does not read.
const writeTimeout = 200 * time.Millisecond

// write sends one frame; a peer that does not take it loses its connection.
func (c *serverConn) write(k kind, f any) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = writeFrame(c.w, k, f)
	}
	if err != nil {
		_ = c.conn.Close() // Its reader ends the batches.
	}
	return err
}
