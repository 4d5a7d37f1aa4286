// Package peers lets the instances of a deployment act together. An agent keeps the
// membership by datagrams; a query's requests to leafs of another availability zone go
// in one message to a peer there, which sends them on and returns the merged records.
//
// Why: a request to a leaf takes about 215 bytes and its reply 190 besides the records,
// nearly the same for each of a query's shards, and bytes between zones are billed. The
// decisions stay with the instance that has the query: which leaf is asked, when a
// second one is, what counts against a budget. A peer only sends and merges.
//
// Peers are not authenticated: whoever reaches an instance's internal port also reaches
// the leafs. The deployment's network keeps callers from both.
package peers

import (
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// errPeerLost: the peer that a call went through is gone, or did not answer.
var errPeerLost = errors.New("the peer did not return a reply")

const (
	// tick is how often timers run and connections are looked after.
	tick = 100 * time.Millisecond
	// tickFirst is the same for tickFirstFor after the start: the first answers of others
	// come within milliseconds, and callers wait for what they say.
	tickFirst    = 20 * time.Millisecond
	tickFirstFor = 2 * time.Second
	// datagram bounds a membership message.
	datagram = 2048
	// avoidFor is how long a peer that was silent, refused or ended its connection
	// is not given batches.
	avoidFor = 2 * time.Second
	// wayMost is how much longer than the peer accounts for a batch may take on
	// average: ten round trips between zones. A peer starved of processor time takes
	// longer, and its leafs are better asked directly.
	wayMost = 25 * time.Millisecond
)

// Peers is this instance's part in the deployment. It implements gateway.Batcher.
type Peers struct {
	self  membership.Member
	codec Codec
	log   *oplog.Log
	udp   *net.UDPConn

	mu      sync.Mutex
	members *membership.State
	conns   map[string]*clientConn
	dialing map[string]bool
	avoid   map[string]time.Time

	// roles is who works for whom, looked at each tick.
	roles  roles
	drawer roleDrawer
	slack  slackShare
	// feeds is nil where this instance reads the store by itself.
	feeds *feeds
	// quarantine knows the requests that end leafs; nil: nothing is told of them.
	quarantine *quarantine.Table
	// shared is told this instance's part of the slack, and warmers who may send requests to cold
	// leafs.
	shared  func(replica.BurstLimits)
	warmers func(replica.WarmUpAssignment)
	warming warming

	// BatchesSent and Fallbacks count batches that went through a peer, and those that
	// found none.
	BatchesSent, BatchFallbacks, PeerTimeouts atomic.Int64
	// QueriesHandedOff counts queries that a gatherer was asked to run, Declined those that it
	// did not run.
	QueriesHandedOff, QueriesDeclined atomic.Int64
	// QueriesTakenLate counts queries that a peer took after this instance had taken them back.
	QueriesTakenLate atomic.Int64
	done             chan struct{}
	close            sync.Once
}

// New returns the agent of an instance that listens for datagrams on udp.
func New(self membership.Member, seeds []string, udp *net.UDPConn, codec Codec, log *oplog.Log) *Peers {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Peers{
		self: self, codec: codec, log: log, udp: udp,
		members: membership.New(self, seeds, membership.DefaultOptions(), rng, time.Now()),
		conns:   make(map[string]*clientConn), dialing: make(map[string]bool), avoid: make(map[string]time.Time),
		done: make(chan struct{}),
	}
}

// EnableBurstSharing lets told know this instance's part of the slack, each tick. It is called
// before Run.
func (p *Peers) EnableBurstSharing(slack BurstBudget, told func(replica.BurstLimits)) {
	p.slack = slackShare{slack: slack, started: time.Now()}
	p.shared = told
}

// EnableWarmup lets told know who may send requests to cold leafs, each tick. zones are those that
// have instances, and expectsPeers says that this instance is not the only one. It is called before
// Run.
func (p *Peers) EnableWarmup(zones []string, expectsPeers bool, told func(replica.WarmUpAssignment)) {
	p.warming = warming{zones: zones, expectsPeers: expectsPeers}
	p.warmers = told
}

// EnableQuarantineSharing lets the instances tell each other of requests that end leafs. It is called
// before Run.
func (p *Peers) EnableQuarantineSharing(table *quarantine.Table) { p.quarantine = table }

// Run keeps the membership and the connections until Close.
func (p *Peers) Run() {
	go p.receive()
	started := time.Now()
	ticker := time.NewTicker(tickFirst)
	defer ticker.Stop()
	young := true
	for {
		select {
		case now := <-ticker.C:
			p.transmit(p.step(now))
			p.tell(now)
			p.connect(now)
			if young && now.Sub(started) > tickFirstFor {
				young = false
				ticker.Reset(tick)
			}
		case <-p.done:
			return
		}
	}
}

// Close ends the agent and its connections.
func (p *Peers) Close() {
	p.close.Do(func() { close(p.done) })
	_ = p.udp.Close() // Nothing is left to be done about an error.
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[string]*clientConn)
	p.mu.Unlock()
	for _, c := range conns {
		c.end(net.ErrClosed)
	}
}

