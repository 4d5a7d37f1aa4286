package entry

import (
	"context"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// hold sends a not-repeatable request to the shard's primary leaf only. The request
// is never hedged and never retried at another replica: each replica keeps its own
// record of idempotency keys, so a retry that reached a second replica would run
// again there (the same bed would be promised twice). If the primary cannot be
// reached, the answer says that the request did not run and carries a retry hint.
// After any failure once the request was sent, the answer is OutcomeUnknown; the
// caller may then retry with the same key, and the primary answers from its record
// without running the request twice.
func (e *Entry) hold(ctx context.Context, ar *admittedRequest, req wire.HoldRequest) wire.Answer {
	route, ok := ar.plan.holdRoutes[shardService(ar.indexKey, req.Shard)]
	if !ok {
		return e.refusal(ar.id, errcode.UnknownShard, req.Shard)
	}
	// A hold goes on after its caller disconnects: the caller may retry with the
	// same key, and by then the primary must have recorded the outcome.
	ctx = context.WithoutCancel(ctx)
	message := wire.LeafRequest{Kind: wire.LeafHold, Item: req.Item, IdempotencyKey: req.IdempotencyKey}
	a := e.run(ctx, ar, route, message)
	switch {
	case a.Code == errcode.EntryOverloaded:
		return e.refuseOverloaded(ar)
	case a.Code == errcode.Quarantined:
		return e.refuseQuarantined(ar, &a)
	case a.Relayed != nil && a.Relayed.Outcome == replica.Answered:
		return recordedHoldAnswer(ar, req.Shard, a.Relayed.Content.(*wire.LeafResponse))
	case a.Code == errcode.ShardsUnavailable:
		return e.notRunHoldAnswer(ar, req.Shard, a.LastFailure)
	}
	return e.unknownHoldAnswer(ar, req.Shard, &a)
}

// recordedHoldAnswer returns the answer to a hold whose outcome the primary has
// recorded.
func recordedHoldAnswer(ar *admittedRequest, shard string, resp *wire.LeafResponse) wire.Answer {
	a := wire.Answer{
		RequestID: ar.id, Code: errcode.OK, Message: resp.Message, Snapshot: ar.index.Snapshot,
		Covered: []string{shard}, Held: resp.Held,
	}
	if resp.Held != nil && resp.Held.Replayed {
		a.Code = errcode.Replayed
	}
	return a
}

// notRunHoldAnswer returns the answer to a hold that certainly did not run.
// lastFailure is the primary's reply, nil if the hold was not sent to it.
func (e *Entry) notRunHoldAnswer(ar *admittedRequest, shard string, lastFailure *gateway.LeafReply) wire.Answer {
	code, msg := errcode.ShardUnavailable, "no live leaf"
	if lastFailure != nil {
		code, msg = failureReason(lastFailure)
	}
	a := e.missingShardAnswer(ar, shard, code, msg)
	a.Code = code
	a.Message = msg
	return a
}

// unknownHoldAnswer returns the answer to a hold that may have run.
func (e *Entry) unknownHoldAnswer(ar *admittedRequest, shard string, a *gateway.Answer) wire.Answer {
	code, msg := errcode.ShardTimeout, errcode.ShardTimeout.Name()
	switch {
	case a.Relayed != nil:
		code, msg = failureReason(a.Relayed)
	case a.LastFailure != nil:
		code, msg = failureReason(a.LastFailure)
	}
	answer := e.missingShardAnswer(ar, shard, code, msg)
	answer.Code = errcode.OutcomeUnknown
	answer.Message = "sent, no reply: ask again with the same Idempotency-Key"
	return answer
}

// missingShardAnswer returns the common part of the answers to holds without a result:
// the reason why the shard is missing, and the retry hint.
func (e *Entry) missingShardAnswer(ar *admittedRequest, shard string, code errcode.Code, reason string) wire.Answer {
	return wire.Answer{
		RequestID: ar.id, Snapshot: ar.index.Snapshot, RetryAfterMs: e.settings.RetryAfterMs,
		Missing: []wire.MissingShard{{Shard: shard, Code: code, Reason: reason}},
	}
}
