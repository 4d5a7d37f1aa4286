// Package fanout decides, for one query over many shards, which requests are sent to which leafs
// and when, and when the answer covers enough shards. It is a state machine without I/O: the
// caller sends the requests that it returns, reports replies and the current time, and asks for
// the state of the query. Tests replay simulated loads through it.
package fanout

import (
	"math"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Options are the tunable parameters of the decisions. All of them are settings
// (docs/SETTINGS.md).
type Options struct {
	// AnswerMargin is subtracted from the target latency. It is the time reserved for merging and
	// writing the answer and for its way to the caller.
	AnswerMargin time.Duration
	// PartialAnswers enables answers that lack shards at the target latency. If it is false, a
	// query waits for every shard until its deadline.
	PartialAnswers bool
	// HedgeTypicalFactor is the delay of a hedged request in multiples of the typical reply time.
	// Zero disables hedging: a second request is then sent only after a failure.
	HedgeTypicalFactor float64
	// HedgeTargetFraction is the lower bound of the hedge delay as a fraction of the target
	// latency; MinHedgeDelay is its absolute lower bound.
	HedgeTargetFraction float64
	MinHedgeDelay       time.Duration
	// RequestDeadlineFactor sets the deadline that is passed to the leaf with a request, in
	// multiples of the target latency.
	RequestDeadlineFactor float64
	// MinAdmitProbability is the minimum probability (0 to 1) of covering enough shards by the
	// target at which a query is admitted.
	MinAdmitProbability float64
	// LateWaitFraction is the fraction (0 to 1) of the time between target and deadline for which
	// a query that covers too few shards at the target keeps trying to send further requests.
	LateWaitFraction float64
	// MinReleaseProbability is the minimum probability at which a held query is started; it is
	// computed as if the query were new. HeldWaitFraction is the fraction (0 to 1) of the time
	// between target and deadline for which a query may be held.
	MinReleaseProbability float64
	HeldWaitFraction      float64
}

// retryCheckInterval is the delay before a shard is checked again if its second request found no
// budget or no leaf. It is a fraction of the length of a leaf's pause, and small compared with
// the target latencies.
const retryCheckInterval = 15 * time.Millisecond

// heldCheckInterval is the interval at which a held query checks whether the leafs have capacity.
// It is a fraction of the time in which a leaf's queue drains.
const heldCheckInterval = 25 * time.Millisecond

// busyCheckInterval is the delay before a shard whose leafs had no free connection is checked
// again, in a query that waits for every shard. A backend server usually replies in about a
// millisecond.
const busyCheckInterval = 2 * time.Millisecond

// MaxRequestsPerShard is the maximum number of requests that a query sends for one shard. It
// counts requests, whereas the route's MaxAttempts counts distinct leafs: a query that has missed
// its target may ask leafs again that it has already asked, each of the usual two once more. A
// higher limit would add load to a shard that is already failing.
const MaxRequestsPerShard = 4

// Request is one request that the caller must send to a leaf.
type Request struct {
	// Shard is the index of the shard in the route, Attempt that of the request for the shard.
	// The caller passes both to HandleReply.
	Shard   int
	Attempt int
	Call    *replica.Call
	// Deadline is the time after which a reply is no longer useful.
	Deadline time.Time
	// Reason says why the request is sent; it is logged.
	Reason Reason
}

// Reason says why a request is sent to a leaf.
type Reason int

const (
	// ReasonFirst marks the first request for a shard.
	ReasonFirst Reason = iota
	// ReasonSlow marks a hedged request: the earlier one is taking longer than usual.
	ReasonSlow
	// ReasonSilent marks a hedged request: the leaf of the earlier one has stopped answering any
	// requests.
	ReasonSilent
	// ReasonRetry marks a request sent because the earlier one failed.
	ReasonRetry
	// ReasonTrial marks the single request of a query that is suspected of crashing leafs.
	ReasonTrial
)

// String returns the name of the reason used in logs.
func (r Reason) String() string { return [...]string{"first", "slow", "silent", "repeat", "trial"}[r] }

// attempt is one request that was sent to one leaf.
type attempt struct {
	call *replica.Call
	// inFlight means that the outcome is not known yet.
	inFlight bool
}

// shard is the state of one shard within a query.
type shard struct {
	attempts []attempt
	// askedLeafs are the IDs of the leafs of attempts, without duplicates.
	askedLeafs []string
	// inFlight is the number of attempts in flight.
	inFlight int
	covered  bool
	// hasRun means that some ended attempt may have run.
	hasRun bool
	// excluded means that no further request is sent for this shard, unless askExcluded resets
	// it.
	excluded bool
	// placeResult is the result of the last search for a leaf.
	placeResult replica.PlaceResult
	// nextCheck is the time at which a further request is considered; zero means never.
	nextCheck time.Time
}

// mayHaveRun reports whether a leaf may have run a request for the shard, or still does.
func (s *shard) mayHaveRun() bool { return s.hasRun || s.inFlight > 0 }

// Query is the state of one query over many shards.
type Query struct {
	table  *replica.Table
	route  *routing.Route
	opts   Options
	shards []shard
	// answerBy is the time at which an answer that covers enough shards is given. deadline is the
	// time at which the query ends, however many shards are covered.
	answerBy time.Time
	deadline time.Time
	// callerRetried means that the caller was refused before and is retrying. targetMissed means
	// that enough shards can only be covered after the target.
	callerRetried bool
	targetMissed  bool
	// noHedging means that the admission estimate counts no hedged requests. A query that keeps
	// capacity free for promised callers sends none either, but its threshold was measured with an
	// estimate that counts them: without, 0.709 instead of 0.717 of the callers of an overload of 3 s
	// were served within the target (replay, mean of 6 seeds).
	noHedging bool
	// terms say how planned returns affect the query.
	terms ReturnTerms
	// held means that the query has sent nothing and has been waiting for leaf capacity since
	// heldSince; it waits until heldUntil at the latest. holdFailed means that no capacity became
	// free in that time.
	held, holdFailed     bool
	heldSince, heldUntil time.Time

	// startWithTrial means that the query is first tried at a single leaf, preferably one of the
	// shard suspectService. inTrial means that this trial is still in progress. leafsCrashed is
	// the number of leafs that crashed while they had a request of this query. givenUp means that
	// the query was ended because of such crashes.
	startWithTrial, inTrial, givenUp bool
	suspectService                   string
	leafsCrashed                     int
	// firstWindow is the maximum number of shards that are asked before any leaf has answered;
	// zero means no limit. It is doubled at widenAt.
	firstWindow int
	widenAt     time.Time
	// secondsBeforeReply is the number of second requests that were sent before any leaf answered
	// and that may have run in addition to the first ones.
	secondsBeforeReply int

	start          time.Time
	requiredShards int
	coveredShards  int
	mayHaveRun     bool
	// coveredAt is the time at which measuredShards were covered; zero: not yet.
	measuredShards int
	coveredAt      time.Time
}

// Params are the timing of a query and what is known about its caller and content.
type Params struct {
	// Start is when the query arrived, Deadline when it must end.
	Start, Deadline time.Time
	// CallerRetried means that the caller was refused before and is retrying.
	CallerRetried bool
	// Returns are the terms of planned returns.
	Returns ReturnTerms
	// NoHedging means that no hedged requests are sent; retries after a failure are.
	NoHedging bool
	// MeasuredShare is the fraction of the shards (0 to 1) whose time to cover is measured; it is
	// limited to the minimum share of the route. Zero means that minimum.
	MeasuredShare float64
	// Suspect means that leafs have crashed while they had the same request. SuspectService is the
	// shard of the last of them.
	Suspect        bool
	SuspectService string
	// Unproven means that it is not known whether requests with the same content crash leafs.
	Unproven bool
}

// New returns a query that has sent nothing yet.
func New(table *replica.Table, route *routing.Route, opts Options, params Params) *Query {
	q := &Query{
		table: table, route: route, opts: opts, start: params.Start,
		deadline: params.Deadline, callerRetried: params.CallerRetried, noHedging: params.NoHedging && !params.Returns.KeepFree, terms: params.Returns,
		startWithTrial: params.Suspect, suspectService: params.SuspectService,
		shards:         make([]shard, len(route.Shards)),
		requiredShards: RequiredShards(len(route.Shards), route.MinShardShare),
	}
	if params.Unproven {
		q.firstWindow = 1
	}
	q.measuredShards = q.requiredShards
	if params.MeasuredShare > 0 {
		q.measuredShards = min(q.requiredShards, RequiredShards(len(route.Shards), params.MeasuredShare))
	}
	if params.NoHedging || params.Returns.savesCapacity() {
		q.opts.HedgeTypicalFactor = 0
	}
	q.answerBy = q.deadline
	if q.hasTarget() {
		q.answerBy = q.start.Add(route.TargetLatency - opts.AnswerMargin)
	}
	if q.answerBy.After(q.deadline) {
		q.answerBy = q.deadline
	}
	return q
}

// hasTarget reports whether the answer is given at the target latency, instead of when every
// shard has answered.
func (q *Query) hasTarget() bool { return q.opts.PartialAnswers && q.route.TargetLatency > 0 }

// RequiredShards returns how many of n shards an answer must cover to reach minShare.
func RequiredShards(n int, minShare float64) int {
	const rounding = 1e-9
	return max(1, int(math.Ceil(float64(n)*minShare-rounding)))
}
