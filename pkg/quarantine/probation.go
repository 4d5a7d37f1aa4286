package quarantine

import (
	"sync/atomic"
	"time"
)

const (
	// unprovenQuarantine is the duration of the quarantine of a request that crashed its first
	// leaf during probation. Instances that have lost their memory may lose it again soon, and
	// each time the end of a short quarantine would allow one more trial.
	unprovenQuarantine = 30 * time.Second
	// maxProven is the maximum number of requests that are remembered as proven.
	maxProven = 4096
)

// probation is the time after a start in which requests are sent to few leafs first. When all
// instances lose their memory together, a request that was quarantined comes back as an unknown
// one, and would crash a leaf of each shard. The first crash is therefore taken for that of a trial.
type probation struct {
	// period is how far back the knowledge of the instances must reach until requests are sent as
	// usual. The zero value means that there is no probation.
	period time.Duration
	// started is when this instance started, and lasts how long after that the probation ends, in
	// nanoseconds. Steps of the wall clock do not change either.
	started time.Time
	lasts   atomic.Int64
	// proven are the requests that a leaf has answered.
	proven map[Key]struct{}
}

// active reports whether the probation is in force.
func (p *probation) active(now time.Time) bool { return now.Sub(p.started) < p.duration() }

// duration returns the time from the start to the end of the probation.
func (p *probation) duration() time.Duration { return time.Duration(p.lasts.Load()) }

// StartProbation begins the probation of an instance that starts now. It must be called before the
// table is used.
func (t *Table) StartProbation(period time.Duration, now time.Time) {
	t.probation.period, t.probation.started = period, now
	t.probation.lasts.Store(int64(period))
	t.probation.proven = make(map[Key]struct{})
}

// ProbationLeft returns the time left of the probation.
func (t *Table) ProbationLeft(now time.Time) time.Duration {
	return max(t.probation.duration()-now.Sub(t.probation.started), 0)
}

// unproven reports whether a sound request is to be sent to few leafs first.
func (t *Table) unproven(k Key, now time.Time) bool {
	if !t.probation.active(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unprovenLocked(k, now)
}

// unprovenLocked is unproven for callers that hold mu.
func (t *Table) unprovenLocked(k Key, now time.Time) bool {
	_, proven := t.probation.proven[k]
	return t.probation.active(now) && !proven && k != Key{}
}

// RecordAnswered records that a leaf has answered a request, which is thereby proven.
func (t *Table) RecordAnswered(k Key, now time.Time) {
	if !t.probation.active(now) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.probation.proven) < maxProven {
		t.probation.proven[k] = struct{}{}
	}
}

// History returns how far back the knowledge of this instance reaches, or 0 if it keeps more than n
// requests from leafs: a message with n reports does not pass on all of it.
func (t *Table) History(n int, now time.Time) time.Duration {
	if t.recordCount.Load() > 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.countLocked(Suspect, now)+t.countLocked(Quarantined, now) > n {
			return 0
		}
	}
	return max(now.Sub(t.probation.started)+t.probation.period-t.probation.duration(), 0)
}

// MergeHistory records that all knowledge of an instance was received, which reaches back for the
// given time.
func (t *Table) MergeHistory(history time.Duration, now time.Time) {
	lasts := int64(now.Sub(t.probation.started) + t.probation.period - history)
	for {
		current := t.probation.lasts.Load()
		if lasts >= current || t.probation.lasts.CompareAndSwap(current, lasts) {
			return
		}
	}
}