// Self is this instance as its peers know it.
func (p *Peers) Self() membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Self()
}

// Members lists the other instances that are known.
func (p *Peers) Members() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Members()
}

// Connected lists the peers that are connected.
func (p *Peers) Connected() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.conns))
}

// Send implements gateway.Batcher.
func (p *Peers) Send(b gateway.Batch, take func([]gateway.BatchReply)) (cancel func(), ok bool) {
	if c := p.conn(b.Zone, time.Now()); c != nil {
		cancel, ok = c.send(b, take)
	}
	if !ok {
		p.BatchFallbacks.Add(1)
		return nil, false
	}
	p.BatchesSent.Add(1)
	return cancel, true
}

// conn is the connection to the peer of a zone, nil without one that is well.
func (p *Peers) conn(zone string, now time.Time) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstWell(p.roles.batchers[zone], now)
}

// gatherer is the connection to the peer that runs this instance's queries, nil where it
// runs them itself or none is well.
func (p *Peers) gatherer(now time.Time) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstWell(p.roles.gatherers, now)
}

// firstWell is the connection to the first of some members that is well. One that is
// short of processor time is avoided for a while. mu is held.
func (p *Peers) firstWell(members []membership.Member, now time.Time) *clientConn {
	for _, m := range members {
		c := p.conns[m.Name]
		if c == nil || now.Before(p.avoid[m.Name]) {
			continue
		}
		usable, _, way := c.state()
		if usable && way < wayMost {
			return c
		}
		if usable {
			p.avoid[m.Name] = now.Add(avoidFor)
			c.forgetWay()
		}
	}
	return nil
}

// connect opens the connections that are to be used and closes those that are not.
func (p *Peers) connect(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self, members := p.members.Self(), p.members.Members()
	p.roles = p.drawer.draw(self, members, func(m membership.Member) bool { return now.Before(p.avoid[m.Name]) })
	if p.shared != nil {
		p.shared(p.slack.share(p.roles, members, self.Zone, now))
	}
	if p.warmers != nil {
		p.warmers(p.warming.step(self, members, p.roles, now))
	}
	listening := make(map[string]bool)
	for _, name := range p.follow(now) {
		listening[name] = true
	}
	wanted := make(map[string]bool)
	for _, m := range p.roles.wanted(listening) {
		wanted[m.Name] = true
		if p.conns[m.Name] == nil && !p.dialing[m.Name] {
			p.dialing[m.Name] = true
			go p.open(m)
		}
	}
	p.subscribe(listening)
	for name, c := range p.conns {
		if _, open, _ := c.state(); !wanted[name] && open == 0 {
			delete(p.conns, name)
			go c.end(net.ErrClosed)
		}
	}
}

// open connects to a peer.
func (p *Peers) open(m membership.Member) {
	c, err := dial(m, p.self, p.codec)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, m.Name)
	if err != nil {
		p.avoid[m.Name] = time.Now().Add(avoidFor)
		p.log.Decision("peer_unreached", oplog.Fields{"peer": m.Name, "peer_zone": m.Zone, "error": err.Error()})
		return
	}
	c.silent, c.ended, c.late = p.silent, p.ended, p.takenLate
	if p.feeds != nil {
		c.news, c.page = p.heardNews, p.heardPage
	}
	p.conns[m.Name] = c
	go c.read()
	p.log.Decision("peer_connected", oplog.Fields{"peer": m.Name, "peer_zone": m.Zone})
}

// silent avoids a peer that does not answer in time.
func (p *Peers) silent(c *clientConn) {
	p.PeerTimeouts.Add(1)
	p.mu.Lock()
	p.avoid[c.peer.Name] = time.Now().Add(avoidFor)
	p.mu.Unlock()
	p.log.Decision("peer_silent", oplog.Fields{"peer": c.peer.Name, "peer_zone": c.peer.Zone, "avoided_ms": avoidFor.Milliseconds()})
}

// ended forgets a connection.
func (p *Peers) ended(c *clientConn, err error) {
	p.mu.Lock()
	if p.conns[c.peer.Name] == c {
		delete(p.conns, c.peer.Name)
		p.avoid[c.peer.Name] = time.Now().Add(avoidFor)
	}
	if p.feeds != nil {
		delete(p.feeds.heard, c.peer.Name)
	}
	p.mu.Unlock()
	if !errors.Is(err, net.ErrClosed) {
		p.log.Decision("peer_lost", oplog.Fields{"peer": c.peer.Name, "peer_zone": c.peer.Zone, "error": err.Error()})
	}
}
