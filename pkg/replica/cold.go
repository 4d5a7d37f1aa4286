package replica

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdLimit bounds what a leaf of a service gets while it is cold.
type ColdLimit struct {
	// PerSecond is how many requests it may get in any second from all instances together;
	// zero: there is no bound.
	PerSecond float64
	// Duration is how long a leaf of the service is cold after its start.
	Duration time.Duration
}

// WarmUpAssignment are the instances that may send requests to cold leafs, as one of them sees it. The
// zero value lets this instance send none.
//
// Nobody counts the requests of all instances. So those that run the queries of a leaf's own
// availability zone have equal parts of what it may get, and the others send it nothing; a zone
// that is cut off from the others still agrees with itself.
type WarmUpAssignment struct {
	// Self is this instance's name, and Zone its availability zone.
	Self, Zone string
	// OwnZone warm the leafs of Zone, Rest those of zones that have no instance in use.
	OwnZone, ZonesWithoutInstances WarmUpGroup
	// PresentZones are the zones that have instances in use.
	PresentZones map[string]bool
	// IsolatedInstances is how many instances there are that know nothing of each other, this one among them;
	// zero: they do.
	IsolatedInstances int
}

// WarmUpGroup names the instances that warm the same leafs.
type WarmUpGroup struct {
	// Queries are those that run queries, Single those that send requests to one leaf.
	Queries, Single []string
}

const (
	// coldWindow is the span in which requests to a cold leaf are counted. It is longer than
	// the second that the bound is for: requests wait for connections, some longer than others.
	coldWindow = 1250 * time.Millisecond
	// coldPart bounds the part of the limit that is divided.
	coldPart = 0.65
	// coldPartsLeast is into how many parts it is divided at least: an instance that has just
	// started and is cut off from its zone takes itself for the only one.
	coldPartsLeast = 3
)

// Share is how many requests this instance may send to a cold leaf in a second, of limit that all
// may send.
//
// The instances may disagree for a while on who warms a leaf. One more than those drawn keeps the
// sum within the limit. Where there are more instances than requests, some are drawn for each
// leaf to send one.
func (w *WarmUpAssignment) Share(leafID, zone string, shard bool, limit float64) int {
	if w.IsolatedInstances > 0 {
		return int(coldPart * limit / float64(w.IsolatedInstances))
	}
	names := w.drawn(zone, shard)
	n := len(names)
	if !slices.Contains(names, w.Self) {
		return 0
	}
	parts := max(n+1, coldPartsLeast)
	total := int(limit * min(float64(n)/float64(parts), coldPart))
	if total >= n {
		return total / n
	}
	mine := xxhash.Sum64String(leafID + "/" + w.Self)
	before := 0
	for _, name := range names {
		if name != w.Self && xxhash.Sum64String(leafID+"/"+name) < mine {
			before++
		}
	}
	if before < total {
		return 1
	}
	return 0
}

// drawn are the instances that warm the leafs of a zone.
func (w *WarmUpAssignment) drawn(zone string, shard bool) []string {
	group := WarmUpGroup{}
	switch {
	case zone == w.Zone:
		group = w.OwnZone
	case !w.PresentZones[zone]:
		group = w.ZonesWithoutInstances
	}
	if shard {
		return group.Queries
	}
	return group.Single
}

// SetWarmUpAssignment takes over who may send requests to cold leafs.
func (t *Table) SetWarmUpAssignment(w WarmUpAssignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmers = w
}

// SetColdLimits takes over what cold leafs of each service may get.
func (t *Table) SetColdLimits(limits map[string]ColdLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldLimits = limits
}

// coldLimit is what a leaf may get in a second while it is cold, and the service that says so;
// zero: it has no bound. mu is held.
func (t *Table) coldLimit(leaf *Leaf) (limit ColdLimit, service string) {
	for _, name := range leaf.Services {
		l := t.coldLimits[name]
		if l.PerSecond > 0 && (service == "" || l.PerSecond < limit.PerSecond) {
			limit, service = l, name
		}
	}
	return limit, service
}

// coldFull reports whether this instance may send no request to a leaf now because it is cold;
// mu is held.
func (t *Table) coldFull(r *row, now time.Time) bool {
	if !now.Before(r.coldUntil) {
		return false
	}
	limit, service := t.coldLimit(&r.Leaf)
	if service == "" {
		return false
	}
	return r.sentSince(now.Add(-coldWindow)) >= t.warmers.Share(r.ID, r.Zone, t.shards[service], limit.PerSecond)
}

// noteCold counts a request to a leaf that has a bound while it is cold. Those sent before it
// turned cold count too. mu is held.
func (t *Table) noteCold(r *row, now time.Time) {
	if _, service := t.coldLimit(&r.Leaf); service == "" {
		return
	}
	oldest := now.Add(-coldWindow)
	r.sent = slices.DeleteFunc(r.sent, func(at time.Time) bool { return at.Before(oldest) })
	r.sent = append(r.sent, now)
}

// sentSince is how many of the counted requests were sent since a time.
func (r *row) sentSince(oldest time.Time) int {
	n := 0
	for _, at := range r.sent {
		if !at.Before(oldest) {
			n++
		}
	}
	return n
}

// learnCold takes over how much longer the leaf says that it is cold.
func (r *row) learnCold(cold time.Duration, now time.Time) {
	r.coldUntil = now.Add(cold)
	r.coldAtLeastUntil(r.assumedCold)
}

// coldAtLeastUntil lets the leaf count as cold until a time, if it does not for longer.
func (r *row) coldAtLeastUntil(at time.Time) {
	if at.After(r.coldUntil) {
		r.coldUntil = at
	}
}

// assumeCold lets the leafs of a zone that is taken back count as cold: they may have turned cold
// meanwhile, and say so only later. mu is held.
func (t *Table) assumeCold(zone string, now time.Time) {
	for _, r := range t.leafs {
		limit, service := t.coldLimit(&r.Leaf)
		if r.Zone != zone || service == "" {
			continue
		}
		r.assumedCold = now.Add(limit.Duration)
		r.coldAtLeastUntil(r.assumedCold)
	}
}

// IsColdLimited reports whether a leaf has a bound and is cold: then only those that it is drawn for may
// send it requests.
func (t *Table) IsColdLimited(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil || !now.Before(r.coldUntil) {
		return false
	}
	_, service := t.coldLimit(&r.Leaf)
	return service != ""
}
