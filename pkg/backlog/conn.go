package backlog

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection to a caller. Closing it keeps the socket open until the caller has read
// what was written, or reads nothing for StallTimeout: what an instance holds for a caller that
// asked to close the connection counts as well.
type Conn struct {
	net.Conn
	backlog *Backlog
	// onClosed is called when the socket is closed.
	onClosed func()
	// progress returns how many bytes the caller's kernel has acknowledged, and false if the
	// connection is lost. Bytes that wait in the caller's kernel cost this instance nothing and
	// count as read.
	progress func() (int64, bool)
	// queued returns the number of bytes in the socket's send queue, which includes those that were
	// sent and not acknowledged, and false if it is not known.
	queued func() (int, bool)

	// closing is set by the first Close, socketClosed when the socket is closed.
	closing, socketClosed atomic.Bool

	// The fields below are guarded by backlog.mu. submitted is the number of bytes passed to
	// Write, written how many of them the socket has accepted in writes that have returned, and read
	// how many the caller has read. stalled is how long the caller has read nothing while there
	// were unread bytes, and swept reports whether a sweep has seen these.
	submitted, written, read int64
	stalled                  time.Duration
	swept                    bool
	// uncounted reports that the system does not tell what the caller has read. Such a connection
	// has no unread bytes.
	uncounted bool
}

// unread returns the number of bytes that the caller has not read. backlog.mu must be held.
func (c *Conn) unread() int64 { return c.submitted - c.read }

// withoutProgress reports whether the system evidently does not report acknowledged bytes: it has
// reported none, although bytes were written to the socket and its send queue holds none. Some
// network layers answer TCP_INFO and leave tcpi_bytes_acked at 0; such a caller would count as one
// that never reads. If the send queue is unknown as well, there is no evidence that 0 is true.
// backlog.mu must be held.
func (c *Conn) withoutProgress() bool {
	if c.written == 0 || c.read > 0 {
		return false
	}
	queued, ok := c.queued()
	if ok && queued > 0 {
		return false
	}
	// The queue may have become empty after the bytes were measured.
	acked, _ := c.progress()
	return acked <= 0
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	c.backlog.submit(c, len(p))
	n, err := c.Conn.Write(p)
	c.backlog.finish(c, n, len(p)-n)
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

// CloseWrite ends the answers; the caller reads the end of the stream after them. net/http calls
// it before it closes a connection on which the caller is still sending.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// SyscallConn implements syscall.Conn. It makes the state of the socket available to pkg/sock.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// Close implements net.Conn. Reads and writes fail from now on.
func (c *Conn) Close() error {
	if c.closing.Swap(true) {
		return net.ErrClosed
	}
	// Interrupts reads and writes that have begun.
	if err := c.SetDeadline(time.Unix(1, 0)); err != nil {
		return c.closeNow()
	}
	if c.backlog.settled(c) || c.CloseWrite() != nil {
		return c.closeNow()
	}
	return nil // Sweep closes the socket.
}

// settled reports whether the caller has read everything.
func (b *Backlog) settled(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sample(c)
	return c.unread() == 0
}

// closeNow closes the socket without waiting for the caller.
func (c *Conn) closeNow() error {
	c.backlog.mu.Lock()
	c.backlog.remove(c)
	c.backlog.mu.Unlock()
	return c.closeSocket()
}

// abort closes the socket and makes the kernel drop what the caller has not read.
func (c *Conn) abort() {
	c.closing.Store(true)
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // Fails only if the socket is closed already.
	}
	_ = c.closeSocket()
}

// closeSocket closes the socket, once.
func (c *Conn) closeSocket() error {
	if c.socketClosed.Swap(true) {
		return net.ErrClosed
	}
	defer c.onClosed()
	return c.Conn.Close()
}
