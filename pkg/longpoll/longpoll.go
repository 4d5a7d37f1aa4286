// Package longpoll paces an instance that follows a service by calls which wait for changes: how
// long a call waits, when it is given up, and how long to pause after it. The package does no I/O;
// ages and random numbers are arguments.
//
// A call that waits looks the same whether nothing has changed or the service will never answer it.
// Its own timeout tells the two apart only after the whole wait. Therefore what is known has an age:
// the time since the service last answered this instance, or another one that has told it all since.
// When that age is too high, the open call is given up for a short one that the service answers at
// once.
package longpoll

import "time"

// Options are the times of a Pacer.
type Options struct {
	// Wait is how long a call waits for a change at most.
	Wait time.Duration
	// ProbeWait is how long a call waits that is to tell at once whether the service answers.
	ProbeWait time.Duration
	// CoalesceDelay follows a call that brought changes: those in quick succession come together.
	CoalesceDelay time.Duration
	// FreshnessInterval is how old what is known may be until the service is to have answered again; zero: as
	// old as the wait and the timeout of a call allow.
	FreshnessInterval time.Duration
	// FreshnessSlack is how much later than that an answer may come, and Spread bounds a random time on top:
	// of several instances that hear of each other's answers, few give up their calls.
	FreshnessSlack, Jitter time.Duration
	// Timeout bounds a call beyond its wait, TimeoutMost one that follows a failed one: a
	// service that has become slow is to be reached.
	Timeout, RetryTimeout time.Duration
	// MinBackoff and RetryMost bound the growing time from one failed call to the next.
	MinBackoff, MaxBackoff time.Duration
}

// MaxPropagationDelay is how late a change is known at most, counted from its publication or from the service's
// return after an outage, whichever is later, with one call unanswered at any moment. answer is how
// long the service takes for an answer.
func (o Options) MaxPropagationDelay(answer time.Duration) time.Duration {
	stale := o.Wait + o.Timeout + o.MinBackoff
	if o.FreshnessInterval > 0 {
		stale = max(o.FreshnessInterval, o.CoalesceDelay) + o.FreshnessSlack + o.Jitter
	}
	// The call that was made just before the service came back.
	hung := o.ProbeWait + o.RetryTimeout + o.MinBackoff
	return max(stale, hung, o.MaxBackoff) + answer
}

// Call is how the next call is made.
type Call struct {
	// Wait is how long it waits for a change, Timeout bounds it beyond that.
	Wait, Timeout time.Duration
	// MaxAge is the age of what is known at which it is given up; zero: at none.
	MaxAge time.Duration
}

// Pacer paces the calls of one instance. It is not safe for concurrent use.
type Pacer struct {
	opts Options
	// random returns a number of [0, 1).
	random func() float64
	// look: the next call is to tell at once whether the service answers.
	look bool
	// inStep: others may have been woken at the same moment. bunched: a gap was left between the
	// answers of all, because some come at about the same time.
	inStep, bunched bool
	failed          int
	retry           time.Duration
}

// New returns the pacer of an instance that has made no call yet.
func New(opts Options, random func() float64) *Pacer { return &Pacer{opts: opts, random: random} }

// PeerGroup is what an instance knows of the others that follow the service too.
type PeerGroup struct {
	// Reporting is how many of them tell this one when the service has answered them.
	Reporting int
	// RelativeRank is this one's place among all of them, greater than 0 and at most 1.
	RelativeRank float64
}

// NextCall is how the next call is made, given the age of what is known.
//
// The more others there are, the longer a call may wait: each answer proves what is known to all.
// One change wakes all of them; the wait after it goes by the place of each, so that they do not go
// on in step and lose all their calls to the same moment.
func (p *Pacer) NextCall(age time.Duration, group PeerGroup) Call {
	o := p.opts
	wait := o.Wait
	if o.FreshnessInterval > 0 {
		wait = min(wait, time.Duration(1+group.Reporting)*o.FreshnessInterval-age)
	}
	if p.look || wait <= o.ProbeWait || (o.FreshnessInterval > 0 && age >= o.FreshnessInterval+o.FreshnessSlack) {
		return Call{Wait: o.ProbeWait, Timeout: p.timeout()}
	}
	switch {
	case p.inStep:
		wait = o.ProbeWait + time.Duration(group.RelativeRank*float64(wait-o.ProbeWait))
	case p.bunched:
		wait -= min(wait, o.FreshnessInterval) / 2
	}
	p.inStep, p.bunched = false, false
	c := Call{Wait: wait, Timeout: p.timeout()}
	if o.FreshnessInterval > 0 {
		c.MaxAge = o.FreshnessInterval + o.FreshnessSlack + p.part(o.Jitter)
	}
	return c
}

// timeout bounds the next call beyond its wait.
func (p *Pacer) timeout() time.Duration {
	if p.failed > 0 {
		return p.opts.RetryTimeout
	}
	return p.opts.Timeout
}

// part is a random part of a time.
func (p *Pacer) part(of time.Duration) time.Duration {
	return time.Duration(p.random() * float64(of))
}

// RecordAnswer notes a call that was answered, with changes or without, and returns how long to pause.
// more: there are changes left that did not fit into the answer.
func (p *Pacer) RecordAnswer(changes, more bool) time.Duration {
	p.bunched = p.look && p.failed == 0
	p.inStep = p.inStep || p.failed > 0 || changes
	p.look, p.failed, p.retry = false, 0, 0
	if !changes || more {
		return 0
	}
	return p.opts.CoalesceDelay
}

// RecordAbandoned notes a call that was given up because what is known had become too old.
func (p *Pacer) RecordAbandoned() { p.look = true }

// RecordFailure notes a call that failed after some time and returns how long to pause.
func (p *Pacer) RecordFailure(took time.Duration) time.Duration {
	p.look = true
	p.failed++
	p.retry = min(max(2*p.retry, p.opts.MinBackoff), p.opts.MaxBackoff)
	pause := max(p.retry-took, p.opts.MinBackoff)
	return pause/2 + p.part(pause/2)
}

// ConsecutiveFailures is how many calls have failed in a row.
func (p *Pacer) ConsecutiveFailures() int { return p.failed }
