// Package gateway runs requests: it matches a route, asks the decision
// packages (routing, replica, fanout) what to do, does the sending and
// waiting, and returns one typed answer. It knows no header name and no
// message format; a door translates callers, a Leafs implementation the leafs.
// Each installation has a door and leafs of its own that belong together.
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
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Content is a message in the terms of one door and the Leafs that belong to
// it. The gateway hands it from one to the other unread.
type Content any

// Request is one caller's request.
type Request struct {
	// ID names the caller's attempt; "" when the caller sent none.
	ID string
	// Key names what the request asks, which its attempts have in common; zero: unknown.
	Key quarantine.Key
	// Host and Path find the published route; the path is undecoded and
	// without the query. A door that chooses the route itself sets neither.
	Host string
	Path string
	// Content is what the door read.
	Content Content
	// Arrived is when the request was read.
	Arrived time.Time
	// NetworkDelay is how long the request and its answer spend between the caller
	// and this instance. The caller's waiting includes it.
	NetworkDelay time.Duration
	// HandoffTimedOut: another instance was asked to run it, and did not take it in time.
	HandoffTimedOut bool
	// Timeout is how long the caller waits; zero: not said.
	Timeout time.Duration
}

// onTheWayPart bounds the part of a target latency or of a caller's patience that
// the way may take: beyond it there would be no time to answer, and the round trip
// may be measured far too long on a congested link.
const onTheWayPart = 4

// sent is when the caller began to wait for an answer that is worth most within
// the target latency, less the way that the answer takes back.
func (r *Request) sent(target time.Duration) time.Time {
	return r.Arrived.Add(-min(r.NetworkDelay, target/onTheWayPart))
}

// about completes the fields of a log line about the request.
func (r *Request) about(route string, f oplog.Fields) oplog.Fields {
	f["request"] = r.ID
	f["route"] = route
	if content := r.Key.String(); content != "" {
		f["content"] = content
	}
	return f
}

// LeafCall is one request to one leaf.
type LeafCall struct {
	Leaf replica.Leaf
	// Service is which of the leaf's services, or shards, is asked for.
	Service string
	Request *Request
	// Deadline is when the leaf should stop working on it.
	Deadline time.Time
}

// LeafReply is what became of a LeafCall.
type LeafReply struct {
	Outcome replica.Outcome
	// Status is the leaf's own code, for the log; zero: none was read.
	Status int
	// Content is the leaf's reply, where one was read.
	Content Content
	// Err says what went wrong, for the log.
	Err error
	// Load is what the leaf said of itself; nil: nothing. LoadErr says why that could not be
	// decoded.
	Load    *replica.Load
	LoadErr error
}

// ErrNoWorker says that a leaf call was not sent because as many as there may be
// were in flight.
var ErrNoWorker = errors.New("no free worker for a leaf call")

// LeafClient sends requests to leafs.
type LeafClient interface {
	// Do returns when the reply is read, the call failed, or shortly after its
	// deadline. Cancelling ctx ends the work at the leaf.
	Do(ctx context.Context, call LeafCall) LeafReply
	// Probe reports whether a leaf answers a health check in time.
	Probe(ctx context.Context, leaf replica.Leaf, path string, by time.Time) bool
	// RemoveLeaf releases what is held for a leaf that left; calls in flight go on.
	RemoveLeaf(leafID string)
	// HandleRestart ends the calls in flight at a leaf that has started again, whose
	// replies cannot come any more, and releases what is held for it.
	HandleRestart(leafID string)
}

// Answer is the outcome of a request.
type Answer struct {
	// Code is OK for an answer that came from leafs.
	Code errcode.Code
	// RetryAfter is when the request is worth sending again; zero: no hint.
	RetryAfter time.Duration
	// Route is the route that the request took; nil: none.
	Route *routing.Route
	// Relayed is the single leaf's reply that is passed on as it is.
	Relayed *LeafReply
	// LastFailure is what the last leaf said to a request to one leaf that brought no
	// reply to pass on; nil: none was asked.
	LastFailure *LeafReply
	// Shards are the shards of a query in the route's order; nil where it was
	// no query.
	Shards []ShardAnswer
}

// ShardAnswer is what a query brought of one shard.
type ShardAnswer struct {
	// Reply is the shard's part of the answer; nil: it has none.
	Reply *LeafReply
	// MissingReason says why there is no part, and Last what the last leaf that failed
	// said; nil: none did.
	MissingReason fanout.ShardStatus
	LastFailure   *LeafReply
}

// Missing is how many shards an answer to a query lacks.
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
	// MaxInFlight bounds the requests held at once; more are refused.
	MaxInFlight int
	// Workers bounds the leaf calls in flight.
	Workers int
	// DefaultTimeout is used for callers that do not say how long they wait.
	DefaultTimeout time.Duration
	// CancelLosingCalls ends the calls of a shard that another leaf has answered. It
	// pays where that costs no connection.
	CancelLosingCalls bool
	// AnswerMargin is kept back from deadlines to write an answer.
	AnswerMargin time.Duration
	// ColdFactor and ColdSlack make the bound of what a cold leaf may get in a second out of what
	// is published of its service: factor times that, and slack.
	ColdFactor, ColdSlack float64
	// RetryAfter is the hint of refusals that know no better.
	RetryAfter time.Duration
}

