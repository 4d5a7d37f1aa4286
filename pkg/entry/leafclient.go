package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/sock"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Limits of cancel messages.
const (
	// cancelTimeout is the maximum time for a cancel call, including the wait for a
	// connection. If it is exceeded, the leaf works on until its own deadline.
	cancelTimeout = 200 * time.Millisecond
	// reservedCancelConns is the number of connections to a backend server that are
	// reserved for cancel messages. Without them, a cancel message would wait behind
	// the calls that it is meant to cancel.
	reservedCancelConns = 1
)

// leafRequestTemplate is the message of a request to the leafs without the shard and the
// deadline, which differ for each call. It is the gateway.Request's Content.
type leafRequestTemplate struct {
	request wire.LeafRequest
	plan    *routingPlan
}

// leafClient sends requests to backend servers. It implements gateway.LeafClient.
type leafClient struct {
	client *service.Client
	stats  *entryMetrics
	// onDraining is called for each reply in which a backend server reports that it
	// is draining.
	onDraining func(backend string)

	mu sync.Mutex
	// cancelPermits holds a semaphore for each backend server that limits the
	// concurrent cancel messages to it.
	cancelPermits map[string]chan struct{}
}

// errReplyMismatch is returned for a reply that belongs to another request.
var errReplyMismatch = errors.New("reply did not match the request")

// Do implements gateway.LeafClient.
func (c *leafClient) Do(ctx context.Context, call gateway.LeafCall) gateway.LeafReply {
	req := leafRequest(call)
	if req.Kind == wire.LeafSearch {
		stop := context.AfterFunc(ctx, func() { c.sendCancel(call.Leaf, req) })
		defer stop()
	}
	c.stats.leafCalls.Inc()
	var resp wire.LeafResponse
	_, err := c.client.Do(ctx, http.MethodPost, "http://"+call.Leaf.Addr+wire.PathLeaf, nil, req, &resp, call.Deadline)
	if err != nil {
		return gateway.LeafReply{Outcome: failureOutcome(ctx, call, err), Err: err}
	}
	if resp.Draining {
		c.onDraining(call.Leaf.ID)
	}
	// A reply for another request, shard or snapshot would put another request's
	// results in this answer, so it is rejected and counted.
	if resp.RequestID != req.RequestID || resp.Shard != req.Shard || resp.Snapshot != req.Snapshot {
		c.stats.mismatchedReplies.Inc()
		return gateway.LeafReply{Outcome: replica.ReplyLost, Err: errReplyMismatch}
	}
	reply := gateway.LeafReply{Outcome: outcomeForCode(resp.Code), Status: int(resp.Code), Content: &resp}
	if load := resp.Load; load != nil {
		converted := replica.Load{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown}
		if reply.LoadErr = converted.Validate(); reply.LoadErr == nil {
			reply.Load = &converted
		}
	}
	return reply
}

// leafRequest returns the message of one call to a leaf.
func leafRequest(call gateway.LeafCall) wire.LeafRequest {
	template := call.Request.Content.(*leafRequestTemplate)
	req := template.request
	req.Shard = template.plan.shardIDs[call.Service]
	req.DeadlineUnixMs = call.Deadline.UnixMilli()
	return req
}

// failureOutcome classifies the error of a leaf call. Only a connection that could not
// be opened proves that the request did not run.
func failureOutcome(ctx context.Context, call gateway.LeafCall, err error) replica.Outcome {
	switch {
	case service.NotSent(err):
		return replica.NotSent
	case ctx.Err() != nil:
		return replica.Abandoned
	case !time.Now().Before(call.Deadline):
		return replica.TimedOut
	case sock.RefusesConnections(ctx, call.Leaf.Addr, sock.RefusalTimeout):
		return replica.LeafCrashed
	}
	return replica.ReplyLost
}

// outcomeForCode returns the outcome that corresponds to a leaf's result code.
func outcomeForCode(code errcode.Code) replica.Outcome {
	switch {
	case code == errcode.OK:
		return replica.Answered
	case code == errcode.ShardCancelled:
		return replica.Abandoned
	case code == errcode.ShardTimeout:
		return replica.TimedOut
	case code.NotRun():
		return replica.Refused
	}
	return replica.Failed
}

// Probe implements gateway.LeafClient. Any reply shows that the server is reachable.
func (c *leafClient) Probe(ctx context.Context, leaf replica.Leaf, _ string, deadline time.Time) bool {
	var health wire.Health
	_, err := c.client.Do(ctx, http.MethodGet, "http://"+leaf.Addr+service.PathHealth, nil, nil, &health, deadline)
	return err == nil
}

// RemoveLeaf implements gateway.LeafClient.
func (c *leafClient) RemoveLeaf(backend string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancelPermits, backend)
}

// HandleRestart implements gateway.LeafClient. It need not end the calls in flight: the
// connections of a backend server are closed when it restarts, which ends the calls.
func (c *leafClient) HandleRestart(backend string) { c.RemoveLeaf(backend) }

// sendCancel tells a backend server to stop working on a search. It sends a message
// instead of closing the connection, because a new connection costs a backend server
// several milliseconds and counts against its connection limit. If the message is
// lost, the work still ends at the leaf's deadline.
func (c *leafClient) sendCancel(leaf replica.Leaf, req wire.LeafRequest) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	permits := c.permitsFor(leaf.ID)
	select {
	case permits <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-permits }()
	c.stats.cancels.Inc()
	msg := wire.CancelRequest{RequestID: req.RequestID, Shards: []string{req.Shard}}
	deadline, _ := ctx.Deadline()
	if _, err := c.client.Do(ctx, http.MethodPost, "http://"+leaf.Addr+wire.PathLeafCancel, nil, msg, nil, deadline); err != nil {
		c.stats.failedCancels.Inc()
	}
}

// permitsFor returns the semaphore for cancel messages to a backend server.
func (c *leafClient) permitsFor(backend string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.cancelPermits[backend]
	if p == nil {
		p = make(chan struct{}, reservedCancelConns)
		c.cancelPermits[backend] = p
	}
	return p
}

// failureReason returns the code and the text for a shard whose last leaf failed.
func failureReason(reply *gateway.LeafReply) (errcode.Code, string) {
	if resp, ok := reply.Content.(*wire.LeafResponse); ok {
		return resp.Code, resp.Message
	}
	switch reply.Outcome {
	case replica.TimedOut, replica.Abandoned:
		return errcode.ShardTimeout, errcode.ShardTimeout.Name()
	case replica.NotSent:
		if errors.Is(reply.Err, gateway.ErrNoWorker) {
			return errcode.EntryOverloaded, "worker pool full: not run"
		}
		return errcode.ShardUnavailable, "connection refused: not run"
	}
	return errcode.ShardFailed, fmt.Sprint(reply.Err)
}
