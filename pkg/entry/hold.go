package entry

import (
	"context"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
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
	ctx, cancel := context.WithDeadline(ctx, cl.deadline.Add(-replyMargin))
	defer cancel()
	s, ok := cl.index.Shard(req.Shard)
	if !ok {
		return e.refusal(cl.id, errcode.UnknownShard, req.Shard)
	}
	leaf := wire.LeafRequest{
		RequestID: cl.id, Kind: wire.LeafHold, Index: cl.index.Name, Snapshot: cl.index.Snapshot,
		Item: req.Item, IdempotencyKey: req.IdempotencyKey, DeadlineUnixMs: cl.deadline.Add(-replyMargin).UnixMilli(),
		FromZone: e.set.Zone,
	}
	r := e.callShard(ctx, leaf, s.Primary(), 1)
	a := wire.Answer{RequestID: cl.id, Code: r.code, Snapshot: cl.index.Snapshot, Message: r.msg}
	switch {
	case r.code == errcode.OK:
		a.Covered, a.Held = []string{s.ID}, r.held
		if r.held != nil && r.held.Replayed {
			a.Code = errcode.Replayed
		}
	case r.code.NotRun():
		a.Missing = []wire.MissingShard{{Shard: s.ID, Code: r.code, Reason: r.msg}}
		a.RetryAfterMs = e.set.RetryAfterMs
	default:
		a.Code = errcode.OutcomeUnknown
		a.Message = "sent, no reply: ask again with the same Idempotency-Key"
		a.Missing = []wire.MissingShard{{Shard: s.ID, Code: r.code, Reason: r.msg}}
		a.RetryAfterMs = e.set.RetryAfterMs
	}
	return a
}
