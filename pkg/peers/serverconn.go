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

// serverConn is the server side of a connection from one peer.
type serverConn struct {
	s     *Server
	conn  net.Conn
	peer  hello
	texts textDecoder
	// lastNumber is the number of the last query or single request. Only the reader uses it.
	lastNumber uint64
	// ctx ends with the connection, so that leaf calls for a peer that is gone are cancelled.
	ctx context.Context

	writeMu sync.Mutex
	w       *bufio.Writer

	// stopPublishing ends the feed to the peer; nil if there is none. mu guards it.
	stopPublishing context.CancelFunc
	helloOnce      sync.Once
	// heartbeatScheduled is true while a timer for the next heartbeat runs.
	heartbeatScheduled atomic.Bool

	mu sync.Mutex
	// cancels cancel the open batches and queries, by number.
	cancels map[uint64]context.CancelFunc
	// handoffs are the queries that wait for a grant or are running, by number.
	handoffs map[uint64]*handoff
}

// helloDone removes the connection from those that await a hello frame. Only the first call has an
// effect.
func (c *serverConn) helloDone() {
	c.helloOnce.Do(func() {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		c.s.awaitingHello--
	})
}

// serve handles a connection until it is closed.
func (s *Server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		_ = conn.Close() // The connection is not used any more.
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	c := &serverConn{
		s: s, conn: conn, ctx: ctx, w: bufio.NewWriter(conn),
		texts: textDecoder{texts: make(map[uint16]string)}, cancels: make(map[uint64]context.CancelFunc),
		handoffs: make(map[uint64]*handoff),
	}
	err := c.read(bufio.NewReader(conn))
	c.helloDone()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.log.Decision("peer_connection_ended", oplog.Fields{"peer": c.peer.Name, "error": err.Error()})
	}
}

// read handles the frames of a connection.
func (c *serverConn) read(r *bufio.Reader) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	k, raw, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return err
	}
	if c.peer, err = decode[hello](raw); err != nil || k != kindHello {
		return errors.Join(errFrameKind, err)
	}
	if c.peer.Version != protocolVersion {
		return errProtocolVersion
	}
	c.helloDone()
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	// Work starts only after all buffered frames are read: work that was received while this
	// process was paused may be cancelled by a later frame.
	var waiting []func()
	for {
		start, err := c.handleNextFrame(r)
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

// handleNextFrame reads and handles one frame. It returns the function that runs the requested
// work, or nil if there is none.
func (c *serverConn) handleNextFrame(r *bufio.Reader) (func(), error) {
	k, raw, err := readFrame(r, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	switch k {
	case kindBatch:
		b, err := decode[batch](raw)
		if err != nil {
			return nil, err
		}
		w, err := c.newBatchRun(b)
		if err != nil {
			return nil, err
		}
		return w.run, nil
	case kindQuery, kindSingle:
		q, err := decode[query](raw)
		if err != nil {
			return nil, err
		}
		return c.prepareQuery(servedKindOf(k), q)
	case kindSubscribe:
		l, err := decode[subscribeRequest](raw)
		if err == nil {
			c.handleSubscribe(l)
		}
		return nil, err
	case kindGrant:
		n, err := decode[numbered](raw)
		c.handleGrant(n.Number)
		return nil, err
	case kindCancel:
		n, err := decode[numbered](raw)
		c.cancel(n.Number)
		return nil, err
	}
	return nil, errFrameKind
}

// register registers a batch or query, and returns its context and the function that cancels it.
func (c *serverConn) register(number uint64) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[number] = cancel
	return ctx, cancel
}

// unregister removes a batch or query that has ended.
func (c *serverConn) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, number)
	delete(c.handoffs, number)
}

// cancel cancels a batch or query whose reply is no longer needed.
func (c *serverConn) cancel(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[number]; cancel != nil {
		cancel()
	}
}

// writeTimeout is the timeout for writing a frame to a peer.
const writeTimeout = 200 * time.Millisecond

// write sends one frame. The connection is closed if the peer does not receive it in time.
func (c *serverConn) write(k frameKind, f any) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = writeFrame(c.w, k, f)
	}
	if err != nil {
		_ = c.conn.Close() // The reader then cancels the open work.
	}
	return err
}
