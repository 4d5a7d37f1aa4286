// Package fanout decides, for one query over many shards, what is sent where
// and when, and when the answer is complete enough. It is a state machine
// without I/O: the caller sends what it is told to, feeds back replies and the
// time, and asks for the verdict. Recorded loads are replayed through it in
// tests.
package fanout

import (
	"math"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Options shape the decisions. All are settings (docs/SETTINGS.md).
type Options struct {
	// AnswerMargin is kept back from the target latency to merge and write
	// the answer and for the way to the caller.
	AnswerMargin time.Duration
	// PartialAnswers: give a partial answer at the target latency. Off, an
	// answer waits for every shard until the deadline.
	PartialAnswers bool
	// HedgeTypicalFactor is when a second request is due, in multiples of the
	// typical reply time; zero: only after a failure.
	HedgeTypicalFactor float64
	// HedgeTargetFraction bounds that time from below, as a part of the target, and
	// HedgeLeast as a time.
	HedgeTargetFraction float64
	MinHedgeDelay       time.Duration
	// RequestDeadlineFactor is how long a first request is of use to the leaf, in
	// multiples of the target latency.
	RequestDeadlineFactor float64
	// MinAdmitProbability is how likely (0 to 1) a query must be to cover enough shards
	// by the target to be admitted.
	MinAdmitProbability float64
	// LateWaitFraction is the part (0 to 1) of the time left at the target for which a
	// query that covers too little then still waits for room to ask again.
	LateWaitFraction float64
	// MinReleaseProbability is how likely a query that is held must be to be in time, were it
	// new, to be started; HeldWait the part (0 to 1) of its time that it waits so.
	MinReleaseProbability float64
	HeldWaitFraction      float64
}

// retryStep is how soon a shard whose second request found no budget or no
// leaf is looked at again. It is a part of a leaf's pause that is small
// against the target latencies.
const retryStep = 15 * time.Millisecond

// heldStep is how soon a query that is held looks for room again: a part of the time
// that a leaf's queue takes to drain.
const heldStep = 25 * time.Millisecond

// busyStep is how soon a shard whose leafs had no free connection is looked at
// again, where the query waits for every shard. A backend server's usual reply
// takes about a millisecond.
const busyStep = 2 * time.Millisecond

// MaxRequestsPerShard bounds the requests sent for one shard. It counts requests, where the route's
// bound counts leafs: a late query asks leafs that it has asked before again, each of the usual
// two once. More would load a shard that fails already.
const MaxRequestsPerShard = 4

// Request tells the caller to send one request.
type Request struct {
	Shard   int
	Attempt int
	Call    *replica.Call
	// Deadline is when the reply is of no more use.
	Deadline time.Time
	// Reason is why, for the log.
	Reason Reason
}

// Reason is why a request is sent to a leaf.
type Reason int

const (
	// ReasonFirst request of the shard.
	ReasonFirst Reason = iota
	// ReasonSlow: the earlier one takes longer than usual.
	ReasonSlow
	// ReasonSilent: the earlier one's leaf answers nobody.
	ReasonSilent
	// ReasonRetry: the earlier one failed.
	ReasonRetry
	// ReasonTrial: the only one of a query that is suspected of ending leafs.
	ReasonTrial
)

// String names the reason in logs.
func (r Reason) String() string { return [...]string{"first", "slow", "silent", "repeat", "trial"}[r] }

// attempt is one request to one leaf.
type attempt struct {
	call *replica.Call
	open bool
}

// shard is the row of one shard in a query.
type shard struct {
	attempts []attempt
	tried    []string
	open     int
	covered  bool
	// out: nothing more is sent for this shard.
	out bool
	// verdict is what the last search for a leaf found.
	verdict replica.Verdict
	// lookAt is when a second request is due or looked at again.
	lookAt time.Time
}

// Query is one query over many shards.
type Query struct {
	table  *replica.Table
	route  *routing.Route
	opts   Options
	shards []shard
	// softEnd is when an answer that covers enough is given; hardEnd is when
	// the query ends whatever is covered.
	softEnd time.Time
	hardEnd time.Time
	// returned: the caller was turned away before. overdue: enough shards can only be
	// covered after the target.
	returned bool
	overdue  bool
	// held: it waits for room since heldSince and until heldUntil at most, and nothing
	// was sent. inVain: no room came.
	held, inVain         bool
	heldSince, heldUntil time.Time

	// trialOf: the query is tried at one leaf first, of this shard if it can be; trying: it is
	// under way. ends counts the leafs that ended under it. givenUp: it is over for that.
	onTrial, trying, givenUp bool
	trialOf                  string
	ends                     int

	start   time.Time
	need    int
	covered int
	ran     bool
}

// Params is when a query arrived and must end.
type Params struct {
	Start, Deadline time.Time
	// CallerRetried: its caller was turned away before and has come again.
	CallerRetried bool
	// Suspect: leafs have ended under the same request, the last one of the shard SuspectOf.
	Suspect        bool
	SuspectService string
}

// New starts a query.
func New(table *replica.Table, route *routing.Route, opts Options, timing Params) *Query {
	q := &Query{
		table: table, route: route, opts: opts, start: timing.Start, hardEnd: timing.Deadline, returned: timing.CallerRetried,
		onTrial: timing.Suspect, trialOf: timing.SuspectService,
		shards: make([]shard, len(route.Shards)),
		need:   RequiredShards(len(route.Shards), route.MinShardShare),
	}
	q.softEnd = q.hardEnd
	if q.aimed() {
		q.softEnd = q.start.Add(route.TargetLatency - opts.AnswerMargin)
	}
	if q.softEnd.After(q.hardEnd) {
		q.softEnd = q.hardEnd
	}
	return q
}

// aimed reports whether the answer is given at the target latency, rather than
// when every shard is in.
func (q *Query) aimed() bool { return q.opts.PartialAnswers && q.route.TargetLatency > 0 }

// RequiredShards is how many of n shards an answer must cover for the least share.
func RequiredShards(n int, minShare float64) int {
	const rounding = 1e-9
	return max(1, int(math.Ceil(float64(n)*minShare-rounding)))
}
