package settings

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
)

// WatchWait is how long a watch of the store waits for a change. Together with the timeout of a
// call it stays within the declared catch-up time, unless that leaves less than 500 ms to wait.
func (n *Node) WatchWait() time.Duration {
	const minWaitMs = 500
	budget := max(n.Declared.CatchUpMs-n.Store.RetryTimeoutMs, minWaitMs)
	return Duration(min(n.Store.WatchWaitMs, budget))
}

// changeDeadlineMs is the time from publication within which the most urgent kind of change must
// take effect.
func (n *Node) changeDeadlineMs() int {
	deadline := min(n.Declared.ApplyMs, n.Declared.DrainMs)
	if n.Declared.EvacuateMs > 0 {
		deadline = min(deadline, n.Declared.EvacuateMs)
	}
	return deadline
}

// Fractions of the time within which a change must take effect (changeDeadlineMs). With them, a
// change reaches the instance within propagationFraction of that time, whatever the phase of the
// calls and even if one call is never answered. The rest is left to apply the change.
const (
	// freshnessFraction limits both the interval after which the store is asked again and the
	// coalescing delay.
	freshnessFraction = 1.0 / 3
	// Both are fractions of the freshness interval: freshnessSlackFraction is how much later a
	// response of the store may arrive, and jitterFraction is the range over which the calls of
	// the instances are spread.
	freshnessSlackFraction = 0.45
	jitterFraction         = 0.2
	// timeoutFraction limits the duration of a call, minBackoffFraction and maxBackoffFraction
	// the delay between failed calls.
	timeoutFraction    = 0.5
	minBackoffFraction = 0.05
	maxBackoffFraction = 1.0 / 3
	// responseTimeFraction limits the response time that is assumed for a slow store.
	responseTimeFraction = 0.1
	propagationFraction  = 2.0 / 3
)

// maxStoreResponseMs is the longest response time of a slow store.
const maxStoreResponseMs = 300

// probeWait is the wait of a call that checks whether the store responds. It is the shortest wait
// that the store accepts.
const probeWait = time.Millisecond

// cappedDuration converts a setting and limits it to a fraction of the time within which a change
// must take effect.
func (n *Node) cappedDuration(ms int, share float64) time.Duration {
	return Duration(min(ms, int(share*float64(n.changeDeadlineMs()))))
}

// CoalesceDelay is the pause after a watch of the store that returned changes.
func (n *Node) CoalesceDelay() time.Duration {
	return min(n.cappedDuration(n.Store.CoalesceMs, freshnessFraction), n.freshnessInterval())
}

// freshnessInterval is the maximum age of the last confirmed state before the store is asked again.
func (n *Node) freshnessInterval() time.Duration {
	return n.cappedDuration(n.Store.FreshnessIntervalMs, freshnessFraction)
}

// LongPollOptions returns the timing of the calls to the store.
func (n *Node) LongPollOptions() longpoll.Options {
	interval := n.freshnessInterval()
	timeout := n.cappedDuration(n.Store.RetryTimeoutMs, timeoutFraction)
	ofInterval := func(share float64) time.Duration { return time.Duration(share * float64(interval)) }
	return longpoll.Options{
		Wait: n.WatchWait(), ProbeWait: probeWait, CoalesceDelay: n.CoalesceDelay(),
		FreshnessInterval: interval, FreshnessSlack: ofInterval(freshnessSlackFraction), Jitter: ofInterval(jitterFraction),
		Timeout: min(Duration(n.Store.FirstTimeoutMs), timeout), RetryTimeout: timeout,
		MinBackoff: n.cappedDuration(n.Store.MinBackoffMs, minBackoffFraction), MaxBackoff: n.cappedDuration(n.Store.MaxBackoffMs, maxBackoffFraction),
	}
}

// MaxPropagationDelay is the maximum time after which the instance knows a change of the store,
// counted from its publication or from the end of an outage of the store, whichever is later.
func (n *Node) MaxPropagationDelay() time.Duration {
	return n.LongPollOptions().MaxPropagationDelay(n.cappedDuration(maxStoreResponseMs, responseTimeFraction))
}

// checkPropagationDelay rejects settings with which changes arrive too late to take effect in time.
func (n *Node) checkPropagationDelay() error {
	delay, allowed := n.MaxPropagationDelay(), Duration(int(propagationFraction*float64(n.changeDeadlineMs())))
	if delay <= allowed {
		return nil
	}
	return invalid("declared", "the smallest of apply_ms, drain_ms and evacuate_ms is too short: changes of the store arrive within %v, at most %v is allowed", delay, allowed)
}

// StartWait is how long a starting instance waits for a feed from its peers.
func (n *Node) StartWait() time.Duration {
	if n.Peers.FirstStart {
		return Duration(n.Peers.FirstStartWaitMs)
	}
	return Duration(n.Peers.StartWaitMs)
}

// StopBudget is how long requests in flight may take after the lame-duck period.
func (n *Node) StopBudget() time.Duration {
	return Duration(max(n.Declared.TerminationGraceMs-n.Stop.LameDuckMs-n.Stop.KillMarginMs, 0))
}
