package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// do sends one leaf call and records its outcome.
func (g *Gateway) do(ctx context.Context, call LeafCall, entry *replica.Call) LeafReply {
	started := time.Now()
	reply := g.leafs.Do(ctx, call)
	now := time.Now()
	g.ended(call, entry, reply, now.Sub(started), now)
	return reply
}

// ended records the outcome of a leaf call that took some time.
func (g *Gateway) ended(call LeafCall, entry *replica.Call, reply LeafReply, took time.Duration, now time.Time) {
	g.takeLoad(call, entry, reply, now)
	turn := g.table.EndWithLatency(entry, reply.Outcome, took, now)
	g.stats.leaf(reply.Outcome, took)
	if reply.Outcome == replica.ProcessExited {
		g.leafEnded(call, entry, now)
	}
	if reply.Outcome != replica.Answered && reply.Outcome != replica.Abandoned {
		event := "leaf_call_failed"
		if reply.Outcome == replica.ProcessExited {
			event = "leaf_ended" // A budget of lines of its own: rare, and of weight.
		}
		g.log.Decision(event, call.Request.about(entry.Class(), oplog.Fields{
			"leaf": call.Leaf.ID, "service": call.Service, "leaf_zone": call.Leaf.Zone,
			"outcome": reply.Outcome.String(), "status": reply.Status, "took_ms": took.Milliseconds(), "error": errText(reply.Err),
			"load": loadText(reply.Load),
		}))
	}
	switch turn {
	case replica.MarkedDown:
		g.log.State("leaf_down", oplog.Fields{"leaf": call.Leaf.ID, "service": call.Service, "leaf_zone": call.Leaf.Zone, "error": errText(reply.Err)})
	case replica.Recovered:
		g.log.State("leaf_up", oplog.Fields{"leaf": call.Leaf.ID, "service": call.Service, "leaf_zone": call.Leaf.Zone})
	}
}

// takeLoad takes over what a leaf has said of itself.
func (g *Gateway) takeLoad(call LeafCall, entry *replica.Call, reply LeafReply, now time.Time) {
	switch {
	case reply.LoadErr != nil:
		g.stats.malformedLoad()
		g.log.Decision("leaf_load_malformed", oplog.Fields{"leaf": call.Leaf.ID, "service": call.Service, "error": reply.LoadErr.Error()})
	case reply.Load != nil:
		g.table.RecordLoad(entry, *reply.Load, now)
	}
}

func loadText(load *replica.Load) string {
	if load == nil {
		return ""
	}
	return load.String()
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
