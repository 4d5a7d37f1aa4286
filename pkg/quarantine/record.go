package quarantine

import (
	"slices"
	"time"
)

// Verdict says whether a request may be sent to leafs.
type Verdict int

const (
	// Sound means that the request is handled like any other.
	Sound Verdict = iota
	// Suspect means that leafs have crashed while they had the request. It is tried at one leaf,
	// and is sound again if that leaf answers.
	Suspect
	// Quarantined means that a trial of the request crashed a leaf or had no result. For some time
	// the request is not sent to any leaf.
	Quarantined
)

// String returns the name of the verdict used in logs and in the state dump.
func (v Verdict) String() string { return [...]string{"sound", "suspect", "quarantined"}[v] }

const (
	// suspectThreshold is the number of leafs that must have crashed while they had a request
	// before that request is tried at a single leaf. A single crash may have another cause: after
	// it, a request that needs only one leaf is sent to a second one, as after any failure.
	suspectThreshold = 2
	// recordTTL is how long a request is remembered after its last crash or the end of its
	// quarantine, whichever is later.
	recordTTL = 10 * time.Minute
	// maxRecords is the maximum number of requests that are remembered; they take about 1 MB.
	maxRecords = 4096
	// maxCrashIDs is the maximum number of crashes that are remembered for a request. More would
	// not change the verdict.
	maxCrashIDs = 4
	// sweepInterval is the interval at which expired records are removed.
	sweepInterval = 10 * time.Second
)

// quarantineDurations are the durations of the quarantine after a trial that crashed a leaf, if it was
// the first, the second or any further trial that cleared nothing. A request whose trial met a leaf that crashed for another
// reason is soon tried again. A request that always crashes its leaf crashes three leafs in a day.
var quarantineDurations = [...]time.Duration{10 * time.Second, 10 * time.Minute, 24 * time.Hour}

// massQuarantineThreshold is the number of quarantined requests at which leafs are assumed to
// crash on any request, as after a bad release. The fault is then in the leafs, and a long
// quarantine would outlast its repair, so each request is tried again after the shortest
// duration.
const massQuarantineThreshold = 16

// unresolvedDurations are the durations of the quarantine after a trial whose leaf neither answered
// nor crashed: it refused because it was full, or the deadline passed. As above, the index is the
// number of earlier trials that cleared nothing, whatever their outcome: each of them may have
// crashed a leaf later than this instance could see.
var unresolvedDurations = [...]time.Duration{10 * time.Second, time.Minute, 10 * time.Minute}

// record is what is known about one request.
type record struct {
	// crashIDs identify the crashes of leafs that had the request, so that they can be merged
	// with those that other instances saw.
	crashIDs []uint64
	// leaf is the leaf that crashed last, and service its service. leaf is empty if another
	// instance reported that crash.
	leaf, service string
	// lastCrash is the time of the last crash.
	lastCrash time.Time
	// trials is the number of trials that crashed a leaf, unresolved the number of those without
	// a result, over all instances as far as known.
	trials, unresolved int
	// quarantinedUntil is the end of the quarantine; zero means that there was none.
	quarantinedUntil time.Time
	// claim is the last known claim to a trial.
	claim trialClaim
}

func (r *record) verdict(now time.Time) Verdict {
	switch {
	case r == nil:
		return Sound
	case now.Before(r.quarantinedUntil):
		return Quarantined
	case len(r.crashIDs) >= suspectThreshold || r.trials > 0:
		return Suspect
	}
	return Sound
}

// addCrash adds the ID of a crash, and reports whether it was new and is remembered.
func (r *record) addCrash(id uint64) bool {
	if len(r.crashIDs) >= maxCrashIDs || slices.Contains(r.crashIDs, id) {
		return false
	}
	r.crashIDs = append(r.crashIDs, id)
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
