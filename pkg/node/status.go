package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/indigoyoke/indigoyoke/pkg/front"
	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/returns"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// statusServers are the HTTP servers that are not for callers.
type statusServers struct{ all []*service.Server }

// newStatusServers listens for the load balancer's readiness probes, and for operators on the
// control and metrics addresses.
func (n *Node) newStatusServers(set *settings.Node, readyPath string) (*statusServers, error) {
	s := &statusServers{}
	resilient := func(ln net.Listener) net.Listener { return front.RetryAccept(ln) }
	for _, addr := range []string{set.Listen.Readiness, set.Listen.Control, set.Listen.Metrics} {
		if addr == "" {
			continue
		}
		srv, err := service.Listen(addr, time.Second, n.metrics, n.State, resilient)
		if err != nil {
			return nil, err
		}
		srv.Hertz.GET(readyPath, func(_ context.Context, c *app.RequestContext) {
			status := http.StatusOK
			if !n.ready() {
				status = http.StatusServiceUnavailable
			}
			c.String(status, "ready=%v\n", n.ready())
		})
		s.all = append(s.all, srv)
	}
	return s, nil
}

// start serves in the background. If a server ends, the load balancer or the operators get no
// more answers, so this is logged.
func (s *statusServers) start(log *oplog.Log) {
	for _, srv := range s.all {
		go func() {
			err := srv.Hertz.Run()
			log.State("status_server_ended", oplog.Fields{"addr": srv.Addr(), "error": fmt.Sprint(err)})
		}()
	}
}

// State is the instance's state dump.
type State struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	UptimeMs      int64  `json:"uptime_ms"`
	ConfigVersion int64  `json:"config_version"`
	Routes        int    `json:"routes"`
	InFlight      int64  `json:"in_flight"`
	OpenConns     int64  `json:"open_leaf_connections"`
	// UnreadBytes is the number of bytes of answers that callers have not read.
	UnreadBytes int64               `json:"unread_bytes"`
	Leafs       []replica.LeafState `json:"leafs"`
	Members     []MemberState       `json:"members"`
	// Quarantine lists the requests that are suspected or known to crash leafs.
	Quarantine []quarantine.State `json:"quarantine"`
	// Returns lists the planned returns of refused callers by route.
	Returns []returns.State `json:"returns"`
	// Priorities lists the groups of routes whose less urgent queries may be refused.
	Priorities []priority.GroupState `json:"priorities"`
	// EvacuatedZones lists the availability zones whose leafs must not get requests.
	EvacuatedZones []string `json:"evacuated"`
	// SingleQueues lists the queues of single requests.
	SingleQueues []leafqueue.State `json:"single_queues"`
	// Peers lists the names of the connected peers.
	Peers []string   `json:"peers"`
	Store StoreState `json:"store"`
}

// StoreState describes this instance's knowledge of the platform's store.
type StoreState struct {
	// Reading reports whether the instance reads the store itself; otherwise its peers send it
	// the changes.
	Reading bool `json:"reading"`
	// Era and Revision are the position of the store at the latest known change.
	Era      int64 `json:"era"`
	Revision int64 `json:"revision"`
	// AgeMs is how long ago the store last answered this instance or a peer that sends it the
	// changes.
	AgeMs int64 `json:"age_ms"`
}

// State returns the state dump that is served on the control address.
func (n *Node) State() any {
	set := n.set.Load()
	s := State{
		Name: set.Name, Zone: set.Zone, Ready: n.ready(), Draining: n.draining.Load(),
		UptimeMs: time.Since(n.started).Milliseconds(), InFlight: n.gateway.InFlight(),
		OpenConns: n.pool.Stats.OpenConns.Load(), UnreadBytes: n.front.Backlog().Bytes(), Leafs: n.table.Dump(time.Now()), Members: n.peering.state(), Peers: n.peering.connected(),
		EvacuatedZones: n.table.EvacuatedZones(),
		SingleQueues:   n.gateway.SingleQueues(time.Now()),
		Quarantine:     n.gateway.Quarantine().Dump(time.Now()),
		Returns:        n.gateway.Returns().Dump(time.Now()),
		Priorities:     n.gateway.Priorities().Dump(time.Now()),
		Store:          n.storeState(),
	}
	if c := n.gateway.Config(); c != nil {
		s.ConfigVersion, s.Routes = c.Version, c.RouteCount()
	}
	return s
}

