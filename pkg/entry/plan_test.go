package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

func TestRoutingPlanOfConfiguration(t *testing.T) {
	cfg := &topology.Config{
		Version: 3,
		Deployments: []topology.Deployment{{Name: "d", Indexes: []topology.Index{{
			Name: "i", Snapshot: 1, Shards: []topology.Shard{{ID: "s1", Leafs: []string{"u1", "u2"}}, {ID: "s2", Leafs: []string{"u2"}}},
		}}}},
		Backends: []topology.BackendServer{{Name: "u1", Addr: "a:1", MaxConns: 25}, {Name: "u2", Addr: "a:2"}},
	}
	p := newRoutingPlan(cfg)
	require.Equal(t, []string{"d/i/s1", "d/i/s2"}, p.searchRoutes["d/i"].Shards)
	require.Equal(t, "d/i/s1/primary", p.holdRoutes["d/i/s1"].Targets[0].Service)
	require.Equal(t, 1, p.holdRoutes["d/i/s1"].MaxAttempts, "a hold may be retried at another replica")
	require.Equal(t, []string{"d/i/s1", "d/i/s1/primary"}, p.servicesByBackend["u1"])
	require.Equal(t, []string{"d/i/s1", "d/i/s2", "d/i/s2/primary"}, p.servicesByBackend["u2"])
	require.Equal(t, "s1", p.shardIDs["d/i/s1/primary"])
	u1 := p.leaf(cfg.Backends[0], 4)
	require.Equal(t, 24, u1.MaxConns)
	require.Equal(t, int64(3), u1.Sequence)
}

func TestConnectionLimitIsDivisibleByInstances(t *testing.T) {
	for _, tc := range []struct{ limit, instances, want int }{{25, 4, 24}, {24, 4, 24}, {3, 4, 4}, {0, 4, 0}} {
		require.Equal(t, tc.want, evenlyDivisibleLimit(tc.limit, tc.instances), "%v", tc)
	}
}

func TestLeafCodeMapsToOutcome(t *testing.T) {
	for code, want := range map[errcode.Code]replica.Outcome{
		errcode.OK: replica.Answered, errcode.ShardCancelled: replica.Abandoned, errcode.ShardTimeout: replica.TimedOut,
		errcode.ShardRefused: replica.Refused, errcode.SnapshotUnavailable: replica.Refused,
		errcode.ShardNotHosted: replica.Refused, errcode.ShardFailed: replica.Failed,
	} {
		require.Equal(t, want, outcomeForCode(code), code)
		require.Equal(t, code.NotRun() && code != errcode.OK, outcomeForCode(code).NotRun(), "%v: the outcome and the code differ on whether the request ran", code)
	}
}

func TestMissingShardHasCodeAndReason(t *testing.T) {
	refused := &gateway.LeafReply{Outcome: replica.Refused, Content: &wire.LeafResponse{Code: errcode.ShardNotHosted}}
	for _, tc := range []struct {
		shard gateway.ShardAnswer
		want  errcode.Code
	}{
		{gateway.ShardAnswer{MissingReason: fanout.NoLeaf}, errcode.ShardUnavailable},
		{gateway.ShardAnswer{MissingReason: fanout.AllDown}, errcode.ShardUnavailable},
		{gateway.ShardAnswer{MissingReason: fanout.Unanswered}, errcode.ShardTimeout},
		{gateway.ShardAnswer{MissingReason: fanout.AllBusy}, errcode.ShardNotSent},
		{gateway.ShardAnswer{MissingReason: fanout.Failed, LastFailure: refused}, errcode.ShardNotHosted},
		{gateway.ShardAnswer{MissingReason: fanout.Failed, LastFailure: &gateway.LeafReply{Outcome: replica.NotSent}}, errcode.ShardUnavailable},
		{gateway.ShardAnswer{MissingReason: fanout.Failed, LastFailure: &gateway.LeafReply{Outcome: replica.NotSent, Err: gateway.ErrNoWorker}}, errcode.EntryOverloaded},
		{gateway.ShardAnswer{MissingReason: fanout.Failed, LastFailure: &gateway.LeafReply{Outcome: replica.ReplyLost, Err: errReplyMismatch}}, errcode.ShardFailed},
	} {
		code, reason := missingReason(&tc.shard)
		require.Equal(t, tc.want, code)
		require.NotContains(t, reason, "<nil>")
	}
}
