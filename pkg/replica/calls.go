package replica

import "time"

// Outcome is what became of a request to a leaf.
type Outcome int

const (
	// Answered: a whole, valid success.
	Answered Outcome = iota
	// Failed: the leaf ran the request and reported a failure of its own.
	Failed
	// Refused: the leaf says that it did not run the request.
	Refused
	// Misdirected: another leaf has the address; not run.
	Misdirected
	// NotSent: no connection, or nothing was written; not run.
	NotSent
	// Broken: the connection ended, or what came was no valid answer; the
	// request may have run.
	Broken
	// TimedOut: no answer within the time the leaf was given; it may have
	// run.
	TimedOut
	// ConnLimitReached: a new connection ended before it brought a reply, as leafs end
	// those beyond their limit; the request may have run.
	ConnLimitReached
	// Abandoned: given up from this side; the leaf takes at least as long as
	// was waited.
	Abandoned
	// PeerLost: the peer that the request went through did not return a reply; it
	// may have run, and nothing is known of the leaf.
	PeerLost
	// PeerRefused: the peer did not send the request; not run, and nothing is known
	// of the leaf.
	PeerRefused
	// ProcessExited: the leaf's process ended while it had the request, which may have run; a
	// request may also be the cause.
	ProcessExited
)

// String names the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "misdirected", "not_sent", "broken", "timed_out", "crowded", "abandoned", "peer_lost", "peer_refused", "ended"}[o]
}

// Valid reports whether the outcome is one of the above.
func (o Outcome) Valid() bool { return o >= Answered && o <= ProcessExited }

// NotRun reports whether the outcome is certain proof that the request did
// not run and will not.
func (o Outcome) NotRun() bool {
	return o == Refused || o.NotDelivered()
}

// NotDelivered reports whether the outcome proves that no leaf of the service got the request.
func (o Outcome) NotDelivered() bool { return o == Misdirected || o == NotSent || o == PeerRefused }

// Call is a request in flight at a leaf.
type Call struct {
	Leaf Leaf
	// row is the leaf's when the call began; nil: it had left. A leaf that starts
	// again has another one.
	row   *row
	class string
	start time.Time
}

// Class is the class of work that the request belongs to.
func (c *Call) Class() string { return c.class }

// StartTime is when the request was sent.
func (c *Call) StartTime() time.Time { return c.start }

// Begin counts a request as in flight at the placed leaf. It returns nil when
// other requests have taken the last of the leaf's connections since it was
// placed, its zone is evacuated, or it is cold
// and has got what it may.
func (t *Table) Begin(p Placement, className string, now time.Time) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[p.Leaf.ID]
	if r != nil {
		if t.evacuated[r.Zone] || t.full(r, now) || t.coldFull(r, now) {
			return nil
		}
		t.noteCold(r, now)
		r.begin(now)
	}
	return &Call{Leaf: p.Leaf, row: r, class: className, start: now}
}

// HealthChange says whether a call's outcome changed what is believed of its leaf.
type HealthChange int

const (
	// HealthUnchanged: up or down as before.
	HealthUnchanged HealthChange = iota
	// MarkedDown: the leaf is out of use until it is probed.
	MarkedDown
	// Recovered: a leaf that was down has answered.
	Recovered
)

// End takes over what became of a call.
func (t *Table) End(c *Call, outcome Outcome, now time.Time) HealthChange {
	return t.EndWithLatency(c, outcome, now.Sub(c.start), now)
}

// EndWithLatency is End for a call whose leaf took less time than has passed since: a peer
// that it went through has kept the reply for others.
func (t *Table) EndWithLatency(c *Call, outcome Outcome, took time.Duration, now time.Time) HealthChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[c.Leaf.ID]
	if r == nil || r != c.row {
		return HealthUnchanged
	}
	r.end(c.start)
	wasUp := r.failures < downAfter
	t.learn(r, c, outcome, took, now)
	isUp := r.failures < downAfter
	switch {
	case wasUp && !isUp:
		return MarkedDown
	case isUp && !wasUp:
		return Recovered
	}
	return HealthUnchanged
}

// learn updates what is known of r.
func (t *Table) learn(r *row, c *Call, outcome Outcome, took time.Duration, now time.Time) {
	switch outcome {
	case Answered:
		r.answered(now)
		r.lateSince = time.Time{}
		t.zoneReplied(r.Zone, now)
		r.learnRefusal(false, now)
		t.class(c.class).learn(took)
		r.learnSlowness(float64(took)/float64(t.typical(c.class)), now)
	case Failed, Refused:
		r.learnLate(took, t.typical(c.class), now)
		r.answered(now)
		t.zoneReplied(r.Zone, now)
		r.learnRefusal(true, now)
	case Misdirected:
		r.failures = downAfter
		r.downUntil = now.Add(downMost)
		t.zoneReplied(r.Zone, now)
	case NotSent:
		r.unreached = true
		r.fail(now)
	case Broken, ProcessExited:
		r.unreached = false
		r.learnRefusal(true, now)
		r.fail(now)
	case ConnLimitReached:
		r.unreached = false
		r.learnRefusal(true, now)
		r.learnCrowded(now)
	case TimedOut:
		r.learnSlowness(float64(took)/float64(t.typical(c.class)), now)
	case Abandoned:
		t.learnAbandoned(r, c, took, now)
	}
}

// learnAbandoned takes over how long a call was waited for that was given up.
//
// A leaf whose calls another one always answers first, and which are then ended,
// never shows how slow it is; one notices that each query asks it first and pays
// for a second request until their budget is used up. The wait is the least that
// a reply would have taken, so it counts only where it is more than is believed, and then in full.
func (t *Table) learnAbandoned(r *row, c *Call, took time.Duration, now time.Time) {
	r.givenUp = true
	least := float64(took) / float64(t.typical(c.class))
	if least > r.slownessNow(now) {
		r.slowness, r.slownessAt = min(least, slownessCap), now
	}
}
