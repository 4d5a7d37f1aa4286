package front

import (
	"io"
	"log"
	"net"
	"sync"
)

// discardLog drops the library's lines about single connections: they come at
// the callers' rate and name no request.
var discardLog = log.New(io.Discard, "", 0)

// inlet is the listener of one generation: it hands on connections that were
// accepted elsewhere.
type inlet struct {
	addr  net.Addr
	conns chan net.Conn
	ended chan struct{}
	once  sync.Once
}

func newInlet(addr net.Addr) *inlet {
	return &inlet{addr: addr, conns: make(chan net.Conn), ended: make(chan struct{})}
}

// offer hands a connection to the server; false: the inlet has ended.
func (in *inlet) offer(conn net.Conn) bool {
	select {
	case in.conns <- conn:
		return true
	case <-in.ended:
		return false
	}
}

// end lets Accept return for good; connections already handed on stay.
func (in *inlet) end() { in.once.Do(func() { close(in.ended) }) }

// Accept implements net.Listener.
func (in *inlet) Accept() (net.Conn, error) {
	select {
	case conn := <-in.conns:
		return conn, nil
	case <-in.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (in *inlet) Close() error {
	in.end()
	return nil
}

// Addr implements net.Listener.
func (in *inlet) Addr() net.Addr { return in.addr }
