package entry

import (
	"context"
	"sort"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// search runs req over every shard of the pinned index at the pinned snapshot.
func (e *Entry) search(ctx context.Context, cl *call, req wire.SearchRequest) wire.Answer {
	message := wire.LeafRequest{Kind: wire.LeafSearch, Text: req.Text, Limit: req.Limit}
	a := e.run(ctx, cl, cl.plan.searches[cl.name], message)
	switch a.Code {
	case errcode.EntryOverloaded:
		return e.overloaded(cl)
	case errcode.Quarantined:
		return e.quarantined(cl, &a)
	case errcode.CallerDisconnected:
		e.stats.callersLeft.Inc()
		return e.refusal(cl.id, a.Code, a.Code.Name())
	}
	return e.covering(cl, a.Shards)
}

// covering writes the answer: every shard is either covered or missing with a
// reason, and hits come only from covered shards.
func (e *Entry) covering(cl *call, shards []gateway.ShardAnswer) wire.Answer {
	a := wire.Answer{RequestID: cl.id, Code: errcode.OK, Snapshot: cl.index.Snapshot}
	for i := range shards {
		id := cl.index.Shards[i].ID
		if reply := shards[i].Reply; reply != nil {
			a.Covered = append(a.Covered, id)
			a.Hits = append(a.Hits, reply.Content.(*wire.LeafResponse).Hits...)
			continue
		}
		code, reason := missing(&shards[i])
		e.stats.missing(code)
		a.Missing = append(a.Missing, wire.MissingShard{Shard: id, Code: code, Reason: reason})
	}
	sort.Strings(a.Covered)
	sort.Slice(a.Missing, func(i, j int) bool { return a.Missing[i].Shard < a.Missing[j].Shard })
	wire.SortHits(a.Hits)
	a.Partial = len(a.Missing) > 0
	return a
}

// missing is the code and the text for a shard that an answer lacks.
func missing(s *gateway.ShardAnswer) (errcode.Code, string) {
	switch s.MissingReason {
	case fanout.Failed:
		if s.LastFailure != nil {
			return leafError(s.LastFailure)
		}
	case fanout.NoLeaf, fanout.AllDown:
		return errcode.ShardUnavailable, "no live leaf"
	case fanout.AllBusy:
		return errcode.ShardNotSent, errcode.ShardNotSent.Name()
	}
	return errcode.ShardTimeout, errcode.ShardTimeout.Name()
}