// storeState returns the part of the state dump about the store.
func (n *Node) storeState() StoreState {
	at := n.follower.Position()
	return StoreState{
		Reading: n.follower.Reading(), Era: at.Era, Revision: at.Revision,
		AgeMs: n.follower.Age(time.Now()).Milliseconds(),
	}
}

// registerGauges registers the metrics that are computed from the state.
func (n *Node) registerGauges() {
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("node_ready", func() float64 {
		if n.ready() {
			return 1
		}
		return 0
	})
	gauge("node_evacuated_zones", func() float64 { return float64(len(n.table.EvacuatedZones())) })
	gauge("node_config_version", func() float64 {
		if c := n.gateway.Config(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	gauge("node_requests_in_flight", func() float64 { return float64(n.gateway.InFlight()) })
	gauge("node_caller_connections_open", func() float64 { return float64(n.front.OpenConns()) })
	gauge("node_caller_connections_turned", func() float64 { return float64(n.front.RejectedConns()) })
	gauge("node_unread_bytes", func() float64 { return float64(n.front.Backlog().Bytes()) })
	gauge("node_callers_stalled", func() float64 { return float64(n.front.Backlog().StalledCallers()) })
	gauge("node_leaf_connections_open", func() float64 { return float64(n.pool.Stats.OpenConns.Load()) })
	gauge("node_leaf_dials", func() float64 { return float64(n.pool.Stats.Dials.Load()) })
	gauge("node_leaf_dial_errors", func() float64 { return float64(n.pool.Stats.DialErrors.Load()) })
	gauge("node_leaf_conn_reuses", func() float64 { return float64(n.pool.Stats.Reuses.Load()) })
	gauge("node_leaf_stray_replies", func() float64 { return float64(n.pool.Stats.StrayDrops.Load()) })
	gauge("node_leaf_reply_bytes_held", func() float64 { return float64(n.pool.Stats.ReplyBytesHeld.Load()) })
	gauge("node_leaf_reply_header_bytes_max", func() float64 { return float64(n.pool.Stats.MaxHeaderBytes.Load()) })
	gauge("node_leaf_reply_body_bytes_max", func() float64 { return float64(n.pool.Stats.MaxBodyBytes.Load()) })
	gauge("node_leaf_headers_too_large", func() float64 { return float64(n.pool.Stats.HeadersTooLarge.Load()) })
	gauge("node_leaf_bodies_too_large", func() float64 { return float64(n.pool.Stats.BodiesTooLarge.Load()) })
	gauge("node_leaf_replies_without_memory", func() float64 { return float64(n.pool.Stats.RepliesWithoutMemory.Load()) })
	gauge("node_second_requests_held", func() float64 {
		if n.table.SecondRequestsHeld(time.Now()) {
			return 1
		}
		return 0
	})
	gauge(`node_second_request_burst{kind="shard"}`, func() float64 { return n.table.BurstLimits().Shard })
	gauge(`node_second_request_burst{kind="single"}`, func() float64 { return n.table.BurstLimits().Single })
	gauge("node_store_calls", func() float64 { return float64(n.follower.Calls()) })
	gauge("node_store_failures", func() float64 { return float64(n.follower.Failures()) })
	gauge("node_store_entries_unreadable", func() float64 { return float64(n.follower.Unreadable()) })
	gauge("node_store_era", func() float64 { return float64(n.follower.Position().Era) })
	gauge("node_store_restores", func() float64 { return float64(n.follower.Restores()) })
	gauge("node_store_reading", func() float64 {
		if n.follower.Reading() {
			return 1
		}
		return 0
	})
	gauge("node_store_age_seconds", func() float64 { return n.follower.Age(time.Now()).Seconds() })
	gauge("node_log_lines_dropped", func() float64 { return float64(n.log.Dropped()) })
	gauge("node_log_lines_summed", func() float64 { return float64(n.log.Suppressed()) })
}
