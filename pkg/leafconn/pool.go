// Package leafconn keeps the HTTP/1.1 connections to leafs. It exists because
// a stock client hides what a query tier must know: whether a failed request
// was sent at all, and whether a connection carries bytes that belong to no
// request. Requests are written and replies parsed by net/http's codec; which
// leaf is asked, and how often, is decided elsewhere.
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

// Options bound the connections.
type Options struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections that were not used, unless the leaf
	// announced a shorter time.
	IdleTimeout time.Duration
	// MaxBody bounds a reply's body in bytes.
	MaxBody int64
	// Log takes what is malformed in replies.
	Log *oplog.Log
}

// idleMargin is kept back from the idle time that a leaf announces, so that a
// request does not cross the leaf's close. It covers a round trip between
// zones and a late timer.
const idleMargin = 500 * time.Millisecond

// readBuffer holds a usual reply (0.1 to 3 KB) whole; larger ones are read in
// pieces.
const readBuffer = 2048

// Stats count what the pool did.
type Stats struct {
	// Dials counts new connections, DialErrors those that failed, Reuses
	// requests on kept connections.
	Dials      atomic.Int64
	DialErrors atomic.Int64
	Reuses     atomic.Int64
	// StrayDrops counts connections dropped for bytes or replies that belong
	// to no request, or found closed.
	StrayDrops atomic.Int64
	// OpenConns is how many connections are open.
	OpenConns atomic.Int64
}

// Pool holds the idle connections of all leafs, by leaf ID: a restarted leaf
// at the same address never gets an old incarnation's connection.
type Pool struct {
	opts   Options
	dialer net.Dialer
	Stats  Stats

	mu   sync.Mutex
	idle map[string][]*conn
	// busy are the connections with a request on them.
	busy map[string]map[*conn]struct{}
}

// conn is one connection to a leaf.
type conn struct {
	net.Conn
	leaf      string
	br        *bufio.Reader
	idleUntil time.Time
	// proven: it has carried the head of a reply.
	proven bool
	// announced is the idle time that the leaf announced; zero: none.
	announced time.Duration
}

// New returns an empty pool.
func New(opts Options) *Pool {
	return &Pool{
		opts: opts,
		// Every call sets a read deadline, so no keep-alive probes are
		// needed to notice a dead leaf.
		dialer: net.Dialer{Timeout: opts.DialTimeout, KeepAlive: -1},
		idle:   make(map[string][]*conn),
		busy:   make(map[string]map[*conn]struct{}),
	}
}

// get returns a connection to a leaf, an idle one if there is a sound one.
func (p *Pool) get(ctx context.Context, leaf, addr string, now time.Time) (*conn, error) {
	for {
		c := p.takeIdle(leaf)
		if c == nil {
			return p.dial(ctx, leaf, addr)
		}
		if now.After(c.idleUntil) {
			p.close(c)
			continue
		}
		if !quiet(c) {
			p.Stats.StrayDrops.Add(1)
			p.close(c)
			continue
		}
		p.Stats.Reuses.Add(1)
		return c, nil
	}
}

// takeIdle takes the connection used last, so that spare ones age out.
func (p *Pool) takeIdle(leaf string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[leaf]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[leaf] = list[:len(list)-1]
	p.use(c)
	return c
}

// use notes that a request is on c; mu is held.
func (p *Pool) use(c *conn) {
	if p.busy[c.leaf] == nil {
		p.busy[c.leaf] = make(map[*conn]struct{})
	}
	p.busy[c.leaf][c] = struct{}{}
}

// unuse notes that no request is on c any more; mu is held.
func (p *Pool) unuse(c *conn) {
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
	c := &conn{Conn: raw, leaf: leaf, br: bufio.NewReaderSize(raw, readBuffer)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.use(c)
	return c, nil
}

// put keeps a connection whose reply was read whole.
func (p *Pool) put(c *conn, now time.Time) {
	keep := p.opts.IdleTimeout
	if c.announced > 0 {
		keep = min(keep, c.announced-idleMargin)
	}
	if keep <= 0 {
		p.close(c)
		return
	}
	c.idleUntil = now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unuse(c)
	p.idle[c.leaf] = append(p.idle[c.leaf], c)
}

// close ends a connection; a leaf drops the work of a closed one.
func (p *Pool) close(c *conn) {
	p.mu.Lock()
	p.unuse(c)
	p.mu.Unlock()
	p.Stats.OpenConns.Add(-1)
	_ = c.Close() // Nothing is buffered for writing; an error changes nothing.
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

// CloseAll ends all connections to a leaf, also those with a request on them.
//
// A leaf that crashed behind a cut and started again never answers what was in flight,
// and its old connections stay silent without an error; one notices callers that wait
// to their deadline for a leaf that has long been back.
func (p *Pool) CloseAll(leaf string) {
	p.CloseIdle(leaf)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.busy[leaf] {
		// The request's own goroutine sees the end, and counts it.
		_ = c.Conn.Close()
	}
}

// Sweep closes the connections whose idle time is over. Without it, leafs that
// get no requests any more would keep a part of their limit taken.
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
