// Package leafconn manages the HTTP/1.1 connections to leafs. A stock HTTP client does not report
// what a query tier must know: whether a failed request was sent at all, and whether a connection
// carries bytes that belong to no request. Requests are written and replies parsed by the codec
// of net/http. Which leaf is called, and how often, is decided elsewhere.
package leafconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// Options are the settings of a Pool.
type Options struct {
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed, unless the leaf
	// announced a shorter one.
	IdleTimeout time.Duration
	// MaxReplyBytes is the maximum size of a reply's body in bytes, and MaxHeaderBytes that of its
	// status line and header, including interim responses.
	MaxReplyBytes, MaxHeaderBytes int64
	// MaxRepliesBytes is the maximum number of bytes of large replies that are being read at the
	// same time. One leaf may use a quarter of it.
	MaxRepliesBytes int64
	// Log receives an event for each malformed Keep-Alive header in a reply.
	Log *oplog.Log
}

// idleMargin is subtracted from the idle timeout that a leaf announces, so that a request is not
// sent while the leaf closes the connection. It covers a round trip between zones and a late
// timer.
const idleMargin = 500 * time.Millisecond

// readBufferSize is the read buffer of a connection in bytes. Usual replies are 0.1 to 3 KB;
// replies that exceed the buffer are read in several pieces.
const readBufferSize = 2048

// Stats holds the counters of a Pool.
type Stats struct {
	// Dials counts attempts to open a connection, DialErrors those that failed, and Reuses the
	// requests sent on a kept connection.
	Dials      atomic.Int64
	DialErrors atomic.Int64
	Reuses     atomic.Int64
	// StrayDrops counts connections closed because they carried bytes or replies that belong
	// to no request, or because the leaf had closed them.
	StrayDrops atomic.Int64
	// OpenConns is the number of open connections.
	OpenConns atomic.Int64
	// ReplyBytesHeld is the number of bytes received of the replies that are being read.
	// MaxHeaderBytes and MaxBodyBytes are the largest numbers of bytes received of one reply while
	// its header or its body was being read.
	ReplyBytesHeld, MaxHeaderBytes, MaxBodyBytes atomic.Int64
	// HeadersTooLarge counts replies that were rejected for the size of their header,
	// BodiesTooLarge those for the size of their body, and RepliesWithoutMemory those for
	// Options.MaxRepliesBytes.
	HeadersTooLarge, BodiesTooLarge, RepliesWithoutMemory atomic.Int64
}

// Pool holds the connections to all leafs by leaf ID, so that a restarted leaf at the same
// address never gets a connection of its previous incarnation.
type Pool struct {
	opts   Options
	dialer net.Dialer
	memory *replyMemory
	Stats  Stats

	mu sync.Mutex
	// idle holds the connections without a request, by leaf ID, in the order in which they were
	// returned.
	idle map[string][]*conn
	// busy holds the connections with a request in flight, by leaf ID.
	busy map[string]map[*conn]struct{}
}

// conn is one connection to a leaf.
type conn struct {
	net.Conn
	leaf string
	in   *replyReader
	// br buffers in.
	br *bufio.Reader
	// idleUntil is when the connection is closed unless it is used before.
	idleUntil time.Time
	// hasReplied reports that the header of a reply was received on the connection.
	hasReplied bool
	// keepAlive is the idle timeout that the leaf announced; zero: none.
	keepAlive time.Duration
}

// New returns an empty pool.
func New(opts Options) *Pool {
	return &Pool{
		opts:   opts,
		memory: newReplyMemory(opts.MaxRepliesBytes),
		// Every call sets a read deadline, so no TCP keep-alive probes are needed to
		// detect a dead leaf.
		dialer: net.Dialer{Timeout: opts.DialTimeout, KeepAlive: -1},
		idle:   make(map[string][]*conn),
		busy:   make(map[string]map[*conn]struct{}),
	}
}

