// Package longpoll paces an instance that follows a service by long polling: how long a call
// waits for changes, when it is abandoned, and how long to pause after it. The package does no
// I/O; ages and random numbers are arguments.
//
// A waiting call looks the same whether nothing has changed or the service will never answer it.
// The call's timeout distinguishes the two cases only after the whole wait. The data of an
// instance therefore has an age: the time since the service last answered this instance, or
// another one that has since forwarded everything to it. If the age is too high, the open call is
// abandoned for a short probe call, which the service answers at once.
package longpoll

import "time"

// Options are the timing parameters of a Pacer.
type Options struct {
	// Wait is the maximum time that a call waits for a change.
	Wait time.Duration
	// ProbeWait is the wait of a probe call, which finds out at once whether the service answers.
	ProbeWait time.Duration
	// CoalesceDelay is the pause after a call that returned changes, so that changes in quick
	// succession are fetched together.
	CoalesceDelay time.Duration
	// FreshnessInterval is the maximum age of the data at which the service should answer again.
	// Zero disables the check; the age is then bounded only by the wait and the timeout of a
	// call.
	FreshnessInterval time.Duration
	// FreshnessSlack is how far the age may exceed FreshnessInterval before the open call is
	// abandoned. Jitter is the maximum of a random time added to it, so that few of several
	// instances that learn of each other's answers abandon their calls.
	FreshnessSlack, Jitter time.Duration
	// Timeout is how long a call may take beyond its wait. RetryTimeout applies instead to a call
	// that follows a failed one, so that a service that has become slow can still be reached.
	Timeout, RetryTimeout time.Duration
	// MinBackoff and MaxBackoff are the bounds of the exponential backoff between failed calls.
	MinBackoff, MaxBackoff time.Duration
}

// MaxPropagationDelay returns the maximum delay until an instance learns of a change. It is
// counted from the publication of the change or from the service's recovery from an outage,
// whichever is later, and assumes at most one unanswered call at any moment. answer is the time
// that the service takes to answer.
func (o Options) MaxPropagationDelay(answer time.Duration) time.Duration {
	staleCall := o.Wait + o.Timeout + o.MinBackoff
	if o.FreshnessInterval > 0 {
		staleCall = max(o.FreshnessInterval, o.CoalesceDelay) + o.FreshnessSlack + o.Jitter
	}
	// hungCall covers a call that was made just before the service recovered.
	hungCall := o.ProbeWait + o.RetryTimeout + o.MinBackoff
	return max(staleCall, hungCall, o.MaxBackoff) + answer
}

// Call describes the next call.
type Call struct {
	// Wait is how long the call waits for a change. Timeout is how long it may take beyond that.
	Wait, Timeout time.Duration
	// MaxAge is the age of the data at which the call is abandoned; zero means never.
	MaxAge time.Duration
}

// Pacer paces the calls of one instance. It is not safe for concurrent use.
type Pacer struct {
	opts Options
	// random returns a random number in [0, 1).
	random func() float64
	// probeNext means that the next call is a probe call.
	probeNext bool
	// synchronized means that the instances may call in step, because a change or the end of an
	// outage has woken them at the same moment. bunched means that the last answer came from a
	// probe call although no call had failed: the answers to the instances are unevenly spread,
	// and the gap between two of them was too long.
	synchronized, bunched bool
	// failures is the number of calls that have failed in a row, backoff the current backoff.
	failures int
	backoff  time.Duration
}

// New returns the pacer of an instance that has made no call yet.
func New(opts Options, random func() float64) *Pacer { return &Pacer{opts: opts, random: random} }

// PeerGroup describes the other instances that follow the same service, as far as an instance
// knows them.
type PeerGroup struct {
	// Reporting is the number of peers that tell this instance when the service has answered
	// them.
	Reporting int
	// RelativeRank is the rank of this instance among all of them, divided by their number:
	// greater than 0 and at most 1.
	RelativeRank float64
}

// NextCall returns how the next call is made, given the age of the data.
//
// The more peers report their answers, the longer a call may wait, because each answer refreshes
// the data of all. A change wakes all instances at once. The wait after it is scaled by each
// instance's rank; otherwise they would stay in step, and all their calls could be lost at the
// same moment.
func (p *Pacer) NextCall(age time.Duration, group PeerGroup) Call {
	o := p.opts
	wait := o.Wait
	if o.FreshnessInterval > 0 {
		wait = min(wait, time.Duration(1+group.Reporting)*o.FreshnessInterval-age)
	}
	if p.probeNext || wait <= o.ProbeWait ||
		(o.FreshnessInterval > 0 && age >= o.FreshnessInterval+o.FreshnessSlack) {
		return Call{Wait: o.ProbeWait, Timeout: p.timeout()}
	}
	switch {
	case p.synchronized:
		wait = o.ProbeWait + time.Duration(group.RelativeRank*float64(wait-o.ProbeWait))
	case p.bunched:
		wait -= min(wait, o.FreshnessInterval) / 2
	}
	p.synchronized, p.bunched = false, false
	c := Call{Wait: wait, Timeout: p.timeout()}
	if o.FreshnessInterval > 0 {
		c.MaxAge = o.FreshnessInterval + o.FreshnessSlack + p.randomFraction(o.Jitter)
	}
	return c
}

// timeout returns how long the next call may take beyond its wait.
func (p *Pacer) timeout() time.Duration {
	if p.failures > 0 {
		return p.opts.RetryTimeout
	}
	return p.opts.Timeout
}

// randomFraction returns a random fraction of a duration.
func (p *Pacer) randomFraction(of time.Duration) time.Duration {
	return time.Duration(p.random() * float64(of))
}

// RecordAnswer records an answered call, with or without changes, and returns how long to pause.
// more means that there are further changes, which did not fit into the answer.
func (p *Pacer) RecordAnswer(changes, more bool) time.Duration {
	p.bunched = p.probeNext && p.failures == 0
	p.synchronized = p.synchronized || p.failures > 0 || changes
	p.probeNext, p.failures, p.backoff = false, 0, 0
	if !changes || more {
		return 0
	}
	return p.opts.CoalesceDelay
}

// RecordAbandoned records a call that was abandoned because the data had become too old.
func (p *Pacer) RecordAbandoned() { p.probeNext = true }

// RecordFailure records a call that lasted took and failed, and returns how long to pause.
func (p *Pacer) RecordFailure(took time.Duration) time.Duration {
	p.probeNext = true
	p.failures++
	p.backoff = min(max(2*p.backoff, p.opts.MinBackoff), p.opts.MaxBackoff)
	pause := max(p.backoff-took, p.opts.MinBackoff)
	return pause/2 + p.randomFraction(pause/2)
}

// ConsecutiveFailures returns the number of calls that have failed in a row.
func (p *Pacer) ConsecutiveFailures() int { return p.failures }
