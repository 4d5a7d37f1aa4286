package peers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Codec translates between the messages of one installation and what peers exchange.
type Codec interface {
	// Request is what a caller's message asks of leafs, and Content its inverse.
	Request(content gateway.Content) Request
	Content(r Request) gateway.Content
	// Part takes a leaf's success apart, and Reply puts one together.
	Part(reply gateway.LeafReply) (proof string, body []byte)
	Reply(proof string, body []byte) gateway.Content
	// Merge joins the bodies of several parts into one that gives the same answer.
	Merge(bodies [][]byte, topK int) []byte
}

// Server sends requests to leafs for peers of other zones.
type Server struct {
	listener net.Listener
	table    *replica.Table
	leafs    gateway.Leafs
	codec    Codec
	pool     *ants.Pool
	log      *oplog.Log
	// Batches and Calls count what was served; active are the batches under way.
	Batches, Calls atomic.Int64
	active         atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// helloTimeout bounds the first frame of a connection.
const helloTimeout = 2 * time.Second

// NewServer serves on a listener; workers bounds the leaf calls in flight.
func NewServer(ln net.Listener, table *replica.Table, leafs gateway.Leafs, codec Codec, workers int, log *oplog.Log) (*Server, error) {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Server{listener: ln, table: table, leafs: leafs, codec: codec, pool: pool, log: log, conns: make(map[net.Conn]struct{})}, nil
}

// Run accepts peers until Close.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors may be used up for the moment; ending would leave this
			// zone without a relay for good.
			s.log.Decision("peer_accept_failed", oplog.Fields{"error": err.Error()})
			time.Sleep(acceptPause)
			continue
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// acceptPause is how long accepting waits after an error.
const acceptPause = 50 * time.Millisecond

// drainStep is how often Drain looks whether all batches have ended.
const drainStep = 10 * time.Millisecond

// Drain waits until no batch is under way, or ctx ends. Peers that have heard that this
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

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
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
	}
	err := c.read(bufio.NewReader(conn))
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.log.Decision("peer_connection_ended", oplog.Fields{"peer": c.peer.Name, "error": err.Error()})
	}
}

// read handles the frames of a connection.
func (c *serverConn) read(r *bufio.Reader) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	if err := readFrame(r, &c.peer); err != nil {
		return err
	}
	if c.peer.Version != version {
		return errVersion
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	for {
		var b batch
		if err := readFrame(r, &b); err != nil {
			return err
		}
		if len(b.Leafs) == 0 {
			c.cancel(b.Number)
			continue
		}
		w, err := c.work(b)
		if err != nil {
			return err
		}
		go w.run()
	}
}

// cancel ends a batch whose caller has left.
func (c *serverConn) cancel(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := c.cancels[number]; end != nil {
		end()
	}
}

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

// work decodes a batch. All texts of a frame are read, in the order in which they were
// written, so that both ends number alike.
func (c *serverConn) work(b batch) (*work, error) {
	now := time.Now()
	texts, err := c.texts.all(slices.Concat([]ref{b.Method, b.Host}, b.Header, []ref{b.IDHeader}, b.Leafs))
	if err != nil {
		return nil, err
	}
	method, host := texts[0], texts[1]
	header, rest := texts[2:2+len(b.Header)], texts[2+len(b.Header):]
	idName, leafs := rest[0], rest[1:]
	fields := fromPairs(header)
	if idName != "" {
		fields[idName] = []string{b.RequestID}
	}
	content := c.s.codec.Content(Request{Method: method, Target: b.Target, Host: host, Header: fields, Body: b.Body})
	w := &work{
		c: c, b: b, arrived: now, deadline: now.Add(time.Duration(b.LeftMs) * time.Millisecond), leafs: leafs,
		req: &gateway.Request{ID: b.RequestID, Content: content, Arrived: now}, replies: make(chan done, len(leafs)),
	}
	w.ctx, w.end = context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancels[b.Number] = w.end
	c.mu.Unlock()
	return w, nil
}

// all resolves several texts.
func (r *refReader) all(refs []ref) ([]string, error) {
	out := make([]string, 0, len(refs))
	for _, f := range refs {
		text, err := r.text(f)
		if err != nil {
			return nil, err
		}
		out = append(out, text)
	}
	return out, nil
}

// run sends the calls, and their replies back: successes together, after the time of the
// first replies and then in steps; a failure at once, since another leaf may be asked.
// At the time of the first replies something is sent even if none is in, so that the
// caller knows this instance to be well.
func (w *work) run() {
	defer w.finish()
	w.c.s.Batches.Add(1)
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

// start sends the request to one leaf.
func (w *work) start(i int) {
	w.c.s.Calls.Add(1)
	leaf := w.leaf(i)
	if leaf.Draining {
		w.replies <- done{leaf: i, reply: gateway.LeafReply{Outcome: replica.PeerRefused, Err: errDraining}}
		return
	}
	began := time.Now()
	call := gateway.LeafCall{Leaf: leaf, Request: w.req, Deadline: w.deadline}
	err := w.c.s.pool.Submit(func() {
		reply := w.c.s.leafs.Do(w.ctx, call)
		w.replies <- done{leaf: i, reply: reply, took: time.Since(began)}
	})
	if err != nil {
		w.replies <- done{leaf: i, reply: gateway.LeafReply{Outcome: replica.PeerRefused, Err: err}}
	}
}

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
			TookUs: uint32(d.took.Microseconds()),
		}
		if d.reply.Outcome == replica.Answered {
			proof, body := w.c.s.codec.Part(d.reply)
			p.Proof = proof
			bodies = append(bodies, body)
		}
		f.Parts = append(f.Parts, p)
	}
	if len(bodies) > 0 {
		f.Body = w.c.s.codec.Merge(bodies, int(w.b.TopK))
	}
	return w.c.write(f)
}

// finish forgets the batch.
func (w *work) finish() {
	w.end()
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	delete(w.c.cancels, w.b.Number)
}

// writeTimeout bounds a write to a peer that does not read.
const writeTimeout = 200 * time.Millisecond

// write sends one frame; a peer that does not take it loses its connection.
func (c *serverConn) write(f flush) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = writeFrame(c.w, f)
	}
	if err != nil {
		_ = c.conn.Close() // Its reader ends the batches.
	}
	return err
}
