package entry

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
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
	// A caller that leaves does not end its hold: it may ask again with the
	// same key, and the outcome has to be on the primary's record by then.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), cl.deadline.Add(-replyMargin))
	defer cancel()
	s, ok := cl.index.Shard(req.Shard)
	if !ok {
		return e.refusal(cl.id, errcode.UnknownShard, req.Shard)
	}
	leaf := wire.LeafRequest{
		RequestID: cl.id, Kind: wire.LeafHold, Index: cl.index.Name, Snapshot: cl.index.Snapshot,
		Shard: s.ID, Item: req.Item, IdempotencyKey: req.IdempotencyKey, DeadlineUnixMs: cl.deadline.Add(-replyMargin).UnixMilli(),
		FromZone: e.set.Zone,
	}
	r := e.sendPrimary(ctx, leaf, s)
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

// sendPrimary sends leaf to the shard's primary, or says "not run" when it
// is leaving or marked down.
func (e *Entry) sendPrimary(ctx context.Context, leaf wire.LeafRequest, s *topology.Shard) shardResult {
	cands := e.backends.candidates(s.Primary().Leafs, time.Now(), preference{})
	if len(cands) == 0 || ctx.Err() != nil {
		return shardResult{shard: s.ID, code: errcode.ShardUnavailable, msg: "no live leaf"}
	}
	return e.send(ctx, cands[0], leaf, false)
}
