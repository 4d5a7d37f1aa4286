package node

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/front"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/peers"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// peering is the communication with the other instances of the deployment; nil if this one works
// alone.
type peering struct {
	agent  *peers.Peers
	server *peers.Server
}

// newPeering listens for peers if the settings name an address.
func (n *Node) newPeering(set *settings.Node, codec peers.Codec) (*peering, error) {
	if set.Peers.Listen == "" || codec == nil {
		return nil, nil
	}
	ln, err := net.Listen("tcp", set.Peers.Listen)
	if err != nil {
		return nil, err
	}
	// Datagrams use the port of the connections.
	addr := ln.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		_ = ln.Close() // The first error is more informative.
		return nil, err
	}
	server, err := peers.NewServer(front.RetryAccept(ln), n.table, n.leafs, n.gateway, codec, set.Limits.Workers, set.Limits.MaxPeerConnections, n.log)
	if err != nil {
		return nil, err
	}
	self := membership.Member{Name: set.Name, Addr: ln.Addr().String(), Zone: set.Zone, Capacity: capacity(set)}
	agent := peers.New(self, seedAddrs(set.Peers.Seeds, addr.Port), udp, codec, n.log)
	agent.EnableWarmup(set.Declared.Zones, hasOtherSeeds(set.Peers.Seeds, addr.IP), n.table.SetWarmUpAssignment)
	server.SetQuarantine(n.gateway.Quarantine())
	agent.EnableQuarantineSharing(n.gateway.Quarantine())
	if set.Peers.Batches {
		n.gateway.UseBatcher(agent, set.Zone)
	}
	if set.Peers.Gather {
		n.gateway.UseGatherers(agent)
		burst := peers.BurstBudget{Total: set.Declared.SecondRequestBurst, Zones: set.Declared.Zones}
		agent.EnableBurstSharing(burst, n.table.SetBurstLimits)
		agent.EnableSingleHandoff(n.gateway.SetSingleRunners)
	}
	agent.EnableBudgetSuccession(n.table, settings.Duration(set.Declared.SecondRequestWindowMs), !set.Peers.FirstStart)
	if set.Peers.Feed {
		n.follower.OnChange(server.NotifySubscribers)
		server.PublishFeed(n.follower, func() bool { return n.gateway.Isolated(time.Now()) })
		agent.SubscribeToFeeds(n.follower, feed.Options{MaxAge: set.WatchWait() + sourceAgeSlack, StartWait: set.StartWait()}, set.Peers.FirstStart)
		n.follower.SetReading(false, longpoll.PeerGroup{}) // Until the agent has decided.
	}
	return &peering{agent: agent, server: server}, nil
}

// sourceAgeSlack is added to the wait of a watch. If the store's last answer to a reader is older
// than the sum, the instance looks for another reader. The slack covers a slow call to the store,
// and the time between two status messages.
const sourceAgeSlack = 500 * time.Millisecond

// capacity returns how much work this instance can take, in hundredths of a processor.
func capacity(set *settings.Node) uint32 { return uint32(max(100*set.Machine.CPUs, 1)) }

// seedAddrs returns the peer addresses of the instances that the seeds name. The port is the same
// on all instances.
func seedAddrs(seeds []string, port int) []string {
	var out []string
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // Seeds are validated when the settings are loaded.
		}
		out = append(out, net.JoinHostPort(host, strconv.Itoa(port)))
	}
	return out
}

// hasOtherSeeds reports whether the seeds name an instance at an address other than this one's.
func hasOtherSeeds(seeds []string, own net.IP) bool {
	return slices.ContainsFunc(seeds, func(seed string) bool {
		host, _, err := net.SplitHostPort(seed)
		return err == nil && host != own.String()
	})
}

// start serves in the background.
func (p *peering) start() {
	if p == nil {
		return
	}
	go p.server.Run()
	go p.agent.Run()
}

// leave tells the peers that this instance is leaving. It continues to serve them.
func (p *peering) leave() {
	if p != nil {
		p.agent.Leave()
	}
}

// drain waits for the work in progress on behalf of peers.
func (p *peering) drain(ctx context.Context) {
	if p != nil {
		p.server.Drain(ctx)
	}
}

// close closes all remaining connections.
func (p *peering) close() {
	if p == nil {
		return
	}
	p.agent.Close()
	p.server.Close()
}

// MemberState describes a peer in the state dump.
type MemberState struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Addr        string `json:"addr"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
}

// state lists the peers for the state dump.
func (p *peering) state() []MemberState {
	if p == nil {
		return nil
	}
	var out []MemberState
	for _, m := range p.agent.Members() {
		out = append(out, MemberState{Name: m.Name, Zone: m.Zone, Addr: m.Addr, Status: m.Status.String(), Incarnation: m.Incarnation})
	}
	return out
}

// isolated reports whether the peers that run this instance's queries are cut off from leafs.
func (p *peering) isolated(now time.Time) bool { return p != nil && p.agent.GatherersIsolated(now) }

// QueriesHandedOff returns how many queries peers were asked to run.
func (n *Node) QueriesHandedOff() int64 {
	if n.peering == nil {
		return 0
	}
	return n.peering.agent.Queries.HandedOff.Load()
}

// connected returns the names of the connected peers.
func (p *peering) connected() []string {
	if p == nil {
		return nil
	}
	return p.agent.Connected()
}

// registerPeerGauges registers the metrics about peers.
func (n *Node) registerPeerGauges() {
	if n.peering == nil {
		return
	}
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("node_peers_usable", func() float64 {
		count := 0
		for _, m := range n.peering.agent.Members() {
			if m.Usable() {
				count++
			}
		}
		return float64(count)
	})
	gauge("node_batches_sent", func() float64 { return float64(n.peering.agent.BatchesSent.Load()) })
	gauge("node_batches_direct", func() float64 { return float64(n.peering.agent.BatchFallbacks.Load()) })
	gauge("node_queries_handed", func() float64 { return float64(n.QueriesHandedOff()) })
	gauge("node_queries_declined", func() float64 { return float64(n.peering.agent.Queries.Declined.Load()) })
	gauge("node_queries_taken_late", func() float64 { return float64(n.peering.agent.Queries.AcceptedLate.Load()) })
	gauge("node_queries_gathered", func() float64 { return float64(n.peering.server.QueriesServed.Load()) })
	n.registerSingleGauges(gauge)
	gauge("node_peers_silent", func() float64 { return float64(n.peering.agent.PeerTimeouts.Load()) })
	gauge("node_batches_served", func() float64 { return float64(n.peering.server.BatchesServed.Load()) })
	gauge("node_batch_calls_served", func() float64 { return float64(n.peering.server.LeafCallsServed.Load()) })
	n.log.State("peering", oplog.Fields{"listen": n.peering.agent.Self().Addr})
}
