package gateway

import (
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// evacuations tracks the evacuated zones that still have requests in flight.
type evacuations struct {
	mu sync.Mutex
	// since is when the evacuation of a zone was applied, by zone name.
	since map[string]time.Time
}

// SetEvacuated applies the operator's decision whether an availability zone is evacuated.
// Requests in flight in the zone are completed.
func (g *Gateway) SetEvacuated(zone string, evacuated bool) {
	now := time.Now()
	changed, inFlight := g.table.SetEvacuated(zone, evacuated, now)
	if !changed {
		return
	}
	g.evacuations.mu.Lock()
	defer g.evacuations.mu.Unlock()
	if !evacuated {
		delete(g.evacuations.since, zone)
		g.log.State("zone_readmitted", oplog.Fields{"evacuated_zone": zone})
		return
	}
	g.evacuations.since[zone] = now
	g.log.State("zone_evacuated", oplog.Fields{"evacuated_zone": zone, "in_flight": inFlight})
}

// ReadmitExcept readmits all evacuated zones for which evacuated returns false.
func (g *Gateway) ReadmitExcept(evacuated func(zone string) bool) {
	for _, zone := range g.table.EvacuatedZones() {
		if !evacuated(zone) {
			g.SetEvacuated(zone, false)
		}
	}
}

// recordEmptiedZones logs the evacuated zones in which no request is in flight any more.
func (g *Gateway) recordEmptiedZones(now time.Time) {
	g.evacuations.mu.Lock()
	defer g.evacuations.mu.Unlock()
	for zone, since := range g.evacuations.since {
		if g.table.InFlightIn(zone) > 0 {
			continue
		}
		delete(g.evacuations.since, zone)
		g.stats.zoneEmptied(now.Sub(since))
		g.log.State("zone_emptied", oplog.Fields{"evacuated_zone": zone, "after_ms": now.Sub(since).Milliseconds()})
	}
}
