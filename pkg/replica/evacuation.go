package replica

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated takes over whether the operator evacuates an availability zone: its leafs get no
// new requests of any kind, whatever that costs. It reports whether that is news, and how many
// requests are in flight there.
func (t *Table) SetEvacuated(zone string, evacuated bool, now time.Time) (news bool, inFlight int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated[zone] == evacuated {
		return false, 0
	}
	if evacuated {
		t.evacuated[zone] = true
	} else {
		delete(t.evacuated, zone)
		t.assumeCold(zone, now)
	}
	return true, t.inFlightIn(zone)
}

// InFlightIn is how many requests of this instance are in flight in a zone.
func (t *Table) InFlightIn(zone string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlightIn(zone)
}

// inFlightIn is InFlightIn; mu is held.
func (t *Table) inFlightIn(zone string) int {
	n := 0
	for _, r := range t.leafs {
		if r.Zone == zone {
			n += len(r.starts)
		}
	}
	return n
}

// EvacuatedZones lists the evacuated zones by name.
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

// open reports whether a leaf may get new requests at all; mu is held.
func (t *Table) open(r *row) bool { return !r.Draining && !t.evacuated[r.Zone] }
