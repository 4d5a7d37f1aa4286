package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is what instances tell each other about a request. Times are sent as ages and durations,
// because the instances' clocks are not synchronized. Fields are numbered, so that an instance of
// another version reads the fields that it knows.
type Report struct {
	Key Key `cbor:"1,keyasint" json:"key"`
	// CrashIDs identify the crashes of leafs that had the request. The last one was that of a leaf
	// of Service and happened AgeMs ago.
	CrashIDs []uint64 `cbor:"2,keyasint,omitempty" json:"ends,omitempty"`
	Service  string   `cbor:"3,keyasint,omitempty" json:"service,omitempty"`
	AgeMs    uint32   `cbor:"4,keyasint,omitempty" json:"age_ms,omitempty"`
	// Trials is the number of trials that crashed a leaf. RemainingMs is the time left of the
	// quarantine.
	Trials      uint8  `cbor:"5,keyasint,omitempty" json:"trials,omitempty"`
	RemainingMs uint32 `cbor:"6,keyasint,omitempty" json:"left_ms,omitempty"`
	// Cleared means that a leaf answered the request AgeMs ago.
	Cleared bool `cbor:"7,keyasint,omitempty" json:"cleared,omitempty"`
	// Unresolved is the number of trials without a result.
	Unresolved uint8 `cbor:"8,keyasint,omitempty" json:"unresolved,omitempty"`
	// ClaimID identifies the last claim to a trial. ClaimRemainingMs is the time left until that
	// trial ends at the latest; zero means that it has ended.
	ClaimID          uint64 `cbor:"9,keyasint,omitempty" json:"claim,omitempty"`
	ClaimRemainingMs uint32 `cbor:"10,keyasint,omitempty" json:"claim_left_ms,omitempty"`
}

// pendingReport is a change that is still to be sent to other instances.
type pendingReport struct {
	key Key
	// clearedAt is the time at which the request was cleared. If it is zero, the request's record
	// is sent.
	clearedAt time.Time
	// sendsLeft is how many more times the change is sent.
	sendsLeft int
}

const (
	// sendsPerReport is how many times each change is sent, because datagrams are lost. Changes
	// that are lost nevertheless are repaired by AntiEntropyReports.
	sendsPerReport = 2
	// maxPendingReports is the maximum number of changes waiting to be sent.
	maxPendingReports = 1024
	// maxServiceBytes is the maximum length of the service's name in a report.
	maxServiceBytes = 128
)

// queueReport queues a change for the other instances. The caller must hold mu.
func (t *Table) queueReport(k Key, cleared bool, now time.Time) {
	t.pending = slices.DeleteFunc(t.pending, func(p pendingReport) bool { return p.key == k })
	p := pendingReport{key: k, sendsLeft: sendsPerReport}
	if cleared {
		p.clearedAt = now
	}
	if len(t.pending) < maxPendingReports {
		t.pending = append(t.pending, p)
	}
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// hasPending reports whether changes are queued.
func (t *Table) hasPending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending) > 0
}

// PendingReports returns up to n queued changes to send to other instances, the most severe
// verdicts first.
func (t *Table) PendingReports(n int, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == 0 {
		return nil
	}
	severity := func(p pendingReport) int {
		if r := t.records[p.key]; r != nil {
			return int(r.verdict(now))
		}
		return 0
	}
	slices.SortStableFunc(t.pending, func(a, b pendingReport) int { return cmp.Compare(severity(b), severity(a)) })
	var out []Report
	for i := range t.pending[:min(n, len(t.pending))] {
		p := &t.pending[i]
		p.sendsLeft--
		if report, ok := t.report(*p, now); ok {
			out = append(out, report)
		}
	}
	t.pending = slices.DeleteFunc(t.pending, func(p pendingReport) bool { return p.sendsLeft <= 0 })
	return out
}

// report returns the report of a queued change. The caller must hold mu.
func (t *Table) report(p pendingReport, now time.Time) (Report, bool) {
	if !p.clearedAt.IsZero() {
		return Report{Key: p.key, Cleared: true, AgeMs: millis(now.Sub(p.clearedAt))}, true
	}
	r := t.records[p.key]
	if r == nil {
		return Report{}, false
	}
	return r.report(p.key, now), true
}

// report returns the record as a report for other instances.
func (r *record) report(k Key, now time.Time) Report {
	return Report{
		Key: k, CrashIDs: slices.Clone(r.crashIDs), Service: r.service[:min(len(r.service), maxServiceBytes)],
		AgeMs:  millis(now.Sub(r.lastCrash)),
		Trials: uint8(min(r.trials, len(quarantineDurations))), RemainingMs: millis(r.quarantinedUntil.Sub(now)),
		Unresolved: uint8(min(r.unresolved, len(unresolvedDurations))),
		ClaimID:    r.claim.id, ClaimRemainingMs: millis(r.claim.until.Sub(now)),
	}
}

// millis converts a duration to the unit used in reports. Negative durations become 0.
func millis(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// AntiEntropyReports returns reports for up to n of the requests that are suspected or
// quarantined, the next ones on each call. They inform instances that have just started or were
// partitioned.
func (t *Table) AntiEntropyReports(n int, now time.Time) []Report {
	if t.recordCount.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(t.records), func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	start, _ := slices.BinarySearchFunc(keys, t.cursor, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	var out []Report
	for i := range keys {
		k := keys[(start+i)%len(keys)]
		if len(out) == n {
			t.cursor = k
			break
		}
		if r := t.records[k]; r.verdict(now) != Sound {
			out = append(out, r.report(k, now))
		}
	}
	return out
}

// Merge adds what another instance reports about a request, and returns the resulting change of
// its verdict. The crashes that two instances have seen are added up.
func (t *Table) Merge(report Report, now time.Time) VerdictChange {
	eventAt := now.Add(-time.Duration(report.AgeMs) * time.Millisecond)
	if report.Key == (Key{}) || now.Sub(eventAt) > recordTTL+quarantineDurations[len(quarantineDurations)-1] {
		return VerdictChange{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	from := t.records[report.Key].verdict(now)
	if report.Cleared {
		if r := t.records[report.Key]; r != nil && !r.lastCrash.After(eventAt) {
			t.deleteRecord(report.Key)
		}
		return t.verdictChange(report.Key, from, now)
	}
	left := min(time.Duration(report.RemainingMs)*time.Millisecond, t.maxDuration)
	r := t.record(report.Key, now)
	r.merge(report, eventAt, now.Add(left))
	var claimedUntil time.Time
	if report.ClaimRemainingMs > 0 {
		claimedUntil = now.Add(min(time.Duration(report.ClaimRemainingMs)*time.Millisecond, maxTrialDuration))
	}
	r.claim.merge(report.ClaimID, claimedUntil, now)
	return t.verdictChange(report.Key, from, now)
}

// merge adds a report to the record. lastCrash is when the last reported crash happened, and until
// is the end of the reported quarantine.
func (r *record) merge(report Report, lastCrash, until time.Time) {
	fresh := len(r.crashIDs) == 0
	for _, id := range report.CrashIDs {
		r.addCrash(id)
	}
	if fresh || lastCrash.After(r.lastCrash) {
		r.lastCrash = lastCrash
		r.service = report.Service[:min(len(report.Service), maxServiceBytes)]
		r.leaf = ""
	}
	r.trials = max(r.trials, min(int(report.Trials), len(quarantineDurations)))
	r.unresolved = max(r.unresolved, min(int(report.Unresolved), len(unresolvedDurations)))
	r.quarantinedUntil = later(r.quarantinedUntil, until)
}
