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

// Cancel messages.
const (
	// cancelTimeout bounds a cancel call; past it the leaf's own deadline
	// ends the work.
	cancelTimeout = 200 * time.Millisecond
	// cancelConns is how many connections to a backend server are kept for
	// cancel messages, which would otherwise wait behind the very calls that
	// they are to end.
	cancelConns = 1
)

// leafWork is what a request asks of the leafs: the message without the shard
// and the deadline, which differ for each call.
type leafWork struct {
	message wire.LeafRequest
	plan    *plan
}

// leafs speaks to backend servers. It implements gateway.LeafClient.
type leafs struct {
	client *service.Client
	stats  *entryMetrics
	// leaving is told when a backend server says that it is leaving.
	leaving func(backend string)

	mu sync.Mutex
	// cancels are the permits for cancel messages, by backend server.
	cancels map[string]chan struct{}
}

// errMismatch is the error of a reply that belongs to another request.
var errMismatch = errors.New("reply did not match the request")

// Do implements gateway.LeafClient.
func (l *leafs) Do(ctx context.Context, call gateway.LeafCall) gateway.LeafReply {
	req := message(call)
	if req.Kind == wire.LeafSearch {
		stop := context.AfterFunc(ctx, func() { l.cancel(call.Leaf, req) })
		defer stop()
	}
	l.stats.leafCalls.Inc()
	var resp wire.LeafResponse
	_, err := l.client.Do(ctx, http.MethodPost, "http://"+call.Leaf.Addr+wire.PathLeaf, nil, req, &resp, call.Deadline)
	if err != nil {
		return gateway.LeafReply{Outcome: failure(ctx, call, err), Err: err}
	}
	if resp.Draining {
		l.leaving(call.Leaf.ID)
	}
	// A reply for another request, shard or snapshot would put someone else's
	// rows in this answer; it is refused and counted.
	if resp.RequestID != req.RequestID || resp.Shard != req.Shard || resp.Snapshot != req.Snapshot {
		l.stats.mismatched.Inc()
		return gateway.LeafReply{Outcome: replica.Broken, Err: errMismatch}
	}
	reply := gateway.LeafReply{Outcome: outcomeOf(resp.Code), Status: int(resp.Code), Content: &resp}
	if l := resp.Load; l != nil {
		load := replica.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: l.Slowdown}
		if reply.LoadErr = load.Validate(); reply.LoadErr == nil {
			reply.Load = &load
		}
	}
	return reply
}

// message is the request to one leaf.
func message(call gateway.LeafCall) wire.LeafRequest {
	work := call.Request.Content.(*leafWork)
	req := work.message
	req.Shard = work.plan.shards[call.Service]
	req.DeadlineUnixMs = call.Deadline.UnixMilli()
	return req
}

// failure says what an error means for the request. Only a connection that could
// not be opened proves that it did not run.
func failure(ctx context.Context, call gateway.LeafCall, err error) replica.Outcome {
	switch {
	case service.NotSent(err):
		return replica.NotSent
	case ctx.Err() != nil:
		return replica.Abandoned
	case !time.Now().Before(call.Deadline):
		return replica.TimedOut
	case sock.RefusesConnections(ctx, call.Leaf.Addr, sock.RefusalTimeout):
		return replica.ProcessExited
	}
	return replica.Broken
}

// outcomeOf translates a leaf's code.
func outcomeOf(code errcode.Code) replica.Outcome {
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

// Probe implements gateway.LeafClient. Any reply shows that the server is reached.
func (l *leafs) Probe(ctx context.Context, leaf replica.Leaf, _ string, by time.Time) bool {
	var health wire.Health
	_, err := l.client.Do(ctx, http.MethodGet, "http://"+leaf.Addr+service.PathHealth, nil, nil, &health, by)
	return err == nil
}

// RemoveLeaf implements gateway.LeafClient.
func (l *leafs) RemoveLeaf(backend string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cancels, backend)
}

// HandleRestart implements gateway.LeafClient. A backend server that starts again shows it by
// closing its connections, which ends the calls.
func (l *leafs) HandleRestart(backend string) { l.RemoveLeaf(backend) }

// cancel tells a backend server to stop working on a search. It is a message and
// not a closed connection, because a new connection costs a backend server
// several milliseconds and counts against its limit. If it is lost, the leaf's
// deadline still bounds the work.
func (l *leafs) cancel(leaf replica.Leaf, req wire.LeafRequest) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	permit := l.cancelPermit(leaf.ID)
	select {
	case permit <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-permit }()
	l.stats.cancels.Inc()
	msg := wire.CancelRequest{RequestID: req.RequestID, Shards: []string{req.Shard}}
	end, _ := ctx.Deadline()
	if _, err := l.client.Do(ctx, http.MethodPost, "http://"+leaf.Addr+wire.PathLeafCancel, nil, msg, nil, end); err != nil {
		l.stats.cancelsFailed.Inc()
	}
}

// cancelPermit returns the permits for cancel messages to a backend server.
func (l *leafs) cancelPermit(backend string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.cancels[backend]
	if p == nil {
		p = make(chan struct{}, cancelConns)
		l.cancels[backend] = p
	}
	return p
}

// leafError is the code and the text for a shard whose last leaf failed.
func leafError(reply *gateway.LeafReply) (errcode.Code, string) {
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
