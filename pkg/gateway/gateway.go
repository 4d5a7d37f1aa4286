// Package gateway runs requests: it matches a route, asks the decision packages (routing,
// replica, fanout) what to do, sends the requests, waits for the replies and returns one
// typed answer. It is independent of header names and message formats: a frontend
// translates callers' messages, and a LeafClient implementation those of the leafs. Each
// installation has its own pair of frontend and LeafClient.
package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/returns"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Content is a message in the format that a frontend shares with its LeafClient. The gateway
// passes it between the two without reading it.
type Content any

// Request is one caller's request.
type Request struct {
	// ID identifies the caller's attempt; "" when the caller sent no ID.
	ID string
	// Key identifies the content of the request and is the same for all attempts; zero: unknown.
	Key quarantine.Key
	// Host and Path select the published route; the path is undecoded and without the query.
	// A frontend that selects the route itself sets neither.
	Host string
	Path string
	// Content is the message that the frontend has read.
	Content Content
	// Arrived is when the request was read.
	Arrived time.Time
	// NetworkDelay is the time that the request and its answer together spend between the
	// caller and this instance. The caller's timeout includes it.
	NetworkDelay time.Duration
	// HandoffTimedOut reports that the query was handed off to another instance, which did not
	// accept it in time, so that this instance runs it.
	HandoffTimedOut bool
	// Timeout is how long the caller waits for the answer; zero: the caller stated none.
	Timeout time.Duration
	// abandoned is closed when the answer of an at-most-once request that is run for a peer is not
	// needed any more; nil otherwise. It ends the request only while it waits in a queue.
	abandoned <-chan struct{}
	// plan is set by claimReturn and plannedRetryAfter.
	plan returnPlan
}

// networkDelayDivisor limits the network delay that is subtracted from a target latency or a
// caller's timeout to 1/4 of it: beyond that there would be no time left to answer, and the
// round trip may be measured far too long on a congested link.
const networkDelayDivisor = 4

// latencyStart returns the time from which the target latency is counted: the arrival less the
// network delay, so that an answer sent within the target also reaches the caller within it.
func (r *Request) latencyStart(target time.Duration) time.Time {
	return r.Arrived.Add(-min(r.NetworkDelay, target/networkDelayDivisor))
}

// LeafCall is one request to one leaf.
type LeafCall struct {
	Leaf replica.Leaf
	// Service is the service, or the shard, that is requested of the leaf.
	Service string
	Request *Request
	// Deadline is the time after which the leaf should stop working on the request.
	Deadline time.Time
	// AtMostOnce means that the request must not run twice.
	AtMostOnce bool
}

// LeafReply is the outcome of a LeafCall.
type LeafReply struct {
	Outcome replica.Outcome
	// Status is the leaf's own status code, for the log; zero: none was read.
	Status int
	// Content is the leaf's reply; nil: none was read.
	Content Content
	// Err is the cause of a failure, for the log.
	Err error
	// Load is the load that the leaf reported with the reply; nil: none. LoadErr is the error
	// if it could not be decoded.
	Load    *replica.Load
	LoadErr error
}

// ErrNoWorker reports that a leaf call was not sent because Options.Workers calls were
// already in flight.
var ErrNoWorker = errors.New("no free worker for a leaf call")

// LeafClient sends requests to leafs.
type LeafClient interface {
	// Do returns when the reply is read, when the call fails, or shortly after the call's
	// deadline. Cancelling ctx aborts the work at the leaf.
	Do(ctx context.Context, call LeafCall) LeafReply
	// Probe reports whether a leaf answers a health check before the given time.
	Probe(ctx context.Context, leaf replica.Leaf, path string, by time.Time) bool
	// RemoveLeaf releases the resources of a removed leaf; calls in flight continue.
	RemoveLeaf(leafID string)
	// HandleRestart aborts the calls in flight at a leaf that has restarted, whose replies
	// can no longer arrive, and releases its resources.
	HandleRestart(leafID string)
}

// Answer is the outcome of a request.
type Answer struct {
	// Code is OK for an answer that came from leafs.
	Code errcode.Code
	// RetryAfter is the time after which a retry is worthwhile; zero: no hint.
	RetryAfter time.Duration
	// Route is the route of the request; nil: none matched.
	Route *routing.Route
	// Relayed is the reply of a single leaf that is passed on unchanged.
	Relayed *LeafReply
	// LastFailure is the last leaf's reply to a single request for which there is no reply to
	// pass on; nil: no leaf was called, or the deadline passed or the caller disconnected.
	LastFailure *LeafReply
	// Shards are the results of a query's shards in the route's order; nil for a request that
	// is no query.
	Shards []ShardAnswer
}

// ShardAnswer is the result of a query for one shard.
type ShardAnswer struct {
	// Reply is the shard's part of the answer; nil: the shard is missing.
	Reply *LeafReply
	// MissingReason is why the shard is missing, and LastFailure the reply of the last leaf
	// that failed; nil: none failed.
	MissingReason fanout.ShardStatus
	LastFailure   *LeafReply
}

// Missing returns the number of shards that are missing from the answer to a query.
func (a *Answer) Missing() int {
	n := 0
	for i := range a.Shards {
		if a.Shards[i].Reply == nil {
			n++
		}
	}
	return n
}

