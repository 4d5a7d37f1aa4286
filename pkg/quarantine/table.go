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

// Table records the requests that leafs had in flight when they crashed. A leaf counts as crashed
// when its process ends while it has a request. Table is safe for concurrent use and does no I/O;
// the current time is an argument.
//
// Without it, a request that crashes leafs is sent to a leaf of every shard, then to the other
// leafs as a retry after a failure, and again with each attempt of its callers. The symptom is
// that all leafs of a service crash together, again and again, and that one of the queries in
// flight was never answered by any leaf. Requests that were merely in flight at the same leafs
// are distinguished from it by a trial: a leaf answers them.
type Table struct {
	mu      sync.Mutex
	records map[Key]*record
	// pending are the changes that still have to be sent to other instances. changed holds a
	// value when one was added.
	pending   []pendingReport
	changed   chan struct{}
	lastSweep time.Time
	// maxDuration is the maximum duration of a quarantine.
	maxDuration time.Duration
	// probation covers the time in which the table may lack what was known before this instance
	// started.
	probation probation
	// settleTime is how long a claim waits for competing ones; zero if there are no other
	// instances.
	settleTime time.Duration
	// recordCount is the number of records. It is almost always 0 and is read without the lock.
	recordCount atomic.Int64
	// cursor is the key at which the next call of AntiEntropyReports starts.
	cursor Key
	counts Counts
}

// Counts are counters of events since the start.
type Counts struct {
	// LeafsCrashed counts the crashes of leafs that had requests of this instance.
	LeafsCrashed atomic.Int64
	// Trials counts the requests that were tried at one leaf.
	Trials atomic.Int64
	// Cleared counts the suspected requests that a leaf has answered.
	Cleared atomic.Int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records: make(map[Key]*record), changed: make(chan struct{}, 1),
		maxDuration: quarantineDurations[len(quarantineDurations)-1],
	}
}

// SetMaxDuration limits the duration of quarantines, including those already in force.
func (t *Table) SetMaxDuration(maxDuration time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxDuration = maxDuration
	for _, r := range t.records {
		r.quarantinedUntil = earlier(r.quarantinedUntil, now.Add(maxDuration))
	}
}

// EnableSharing makes trials wait for the claims of other instances. It must be called before the
// table is used, by the code that exchanges reports with them.
func (t *Table) EnableSharing() { t.settleTime = claimSettleTime }

// Counts returns the counters.
func (t *Table) Counts() *Counts { return &t.counts }

// VerdictChange describes the verdicts on a request before and after an event.
type VerdictChange struct {
	Key      Key
	From, To Verdict
	// LeafsCrashed is the number of leafs that crashed while they had the request, as far as
	// remembered. Service is the shard of the last one.
	LeafsCrashed int
	Service      string
	Trials       int
	// QuarantinedFor is the time left of the quarantine.
	QuarantinedFor time.Duration
}

// Changed reports whether the verdict changed.
func (c VerdictChange) Changed() bool { return c.From != c.To }

// verdictChange describes the change from an earlier verdict to the current one. The caller must
// hold mu.
func (t *Table) verdictChange(k Key, from Verdict, now time.Time) VerdictChange {
	r := t.records[k]
	change := VerdictChange{Key: k, From: from, To: r.verdict(now)}
	if r != nil {
		change.LeafsCrashed, change.Service, change.Trials, change.QuarantinedFor =
			len(r.crashIDs), r.service, r.trials, max(r.quarantinedUntil.Sub(now), 0)
	}
	return change
}

// Verdict returns the current verdict on a request.
func (t *Table) Verdict(k Key, now time.Time) Verdict {
	if t.recordCount.Load() == 0 {
		return Sound
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[k].verdict(now)
}

// Remaining returns the time left of a request's quarantine; zero means that it is not
// quarantined.
func (t *Table) Remaining(k Key, now time.Time) time.Duration {
	if t.recordCount.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	if r.verdict(now) != Quarantined {
		return 0
	}
	return r.quarantinedUntil.Sub(now)
}

// RecordLeafCrash records that a leaf of a service crashed while it had an attempt of a request
// that was sent to it at began. If the leaf had several attempts of the request when it crashed,
// they count once.
func (t *Table) RecordLeafCrash(k Key, attempt, leaf, service string, began, now time.Time) VerdictChange {
	if k == (Key{}) {
		return VerdictChange{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.LeafsCrashed.Add(1)
	r := t.record(k, now)
	from := r.verdict(now)
	if r.leaf == leaf && !began.After(r.lastCrash) {
		return t.verdictChange(k, from, now)
	}
	r.leaf, r.service, r.lastCrash = leaf, service, now
	if r.addCrash(xxhash.Sum64String(leaf + " " + attempt)) {
		t.queueReport(k, false, now)
	}
	if from == Sound && t.unprovenLocked(k, now) {
		// The first leafs that an unproven request is sent to are its trial.
		r.quarantinedUntil = now.Add(min(unprovenQuarantine, t.maxDuration))
		r.trials++
	}
	return t.verdictChange(k, from, now)
}

// record returns the record of a request, which is created on first use. The caller must hold mu.
func (t *Table) record(k Key, now time.Time) *record {
	r := t.records[k]
	if r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.evict(now)
	}
	r = &record{lastCrash: now}
	t.records[k] = r
	t.recordCount.Store(int64(len(t.records)))
	return r
}

// deleteRecord removes the record of a request. The caller must hold mu.
func (t *Table) deleteRecord(k Key) {
	delete(t.records, k)
	t.recordCount.Store(int64(len(t.records)))
}

// evictDivisor sets the fraction of the records that is evicted when the table is full:
// 1/evictDivisor. If a single record were evicted at a time, a flood of requests would scan all
// records once for each request.
const evictDivisor = 8

// evict makes room for new records. It removes the records with the mildest verdicts and, among
// these, those whose last crash is longest ago. The caller must hold mu.
func (t *Table) evict(now time.Time) {
	keys := slices.SortedFunc(maps.Keys(t.records), func(a, b Key) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(x.verdict(now), y.verdict(now)), x.lastCrash.Compare(y.lastCrash))
	})
	for _, k := range keys[:len(keys)/evictDivisor] {
		t.deleteRecord(k)
	}
}

// Sweep removes expired records, at most once per sweepInterval.
func (t *Table) Sweep(now time.Time) {
	if t.recordCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for k, r := range t.records {
		if now.Sub(later(r.lastCrash, r.quarantinedUntil)) > recordTTL {
			t.deleteRecord(k)
		}
	}
}
