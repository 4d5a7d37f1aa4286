package quarantine

import (
	"math/rand/v2"
	"time"
)

// A suspect is tried by one instance at a time. An instance that is about to try it sends the others a
// claim, and waits for claims that cross its own; the lowest ID wins.
//
// All quarantines of a request end at the same moment, and the callers return then. If an
// instance learned of another one's trial only from its result, each instance would send the
// request to a leaf.

const (
	// maxTrialDuration is the maximum duration of a trial. It is longer than callers wait.
	maxTrialDuration = 30 * time.Second
	// claimTimeout is how long a claim is in force that is not confirmed.
	claimTimeout = time.Second
	// TrialRetryAfter is the delay after which callers should retry while the same request is
	// being tried.
	TrialRetryAfter = 250 * time.Millisecond
	// claimSettleTime is how long a claim waits for competing ones. Both copies of a report
	// arrive within it.
	claimSettleTime = 2*RepeatDelay + 10*time.Millisecond
)

// trialClaim is an instance's claim to try a request.
type trialClaim struct {
	// id is random; zero means that there was no claim.
	id uint64
	// until is when the trial ends at the latest; zero means that it has ended.
	until time.Time
	// own reports that this instance made the claim, confirmed that it may have sent the request.
	own, confirmed bool
}

// inForce reports whether the trial may be in progress.
func (c trialClaim) inForce(now time.Time) bool { return now.Before(c.until) }

// newClaimID returns a random ID.
func newClaimID() uint64 { return rand.Uint64N(1<<63) + 1 }

// merge adopts another instance's claim unless this one's takes precedence. A zero until means that
// the claim was released; a late copy of it does not revive it.
func (c *trialClaim) merge(id uint64, until, now time.Time) {
	switch {
	case id == 0:
	case id == c.id:
		if !c.own && !c.until.IsZero() {
			c.until = until
		}
	case !now.Before(until):
	case !c.inForce(now) || !c.confirmed && id < c.id:
		*c = trialClaim{id: id, until: until}
	}
}

// Admission says how a request may be sent.
type Admission struct {
	// Verdict is Suspect if the request must be tried at one leaf, preferably one of Service.
	// RecordTrial must then be called with the outcome. Verdict is Quarantined also while another
	// attempt of the request is being tried.
	Verdict Verdict
	Service string
	// RetryAfter is the delay after which a quarantined request may be sent again.
	RetryAfter time.Duration
	// ClaimID identifies the claim to the trial of a suspect. The request may be sent only if
	// ConfirmTrial accepts the claim after SettleTime.
	ClaimID    uint64
	SettleTime time.Duration
	// Unproven means that a sound request is sent to few leafs until one has answered it.
	Unproven bool
}

// Admit decides how a request that is about to be sent to leafs may be sent. For a suspect it claims
// the trial, and the claim is sent to the other instances.
func (t *Table) Admit(k Key, now time.Time) Admission {
	admission := t.admitKnown(k, now)
	if admission.Verdict == Sound {
		admission.Unproven = t.unproven(k, now)
	}
	return admission
}

// admitKnown decides on a request by its record.
func (t *Table) admitKnown(k Key, now time.Time) Admission {
	if t.recordCount.Load() == 0 {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	switch r.verdict(now) {
	case Quarantined:
		return Admission{Verdict: Quarantined, RetryAfter: r.quarantinedUntil.Sub(now)}
	case Suspect:
		if r.claim.inForce(now) || t.trialInProgress(r.service, now) {
			return Admission{Verdict: Quarantined, RetryAfter: TrialRetryAfter}
		}
		r.claim = trialClaim{id: newClaimID(), until: now.Add(claimTimeout), own: true}
		t.queueReport(k, false, now)
		return Admission{Verdict: Suspect, Service: r.service, ClaimID: r.claim.id, SettleTime: t.settleTime}
	}
	return Admission{}
}

// trialInProgress reports whether some request is being tried at a leaf of a service. If two were
// tried together and the leaf crashed, both would be taken for the cause. Where leafs crash on any
// request this tells nothing, and would only delay the trials. The caller must hold mu.
func (t *Table) trialInProgress(service string, now time.Time) bool {
	if t.countLocked(Suspect, now)+t.countLocked(Quarantined, now) >= massQuarantineThreshold {
		return false
	}
	for _, r := range t.records {
		if r.service == service && r.claim.inForce(now) {
			return true
		}
	}
	return false
}

// ConfirmTrial reports whether the claim with the given ID still holds, so that the request may now
// be sent to one leaf, with the given deadline.
func (t *Table) ConfirmTrial(k Key, id uint64, deadline, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	if r == nil {
		return true // Cleared in the meantime.
	}
	if r.verdict(now) != Suspect || r.claim.id != id || !r.claim.inForce(now) {
		return false
	}
	t.counts.Trials.Add(1)
	r.claim.confirmed = true
	r.claim.until = earlier(deadline.Add(claimTimeout), now.Add(maxTrialDuration))
	t.queueReport(k, false, now)
	return true
}

// TrialOutcome is the outcome of a trial.
type TrialOutcome int

const (
	// Unsent means that no leaf received the request.
	Unsent TrialOutcome = iota
	// Answered means that a leaf answered the request.
	Answered
	// LeafCrashed means that the leaf crashed.
	LeafCrashed
	// Unresolved means that the leaf received the request, but neither answered nor crashed.
	Unresolved
)

// String returns the name of the outcome in logs and metrics.
func (o TrialOutcome) String() string {
	return [...]string{"unsent", "answered", "crashed", "unresolved"}[o]
}

// RecordTrial records the outcome of the trial of a suspected request, and returns the resulting
// change of its verdict.
func (t *Table) RecordTrial(k Key, trial TrialOutcome, now time.Time) VerdictChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	if r == nil {
		return VerdictChange{}
	}
	from := r.verdict(now)
	r.claim.until = time.Time{}
	switch trial {
	case Answered:
		t.counts.Cleared.Add(1)
		t.deleteRecord(k)
		t.queueReport(k, true, now)
		return t.verdictChange(k, from, now)
	case LeafCrashed:
		r.quarantinedUntil = now.Add(min(t.quarantineDuration(r, now), t.maxDuration))
		r.trials++
	case Unresolved:
		r.quarantinedUntil = now.Add(min(nth(unresolvedDurations[:], r.trials+r.unresolved), t.maxDuration))
		r.unresolved++
	}
	t.queueReport(k, false, now)
	return t.verdictChange(k, from, now)
}

// quarantineDuration returns the duration of the quarantine after a trial that crashed a leaf. The
// caller must hold mu.
func (t *Table) quarantineDuration(r *record, now time.Time) time.Duration {
	if t.countLocked(Quarantined, now) >= massQuarantineThreshold {
		return quarantineDurations[0]
	}
	return nth(quarantineDurations[:], r.trials+r.unresolved)
}

// nth returns element n of the durations, the last one if there are fewer.
func nth(durations []time.Duration, n int) time.Duration { return durations[min(n, len(durations)-1)] }