// Options are the gateway's settings.
type Options struct {
	Fanout fanout.Options
	// MaxInFlight is the maximum number of requests in flight; further ones are refused.
	MaxInFlight int
	// Workers is the maximum number of leaf calls in flight.
	Workers int
	// DefaultTimeout applies to callers that do not state a timeout.
	DefaultTimeout time.Duration
	// CancelLosingCalls cancels the remaining calls of a shard once one leaf has answered.
	// It is useful where a cancellation does not cost a connection.
	CancelLosingCalls bool
	// AnswerMargin is subtracted from deadlines as the time to write an answer.
	AnswerMargin time.Duration
	// ColdFactor and ColdSlack determine the request rate to a cold leaf: the published rate
	// of its service times ColdFactor, plus ColdSlack requests per second.
	ColdFactor, ColdSlack float64
	// RetryAfter is the retry hint of refusals without a more specific one.
	RetryAfter time.Duration
	Overload   Overload
}

// Gateway runs requests. It is safe for concurrent use.
type Gateway struct {
	opts           atomic.Pointer[Options]
	table          *replica.Table
	leafs          LeafClient
	splitter       *routing.Splitter
	pool           *ants.Pool
	log            *oplog.Log
	stats          *Stats
	callerTimeouts *callerTimeouts
	returns        *returns.Book
	// started is when the gateway was created.
	started time.Time
	// quarantine tracks requests that crash leafs.
	quarantine *quarantine.Table
	priorities *priority.Controller
	// batcher is nil if all leafs are called directly; zone is the zone of this instance.
	batcher Batcher
	zone    string
	// gatherers is nil if each instance runs its own queries.
	gatherers Gatherers
	config    atomic.Pointer[routing.Config]
	// configured is closed when the first configuration is applied.
	configured chan struct{}
	// isolatedSince is when the instance was found isolated; nil when it is not isolated.
	isolatedSince atomic.Pointer[time.Time]
	evacuations   evacuations
	singles       singleQueues
	inFlight      atomic.Int64
	// backlog is nil if the bytes that callers have not read are not bounded.
	backlog Backlog
}

// New returns a gateway without a configuration, which refuses requests until one is set.
func New(opts Options, table *replica.Table, leafs LeafClient, log *oplog.Log, stats *Stats) (*Gateway, error) {
	pool, err := ants.NewPool(opts.Workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		table: table, leafs: leafs, log: log, stats: stats,
		splitter: routing.NewSplitter(), callerTimeouts: newCallerTimeouts(), returns: returns.NewBook(), priorities: priority.New(priorityOptions(opts)),
		started: time.Now(), quarantine: quarantine.NewTable(), pool: pool, configured: make(chan struct{}),
		evacuations: evacuations{since: make(map[string]time.Time)},
	}
	g.opts.Store(&opts)
	stats.registerQuarantine(g.quarantine)
	stats.registerSingleQueues(&g.singles)
	stats.registerReturns(g.returns.Counts())
	return g, nil
}

// UseBatcher makes queries call leafs of other zones through peers; zone is the zone of this
// instance. It must be called before requests are served.
func (g *Gateway) UseBatcher(batcher Batcher, zone string) { g.batcher, g.zone = batcher, zone }

// Close releases the worker pool.
func (g *Gateway) Close() { g.pool.Release() }

// Config returns the current configuration, nil before the first.
func (g *Gateway) Config() *routing.Config { return g.config.Load() }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Handle runs one request on the published route that it matches.
func (g *Gateway) Handle(ctx context.Context, req *Request) Answer {
	c := g.awaitConfig(ctx)
	if c == nil {
		return g.refuse(req, nil, errcode.NoConfiguration, g.opts.Load().RetryAfter)
	}
	route := c.Match(req.Host, req.Path)
	if route == nil {
		return g.refuse(req, nil, errcode.UnknownRoute, 0)
	}
	return g.serve(ctx, req, route, c.Version)
}

// Serve runs one request on a route that its frontend has selected.
func (g *Gateway) Serve(ctx context.Context, req *Request, route *routing.Route) Answer {
	return g.serve(ctx, req, route, g.version())
}

// serve runs one request on a route of a version of the configuration.
func (g *Gateway) serve(ctx context.Context, req *Request, route *routing.Route, version int64) Answer {
	if g.inFlight.Add(1) > int64(g.opts.Load().MaxInFlight) {
		g.inFlight.Add(-1)
		return g.refuse(req, route, errcode.EntryOverloaded, g.opts.Load().RetryAfter)
	}
	defer g.inFlight.Add(-1)
	if g.backlog != nil && !g.backlog.Admits(route.Priority, time.Now()) {
		return g.refuseForBacklog(req, route)
	}
	if remaining := g.quarantine.Remaining(req.Key, time.Now()); remaining > 0 {
		return g.refuseQuarantined(req, route, remaining)
	}
	end := g.deadline(req, route)
	var a Answer
	if route.Kind == routing.Gather {
		a = g.runQuery(ctx, req, route, version, end)
	} else {
		a = g.serveSingle(ctx, req, route, version, end)
	}
	a.Route = route
	g.stats.answered(route, a.Code, time.Since(req.Arrived))
	return a
}

// deadline returns the time by which the answer must be sent: the caller's timeout or the
// route's, whichever is shorter, less the margin to write the answer and the network delay.
func (g *Gateway) deadline(req *Request, route *routing.Route) time.Time {
	timeout := req.Timeout
	if timeout <= 0 {
		timeout = g.opts.Load().DefaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return req.Arrived.Add(timeout - min(g.opts.Load().AnswerMargin+req.NetworkDelay, timeout/networkDelayDivisor))
}

// callerDisconnected ends a request whose caller has closed its connection.
func (g *Gateway) callerDisconnected(req *Request, route *routing.Route) Answer {
	g.stats.callerDisconnected()
	g.log.Decision("caller_left", req.logFields(route.Name, oplog.Fields{"after_ms": time.Since(req.Arrived).Milliseconds()}))
	return Answer{Code: errcode.CallerDisconnected}
}

// version returns the version of the current configuration, 0 without one.
func (g *Gateway) version() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}
