package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// probeTimeout bounds a health check of a suspected zone: a new connection
// between zones and a pause of the leaf.
const probeTimeout = 400 * time.Millisecond

// isolatedAfter is how long an instance must be isolated before it says so: a
// false suspicion of a zone ends with the first probe, within 300 ms.
const isolatedAfter = 250 * time.Millisecond

// Tick runs the systems over the tables: lapsed leafs leave, zones that fell
// silent are marked and probed, and isolation is noticed.
func (g *Gateway) Tick(now time.Time) {
	for _, id := range g.table.Sweep(now) {
		g.leafs.RemoveLeaf(id)
		g.log.State("leaf_gone", oplog.Fields{"leaf": id, "reason": "not back after the store's return"})
	}
	for _, zone := range g.table.SuspectZones(now) {
		g.log.State("zone_lost", oplog.Fields{"suspected_zone": zone, "reason": "no reply, several leafs silent or down"})
	}
	for _, leaf := range g.table.ZoneProbes(now) {
		go g.probeZone(leaf)
	}
	g.noticeIsolation(now)
	g.noticeEmptied(now)
	g.quarantine.Sweep(now)
}

// probeZone checks one leaf of a suspected zone.
func (g *Gateway) probeZone(leaf replica.Leaf) {
	by := time.Now().Add(probeTimeout)
	if !g.leafs.Probe(context.Background(), leaf, g.healthPath(leaf), by) {
		return
	}
	if g.table.RecordZoneReply(leaf.Zone, time.Now()) {
		g.log.State("zone_regained", oplog.Fields{"suspected_zone": leaf.Zone, "leaf": leaf.ID})
	}
}

// healthPath is where a leaf's health is asked for; "" without a configuration
// that says so.
func (g *Gateway) healthPath(leaf replica.Leaf) string {
	c := g.config.Load()
	if c == nil || len(leaf.Services) == 0 {
		return ""
	}
	return c.Services[leaf.Services[0]].HealthPath
}

// noticeIsolation notes whether the instance is cut off from so many leafs
// that some gather route cannot be served.
//
// When an availability zone is cut off, its callers still reach its instances,
// which can only refuse: some shards have no leaf in the zone. The instances of
// other zones could serve them. An isolated instance that says so is taken out
// by the balancer, and its callers go where they are served.
func (g *Gateway) noticeIsolation(now time.Time) {
	if !g.isolated() {
		if g.isolatedSince.Swap(nil) != nil {
			g.log.State("isolation_ended", oplog.Fields{})
		}
		return
	}
	if g.isolatedSince.CompareAndSwap(nil, &now) {
		g.log.State("isolated", oplog.Fields{"config_version": g.version()})
	}
}

// isolated reports whether some gather route lacks too many shards because
// zones are suspected.
func (g *Gateway) isolated() bool {
	c := g.config.Load()
	if c == nil || !g.table.HasSuspectedZone() {
		return false
	}
	lacking := false
	c.Routes(func(r *routing.Route) bool {
		if r.Kind == routing.Gather {
			need := fanout.RequiredShards(len(r.Shards), r.MinShardShare)
			servable, reachable := g.table.CountServable(r.Shards)
			// Shards that no instance may ask do not isolate this one.
			lacking = reachable < need && servable >= need
		}
		return !lacking
	})
	return lacking
}

// Isolated reports whether callers are better served by another zone.
func (g *Gateway) Isolated(now time.Time) bool {
	since := g.isolatedSince.Load()
	return since != nil && now.Sub(*since) >= isolatedAfter
}
