package entry

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a leaf the fan-out may send to.
type candidate struct {
	row     *backendRow
	addr    string
	permits permits
	cost    float64
}

// preference is how the leafs of a shard are ordered. Zone is the entry
// instance's own; byLoad picks the lowest expected cost, counting zonePenalty
// (ms) on servers of other zones, instead of own zone first; probe allows a
// server marked down when there is no other.
type preference struct {
	zone        string
	byLoad      bool
	zonePenalty float64
	probe       bool
}

// candidates orders the usable leafs of a shard. Leaving servers are left
// out, and servers marked down too; when that leaves none and probe is set,
// one that is marked down and has nothing in flight is returned, so that a
// mark made by mistake costs a shard's coverage no longer than one leaf
// call, while a server that is really gone holds up one request at a time.
func (t *backendTable) candidates(leafs []string, now time.Time, p preference) []candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]candidate, 0, len(leafs))
	var down *backendRow
	for _, name := range leafs {
		row, ok := t.rows[name]
		switch {
		case !ok || row.leaving:
		case !now.Before(row.downUntil):
			out = append(out, candidate{row: row, addr: row.addr, permits: row.permits, cost: p.cost(row)})
		case down == nil && row.inFlight.Load() == 0:
			down = row
		}
	}
	if len(out) == 0 && p.probe && down != nil {
		return []candidate{{row: down, addr: down.addr, permits: down.permits}}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return out
}

// cost ranks one backend server, lowest first.
func (p preference) cost(row *backendRow) float64 {
	cost := 0.0
	if p.byLoad {
		cost = row.latency.cost(row.inFlight.Load())
	}
	if row.zone != p.zone {
		cost += p.zonePenalty
	}
	return cost
}
