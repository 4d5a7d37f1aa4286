package peers

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
)

// packet is one datagram: a membership message with piggybacked quarantine reports. Instances of
// another version ignore the fields that they do not know.
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
}

// introduction identifies the state of an instance that was sent all of the quarantine.
type introduction struct{ processID, incarnation uint64 }

const (
	// maxPiggybackedReports is the maximum number of reports on a regular membership message, and
	// maxReportsPerMessage on one that is sent for the reports. A datagram stays below 1,400 bytes.
	maxPiggybackedReports = 4
	maxReportsPerMessage  = 12
	// maxIntroductoryReports is the maximum number of reports sent to an instance that is heard
	// from for the first time.
	maxIntroductoryReports = 8 * maxReportsPerMessage
	// maxHistoryMs limits the history that another instance states; longer ones mean the same.
	maxHistoryMs = uint64(time.Hour / time.Millisecond)
	// maxIntroduced is the maximum number of instances that are remembered as heard from.
	maxIntroduced = 4096
)

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
		p.mu.Lock()
		out := p.members.Receive(m.Message, time.Now())
		p.logStatusChanges()
		p.mu.Unlock()
		p.sendAll(out)
	}
}

// applyQuarantineReports merges the reports of another instance into the quarantine table.
func (p *Peers) applyQuarantineReports(reports []quarantine.Report, from string) {
	if p.quarantine == nil {
		return
	}
	now := time.Now()
	for _, report := range reports[:min(len(reports), maxReportsPerMessage)] {
		change := p.quarantine.Merge(report, now)
		if change.Changed() {
			fields := change.Fields()
			fields["peer"] = from
			p.log.State(change.Event(), fields)
		}
	}
}

// applyHistory records how far back the knowledge reaches that was received in one message.
func (p *Peers) applyHistory(historyMs uint64) {
	if p.quarantine != nil && historyMs > 0 {
		p.quarantine.MergeHistory(time.Duration(min(historyMs, maxHistoryMs))*time.Millisecond, time.Now())
	}
}

// introduceQuarantine sends what is known about requests that crash leafs to an instance that is
// heard from for the first time since it started or was believed dead. It may be serving callers
// already. It is called by one goroutine.
func (p *Peers) introduceQuarantine(to membership.Member, processID uint64) {
	state := introduction{processID: processID, incarnation: to.Incarnation}
	if known, ok := p.introduced[to.Name]; p.quarantine == nil || ok && known == state {
		return
	}
	if len(p.introduced) >= maxIntroduced {
		clear(p.introduced)
	}
	p.introduced[to.Name] = state
	for reports := range slices.Chunk(p.quarantine.AntiEntropyReports(maxIntroductoryReports, time.Now()), maxReportsPerMessage) {
		p.mu.Lock()
		e := p.members.GossipTo(to.Addr)
		p.mu.Unlock()
		p.sendReports(e, reports)
	}
}

// sendReports sends a message with reports about requests that are suspected or quarantined.
func (p *Peers) sendReports(e membership.Envelope, reports []quarantine.Report) {
	m := packet{Message: e.Message, Requests: reports}
	if p.quarantine != nil {
		m.HistoryMs = uint64(p.quarantine.History(len(reports), time.Now()).Milliseconds())
	}
	p.sendPacket(e.To, m)
}

// shareQuarantine sends changes of the quarantine table to all members until Close is called, each a
// second time after repeatDelay.
func (p *Peers) shareQuarantine(repeatDelay time.Duration) {
	quarantine.NewReportPacer(p.quarantine).Run(p.done, repeatDelay, maxReportsPerMessage, p.broadcastQuarantine)
}

// broadcastQuarantine sends reports to all members.
func (p *Peers) broadcastQuarantine(reports []quarantine.Report) {
	p.mu.Lock()
	out := p.members.GossipToAll()
	p.mu.Unlock()
	for _, e := range out {
		p.sendPacket(e.To, packet{Message: e.Message, Requests: reports})
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
