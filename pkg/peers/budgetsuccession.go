package peers

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/succession"
)

const (
	// keeperCount is the number of members that receive the reports of an instance, so that one may
	// fail or lose a datagram.
	keeperCount = 2
	// maxKeepers is the number of members that receive the final report and that a starting process
	// asks. Most of them may have come or left meanwhile, as in a rolling restart.
	maxKeepers = 8
)

// budgetSuccession passes the second requests that a process has sent on to its successor. Peers.mu
// guards it.
type budgetSuccession struct {
	table     *replica.Table
	started   time.Time
	reporter  succession.Reporter
	keeper    *succession.Keeper
	successor *succession.Successor
}

// EnableBudgetSuccession makes the agent report the second requests that table counts to other
// instances, and learn from them what the previous process of this instance has sent. Until then
// second requests are held, for one window at most. hasPredecessor is false if the deployment starts
// for the first time. It must be called before Run.
func (p *Peers) EnableBudgetSuccession(table *replica.Table, window time.Duration, hasPredecessor bool) {
	now := time.Now()
	p.succession = &budgetSuccession{
		table: table, started: now,
		keeper: succession.NewKeeper(window), successor: succession.NewSuccessor(hasPredecessor, window, now),
	}
	if hasPredecessor {
		table.HoldSecondRequests(now.Add(window))
	}
}

// tickBudgetSuccession asks the keepers, or reports to them, when it is time to.
func (p *Peers) tickBudgetSuccession(now time.Time) {
	if p.succession == nil {
		return
	}
	p.mu.Lock()
	asks, waiting := p.succession.successor.Asks(now), p.succession.successor.Waiting(now)
	p.mu.Unlock()
	if asks {
		p.sendToKeepers(maxKeepers, packet{AsksCounts: true})
	}
	if !waiting {
		p.reportCounts(now)
	}
}

// reportCounts reports new second requests, and all of them from time to time.
func (p *Peers) reportCounts(now time.Time) {
	p.mu.Lock()
	since, full, due := p.succession.reporter.Due(now)
	p.mu.Unlock()
	if !due {
		return
	}
	if full {
		since = time.Time{}
	}
	services := p.succession.table.SentSecondRequests(since, now)
	if full || len(services) > 0 {
		p.sendReport(keeperCount, succession.Report{Services: services, Full: full})
	}
}

// reportFinalCounts tells the keepers that this process sends no further second requests.
func (p *Peers) reportFinalCounts(now time.Time) {
	if p.succession == nil {
		return
	}
	p.mu.Lock()
	waiting := p.succession.successor.Waiting(now)
	p.mu.Unlock()
	if !waiting {
		p.sendReport(maxKeepers, succession.Report{Services: p.succession.table.SentSecondRequests(time.Time{}, now), Full: true, Final: true})
	}
}

// sendReport sends a report to the first n keepers.
func (p *Peers) sendReport(n int, r succession.Report) {
	p.mu.Lock()
	r.Zone = p.burst.zoneSize()
	p.mu.Unlock()
	for _, part := range r.Split() {
		p.sendToKeepers(n, packet{Counts: &part})
	}
}

// sendToKeepers sends the content of a packet to the first n keepers.
func (p *Peers) sendToKeepers(n int, content packet) {
	p.mu.Lock()
	var out []membership.Envelope
	for _, m := range p.roles.keepers[:min(n, len(p.roles.keepers))] {
		out = append(out, p.members.GossipTo(m.Addr))
	}
	p.mu.Unlock()
	for _, e := range out {
		content.Message = e.Message
		p.sendPacket(e.To, content)
	}
}

// receiveCounts handles the parts of a message that concern the succession.
func (p *Peers) receiveCounts(m packet, now time.Time) {
	if p.succession == nil {
		return
	}
	if m.Counts != nil {
		p.mu.Lock()
		p.succession.keeper.Receive(m.From.Name, m.ProcessID, *m.Counts, now)
		p.mu.Unlock()
	}
	if m.AsksCounts {
		p.answerSuccessor(m, now)
	}
	if m.Predecessor != nil {
		p.inheritCounts(m.From.Name, *m.Predecessor, now)
	}
}

// answerSuccessor sends what the previous process of the sender had reported.
func (p *Peers) answerSuccessor(m packet, now time.Time) {
	p.mu.Lock()
	report, known := p.succession.keeper.Predecessor(m.From.Name, m.ProcessID, now)
	p.mu.Unlock()
	if !known {
		return
	}
	for _, part := range report.Split() {
		p.mu.Lock()
		e := p.members.GossipTo(m.From.Addr)
		p.mu.Unlock()
		p.sendPacket(e.To, packet{Message: e.Message, Predecessor: &part})
	}
}

// inheritCounts counts what the previous process of this instance had sent.
func (p *Peers) inheritCounts(from string, r succession.Report, now time.Time) {
	p.mu.Lock()
	counts, complete := p.succession.successor.Receive(from, r, now)
	if complete {
		p.burst.inherit(r.Zone, now)
	}
	p.mu.Unlock()
	p.succession.table.InheritSecondRequests(counts, now)
	if !complete {
		return
	}
	p.succession.table.HoldSecondRequests(time.Time{})
	p.log.State("second_requests_inherited", oplog.Fields{
		"peer": from, "services": len(counts), "final": r.Final, "zone_members": r.Zone.Members, "after_ms": now.Sub(p.succession.started).Milliseconds(),
	})
}
