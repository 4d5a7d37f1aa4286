package peers

import (
	"errors"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/succession"
)

// packet is one datagram: a membership message with piggybacked quarantine reports and counts of
// second requests. Instances of another version ignore the fields that they do not know.
type packet struct {
	membership.Message
	// Requests describe requests that make leafs crash.
	Requests []quarantine.Report `cbor:"20,keyasint,omitempty"`
	// ProcessID is a random number that identifies the sender's process: an instance that restarts
	// keeps its name and begins with the same incarnation.
	ProcessID uint64 `cbor:"21,keyasint,omitempty"`
	// HistoryMs is how far back the sender's knowledge of such requests reaches, if Requests hold
	// all of it, and 0 otherwise.
	HistoryMs uint64 `cbor:"22,keyasint,omitempty"`
	// Counts are second requests that the sender has sent, and Predecessor those of the previous
	// process of the receiver, for which it has asked with AsksCounts.
	Counts      *succession.Report `cbor:"23,keyasint,omitempty"`
	Predecessor *succession.Report `cbor:"24,keyasint,omitempty"`
	AsksCounts  bool               `cbor:"25,keyasint,omitempty"`
}

// tickMembership runs the timers of the membership and returns the messages to send.
func (p *Peers) tickMembership(now time.Time) []membership.Envelope {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.members.Tick(now)
	p.logStatusChanges()
	return out
}

// logStatusChanges logs the members whose status has changed. mu must be held.
func (p *Peers) logStatusChanges() {
	for _, m := range p.members.Changes() {
		p.log.Decision("member_"+m.Status.String(), oplog.Fields{
			"member": m.Name, "member_zone": m.Zone, "addr": m.Addr, "incarnation": m.Incarnation,
		})
	}
}

// receive handles datagrams until the socket is closed.
func (p *Peers) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error may report one unreachable peer; the others must be served.
			time.Sleep(time.Millisecond)
			continue
		}
		var m packet
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			p.log.Decision("member_message_malformed", oplog.Fields{"error": err.Error()})
			continue
		}
		if from.String() != m.From.Addr {
			// A sender that could impersonate others could declare any member as left.
			p.log.Decision("member_message_malformed", oplog.Fields{"from": from.String(), "claims": m.From.Addr, "error": "sent from another address"})
			continue
		}
		p.applyQuarantineReports(m.Requests, m.From.Name)
		p.applyHistory(m.HistoryMs)
		p.introduceQuarantine(m.From, m.ProcessID)
		p.receiveCounts(m, time.Now())
		p.mu.Lock()
		out := p.members.Receive(m.Message, time.Now())
		p.logStatusChanges()
		p.mu.Unlock()
		p.sendAll(out)
	}
}

// sendAll sends membership messages with piggybacked reports. The protocol tolerates lost
// datagrams.
func (p *Peers) sendAll(out []membership.Envelope) {
	for _, e := range out {
		var reports []quarantine.Report
		if p.quarantine != nil && e.Message.Kind != membership.MemberList {
			reports = p.quarantine.AntiEntropyReports(maxPiggybackedReports, time.Now())
		}
		p.sendReports(e, reports)
	}
}

// sendPacket sends a message, in several datagrams if its reports do not fit into one.
func (p *Peers) sendPacket(addr string, m packet) {
	m.ProcessID = p.processID
	raw, err := cbor.Marshal(m)
	if err != nil {
		p.log.Decision("member_message_failed", oplog.Fields{"error": err.Error()})
		return
	}
	if half := len(m.Requests) / 2; len(raw) > maxDatagramBytes && half > 0 {
		first, second := m, m
		first.Requests, first.HistoryMs = m.Requests[:half], 0
		second.Requests, second.HistoryMs = m.Requests[half:], 0
		p.sendPacket(addr, first)
		p.sendPacket(addr, second)
		return
	}
	to, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		p.log.Decision("member_message_failed", oplog.Fields{"to": addr, "error": err.Error()})
		return
	}
	_, _ = p.udp.WriteToUDP(raw, to) // The protocol tolerates lost datagrams.
}

// Leave announces to the other members that this instance leaves.
func (p *Peers) Leave() {
	p.mu.Lock()
	out := p.members.Leave(time.Now())
	p.mu.Unlock()
	p.sendAll(out)
}