// get returns a connection for a call: an idle one that is still usable, or a new one.
func (p *Pool) get(ctx context.Context, call Call, now time.Time) (*conn, error) {
	for {
		c := p.popIdle(call.Leaf)
		if c == nil {
			return p.dial(ctx, call.Leaf, call.Addr)
		}
		if call.NewConn {
			// The new connection replaces this one, so that their number does not grow.
			p.close(c)
			return p.dial(ctx, call.Leaf, call.Addr)
		}
		if now.After(c.idleUntil) {
			p.close(c)
			continue
		}
		if !isIdle(c) {
			p.Stats.StrayDrops.Add(1)
			p.close(c)
			continue
		}
		p.Stats.Reuses.Add(1)
		return c, nil
	}
}

// popIdle returns the most recently used idle connection, so that surplus ones expire.
func (p *Pool) popIdle(leaf string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[leaf]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[leaf] = list[:len(list)-1]
	p.markBusy(c)
	return c
}

// markBusy records that a request is in flight on c. p.mu must be held.
func (p *Pool) markBusy(c *conn) {
	if p.busy[c.leaf] == nil {
		p.busy[c.leaf] = make(map[*conn]struct{})
	}
	p.busy[c.leaf][c] = struct{}{}
}

// unmarkBusy records that no request is in flight on c any more. p.mu must be held.
func (p *Pool) unmarkBusy(c *conn) {
	delete(p.busy[c.leaf], c)
	if len(p.busy[c.leaf]) == 0 {
		delete(p.busy, c.leaf)
	}
}

func (p *Pool) dial(ctx context.Context, leaf, addr string) (*conn, error) {
	p.Stats.Dials.Add(1)
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.Stats.DialErrors.Add(1)
		return nil, err
	}
	p.Stats.OpenConns.Add(1)
	c := p.newConn(leaf, raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markBusy(c)
	return c, nil
}

// newConn returns a connection to a leaf whose replies are read within the limits.
func (p *Pool) newConn(leaf string, raw net.Conn) *conn {
	in := &replyReader{Conn: raw, leaf: leaf, stats: &p.Stats, memory: p.memory, maxHeaderBytes: p.opts.MaxHeaderBytes}
	return &conn{Conn: raw, leaf: leaf, in: in, br: bufio.NewReaderSize(in, readBufferSize)}
}

// put returns a connection to the pool after its reply was read completely.
func (p *Pool) put(c *conn, now time.Time) {
	keep := p.opts.IdleTimeout
	if c.keepAlive > 0 {
		keep = min(keep, c.keepAlive-idleMargin)
	}
	if keep <= 0 {
		p.close(c)
		return
	}
	c.idleUntil = now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unmarkBusy(c)
	p.idle[c.leaf] = append(p.idle[c.leaf], c)
}

// close closes a connection, which makes the leaf drop the request in flight on it.
func (p *Pool) close(c *conn) {
	p.mu.Lock()
	p.unmarkBusy(c)
	p.mu.Unlock()
	p.Stats.OpenConns.Add(-1)
	_ = c.Close() // No writes are buffered, so the error can be ignored.
}

// CloseIdle closes the idle connections to a leaf.
func (p *Pool) CloseIdle(leaf string) {
	p.mu.Lock()
	list := p.idle[leaf]
	delete(p.idle, leaf)
	p.mu.Unlock()
	for _, c := range list {
		p.close(c)
	}
}

// CloseAll closes all connections to a leaf, including those with a request in flight.
//
// A leaf that crashed while cut off from the network and then restarted never answers the
// requests that were in flight, and its old connections stay silent without an error. Callers
// would wait until their deadline for a leaf that has been available again for a long time.
func (p *Pool) CloseAll(leaf string) {
	p.CloseIdle(leaf)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.busy[leaf] {
		// The goroutine of the request then gets an error and calls p.close, which counts it.
		_ = c.Conn.Close()
	}
}

// Sweep closes the connections whose idle timeout has expired. Without it, idle connections to
// leafs that no longer get requests would keep counting towards the leafs' connection limits.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for leaf, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, leaf)
			continue
		}
		p.idle[leaf] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		p.close(c)
	}
}
