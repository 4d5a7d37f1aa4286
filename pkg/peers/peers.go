// Package peers implements the cooperation between the instances of a deployment. An agent
// (Peers) maintains the cluster membership by gossip over UDP. Requests of a query to leafs in
// another availability zone are sent as one batch to a peer in that zone, which forwards them to
// the leafs and returns the merged records. Within a zone a few instances, the gatherers, run
// whole queries for the others.
//
// Batching saves billed cross-zone traffic: a leaf request takes about 215 bytes and its reply 190
// bytes in addition to the records, nearly identical for each shard of a query. The instance that
// owns the query still decides which leaf is asked, when a second request is sent and what counts
// against a budget. A peer only forwards and merges.
//
// Peers are not authenticated: whoever can connect to the internal port of an instance can also
// connect to the leafs. The network of the deployment must block callers from both.
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

// errPeerLost is reported for calls whose peer disconnected or did not answer.
var errPeerLost = errors.New("peer disconnected or timed out before replying")

const (
	// tickInterval is the period of the membership timers and connection updates.
	tickInterval = 100 * time.Millisecond
	// startupTickInterval replaces tickInterval during startupPeriod: the first responses of
	// peers arrive within milliseconds, and callers wait for the state that they carry.
	startupTickInterval = 20 * time.Millisecond
	startupPeriod       = 2 * time.Second
	// maxDatagramBytes is the maximum size of a membership datagram.
	maxDatagramBytes = 2048
	// avoidDuration is how long a peer gets no work after it timed out, refused a connection
	// or closed one.
	avoidDuration = 2 * time.Second
	// maxBatchRTT is the maximum average round-trip time of batches, excluding the processing
	// time that the peer reports. It is ten round trips between zones. A peer that is short of
	// processor time exceeds it; asking its leafs directly is then faster.
	maxBatchRTT = 25 * time.Millisecond
)

// Peers is the agent that connects this instance with the other instances of the deployment.
// It implements gateway.Batcher and gateway.Gatherers.
type Peers struct {
	self  membership.Member
	codec Codec
	log   *oplog.Log
	udp   *net.UDPConn

	// mu guards the membership, the connections and the roles. The maps are keyed by member name.
	mu         sync.Mutex
	members    *membership.State
	conns      map[string]*clientConn
	dialing    map[string]bool
	avoidUntil map[string]time.Time

	// roles are the current role assignments, updated on each tick.
	roles    roles
	assigner roleAssigner
	burst    burstShare
	// succession is nil if second requests are not passed on to the next process.
	succession *budgetSuccession
	// subscriber follows the store through peers; nil if this instance reads the store only
	// by itself.
	subscriber *feedSubscriber
	// quarantine holds the requests that make leafs crash; nil disables sharing them.
	quarantine *quarantine.Table
	// introduced are the instances that were sent all of quarantine, by name. processID identifies
	// this process in its messages.
	introduced map[string]introduction
	processID  uint64
	// setBursts receives this instance's share of the burst budget, and setWarmers the
	// instances that may send requests to cold leafs; nil disables the computation.
	setBursts  func(replica.BurstLimits)
	setWarmers func(replica.WarmUpAssignment)
	warmup     warmupPlanner

	// BatchesSent counts batches sent through a peer, BatchFallbacks those for which no usable
	// peer was available, and PeerTimeouts the times that a peer did not answer in time.
	BatchesSent, BatchFallbacks, PeerTimeouts atomic.Int64
	// Queries and Singles count the queries and the requests to a single leaf that were offered
	// to gatherers.
	Queries, Singles HandoffCounts
	// runners passes on the number of instances that run single requests.
	runners singleRunners
	done    chan struct{}
	close   sync.Once
}

// New returns the agent of an instance that exchanges membership datagrams on udp.
func New(self membership.Member, seeds []string, udp *net.UDPConn, codec Codec, log *oplog.Log) *Peers {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Peers{
		self: self, codec: codec, log: log, udp: udp,
		members: membership.New(self, seeds, membership.DefaultOptions(), rng, time.Now()),
		conns:   make(map[string]*clientConn), dialing: make(map[string]bool), avoidUntil: make(map[string]time.Time),
		introduced: make(map[string]introduction), processID: rng.Uint64(), done: make(chan struct{}),
	}
}

// EnableBurstSharing makes the agent compute this instance's share of the burst budget on each
// tick and pass it to apply. It must be called before Run.
func (p *Peers) EnableBurstSharing(budget BurstBudget, apply func(replica.BurstLimits)) {
	p.burst = burstShare{budget: budget}
	p.setBursts = apply
}

