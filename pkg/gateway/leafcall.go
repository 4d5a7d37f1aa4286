package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// callLeaf sends one leaf call and records its outcome. tracked is the call's record in the
// replica table.
func (g *Gateway) callLeaf(ctx context.Context, call LeafCall, tracked *replica.Call) LeafReply {
	started := time.Now()
	reply := g.leafs.Do(ctx, call)
	now := time.Now()
	g.recordLeafCall(call, tracked, reply, now.Sub(started), now)
	return reply
}

// recordLeafCall records the outcome and duration of a leaf call.
func (g *Gateway) recordLeafCall(call LeafCall, tracked *replica.Call, reply LeafReply, took time.Duration, now time.Time) {
	g.applyLoad(call, tracked, reply, now)
	change := g.table.EndWithLatency(tracked, reply.Outcome, took, now)
	g.stats.leafCall(reply.Outcome, took)
	switch reply.Outcome {
	case replica.Answered:
		g.quarantine.RecordAnswered(call.Request.Key, now)
	case replica.LeafCrashed:
		g.recordLeafCrash(call, tracked, now)
	}
	if reply.Outcome != replica.Answered && reply.Outcome != replica.Abandoned {
		event := "leaf_call_failed"
		if reply.Outcome == replica.LeafCrashed {
			event = "leaf_ended" // Rare but important, so it has a rate limit of its own.
		}
		g.log.Decision(event, call.Request.logFields(tracked.Class(), oplog.Fields{
			"leaf": call.Leaf.ID, "service": call.Service, "leaf_zone": call.Leaf.Zone,
			"outcome": reply.Outcome.String(), "status": reply.Status, "took_ms": took.Milliseconds(), "error": errText(reply.Err),
			"load": loadText(reply.Load),
		}))
	}
	switch change {
	case replica.MarkedDown:
		g.log.State("leaf_down", oplog.Fields{"leaf": call.Leaf.ID, "service": call.Service, "leaf_zone": call.Leaf.Zone, "error": errText(reply.Err)})
	case replica.Recovered:
		g.log.State("leaf_up", oplog.Fields{"leaf": call.Leaf.ID, "service": call.Service, "leaf_zone": call.Leaf.Zone})
	}
}

// applyLoad records the load that a leaf reported with its reply.
func (g *Gateway) applyLoad(call LeafCall, tracked *replica.Call, reply LeafReply, now time.Time) {
	switch {
	case reply.LoadErr != nil:
		g.stats.malformedLoad()
		g.log.Decision("leaf_load_malformed", oplog.Fields{"leaf": call.Leaf.ID, "service": call.Service, "error": reply.LoadErr.Error()})
	case reply.Load != nil:
		g.table.RecordLoad(tracked, *reply.Load, now)
	}
}

// recordSecondRequest records that a further leaf is called for a service or shard.
func (g *Gateway) recordSecondRequest(route *routing.Route, call LeafCall, why string) {
	req := call.Request
	g.stats.secondRequest(why)
	now := time.Now()
	budget := g.table.SecondRequestBudget(call.Service, now)
	g.log.Decision("second_request", req.logFields(route.Name, oplog.Fields{
		"service": call.Service, "leaf": call.Leaf.ID, "why": why, "after_ms": now.Sub(req.Arrived).Milliseconds(),
		"budget_requests": budget.Requests, "budget_sent": budget.SecondRequests, "budget_burst": budget.Burst,
	}))
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

// leafCall returns the leaf call for a send.
func (r *gatherRun) leafCall(s fanout.Request) LeafCall {
	return LeafCall{Leaf: s.Call.Leaf, Service: r.route.Shards[s.Shard], Request: r.req, Deadline: s.Deadline}
}

// callContext returns the context for a new call of a shard.
func (r *gatherRun) callContext(shard int) context.Context {
	if r.cancelShardCalls == nil {
		return r.callCtx
	}
	ctx, cancel := context.WithCancel(r.callCtx)
	earlier := r.cancelShardCalls[shard]
	r.cancelShardCalls[shard] = func() {
		cancel()
		if earlier != nil {
			earlier()
		}
	}
	return ctx
}
