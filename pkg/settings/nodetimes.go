package settings

import (
	"time"
)

// WatchWait is how long a watch of the store waits for a change: together with
// the timeout of a call it stays within the declared contact time.
func (n *Node) WatchWait() time.Duration {
	const leastWait = 500
	within := max(n.Bounds.ContactMs-n.Store.CallTimeoutMs, leastWait)
	return Duration(min(n.Store.WatchWaitMs, within))
}

// changeMs is how soon after its publication the most urgent kind of change must have effect.
func (n *Node) changeMs() int {
	within := min(n.Bounds.ApplyMs, n.Bounds.DrainMs)
	if n.Bounds.EvacuateMs > 0 {
		within = min(within, n.Bounds.EvacuateMs)
	}
	return within
}

// coalescePart is the part of the time in which a change must be in force that
// changes are collected for. The rest covers a call that times out and the one
// after it.
const coalescePart = 0.4

// Coalesce is the pause after a watch of the store that brought changes.
func (n *Node) Coalesce() time.Duration {
	return Duration(min(n.Store.CoalesceMs, int(coalescePart*float64(n.changeMs()))))
}

// freshPart is the part of the time in which a change must be in force that news of the
// store may be old at those that feed others. The rest covers the next ones in line, if the
// store turns those away.
const freshPart = 0.4

// FeedCycle is how often the store answers one that feeds others, at least.
func (n *Node) FeedCycle() time.Duration {
	return min(n.WatchWait(), Duration(int(freshPart*float64(n.changeMs()))))
}

// StartWait is how long an instance that starts waits for peers that feed it.
func (n *Node) StartWait() time.Duration {
	if n.Peers.FirstStart {
		return Duration(n.Peers.FirstStartWaitMs)
	}
	return Duration(n.Peers.StartWaitMs)
}

// StopBudget is how long requests in flight may take after the leave time.
func (n *Node) StopBudget() time.Duration {
	return Duration(max(n.Bounds.GraceMs-n.Stop.LeaveMs-n.Stop.MarginMs, 0))
}
