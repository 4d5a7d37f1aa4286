package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Batcher sends the requests of a query to leafs of another availability zone through a
// peer instance in that zone.
type Batcher interface {
	// Send reports whether a peer accepted the batch; if not, nothing was sent. It calls
	// deliver with the replies as they arrive, and reports each call of the batch exactly once. The
	// replies passed in one invocation of deliver belong together. cancel aborts the batch.
	Send(b Batch, deliver func([]BatchReply)) (cancel func(), ok bool)
}

// Batch is a set of requests of one query to leafs of one availability zone.
type Batch struct {
	Request *Request
	Route   *routing.Route
	Zone    string
	Calls   []LeafCall
	// Deadline is the time after which the leafs should stop working on the requests.
	Deadline time.Time
	// FlushAfter is the time after which the peer sends the first replies. FlushInterval is
	// how long it may collect further replies before it sends them.
	FlushAfter, FlushInterval time.Duration
}

// BatchReply is the outcome of one call of a batch.
//
// The records of all successes that are passed in one invocation of deliver are merged into
// the content of the first one: either all of these parts are used in the answer, or none.
type BatchReply struct {
	// Call is the index of the call in Batch.Calls.
	Call  int
	Reply LeafReply
	// Took is the reply time of the leaf as measured by the peer.
	Took time.Duration
}

const (
	// flushDelayFactor is the time after which a peer sends the first replies of a batch, as a
	// multiple of the typical reply time: half of them have arrived by then. A later flush would
	// save a few bytes, but this instance would learn later which leafs are free.
	flushDelayFactor = 1.0
	// flushIntervalFactor is the interval of further flushes, as a multiple of the same time.
	flushIntervalFactor = 0.15
)

// sendThroughPeers sends the requests for leafs of other zones through peers in those zones, and
// returns the requests that must be sent directly. First requests to a zone share a batch. A
// second request is sent in a batch of its own: its records must stay distinguishable from those
// of the first request, whichever reply arrives.
func (r *gatherRun) sendThroughPeers(sends []fanout.Request) []fanout.Request {
	if r.g.batcher == nil {
		return sends
	}
	zones := make(map[string][]fanout.Request)
	var direct []fanout.Request
	for _, s := range sends {
		zone := s.Call.Leaf.Zone
		switch {
		case zone == r.g.zone:
			direct = append(direct, s)
		case s.Reason == fanout.ReasonFirst:
			zones[zone] = append(zones[zone], s)
		case !r.sendBatch(zone, []fanout.Request{s}):
			direct = append(direct, s)
		}
	}
	for zone, batch := range zones {
		if !r.sendBatch(zone, batch) {
			direct = append(direct, batch...)
		}
	}
	return direct
}

// sendBatch sends the requests through a peer and reports whether a peer accepted them.
func (r *gatherRun) sendBatch(zone string, sends []fanout.Request) bool {
	typical := float64(r.g.table.TypicalLatency(r.route.Name))
	b := Batch{
		Request: r.req, Route: r.route, Zone: zone, Deadline: sends[0].Deadline,
		FlushAfter: time.Duration(flushDelayFactor * typical), FlushInterval: time.Duration(flushIntervalFactor * typical),
	}
	for _, s := range sends {
		b.Calls = append(b.Calls, r.leafCall(s))
	}
	cancel, ok := r.g.batcher.Send(b, func(replies []BatchReply) { r.handleBatchReplies(sends, b.Calls, replies) })
	if ok {
		r.cancelBatches = append(r.cancelBatches, cancel)
	}
	return ok
}

// handleBatchReplies records the outcomes of replies that belong together and passes them on.
func (r *gatherRun) handleBatchReplies(sends []fanout.Request, calls []LeafCall, replies []BatchReply) {
	group := make([]shardReply, 0, len(replies))
	now := time.Now()
	successes := 0
	for _, reply := range replies {
		if reply.Reply.Outcome == replica.Answered {
			successes++
		}
	}
	for _, reply := range replies {
		s := sends[reply.Call]
		took := reply.Took
		if reply.Reply.Outcome == replica.PeerLost {
			took = now.Sub(r.req.Arrived)
		}
		r.g.recordLeafCall(calls[reply.Call], s.Call, reply.Reply, took, now)
		group = append(group, shardReply{shard: s.Shard, attempt: s.Attempt, reply: reply.Reply, merged: successes > 1})
	}
	r.replies <- group
}
