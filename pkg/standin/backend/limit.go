package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener accepts at most max open connections. It closes further ones immediately,
// as a backend server with a connection limit does.
type limitListener struct {
	net.Listener
	// max is the maximum number of open connections.
	max int64
	// open is the number of open connections.
	open atomic.Int64
	// refused is the number of connections closed because of the limit so far.
	refused atomic.Int64
	mu      sync.Mutex
	conns   map[*limitConn]struct{}
}

// limitConn is a connection that counts against the limit of ln until it is closed.
type limitConn struct {
	net.Conn
	ln   *limitListener
	once sync.Once
}

func newLimitListener(ln net.Listener, max int) *limitListener {
	return &limitListener{Listener: ln, max: int64(max), conns: map[*limitConn]struct{}{}}
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.max {
			l.open.Add(-1)
			l.refused.Add(1)
			_ = c.Close()
			continue
		}
		lc := &limitConn{Conn: c, ln: l}
		l.mu.Lock()
		l.conns[lc] = struct{}{}
		l.mu.Unlock()
		return lc, nil
	}
}

// closeAll closes every open connection, as the end of a process does.
func (l *limitListener) closeAll() {
	l.mu.Lock()
	conns := make([]*limitConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (c *limitConn) Close() error {
	c.once.Do(func() {
		c.ln.open.Add(-1)
		c.ln.mu.Lock()
		delete(c.ln.conns, c)
		c.ln.mu.Unlock()
	})
	return c.Conn.Close()
}