// Gateway runs requests. It is safe for concurrent use.
type Gateway struct {
	opts     atomic.Pointer[Options]
	table    *replica.Table
	leafs    LeafClient
	splitter *routing.Splitter
	pool     *ants.Pool
	log      *oplog.Log
	stats    *Stats
	patience *patienceTable
	// quarantine knows the requests that end leafs.
	quarantine *quarantine.Table
	// batcher is nil where queries go to all leafs directly; zone is this instance's.
	batcher Batcher
	zone    string
	// gatherers is nil where each instance runs its own queries.
	gatherers Gatherers
	config    atomic.Pointer[routing.Config]
	// configured is closed with the first configuration.
	configured chan struct{}
	// isolatedSince is when the instance was found isolated, nil when it is
	// not.
	isolatedSince atomic.Pointer[time.Time]
	evacuations   evacuations
	inFlight      atomic.Int64
}

// New returns a gateway without a configuration: it refuses until one is set.
func New(opts Options, table *replica.Table, leafs LeafClient, log *oplog.Log, stats *Stats) (*Gateway, error) {
	pool, err := ants.NewPool(opts.Workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		table: table, leafs: leafs, log: log, stats: stats,
		splitter: routing.NewSplitter(), patience: newPatienceTable(), quarantine: quarantine.NewTable(), pool: pool, configured: make(chan struct{}),
		evacuations: evacuations{since: make(map[string]time.Time)},
	}
	g.opts.Store(&opts)
	stats.watchQuarantine(g.quarantine)
	return g, nil
}

// UseBatcher lets queries of this instance, which is in the given zone, go through peers.
// It is called before requests are served.
func (g *Gateway) UseBatcher(batcher Batcher, zone string) { g.batcher, g.zone = batcher, zone }

// SetOptions puts other options in force for requests that come from now on.
func (g *Gateway) SetOptions(opts Options) { g.opts.Store(&opts) }

// Close releases the worker pool.
func (g *Gateway) Close() { g.pool.Release() }

// Config is the configuration in force, nil before the first.
func (g *Gateway) Config() *routing.Config { return g.config.Load() }

// InFlight is how many requests are being run.
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

// Serve runs one request on a route that its door has chosen to its answer.
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
	if left := g.quarantine.Remaining(req.Key, time.Now()); left > 0 {
		return g.refuseQuarantined(req, route, left)
	}
	end := g.deadline(req, route)
	var a Answer
	if route.Kind == routing.Gather {
		a = g.query(ctx, req, route, version, end)
	} else {
		a = g.single(ctx, req, route, end)
	}
	a.Route = route
	g.stats.answered(route, a.Code, time.Since(req.Arrived))
	return a
}

// deadline is when the final answer must be on its way: the caller's patience
// or the route's timeout, whichever is first, less the margin to write it and the
// way to the caller.
func (g *Gateway) deadline(req *Request, route *routing.Route) time.Time {
	patience := req.Timeout
	if patience <= 0 {
		patience = g.opts.Load().DefaultTimeout
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	return req.Arrived.Add(patience - min(g.opts.Load().AnswerMargin+req.NetworkDelay, patience/onTheWayPart))
}

// refuse answers a request that ran nowhere.
func (g *Gateway) refuse(req *Request, route *routing.Route, code errcode.Code, retryAfter time.Duration) Answer {
	name := ""
	if route != nil {
		name = route.Name
	}
	g.stats.refused(code)
	g.log.Decision("request_refused", req.about(name, oplog.Fields{
		"code": code.String(), "reason": code.Name(),
		"retry_after_ms": retryAfter.Milliseconds(), "config_version": g.version(), "in_flight": g.inFlight.Load(),
	}))
	return Answer{Code: code, RetryAfter: retryAfter}
}

// callerLeft ends a request whose caller has closed its connection.
func (g *Gateway) callerLeft(req *Request, route *routing.Route) Answer {
	g.stats.left()
	g.log.Decision("caller_left", req.about(route.Name, oplog.Fields{"after_ms": time.Since(req.Arrived).Milliseconds()}))
	return Answer{Code: errcode.CallerDisconnected}
}

// noteSecond records that another leaf of a service, or shard, is asked.
func (g *Gateway) noteSecond(route *routing.Route, call LeafCall, why string) {
	req := call.Request
	g.stats.second(why)
	g.log.Decision("second_request", req.about(route.Name, oplog.Fields{
		"service": call.Service, "leaf": call.Leaf.ID, "why": why, "after_ms": time.Since(req.Arrived).Milliseconds(),
	}))
}

// version is the version of the configuration in force, 0 without one.
func (g *Gateway) version() int64 {
	if c := g.config.Load(); c != nil {
		return c.Version
	}
	return 0
}
