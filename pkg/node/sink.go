package node

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/discovery"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// LeafUpdated implements discovery.Sink.
func (n *Node) LeafUpdated(leaf replica.Leaf) {
	change := n.table.Upsert(leaf, time.Now())
	if change == replica.Unchanged {
		return
	}
	switch change {
	case replica.Moved:
		n.leafs.RemoveLeaf(leaf.ID)
	case replica.Restarted:
		n.leafs.HandleRestart(leaf.ID)
	}
	fields := oplog.Fields{
		"leaf": leaf.ID, "services": leaf.Services, "leaf_zone": leaf.Zone, "sequence": leaf.Sequence,
		"draining": leaf.Draining, "cold_ms": leaf.ColdRemaining.Milliseconds(),
	}
	if !leaf.StartedAt.IsZero() {
		fields["born"] = leaf.StartedAt.UTC()
	}
	n.log.Decision("leaf_"+change.String(), fields)
}

// LeafRemoved implements discovery.Sink.
func (n *Node) LeafRemoved(id string) {
	if n.table.Remove(id, time.Now()) {
		n.releaseLeaf(id, "no longer listed")
	}
}

// releaseLeaf releases the connections of a leaf that is out of use.
func (n *Node) releaseLeaf(id, reason string) {
	n.leafs.RemoveLeaf(id)
	n.log.Decision("leaf_gone", oplog.Fields{"leaf": id, "reason": reason})
}

// LeafUnreadable implements discovery.Sink.
func (n *Node) LeafUnreadable(id string) {
	if n.table.Withdraw(id, time.Now()) {
		n.releaseLeaf(id, "its entry cannot be decoded")
	}
}

// Listed implements discovery.Sink. A listing may be older than what a peer has reported, so it
// only readmits zones. Only ZoneEvacuationChanged evacuates them.
func (n *Node) Listed(l discovery.Listing) {
	for _, id := range n.table.IDs() {
		if !l.Leafs[id] {
			n.LeafRemoved(id)
		}
	}
	n.gateway.ReadmitExcept(func(zone string) bool { return l.Evacuated[zone] })
}

// ConfigUpdated implements discovery.Sink.
func (n *Node) ConfigUpdated(c *routing.Config, origin discovery.Origin) {
	if !n.gateway.SetConfig(c) {
		return
	}
	n.front.SetLimits(c.Limits)
	n.log.State("config_in_force", oplog.Fields{
		"version": c.Version, "routes": c.RouteCount(), "services": len(c.Services),
		"origin": origin, "era": n.follower.Position().Era, "revision": n.follower.Position().Revision, "age_ms": n.follower.Age(time.Now()).Milliseconds(),
	})
}

// StoreRecovered implements discovery.Sink.
func (n *Node) StoreRecovered() { n.table.StoreRecovered(time.Now()) }

// ZoneEvacuationChanged implements discovery.Sink.
func (n *Node) ZoneEvacuationChanged(zone string, evacuated bool) {
	n.gateway.SetEvacuated(zone, evacuated)
}
