package entry

import (
	"context"
	"sort"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// search runs req on every shard of the pinned index at the pinned snapshot.
func (e *Entry) search(ctx context.Context, ar *admittedRequest, req wire.SearchRequest) wire.Answer {
	message := wire.LeafRequest{Kind: wire.LeafSearch, Text: req.Text, Limit: req.Limit}
	a := e.run(ctx, ar, ar.plan.searchRoutes[ar.indexKey], message)
	switch a.Code {
	case errcode.EntryOverloaded:
		return e.refuseOverloaded(ar)
	case errcode.Quarantined:
		return e.refuseQuarantined(ar, &a)
	case errcode.CallerDisconnected:
		e.stats.callerDisconnects.Inc()
		return e.refusal(ar.id, a.Code, a.Code.Name())
	}
	return e.searchAnswer(ar, a.Shards)
}

// searchAnswer builds the answer to a search: every shard is either covered or missing
// with a reason, and hits come only from covered shards.
func (e *Entry) searchAnswer(ar *admittedRequest, shards []gateway.ShardAnswer) wire.Answer {
	a := wire.Answer{RequestID: ar.id, Code: errcode.OK, Snapshot: ar.index.Snapshot}
	for i := range shards {
		id := ar.index.Shards[i].ID
		if reply := shards[i].Reply; reply != nil {
			a.Covered = append(a.Covered, id)
			a.Hits = append(a.Hits, reply.Content.(*wire.LeafResponse).Hits...)
			continue
		}
		code, reason := missingReason(&shards[i])
		e.stats.countMissingShard(code)
		a.Missing = append(a.Missing, wire.MissingShard{Shard: id, Code: code, Reason: reason})
	}
	sort.Strings(a.Covered)
	sort.Slice(a.Missing, func(i, j int) bool { return a.Missing[i].Shard < a.Missing[j].Shard })
	wire.SortHits(a.Hits)
	a.Partial = len(a.Missing) > 0
	return a
}

// missingReason returns the code and the text for a shard that is missing from an answer.
func missingReason(s *gateway.ShardAnswer) (errcode.Code, string) {
	switch s.MissingReason {
	case fanout.Failed:
		if s.LastFailure != nil {
			return failureReason(s.LastFailure)
		}
	case fanout.NoLeaf, fanout.AllDown:
		return errcode.ShardUnavailable, "no live leaf"
	case fanout.AllBusy:
		return errcode.ShardNotSent, errcode.ShardNotSent.Name()
	}
	return errcode.ShardTimeout, errcode.ShardTimeout.Name()
}
