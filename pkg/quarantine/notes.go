package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is what instances tell each other of a request. Times are ages and spans, since
// instances share no clock. Fields are numbered, so that an instance of another version reads
// those that it knows.
type Report struct {
	Key Key `cbor:"1,keyasint" json:"key"`
	// EndIDs name the ends of leafs under it; the last one was of Service, AgeMs ago.
	EndIDs  []uint64 `cbor:"2,keyasint,omitempty" json:"ends,omitempty"`
	Service string   `cbor:"3,keyasint,omitempty" json:"service,omitempty"`
	AgeMs   uint32   `cbor:"4,keyasint,omitempty" json:"age_ms,omitempty"`
	// Trials counts those that ended a leaf; it is quarantined for LeftMs more.
	Trials      uint8  `cbor:"5,keyasint,omitempty" json:"trials,omitempty"`
	RemainingMs uint32 `cbor:"6,keyasint,omitempty" json:"left_ms,omitempty"`
	// Cleared: a leaf answered it, AgeMs ago.
	Cleared bool `cbor:"7,keyasint,omitempty" json:"cleared,omitempty"`
}

// pendingNote is a change that is still to be told.
type pendingNote struct {
	key Key
	// clearedAt: it was cleared then; zero: what is told is its record.
	clearedAt time.Time
	// left is how often more it is told.
	left int
}

const (
	// tellTimes is how often each change is told: datagrams get lost. What is missed all the
	// same comes with Some.
	tellTimes = 2
	// pendingMost bounds the changes that wait to be told.
	pendingMost = 1024
	// serviceMost bounds the service's name in a note, in bytes.
	serviceMost = 128
)

// tell notes a change for others; mu is held.
func (t *Table) tell(k Key, cleared bool, now time.Time) {
	t.told = slices.DeleteFunc(t.told, func(p pendingNote) bool { return p.key == k })
	p := pendingNote{key: k, left: tellTimes}
	if cleared {
		p.clearedAt = now
	}
	if len(t.told) < pendingMost {
		t.told = append(t.told, p)
	}
}

// PendingReports returns up to n changes that others are to be told, the gravest first.
func (t *Table) PendingReports(n int, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.told) == 0 {
		return nil
	}
	grave := func(p pendingNote) int {
		if r := t.records[p.key]; r != nil {
			return int(r.verdict(now))
		}
		return 0
	}
	slices.SortStableFunc(t.told, func(a, b pendingNote) int { return cmp.Compare(grave(b), grave(a)) })
	var out []Report
	for i := range t.told[:min(n, len(t.told))] {
		p := &t.told[i]
		p.left--
		if note, ok := t.note(*p, now); ok {
			out = append(out, note)
		}
	}
	t.told = slices.DeleteFunc(t.told, func(p pendingNote) bool { return p.left <= 0 })
	return out
}

// note describes a change; mu is held.
func (t *Table) note(p pendingNote, now time.Time) (Report, bool) {
	if !p.clearedAt.IsZero() {
		return Report{Key: p.key, Cleared: true, AgeMs: millis(now.Sub(p.clearedAt))}, true
	}
	r := t.records[p.key]
	if r == nil {
		return Report{}, false
	}
	return r.note(p.key, now), true
}

// note is the record for others.
func (r *record) note(k Key, now time.Time) Report {
	return Report{
		Key: k, EndIDs: slices.Clone(r.ends), Service: r.service[:min(len(r.service), serviceMost)], AgeMs: millis(now.Sub(r.touched)),
		Trials: uint8(min(r.trials, len(quarantineFor))), RemainingMs: millis(r.until.Sub(now)),
	}
}

// millis is a span as a note tells it.
func millis(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// AntiEntropyReports returns up to n of the requests that are not sound, others each time: instances that
// have started or were cut off since learn of them.
func (t *Table) AntiEntropyReports(n int, now time.Time) []Report {
	if t.size.Load() == 0 {
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
			out = append(out, r.note(k, now))
		}
	}
	return out
}

// Merge takes over what another instance says, and returns what it changed. What two have
// seen of a request adds up.
func (t *Table) Merge(n Report, now time.Time) VerdictChange {
	touched := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
	if n.Key == (Key{}) || now.Sub(touched) > rememberFor+quarantineFor[len(quarantineFor)-1] {
		return VerdictChange{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	from := t.records[n.Key].verdict(now)
	if n.Cleared {
		if r := t.records[n.Key]; r != nil && !r.touched.After(touched) {
			t.drop(n.Key)
		}
		return t.turn(n.Key, from, now)
	}
	left := min(time.Duration(n.RemainingMs)*time.Millisecond, t.most)
	t.record(n.Key, now).learn(n, touched, now.Add(left))
	return t.turn(n.Key, from, now)
}

// learn merges what another instance says, which a leaf's end at a time made it believe, with
// the end of its quarantine.
func (r *record) learn(n Report, touched, until time.Time) {
	fresh := len(r.ends) == 0
	for _, end := range n.EndIDs {
		r.add(end)
	}
	if fresh || touched.After(r.touched) {
		r.touched = touched
		r.service = n.Service[:min(len(n.Service), serviceMost)]
		r.leaf = ""
	}
	r.trials = max(r.trials, min(int(n.Trials), len(quarantineFor)))
	r.until = later(r.until, until)
}
