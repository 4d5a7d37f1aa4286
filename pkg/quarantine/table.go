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

// Verdict says whether a request may be sent to leafs.
type Verdict int

const (
	// Sound: like any other.
	Sound Verdict = iota
	// Suspect: leafs have ended while they ran it. It is tried at one leaf; if that one
	// answers, it is sound.
	Suspect
	// Quarantined: it ended a leaf in a trial, too, and is sent to none for a while.
	Quarantined
)

// String names the verdict in logs and the state dump.
func (v Verdict) String() string { return [...]string{"sound", "suspect", "quarantined"}[v] }

const (
	// suspectAfter is how many leafs must have ended under a request before it is tried at
	// one. A single end may have another cause; a request to one leaf is sent to a second one
	// after it, as after any failure.
	suspectAfter = 2
	// rememberFor is how long a suspect is remembered without news.
	rememberFor = 10 * time.Minute
	// recordsMost bounds the requests that are remembered, about 1 MB.
	recordsMost = 4096
	// evidenceMost bounds the ends that are remembered of a request: more change nothing.
	evidenceMost = 4
	// sweepEvery is how often what is no longer remembered is dropped.
	sweepEvery = 10 * time.Second
	// trialMost is how long a trial may be under way at most: longer than callers wait.
	trialMost = 30 * time.Second
	// trialRetry is when to come back while the same request is being tried.
	trialRetry = 250 * time.Millisecond
)

// quarantineFor is how long a request is quarantined after the first, the second, and any
// further trial that ended a leaf. One whose trial met a leaf that ended for another reason is
// soon tried again; one that ends leafs for good costs three of them in a day.
var quarantineFor = [...]time.Duration{10 * time.Second, 10 * time.Minute, 24 * time.Hour}

// manyQuarantined is how many requests may be quarantined at once before leafs are taken to
// end whatever they run, as after a bad release. The fault is theirs then, and a long
// quarantine would outlast its repair: each request is tried again after the shortest.
const manyQuarantined = 16

// A trial whose leaf neither answered nor ended says nothing: it refused for want of room, or
// the time was up. The next one waits unresolvedFirst, and twice as long each time, up to
// unresolvedMost.
const (
	unresolvedFirst = 5 * time.Second
	unresolvedMost  = 10 * time.Minute
)

// record is what is known of one request.
type record struct {
	// ends name the ends of leafs under it, for merging with what others saw.
	ends []uint64
	// leaf is the leaf that ended last, of service.
	leaf, service string
	// touched is when a leaf ended last.
	touched time.Time
	// trials counts those that ended a leaf, unresolved those in a row that said nothing.
	trials, unresolved int
	// until is the end of the quarantine.
	until time.Time
	// tryingUntil bounds the trial that is under way here; zero: none is.
	tryingUntil time.Time
}

func (r *record) verdict(now time.Time) Verdict {
	switch {
	case r == nil:
		return Sound
	case now.Before(r.until):
		return Quarantined
	case len(r.ends) >= suspectAfter:
		return Suspect
	}
	return Sound
}

// add takes over the name of an end, and reports whether it was new.
func (r *record) add(end uint64) bool {
	if len(r.ends) >= evidenceMost || slices.Contains(r.ends, end) {
		return false
	}
	r.ends = append(r.ends, end)
	return true
}

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
	// Ended counts ends of leafs under requests of this instance.
	Ended atomic.Int64
	// Trials counts requests that were tried at one leaf.
	Trials atomic.Int64
	// Cleared counts suspects that a leaf has answered.
	Cleared atomic.Int64
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{records: make(map[Key]*record), most: quarantineFor[len(quarantineFor)-1]}
}

// SetMost bounds how long a request is quarantined, also those that are.
func (t *Table) SetMost(most time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most = most
	for _, r := range t.records {
		r.until = earlier(r.until, now.Add(most))
	}
}

// Counts are the counters.
func (t *Table) Counts() *Counts { return &t.counts }

// Turn is a change of what is believed of a request.
type Turn struct {
	Key      Key
	From, To Verdict
	// Ends is how many leafs have ended under it, as far as is remembered, the last of
	// Service.
	Ends    int
	Service string
	Trials  int
	// For is how long it is quarantined.
	For time.Duration
}

// Changed reports whether anything changed.
func (u Turn) Changed() bool { return u.From != u.To }

// turn describes a change; mu is held.
func (t *Table) turn(k Key, from Verdict, now time.Time) Turn {
	r := t.records[k]
	u := Turn{Key: k, From: from, To: r.verdict(now)}
	if r != nil {
		u.Ends, u.Service, u.Trials, u.For = len(r.ends), r.service, r.trials, max(r.until.Sub(now), 0)
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

// Left is for how much longer a request is quarantined; zero: it is not.
func (t *Table) Left(k Key, now time.Time) time.Duration {
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

// Ended takes over that a leaf of a service ended while it had an attempt of a request, since
// began. Several attempts that a leaf had when it ended count once.
func (t *Table) Ended(k Key, attempt, leaf, service string, began, now time.Time) Turn {
	if k == (Key{}) {
		return Turn{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Ended.Add(1)
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

// Trial is how a trial ended.
type Trial int

const (
	// Unsent: no leaf got the request.
	Unsent Trial = iota
	// Answered: a leaf answered it.
	Answered
	// LeafEnded: the leaf ended.
	LeafEnded
	// Unresolved: the leaf got it and did neither.
	Unresolved
)

// TrialEnded takes over how the trial of a suspect ended.
func (t *Table) TrialEnded(k Key, trial Trial, now time.Time) Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	if r == nil {
		return Turn{}
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// State is a request's row in the state dump.
type State struct {
	Content string `json:"content"`
	Verdict string `json:"verdict"`
	// LeafsEnded is how many leafs have ended under it, as far as is remembered (four),
	// the last of Service.
	LeafsEnded int    `json:"leafs_ended"`
	Service    string `json:"service"`
	Trials     int    `json:"trials"`
	// LeftMs is how much longer it is quarantined, QuietMs how long ago a leaf ended.
	LeftMs  int64 `json:"left_ms"`
	QuietMs int64 `json:"quiet_ms"`
}

// Dump lists the requests that are not sound.
func (t *Table) Dump(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []State
	for k, r := range t.records {
		if v := r.verdict(now); v != Sound {
			out = append(out, State{
				Content: k.String(), Verdict: v.String(), LeafsEnded: len(r.ends), Service: r.service, Trials: r.trials,
				LeftMs: max(r.until.Sub(now), 0).Milliseconds(), QuietMs: now.Sub(r.touched).Milliseconds(),
			})
		}
	}
	slices.SortFunc(out, func(a, b State) int { return int(a.QuietMs - b.QuietMs) })
	return out
}

// Count is how many requests have a verdict.
func (t *Table) Count(v Verdict, now time.Time) int {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(v, now)
}

// count is Count; mu is held.
func (t *Table) count(v Verdict, now time.Time) int {
	n := 0
	for _, r := range t.records {
		if r.verdict(now) == v {
			n++
		}
	}
	return n
}
