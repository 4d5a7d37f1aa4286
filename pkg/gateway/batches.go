package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Batcher sends requests of one query through a peer in the availability zone of their
// leafs.
type Batcher interface {
	// Send reports whether a peer took the batch; if not, nothing was sent. take is
	// called with replies as they come, each call exactly once in all; the replies of
	// one call of it belong together. cancel ends the work of a batch.
	Send(b Batch, take func([]BatchReply)) (cancel func(), ok bool)
}

// Batch are requests of a query to leafs of one zone.
type Batch struct {
	Request *Request
	Route   *routing.Route
	Zone    string
	Calls   []LeafCall
	// Deadline is when the leafs should stop working on it.
	Deadline time.Time
	// FlushAfter is when the first replies are wanted, and Step how long further ones may
	// be collected.
	FlushAfter, FlushInterval time.Duration
}

// BatchReply is what became of one call of a batch.
//
// The records of all successes in one call of take are merged into the content of the
// first: either all of these parts go into the answer, or none.
type BatchReply struct {
	// Call is the index in Batch.Calls.
	Call  int
	Reply LeafReply
	// Took is how long the leaf took, as the peer measured it.
	Took time.Duration
}

const (
	// flushAtTypical is when the first replies of a batch are wanted, in multiples
	// of the typical reply time: half are in by then. Later ones save a few bytes and keep
	// the caller from seeing which leafs are free.
	flushAtTypical = 1.0
	// stepAtTypical is how long further replies are collected.
	stepAtTypical = 0.15
)

// throughPeers hands requests to leafs of other zones to peers there, and returns the sends
// that remain to be sent directly. First requests go together. A second one goes alone:
// its records must be told from those of the first, whichever comes.
func (r *gathering) throughPeers(sends []fanout.Request) []fanout.Request {
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

// sendBatch reports whether a peer took the requests.
func (r *gathering) sendBatch(zone string, sends []fanout.Request) bool {
	typical := float64(r.g.table.TypicalLatency(r.route.Name))
	b := Batch{
		Request: r.req, Route: r.route, Zone: zone, Deadline: sends[0].Deadline,
		FlushAfter: time.Duration(flushAtTypical * typical), FlushInterval: time.Duration(stepAtTypical * typical),
	}
	for _, s := range sends {
		b.Calls = append(b.Calls, r.call(s))
	}
	cancel, ok := r.g.batcher.Send(b, func(replies []BatchReply) { r.batchReplied(sends, b.Calls, replies) })
	if ok {
		r.cancels = append(r.cancels, cancel)
	}
	return ok
}

// batchReplied takes over replies that belong together.
func (r *gathering) batchReplied(sends []fanout.Request, calls []LeafCall, replies []BatchReply) {
	group := make([]arrival, 0, len(replies))
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
		r.g.ended(calls[reply.Call], s.Call, reply.Reply, took, now)
		group = append(group, arrival{shard: s.Shard, attempt: s.Attempt, reply: reply.Reply, merged: successes > 1})
	}
	r.replies <- group
}
