package quarantine

import (
	"slices"
	"time"
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
