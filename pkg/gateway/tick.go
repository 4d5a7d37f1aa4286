package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// probeTimeout is the timeout of a health check in a suspected zone. It allows for a new
// connection between zones and a pause of the leaf.
const probeTimeout = 400 * time.Millisecond

// isolationDelay is how long an instance must be isolated before it reports so: a false
// suspicion of a zone ends with the first probe, within 300 ms.
const isolationDelay = 250 * time.Millisecond

// Tick runs the periodic tasks: it removes lapsed leafs whose grace period is over, suspects and
// probes silent zones, updates the isolation state, logs evacuated zones without requests, cleans up
// the quarantine table, the queues of single requests and the planned returns, and updates the
// admitted shares.
func (g *Gateway) Tick(now time.Time) {
	for _, id := range g.table.Sweep(now) {
		g.leafs.RemoveLeaf(id)
		g.log.State("leaf_gone", oplog.Fields{"leaf": id, "reason": "not registered again after the store recovered"})
	}
	for _, zone := range g.table.SuspectZones(now) {
		g.log.State("zone_lost", oplog.Fields{"suspected_zone": zone, "reason": "no reply, several leafs silent or down"})
	}
	for _, leaf := range g.table.ZoneProbes(now) {
		go g.probeZone(leaf)
	}
	g.updateIsolation(now)
	g.recordEmptiedZones(now)
	g.quarantine.Sweep(now)
	g.singles.sweep(g.config.Load(), now)
	g.returns.Sweep(now)
	g.logShareChanges(now)
}

// probeZone checks the health of one leaf of a suspected zone.
func (g *Gateway) probeZone(leaf replica.Leaf) {
	by := time.Now().Add(probeTimeout)
	if !g.leafs.Probe(context.Background(), leaf, g.healthPath(leaf), by) {
		return
	}
	if g.table.RecordZoneReply(leaf.Zone, time.Now()) {
		g.log.State("zone_regained", oplog.Fields{"suspected_zone": leaf.Zone, "leaf": leaf.ID})
	}
}

// healthPath returns the path of a leaf's health check, "" if no configuration defines it.
func (g *Gateway) healthPath(leaf replica.Leaf) string {
	c := g.config.Load()
	if c == nil || len(leaf.Services) == 0 {
		return ""
	}
	return c.Services[leaf.Services[0]].HealthPath
}

// updateIsolation records and logs whether the instance is cut off from so many leafs that some
// gather route cannot be served.
//
// When an availability zone is cut off, its callers still reach its instances, which can only
// refuse because some shards have no leaf in the zone. The instances of other zones could serve
// these callers. The load balancer takes an instance that reports isolation out of service, and
// its callers connect to another zone.
func (g *Gateway) updateIsolation(now time.Time) {
	if !g.gatherRouteUnservable() {
		if g.isolatedSince.Swap(nil) != nil {
			g.log.State("isolation_ended", oplog.Fields{})
		}
		return
	}
	if g.isolatedSince.CompareAndSwap(nil, &now) {
		g.log.State("isolated", oplog.Fields{"config_version": g.version()})
	}
}

// gatherRouteUnservable reports whether some gather route lacks too many shards because zones are
// suspected.
func (g *Gateway) gatherRouteUnservable() bool {
	c := g.config.Load()
	if c == nil || !g.table.HasSuspectedZone() {
		return false
	}
	lacking := false
	c.Routes(func(r *routing.Route) bool {
		if r.Kind == routing.Gather {
			need := fanout.RequiredShards(len(r.Shards), r.MinShardShare)
			servable, reachable := g.table.CountServable(r.Shards)
			// Shards that no instance may call do not isolate this one.
			lacking = reachable < need && servable >= need
		}
		return !lacking
	})
	return lacking
}

// Isolated reports whether callers should be sent to another zone.
func (g *Gateway) Isolated(now time.Time) bool {
	since := g.isolatedSince.Load()
	return since != nil && now.Sub(*since) >= isolationDelay
}
