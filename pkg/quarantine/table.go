package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table knows the requests under which leafs have ended. It is safe for concurrent use and
// does no I/O; time is an argument.
//
// What goes wrong without it: a request that makes leafs crash is sent to a leaf of every
// shard, then to the other leafs as a repeat after a failure, and again with each of its
// callers' attempts. One notices all leafs of a service end together, again and again, and a
// query among those in flight that no leaf ever answered. Requests that were merely in flight
// at the same leafs are told from it by a trial: a leaf answers them.
type Table struct {
	mu      sync.Mutex
	records map[Key]*record
	// told are the changes that others have not been told yet.
	told  []pendingNote
	swept time.Time
	// most bounds how long a request is quarantined.
	most time.Duration
	// size is the number of records, read without the lock: nearly always 0.
	size atomic.Int64
	// cursor is where Some goes on.
	cursor Key
	counts Counts
}

// Counts are what has happened so far.
type Counts struct {
	// LeafsEnded counts ends of leafs under requests of this instance.
	LeafsEnded atomic.Int64
	// Trials counts requests that were tried at one leaf.
	Trials atomic.Int64
	// Cleared counts suspects that a leaf has answered.
	Cleared atomic.Int64
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{records: make(map[Key]*record), most: quarantineFor[len(quarantineFor)-1]}
}

// SetMaxDuration bounds how long a request is quarantined, also those that are.
func (t *Table) SetMaxDuration(most time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most = most
	for _, r := range t.records {
		r.until = earlier(r.until, now.Add(most))
	}
}

// Counts are the counters.
func (t *Table) Counts() *Counts { return &t.counts }

// VerdictChange is a change of what is believed of a request.
type VerdictChange struct {
	Key      Key
	From, To Verdict
	// LeafsEnded is how many leafs have ended under it, as far as is remembered, the last of
	// Service.
	LeafsEnded int
	Service    string
	Trials     int
	// QuarantinedFor is how long it is quarantined.
	QuarantinedFor time.Duration
}

// Changed reports whether anything changed.
func (u VerdictChange) Changed() bool { return u.From != u.To }

// turn describes a change; mu is held.
func (t *Table) turn(k Key, from Verdict, now time.Time) VerdictChange {
	r := t.records[k]
	u := VerdictChange{Key: k, From: from, To: r.verdict(now)}
	if r != nil {
		u.LeafsEnded, u.Service, u.Trials, u.QuarantinedFor = len(r.ends), r.service, r.trials, max(r.until.Sub(now), 0)
	}
	return u
}

// Verdict is what is believed of a request now.
func (t *Table) Verdict(k Key, now time.Time) Verdict {
	if t.size.Load() == 0 {
		return Sound
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[k].verdict(now)
}

// Remaining is for how much longer a request is quarantined; zero: it is not.
func (t *Table) Remaining(k Key, now time.Time) time.Duration {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	if r.verdict(now) != Quarantined {
		return 0
	}
	return r.until.Sub(now)
}

// Admission says how a request may be sent.
type Admission struct {
	// Verdict: Suspect means that it is to be tried at one leaf, best one of Service, and
	// that TrialEnded must be called.
	Verdict Verdict
	Service string
	// RetryAfter is when a quarantined request may be sent again.
	RetryAfter time.Duration
}

// Admit decides on a request that is about to be sent to leafs.
func (t *Table) Admit(k Key, now time.Time) Admission {
	if t.size.Load() == 0 {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	switch r.verdict(now) {
	case Quarantined:
		return Admission{Verdict: Quarantined, RetryAfter: r.until.Sub(now)}
	case Suspect:
		if now.Before(r.tryingUntil) {
			return Admission{Verdict: Quarantined, RetryAfter: trialRetry}
		}
		t.counts.Trials.Add(1)
		r.tryingUntil = now.Add(trialMost)
		return Admission{Verdict: Suspect, Service: r.service}
	}
	return Admission{}
}

// RecordLeafEnd takes over that a leaf of a service ended while it had an attempt of a request, since
// began. Several attempts that a leaf had when it ended count once.
func (t *Table) RecordLeafEnd(k Key, attempt, leaf, service string, began, now time.Time) VerdictChange {
	if k == (Key{}) {
		return VerdictChange{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.LeafsEnded.Add(1)
	r := t.record(k, now)
	from := r.verdict(now)
	if r.leaf == leaf && !began.After(r.touched) {
		return t.turn(k, from, now)
	}
	r.leaf, r.service, r.touched = leaf, service, now
	if r.add(xxhash.Sum64String(leaf + " " + attempt)) {
		t.tell(k, false, now)
	}
	return t.turn(k, from, now)
}

// TrialOutcome is how a trial ended.
type TrialOutcome int

const (
	// Unsent: no leaf got the request.
	Unsent TrialOutcome = iota
	// Answered: a leaf answered it.
	Answered
	// LeafEnded: the leaf ended.
	LeafEnded
	// Unresolved: the leaf got it and did neither.
	Unresolved
)

// RecordTrial takes over how the trial of a suspect ended.
func (t *Table) RecordTrial(k Key, trial TrialOutcome, now time.Time) VerdictChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	if r == nil {
		return VerdictChange{}
	}
	from := r.verdict(now)
	r.tryingUntil = time.Time{}
	switch trial {
	case Unsent:
		return t.turn(k, from, now)
	case Answered:
		t.counts.Cleared.Add(1)
		t.drop(k)
		t.tell(k, true, now)
		return t.turn(k, from, now)
	case LeafEnded:
		r.unresolved = 0
		r.until = now.Add(min(t.quarantineFor(r, now), t.most))
		r.trials++
	case Unresolved:
		r.until = now.Add(min(unresolvedFirst<<min(r.unresolved, 16), unresolvedMost, t.most))
		r.unresolved++
	}
	t.tell(k, false, now)
	return t.turn(k, from, now)
}

// quarantineFor is how long a request is quarantined whose trial ended a leaf; mu is held.
func (t *Table) quarantineFor(r *record, now time.Time) time.Duration {
	if t.count(Quarantined, now) >= manyQuarantined {
		return quarantineFor[0]
	}
	return quarantineFor[min(r.trials, len(quarantineFor)-1)]
}

// record returns the record of a request, made on first use; mu is held.
func (t *Table) record(k Key, now time.Time) *record {
	r := t.records[k]
	if r != nil {
		return r
	}
	if len(t.records) >= recordsMost {
		t.evict(now)
	}
	r = &record{touched: now}
	t.records[k] = r
	t.size.Store(int64(len(t.records)))
	return r
}

// drop forgets a request; mu is held.
func (t *Table) drop(k Key) {
	delete(t.records, k)
	t.size.Store(int64(len(t.records)))
}

// evictPart is the part of the records that goes when there are too many: looking for one at
// a time would cost a storm of requests a look at all of them each.
const evictPart = 8

// evict makes room: of those that are least to be feared, the ones that were quiet for longest
// go. mu is held.
func (t *Table) evict(now time.Time) {
	keys := slices.SortedFunc(maps.Keys(t.records), func(a, b Key) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(x.verdict(now), y.verdict(now)), x.touched.Compare(y.touched))
	})
	for _, k := range keys[:len(keys)/evictPart] {
		t.drop(k)
	}
}

// Sweep drops what is no longer remembered.
func (t *Table) Sweep(now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for k, r := range t.records {
		if now.Sub(later(r.touched, r.until)) > rememberFor {
			t.drop(k)
		}
	}
}
