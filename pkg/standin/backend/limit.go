package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener refuses connections beyond max by closing them at once, as a
// backend server with a connection limit does. Refused counts them.
type limitListener struct {
	net.Listener
	max     int64
	open    atomic.Int64
	refused atomic.Int64
	mu      sync.Mutex
	conns   map[*limitConn]struct{}
}

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

// closeAll drops every open connection, as a killed process would.
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
