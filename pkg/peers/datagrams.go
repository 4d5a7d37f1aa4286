package peers

import (
	"errors"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// step runs the timers of the membership.
func (p *Peers) step(now time.Time) []membership.Envelope {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.members.Tick(now)
	p.logChanges()
	return out
}

// logChanges records what is newly believed of members; mu is held.
func (p *Peers) logChanges() {
	for _, m := range p.members.Changes() {
		p.log.Decision("member_"+m.Status.String(), oplog.Fields{
			"member": m.Name, "member_zone": m.Zone, "addr": m.Addr, "incarnation": m.Incarnation,
		})
	}
}

// receive takes over datagrams.
func (p *Peers) receive() {
	buffer := make([]byte, datagram)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An unreachable peer may be reported here; the others go on.
			time.Sleep(time.Millisecond)
			continue
		}
		var m membership.Message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			p.log.Decision("member_message_malformed", oplog.Fields{"error": err.Error()})
			continue
		}
		if from.String() != m.From.Addr {
			// Whoever sends for another one could say of anybody that it has left.
			p.log.Decision("member_message_malformed", oplog.Fields{"from": from.String(), "claims": m.From.Addr, "error": "sent from another address"})
			continue
		}
		p.mu.Lock()
		out := p.members.Receive(m, time.Now())
		p.logChanges()
		p.mu.Unlock()
		p.transmit(out)
	}
}

// transmit sends datagrams. A lost one is the protocol's business.
func (p *Peers) transmit(out []membership.Envelope) {
	for _, e := range out {
		raw, err := cbor.Marshal(e.Message)
		if err != nil {
			p.log.Decision("member_message_failed", oplog.Fields{"error": err.Error()})
			continue
		}
		to, err := net.ResolveUDPAddr("udp4", e.To)
		if err != nil {
			p.log.Decision("member_message_failed", oplog.Fields{"to": e.To, "error": err.Error()})
			continue
		}
		_, _ = p.udp.WriteToUDP(raw, to) // As above.
	}
}

// Leave tells the others that this instance leaves.
func (p *Peers) Leave() {
	p.mu.Lock()
	out := p.members.Leave(time.Now())
	p.mu.Unlock()
	p.transmit(out)
}
