package replica

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdLimit limits the requests to each leaf of a service while the leaf is cold.
type ColdLimit struct {
	// PerSecond is the maximum number of requests in any second from all instances together.
	// Zero means no limit.
	PerSecond float64
	// Duration is how long a leaf of the service is cold after its start.
	Duration time.Duration
}

// WarmUpAssignment says which instances may send requests to cold leafs, from the point of view
// of one instance. The zero value allows this instance none.
//
// No component counts the requests of all instances. The limit of a cold leaf is therefore
// divided equally among the instances in its own availability zone that send this kind of
// request, and other instances send it nothing. A zone that is partitioned from the others
// still has a consistent assignment.
type WarmUpAssignment struct {
	// Self is the name of this instance, and Zone is its availability zone.
	Self, Zone string
	// OwnZone are the instances that warm up the leafs of Zone. ZonesWithoutInstances are those
	// that warm up the leafs of zones without a usable instance.
	OwnZone, ZonesWithoutInstances WarmUpGroup
	// PresentZones are the zones that have usable instances.
	PresentZones map[string]bool
	// IsolatedInstances is the number of instances, including this one, if they do not know of
	// each other. Zero means that they do, and that the fields above apply.
	IsolatedInstances int
}

// WarmUpGroup lists the instances that share the warm-up of the same leafs.
type WarmUpGroup struct {
	// Queries are the instances that run gather queries. Single are the instances that send
	// requests to a single leaf.
	Queries, Single []string
}

const (
	// coldWindow is the period over which requests to a cold leaf are counted. It is longer than
	// the second that the limit applies to, because requests wait for connections, some of them
	// longer than others.
	coldWindow = 1250 * time.Millisecond
	// coldLimitFraction is the maximum fraction of the limit that is divided among instances.
	coldLimitFraction = 0.65
	// minColdLimitParts is the minimum number of parts that the limit is divided into. An
	// instance that has just started and is partitioned from its zone would otherwise take the
	// whole limit, because it knows of no other instance.
	minColdLimitParts = 3
)

// Share returns the number of requests per second that this instance may send to a cold leaf if
// all instances together may send limit.
//
// Instances may temporarily disagree on who warms up a leaf. Dividing the limit into one part
// more than there are instances keeps the sum within the limit. If there are more instances
// than requests, a hash chooses the instances for each leaf that send one request.
func (w *WarmUpAssignment) Share(leafID, zone string, shard bool, limit float64) int {
	if w.IsolatedInstances > 0 {
		return int(coldLimitFraction * limit / float64(w.IsolatedInstances))
	}
	names := w.instancesFor(zone, shard)
	n := len(names)
	if !slices.Contains(names, w.Self) {
		return 0
	}
	parts := max(n+1, minColdLimitParts)
	total := int(limit * min(float64(n)/float64(parts), coldLimitFraction))
	if total >= n {
		return total / n
	}
	ownHash := xxhash.Sum64String(leafID + "/" + w.Self)
	rank := 0
	for _, name := range names {
		if name != w.Self && xxhash.Sum64String(leafID+"/"+name) < ownHash {
			rank++
		}
	}
	if rank < total {
		return 1
	}
	return 0
}

// instancesFor returns the instances that warm up the leafs of a zone.
func (w *WarmUpAssignment) instancesFor(zone string, shard bool) []string {
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

// SetWarmUpAssignment sets which instances may send requests to cold leafs.
func (t *Table) SetWarmUpAssignment(w WarmUpAssignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUp = w
}

// SetColdLimits sets the limits for cold leafs of each service, by service name.
func (t *Table) SetColdLimits(limits map[string]ColdLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldLimits = limits
}

// coldLimit returns the lowest limit that applies to a leaf while it is cold, and the service
// that sets it. The service is empty if the leaf has no limit. The caller holds mu.
func (t *Table) coldLimit(leaf *Leaf) (limit ColdLimit, service string) {
	for _, name := range leaf.Services {
		l := t.coldLimits[name]
		if l.PerSecond > 0 && (service == "" || l.PerSecond < limit.PerSecond) {
			limit, service = l, name
		}
	}
	return limit, service
}

// atColdLimit reports whether this instance may not send requests to a leaf now because the
// leaf is cold and has received this instance's share. The caller holds mu.
func (t *Table) atColdLimit(r *leafRecord, now time.Time) bool {
	if !now.Before(r.coldUntil) {
		return false
	}
	limit, service := t.coldLimit(&r.Leaf)
	if service == "" {
		return false
	}
	return r.sentSince(now.Add(-coldWindow)) >=
		t.warmUp.Share(r.ID, r.Zone, t.shards[service], limit.PerSecond)
}

// recordColdSend records a request to a leaf that has a cold limit, also while the leaf is
// warm: if it turns cold, the requests sent before count towards the limit. The caller holds
// mu.
func (t *Table) recordColdSend(r *leafRecord, now time.Time) {
	if _, service := t.coldLimit(&r.Leaf); service == "" {
		return
	}
	oldest := now.Add(-coldWindow)
	r.recentSends = slices.DeleteFunc(r.recentSends, func(at time.Time) bool { return at.Before(oldest) })
	r.recentSends = append(r.recentSends, now)
}

// sentSince returns the number of recorded requests sent at or after oldest.
func (r *leafRecord) sentSince(oldest time.Time) int {
	n := 0
	for _, at := range r.recentSends {
		if !at.Before(oldest) {
			n++
		}
	}
	return n
}

// setColdRemaining records how much longer the leaf reports to be cold.
func (r *leafRecord) setColdRemaining(cold time.Duration, now time.Time) {
	r.coldUntil = now.Add(cold)
	r.extendColdUntil(r.assumedColdUntil)
}

// extendColdUntil makes the leaf count as cold at least until the given time.
func (r *leafRecord) extendColdUntil(until time.Time) {
	if until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// assumeZoneCold makes the leafs of a readmitted zone count as cold. They may have turned cold
// while the zone was evacuated, and may report it only later. The caller holds mu.
func (t *Table) assumeZoneCold(zone string, now time.Time) {
	for _, r := range t.leafs {
		limit, service := t.coldLimit(&r.Leaf)
		if r.Zone != zone || service == "" {
			continue
		}
		r.assumedColdUntil = now.Add(limit.Duration)
		r.extendColdUntil(r.assumedColdUntil)
	}
}

// IsColdLimited reports whether a leaf is cold and has a cold limit. Only the instances of its
// warm-up group may send it requests then.
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
