package relay

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// dialer keeps one connection to each peer that was queried. A connection that was closed
// after its idle timeout is opened again when it is next needed.
type dialer struct {
	transport *quic.Transport
	tls       *tls.Config
	quic      *quic.Config
	mu        sync.Mutex
	conns     map[string]*quic.Conn
}

// conn returns an open connection to addr, and opens one if there is none.
func (d *dialer) conn(ctx context.Context, addr string) (*quic.Conn, error) {
	d.mu.Lock()
	c := d.conns[addr]
	d.mu.Unlock()
	if c != nil && c.Context().Err() == nil {
		return c, nil
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	c, err = d.transport.Dial(ctx, udp, d.tls, d.quic)
	if err != nil {
		return nil, err
	}
	return d.add(addr, c), nil
}

// add keeps a new connection to addr and returns it. If another query has opened one meanwhile, that
// one is returned and c is closed.
func (d *dialer) add(addr string, c *quic.Conn) *quic.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if other := d.conns[addr]; other != nil && other.Context().Err() == nil {
		_ = c.CloseWithError(codeStopping, "")
		return other
	}
	d.conns[addr] = c
	return c
}

// drop closes a connection to addr after a failed exchange. If the peer was frozen or
// replaced, the connection may never carry a response again. A connection that another query has
// opened since is kept.
func (d *dialer) drop(addr string, c *quic.Conn) {
	d.mu.Lock()
	if d.conns[addr] == c {
		delete(d.conns, addr)
	}
	d.mu.Unlock()
	_ = c.CloseWithError(codeFailed, "")
}

// closeAll closes the connections to all peers.
func (d *dialer) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, c := range d.conns {
		_ = c.CloseWithError(codeStopping, "")
		delete(d.conns, addr)
	}
}

func listenUDP(addr string) (*net.UDPConn, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", udp)
}
