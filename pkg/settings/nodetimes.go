package settings

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
)

// WatchWait is how long a watch of the store waits for a change: together with
// the timeout of a call it stays within the declared contact time.
func (n *Node) WatchWait() time.Duration {
	const leastWait = 500
	within := max(n.Declared.CatchUpMs-n.Store.RetryTimeoutMs, leastWait)
	return Duration(min(n.Store.WatchWaitMs, within))
}

// changeMs is how soon after its publication the most urgent kind of change must have effect.
func (n *Node) changeMs() int {
	within := min(n.Declared.ApplyMs, n.Declared.DrainMs)
	if n.Declared.EvacuateMs > 0 {
		within = min(within, n.Declared.EvacuateMs)
	}
	return within
}

// Parts of the time in which a change must have effect (changeMs). With them a change is known
// within knownPart of it at any phase of the calls, one of which may never be answered; the rest is
// for what follows from it.
const (
	// proofPart bounds how old what is known may be until the store is asked, and how long
	// changes are collected.
	proofPart = 1.0 / 3
	// slackPart, of the former, is how much later an answer of the store may come, and
	// spreadPart how far instances spread their questions.
	slackPart  = 0.45
	spreadPart = 0.2
	// timeoutPart bounds a call, retryPart and retryMostPart the time between failed ones.
	timeoutPart   = 0.5
	retryPart     = 0.05
	retryMostPart = 1.0 / 3
	// answerPart bounds how long a slow store is expected to take for an answer.
	answerPart = 0.1
	knownPart  = 2.0 / 3
)

// slowAnswerMs is how long a slow store takes for an answer at most.
const slowAnswerMs = 300

// look is how long a call waits that is to tell whether the store answers: the shortest wait that
// the store takes.
const look = time.Millisecond

// capped is a time of the settings, at most a part of the time in which a change must have effect.
func (n *Node) capped(ms int, part float64) time.Duration {
	return Duration(min(ms, int(part*float64(n.changeMs()))))
}

// CoalesceDelay is the pause after a watch of the store that brought changes.
func (n *Node) CoalesceDelay() time.Duration {
	return min(n.capped(n.Store.CoalesceMs, proofPart), n.proof())
}

// proof is how old what is known of the store may be until it is asked.
func (n *Node) proof() time.Duration { return n.capped(n.Store.FreshnessIntervalMs, proofPart) }

// LongPollOptions is how the store is followed.
func (n *Node) LongPollOptions() longpoll.Options {
	proof := n.proof()
	timeout := n.capped(n.Store.RetryTimeoutMs, timeoutPart)
	of := func(part float64) time.Duration { return time.Duration(part * float64(proof)) }
	return longpoll.Options{
		Wait: n.WatchWait(), ProbeWait: look, CoalesceDelay: n.CoalesceDelay(),
		FreshnessInterval: proof, FreshnessSlack: of(slackPart), Jitter: of(spreadPart),
		Timeout: min(Duration(n.Store.FirstTimeoutMs), timeout), RetryTimeout: timeout,
		MinBackoff: n.capped(n.Store.MinBackoffMs, retryPart), MaxBackoff: n.capped(n.Store.MaxBackoffMs, retryMostPart),
	}
}

// MaxPropagationDelay is how late a change of the store is known at most: after its publication, or after
// the return of a store that was away, whichever is later.
func (n *Node) MaxPropagationDelay() time.Duration {
	return n.LongPollOptions().MaxPropagationDelay(n.capped(slowAnswerMs, answerPart))
}

// checkKnownWithin reports settings with which a change is known too late to have effect in time.
func (n *Node) checkKnownWithin() error {
	within, allowed := n.MaxPropagationDelay(), Duration(int(knownPart*float64(n.changeMs())))
	if within <= allowed {
		return nil
	}
	return invalid("declared", "the smallest of apply_ms, drain_ms and evacuate_ms is too short: changes of the store are known within %v, allowed are %v", within, allowed)
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
	return Duration(max(n.Declared.TerminationGraceMs-n.Stop.LameDuckMs-n.Stop.KillMarginMs, 0))
}
