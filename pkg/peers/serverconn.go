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

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

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

// greeted notes that a connection has said who calls, or has ended before.
func (c *serverConn) greeted() {
	c.once.Do(func() {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		c.s.greeting--
	})
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
