package entry

import (
	"context"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// hold sends a not-repeatable request to the shard's primary leaf only. It
// is never hedged and never moved to another replica: each replica keeps its
// own record of idempotency keys, so a retry that reached a second replica
// would run again there (a bed promised twice). When the primary cannot be
// reached the answer is "not run" with a retry hint. Any failure after
// sending answers OutcomeUnknown, and the caller may ask again with the same
// key, which the primary answers from its record without running it twice.
func (e *Entry) hold(ctx context.Context, cl *call, req wire.HoldRequest) wire.Answer {
	route, ok := cl.plan.holds[shardService(cl.name, req.Shard)]
	if !ok {
		return e.refusal(cl.id, errcode.UnknownShard, req.Shard)
	}
	// A caller that leaves does not end its hold: it may ask again with the
	// same key, and the outcome has to be on the primary's record by then.
	ctx = context.WithoutCancel(ctx)
	message := wire.LeafRequest{Kind: wire.LeafHold, Item: req.Item, IdempotencyKey: req.IdempotencyKey}
	a := e.run(ctx, cl, route, message)
	switch {
	case a.Code == errcode.EntryOverloaded:
		return e.overloaded(cl)
	case a.Code == errcode.Quarantined:
		return e.quarantined(cl, &a)
	case a.Relayed != nil && a.Relayed.Outcome == replica.Answered:
		return held(cl, req.Shard, a.Relayed.Content.(*wire.LeafResponse))
	case a.Code == errcode.ShardsUnavailable:
		return e.notHeld(cl, req.Shard, a.LastFailure)
	}
	return e.holdUnknown(cl, req.Shard, &a)
}

// held answers a hold that the primary has on its record.
func held(cl *call, shard string, resp *wire.LeafResponse) wire.Answer {
	a := wire.Answer{
		RequestID: cl.id, Code: errcode.OK, Message: resp.Message, Snapshot: cl.index.Snapshot,
		Covered: []string{shard}, Held: resp.Held,
	}
	if resp.Held != nil && resp.Held.Replayed {
		a.Code = errcode.Replayed
	}
	return a
}

// notHeld answers a hold that certainly did not run; last is what the primary
// said, nil when it was not asked.
func (e *Entry) notHeld(cl *call, shard string, last *gateway.LeafReply) wire.Answer {
	code, msg := errcode.ShardUnavailable, "no live leaf"
	if last != nil {
		code, msg = leafError(last)
	}
	a := e.withoutShard(cl, shard, code, msg)
	a.Code = code
	a.Message = msg
	return a
}

// holdUnknown answers a hold that may have run.
func (e *Entry) holdUnknown(cl *call, shard string, a *gateway.Answer) wire.Answer {
	code, msg := errcode.ShardTimeout, errcode.ShardTimeout.Name()
	switch {
	case a.Relayed != nil:
		code, msg = leafError(a.Relayed)
	case a.LastFailure != nil:
		code, msg = leafError(a.LastFailure)
	}
	answer := e.withoutShard(cl, shard, code, msg)
	answer.Code = errcode.OutcomeUnknown
	answer.Message = "sent, no reply: ask again with the same Idempotency-Key"
	return answer
}

// withoutShard is what answers to holds without a result share: why the shard is
// missing, and when to ask again.
func (e *Entry) withoutShard(cl *call, shard string, code errcode.Code, reason string) wire.Answer {
	return wire.Answer{
		RequestID: cl.id, Snapshot: cl.index.Snapshot, RetryAfterMs: e.set.RetryAfterMs,
		Missing: []wire.MissingShard{{Shard: shard, Code: code, Reason: reason}},
	}
}
