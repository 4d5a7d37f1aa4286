package replica

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated sets whether the operator evacuates an availability zone. The leafs of an
// evacuated zone get no new requests of any kind, regardless of the consequences. It reports
// whether this changes anything, and how many requests are in flight in the zone.
func (t *Table) SetEvacuated(zone string, evacuated bool, now time.Time) (changed bool, inFlight int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated[zone] == evacuated {
		return false, 0
	}
	if evacuated {
		t.evacuated[zone] = true
	} else {
		delete(t.evacuated, zone)
		t.assumeZoneCold(zone, now)
	}
	return true, t.inFlightIn(zone)
}

// InFlightIn returns the number of requests of this instance that are in flight in a zone.
func (t *Table) InFlightIn(zone string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlightIn(zone)
}

// inFlightIn is InFlightIn for callers that hold mu.
func (t *Table) inFlightIn(zone string) int {
	n := 0
	for _, r := range t.leafs {
		if r.Zone == zone {
			n += len(r.inFlightStarts)
		}
	}
	return n
}

// EvacuatedZones returns the evacuated zones in alphabetical order.
func (t *Table) EvacuatedZones() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.evacuated))
}

// IsEvacuated reports whether a zone is evacuated.
func (t *Table) IsEvacuated(zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuated[zone]
}

// acceptsRequests reports whether a leaf may get new requests at all: it is neither draining
// nor in an evacuated zone. The caller holds mu.
func (t *Table) acceptsRequests(r *leafRecord) bool { return !r.Draining && !t.evacuated[r.Zone] }