// EnableWarmup makes the agent determine on each tick which instances may send requests to cold
// leafs, and pass them to apply. zones are the zones that have instances; expectsPeers is false if
// this is the only instance of the deployment. It must be called before Run.
func (p *Peers) EnableWarmup(zones []string, expectsPeers bool, apply func(replica.WarmUpAssignment)) {
	p.warmup = warmupPlanner{zones: zones, expectsPeers: expectsPeers}
	p.setWarmers = apply
}

// Run maintains the membership and the connections until Close is called.
func (p *Peers) Run() {
	go p.receive()
	if p.quarantine != nil {
		go p.shareQuarantine(quarantine.RepeatDelay)
	}
	started := time.Now()
	ticker := time.NewTicker(startupTickInterval)
	defer ticker.Stop()
	startingUp := true
	for {
		select {
		case now := <-ticker.C:
			p.sendAll(p.tickMembership(now))
			p.updateConnections(now)
			p.tickBudgetSuccession(now)
			if startingUp && now.Sub(started) > startupPeriod {
				startingUp = false
				ticker.Reset(tickInterval)
			}
		case <-p.done:
			return
		}
	}
}

// Close stops the agent and closes its connections.
func (p *Peers) Close() {
	p.close.Do(func() {
		p.reportFinalCounts(time.Now())
		close(p.done)
	})
	_ = p.udp.Close() // The agent stops; the error changes nothing.
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[string]*clientConn)
	p.mu.Unlock()
	for _, c := range conns {
		c.closeWithError(net.ErrClosed)
	}
}

// Self returns this instance as it announces itself to its peers.
func (p *Peers) Self() membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Self()
}

// Members returns the other known instances.
func (p *Peers) Members() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Members()
}

// Connected returns the names of the connected peers in sorted order.
func (p *Peers) Connected() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.conns))
}

// Send implements gateway.Batcher.
func (p *Peers) Send(b gateway.Batch, deliver func([]gateway.BatchReply)) (cancel func(), ok bool) {
	if c := p.batcherConn(b.Zone, time.Now()); c != nil {
		cancel, ok = c.sendBatch(b, deliver)
	}
	if !ok {
		p.BatchFallbacks.Add(1)
		return nil, false
	}
	p.BatchesSent.Add(1)
	return cancel, true
}

// batcherConn returns the connection to the preferred usable batcher in zone, or nil if there is
// none.
func (p *Peers) batcherConn(zone string, now time.Time) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstUsable(p.roles.batchers[zone], now)
}

// gathererConn returns the connection to the gatherer that runs this instance's queries, or nil if
// this instance is a gatherer itself or no gatherer is usable.
func (p *Peers) gathererConn(now time.Time) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstUsable(p.roles.gatherers, now)
}

// firstUsable returns the connection to the first usable member, or nil. A peer whose average
// round-trip time shows that it is short of processor time is avoided for avoidDuration. mu must be
// held.
func (p *Peers) firstUsable(members []membership.Member, now time.Time) *clientConn {
	for _, m := range members {
		c := p.conns[m.Name]
		if c == nil || now.Before(p.avoidUntil[m.Name]) {
			continue
		}
		usable, _, batchRTT := c.state()
		if usable && batchRTT < maxBatchRTT {
			return c
		}
		if usable {
			p.avoidUntil[m.Name] = now.Add(avoidDuration)
			c.resetBatchRTT()
		}
	}
	return nil
}

// updateConnections reassigns the roles, opens the connections that they need and closes idle ones
// that are no longer needed.
func (p *Peers) updateConnections(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self, members := p.members.Self(), p.members.Members()
	p.roles = p.assigner.assign(self, members, func(m membership.Member) bool { return now.Before(p.avoidUntil[m.Name]) })
	if p.setBursts != nil {
		p.setBursts(p.burst.compute(p.roles, members, self.Zone, now))
	}
	p.runners.update(p.roles.singleRunners)
	if p.setWarmers != nil {
		p.setWarmers(p.warmup.update(self, members, p.roles, now))
	}
	subscribed := make(map[string]bool)
	for _, name := range p.chooseFeeds(now) {
		subscribed[name] = true
	}
	wanted := make(map[string]bool)
	for _, m := range p.roles.connectTargets(subscribed) {
		wanted[m.Name] = true
		if p.conns[m.Name] == nil && !p.dialing[m.Name] {
			p.dialing[m.Name] = true
			go p.connectTo(m)
		}
	}
	p.updateSubscriptions(subscribed)
	for name, c := range p.conns {
		if _, open, _ := c.state(); !wanted[name] && open == 0 {
			delete(p.conns, name)
			go c.closeWithError(net.ErrClosed)
		}
	}
}
