package peers

import (
	"errors"
	"net"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// connectTo dials a peer and starts reading from the connection.
func (p *Peers) connectTo(m membership.Member) {
	c, err := dial(m, p.self, p.codec)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, m.Name)
	if err != nil {
		p.avoidUntil[m.Name] = time.Now().Add(avoidDuration)
		p.log.Decision("peer_unreached", oplog.Fields{"peer": m.Name, "peer_zone": m.Zone, "error": err.Error()})
		return
	}
	c.onTimeout, c.onClosed, c.onLateAccept = p.handleTimeout, p.handleConnClosed, p.handleLateAccept
	if p.subscriber != nil {
		c.onFeedStatus, c.onUpdate = p.handleFeedStatus, p.handleUpdate
	}
	p.conns[m.Name] = c
	go c.read()
	p.log.Decision("peer_connected", oplog.Fields{"peer": m.Name, "peer_zone": m.Zone})
}

// errSilentConn is reported for connections on which answers are due and nothing arrives.
var errSilentConn = errors.New("connection is silent")

// handleTimeout avoids a peer that did not answer in time, and replaces a connection that has gone silent
// without an error. It is noticed when the peer is tried again after avoidDuration.
func (p *Peers) handleTimeout(c *clientConn) {
	p.PeerTimeouts.Add(1)
	now := time.Now()
	p.mu.Lock()
	p.avoidUntil[c.peer.Name] = now.Add(avoidDuration)
	p.mu.Unlock()
	p.log.Decision("peer_silent", oplog.Fields{"peer": c.peer.Name, "peer_zone": c.peer.Zone, "avoided_ms": avoidDuration.Milliseconds()})
	if c.isSilent(now) {
		c.closeWithError(errSilentConn)
	}
}

// handleConnClosed removes a closed connection and avoids its peer, unless the agent had already
// dropped the connection itself.
func (p *Peers) handleConnClosed(c *clientConn, err error) {
	p.mu.Lock()
	if p.conns[c.peer.Name] == c {
		delete(p.conns, c.peer.Name)
		p.avoidUntil[c.peer.Name] = time.Now().Add(avoidDuration)
	}
	if p.subscriber != nil {
		delete(p.subscriber.statuses, c.peer.Name)
	}
	p.mu.Unlock()
	if !errors.Is(err, net.ErrClosed) {
		p.log.Decision("peer_lost", oplog.Fields{"peer": c.peer.Name, "peer_zone": c.peer.Zone, "error": err.Error()})
	}
}

// maxSilence is how long a connection may be silent, although answers are due, until it is replaced. It is
// measured from the first answer that is late to a later one, so that a peer that was paused
// briefly keeps its connection.
const maxSilence = time.Second

// isSilent records that the peer did not answer in time, and reports whether it has been silent for
// maxSilence.
func (c *clientConn) isSilent(now time.Time) bool {
	c.silentSince.CompareAndSwap(nil, &now)
	since := c.silentSince.Load()
	return since != nil && now.Sub(*since) >= maxSilence
}
