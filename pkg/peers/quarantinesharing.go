package peers

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
)

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

// introduction identifies the state of an instance that was sent all of the quarantine.
type introduction struct{ processID, incarnation uint64 }

// EnableQuarantineSharing makes the agent exchange with its peers the requests in table that make
// leafs crash. It must be called before Run.
func (p *Peers) EnableQuarantineSharing(table *quarantine.Table) {
	table.EnableSharing()
	p.quarantine = table
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
