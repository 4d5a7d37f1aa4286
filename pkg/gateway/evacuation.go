package gateway

import (
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// evacuations are the zones that were evacuated and still have requests in flight.
type evacuations struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// SetEvacuated takes over whether the operator evacuates an availability zone. Requests that are
// under way there are finished.
func (g *Gateway) SetEvacuated(zone string, evacuated bool) {
	now := time.Now()
	news, inFlight := g.table.SetEvacuated(zone, evacuated, now)
	if !news {
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

// ReadmitExcept takes back the evacuated zones for which a condition does not hold.
func (g *Gateway) ReadmitExcept(evacuated func(zone string) bool) {
	for _, zone := range g.table.EvacuatedZones() {
		if !evacuated(zone) {
			g.SetEvacuated(zone, false)
		}
	}
}

// noticeEmptied notes the evacuated zones in which no request is in flight any more.
func (g *Gateway) noticeEmptied(now time.Time) {
	g.evacuations.mu.Lock()
	defer g.evacuations.mu.Unlock()
	for zone, since := range g.evacuations.since {
		if g.table.InFlightIn(zone) > 0 {
			continue
		}
		delete(g.evacuations.since, zone)
		g.stats.emptied(now.Sub(since))
		g.log.State("zone_emptied", oplog.Fields{"evacuated_zone": zone, "after_ms": now.Sub(since).Milliseconds()})
	}
}
