// Package backlog accounts for the bytes of answers that callers have not read yet, and decides
// which requests are refused while there are too many of them.
//
// Answers wait in this process and in the send buffers of the kernel, which take up to 4 MB per
// connection. Without a bound, a few dozen callers that do not read cost more memory than all
// other work of an instance. Answers are never dropped for it: new requests are refused before
// they run, and callers that read nothing are disconnected.
package backlog

import (
	"net"
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/sock"
)

const (
	// StallTimeout is how long a caller may read nothing of an answer before it is disconnected
	// while the backlog is at half of its limit or above. Below, nobody needs the memory, and an
	// answer that waits for a link that is cut for some seconds is still delivered.
	StallTimeout = 3 * time.Second
	// maxStall is how long a caller may read nothing in any case: twice the longest time for which
	// callers wait.
	maxStall = 30 * time.Second
	// maxSweepGap is the maximum time between two sweeps that counts towards StallTimeout. The gap
	// is longer if this process was paused, and what callers read meanwhile is unknown.
	maxSweepGap = 500 * time.Millisecond
	// minSampleInterval is the minimum interval at which the connections are measured when a
	// request arrives above the first limit. Measuring one takes about 1 microsecond.
	minSampleInterval = 50 * time.Millisecond
)

// Requests that are not of the most urgent rank are refused from softLimitNumerator /
// softLimitDenominator of the limit on, so that the rest is left to the most urgent ones.
const (
	softLimitNumerator   = 3
	softLimitDenominator = 4
)

// Backlog is the sum of the bytes that callers have not read. It is safe for concurrent use.
type Backlog struct {
	mu sync.Mutex
	// limit is the maximum number of bytes, held their number as last measured.
	limit, held int64
	// conns are the connections with unread bytes.
	conns      map[*Conn]struct{}
	sampledAt  time.Time
	sweptAt    time.Time
	stallCount int64
}

// New returns an empty backlog with a limit in bytes.
func New(limit int64) *Backlog {
	return &Backlog{limit: limit, conns: make(map[*Conn]struct{})}
}

// SetLimit replaces the limit in bytes.
func (b *Backlog) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Bytes returns the number of bytes that callers have not read, as last measured.
func (b *Backlog) Bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Measured returns the number of bytes that callers have not read, and how long ago the connections
// were measured.
func (b *Backlog) Measured(now time.Time) (unread int64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, now.Sub(b.sampledAt)
}

// StalledCallers returns the number of callers that were disconnected because they read nothing.
func (b *Backlog) StalledCallers() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stallCount
}

// Admits reports whether a request of a rank (0 is the most urgent) may run.
func (b *Backlog) Admits(rank int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.belowLimit(rank) {
		return true
	}
	if now.Sub(b.sampledAt) >= minSampleInterval {
		b.sampleAll(now)
	}
	return b.belowLimit(rank)
}

// belowLimit reports whether the backlog is below the limit for requests of a rank. mu must be
// held.
func (b *Backlog) belowLimit(rank int) bool {
	limit := b.limit
	if rank > 0 {
		limit = limit * softLimitNumerator / softLimitDenominator
	}
	return b.held < limit
}

// sampleAll measures all connections with unread bytes. mu must be held.
func (b *Backlog) sampleAll(now time.Time) {
	b.sampledAt = now
	for c := range b.conns {
		b.sample(c)
	}
}

// sample measures what the caller of a connection has read. mu must be held.
func (b *Backlog) sample(c *Conn) {
	before := c.unread()
	read, ok := c.progress()
	if ok && read <= 0 && c.withoutProgress() {
		c.uncounted = true
	}
	if !ok || c.uncounted {
		read = c.submitted // The connection is lost and the kernel has released its buffer, or it is not counted.
	}
	c.read = min(max(read, c.read), c.submitted)
	b.held += c.unread() - before
	if c.unread() != before {
		c.stalled = 0
	}
}

// Stall describes a caller that was disconnected because it read nothing.
type Stall struct {
	Caller net.Addr
	// Unread is the number of bytes that it had not read, For how long it had read nothing.
	Unread int64
	For    time.Duration
}

// Sweep measures all connections, disconnects the callers that have read nothing for too long, and
// closes connections whose close waited for their last bytes. It must be called several times
// per second.
func (b *Backlog) Sweep(now time.Time) []Stall {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := min(now.Sub(b.sweptAt), maxSweepGap)
	b.sweptAt = now
	var stalls []Stall
	for c := range b.conns {
		if c.swept {
			c.stalled += elapsed
		}
		c.swept = true
		b.sample(c)
		switch {
		case c.unread() == 0:
			delete(b.conns, c)
			if c.closing.Load() {
				_ = c.closeSocket() // All bytes were read.
			}
		case c.stalled >= b.stallTimeout():
			stalls = append(stalls, Stall{Caller: c.RemoteAddr(), Unread: c.unread(), For: c.stalled})
			b.stallCount++
			b.remove(c)
			c.abort()
		}
	}
	b.sampledAt = now
	return stalls
}

// stallTimeout returns how long a caller may read nothing now. mu must be held.
func (b *Backlog) stallTimeout() time.Duration {
	if b.held < b.limit/2 {
		return maxStall
	}
	return StallTimeout
}

// Close closes the sockets whose close waited for the caller. The kernel goes on sending what the
// caller has not read.
func (b *Backlog) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		if c.closing.Load() {
			b.remove(c)
			_ = c.closeSocket() // Nothing was read or written after the first Close.
		}
	}
}

// remove forgets the unread bytes of a connection. mu must be held.
func (b *Backlog) remove(c *Conn) {
	b.held -= c.unread()
	c.read = c.submitted
	delete(b.conns, c)
}

// submit counts bytes that are about to be written to a connection.
func (b *Backlog) submit(c *Conn, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.uncounted {
		return
	}
	if c.unread() == 0 {
		c.stalled, c.swept = 0, false
	}
	c.submitted += int64(n)
	b.held += int64(n)
	b.conns[c] = struct{}{}
}

// finish records the end of a write to a connection. It counts bytes that could not be written as
// never submitted.
func (b *Backlog) finish(c *Conn, written, failed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.written += int64(written)
	if failed == 0 || c.uncounted {
		return
	}
	before := c.unread()
	c.submitted -= int64(failed)
	c.read = min(c.read, c.submitted)
	b.held += c.unread() - before
}

// Wrap returns a connection to a caller whose unread bytes are counted. onClosed is called once,
// when the connection's socket is closed. It must not call b.
func (b *Backlog) Wrap(conn net.Conn, onClosed func()) *Conn {
	c := &Conn{Conn: conn, backlog: b, onClosed: onClosed}
	base, ok := sock.Acknowledged(conn)
	c.uncounted = !ok // No TCP connection, no such query in this system, or lost already.
	c.progress = func() (int64, bool) {
		acked, ok := sock.Acknowledged(conn)
		return int64(acked - base), ok
	}
	c.queued = func() (int, bool) { return sock.SendQueue(conn) }
	return c
}
