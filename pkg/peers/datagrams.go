package peers

import (
	"errors"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
)

// packet is one datagram: a message of the membership, and what it carries besides. An
// instance of another version reads the fields that it knows.
type packet struct {
	membership.Message
	// Requests are those that end leafs.
	Requests []quarantine.Report `cbor:"20,keyasint,omitempty"`
}

const (
	// carried is how many requests go on a message of the membership, and told on one that is
	// sent for them: a datagram stays below 1,400 bytes.
	carried = 4
	told    = 12
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
		var m packet
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			p.log.Decision("member_message_malformed", oplog.Fields{"error": err.Error()})
			continue
		}
		if from.String() != m.From.Addr {
			// Whoever sends for another one could say of anybody that it has left.
			p.log.Decision("member_message_malformed", oplog.Fields{"from": from.String(), "claims": m.From.Addr, "error": "sent from another address"})
			continue
		}
		p.learn(m.Requests, m.From.Name)
		p.mu.Lock()
		out := p.members.Receive(m.Message, time.Now())
		p.logChanges()
		p.mu.Unlock()
		p.transmit(out)
	}
}

// learn takes over what another instance says of requests that end leafs.
func (p *Peers) learn(notes []quarantine.Report, from string) {
	if p.quarantine == nil {
		return
	}
	now := time.Now()
	for _, note := range notes[:min(len(notes), told)] {
		turn := p.quarantine.Merge(note, now)
		if turn.Changed() {
			fields := turn.Fields()
			fields["peer"] = from
			p.log.State(turn.Event(), fields)
		}
	}
}

// tell tells all others of requests that have ended leafs since the last call. A caller may
// come back at any instance at once, and each that has not heard would let it end more.
func (p *Peers) tell(now time.Time) {
	if p.quarantine == nil {
		return
	}
	notes := p.quarantine.PendingReports(told, now)
	if len(notes) == 0 {
		return
	}
	p.mu.Lock()
	out := p.members.GossipToAll()
	p.mu.Unlock()
	for _, e := range out {
		p.send(e.To, packet{Message: e.Message, Requests: notes})
	}
}

// transmit sends datagrams. A lost one is the protocol's business.
func (p *Peers) transmit(out []membership.Envelope) {
	for _, e := range out {
		m := packet{Message: e.Message}
		if p.quarantine != nil && e.Message.Kind != membership.MemberList {
			m.Requests = p.quarantine.AntiEntropyReports(carried, time.Now())
		}
		p.send(e.To, m)
	}
}

// send sends one datagram.
func (p *Peers) send(addr string, m packet) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		p.log.Decision("member_message_failed", oplog.Fields{"error": err.Error()})
		return
	}
	to, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		p.log.Decision("member_message_failed", oplog.Fields{"to": addr, "error": err.Error()})
		return
	}
	_, _ = p.udp.WriteToUDP(raw, to) // A lost datagram is the protocol's business.
}

// Leave tells the others that this instance leaves.
func (p *Peers) Leave() {
	p.mu.Lock()
	out := p.members.Leave(time.Now())
	p.mu.Unlock()
	p.transmit(out)
}
