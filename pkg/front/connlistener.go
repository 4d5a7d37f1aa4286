package front

import (
	"io"
	"log"
	"net"
	"sync"
)

// discardLog discards the log lines of net/http about single connections: their rate is
// determined by the callers, and they identify no request.
var discardLog = log.New(io.Discard, "", 0)

// connListener is the net.Listener of a limitedServer. It returns connections that were accepted
// by another listener.
type connListener struct {
	addr    net.Addr
	conns   chan net.Conn
	stopped chan struct{}
	once    sync.Once
}

func newConnListener(addr net.Addr) *connListener {
	return &connListener{addr: addr, conns: make(chan net.Conn), stopped: make(chan struct{})}
}

// offer passes a connection to the server, and reports false if the listener has stopped.
func (l *connListener) offer(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.stopped:
		return false
	}
}

// stop makes Accept return an error from now on. Connections already passed on are unaffected.
func (l *connListener) stop() { l.once.Do(func() { close(l.stopped) }) }

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.stopped:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.stop()
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }
