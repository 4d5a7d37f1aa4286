package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// scriptedLeafs is a LeafClient whose replies are determined by a function.
type scriptedLeafs struct {
	answer func(ctx context.Context, call LeafCall) LeafReply
}

func (s *scriptedLeafs) Do(ctx context.Context, call LeafCall) LeafReply { return s.answer(ctx, call) }
func (s *scriptedLeafs) Probe(context.Context, replica.Leaf, string, time.Time) bool {
	return false
}
func (s *scriptedLeafs) RemoveLeaf(string)    {}
func (s *scriptedLeafs) HandleRestart(string) {}

// answered returns a successful reply immediately.
func answered(_ context.Context, call LeafCall) LeafReply {
	return LeafReply{Outcome: replica.Answered, Status: 200, Content: call.Leaf.ID}
}

// newGateway returns a gateway with a gather route over n shards of two leafs each, a repeatable
// and an at-most-once route.
func newGateway(tb testing.TB, n int, answer func(context.Context, LeafCall) LeafReply) *Gateway {
	table := replica.NewTable(replica.Options{
		Zone: "z", OtherZoneFactor: 1.6, ConnsPerLeaf: 64, Instances: 1,
		Budget: replica.BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 2},
	})
	log := oplog.New(io.Discard, nil, oplog.Options{LinesPerSecond: 5, Burst: 20, Buffer: 64})
	opts := Options{
		Fanout: fanout.Options{
			AnswerMargin: 5 * time.Millisecond, PartialAnswers: true, HedgeTypicalFactor: 2.5,
			HedgeTargetFraction: 0.25, MinHedgeDelay: 15 * time.Millisecond, RequestDeadlineFactor: 1, MinAdmitProbability: 0.25,
		},
		MaxInFlight: 100, Workers: 10000, DefaultTimeout: 2 * time.Second,
		AnswerMargin: 5 * time.Millisecond, RetryAfter: 300 * time.Millisecond,
	}
	g, err := New(opts, table, &scriptedLeafs{answer}, log, NewStats(metrics.NewSet()))
	require.NoError(tb, err)
	tb.Cleanup(g.Close)
	gather := &routing.Route{
		Name: "all", Host: "h", Prefix: "/all/", Kind: routing.Gather, TopK: 20, MinShardShare: 0.89,
		MaxAttempts: 2, TargetLatency: 300 * time.Millisecond,
	}
	for i := range n {
		service := fmt.Sprint("s", i)
		gather.Shards = append(gather.Shards, service)
		addLeafs(table, service)
	}
	addLeafs(table, "one")
	one := []routing.Target{{Service: "one", Weight: 1}}
	g.SetConfig(routing.NewConfig(1, []*routing.Route{
		gather,
		{Name: "one", Host: "h", Prefix: "/one/", Kind: routing.Repeatable, Targets: one, MaxAttempts: 2, TargetLatency: 100 * time.Millisecond},
		{Name: "hold", Host: "h", Prefix: "/hold/", Kind: routing.AtMostOnce, Targets: one, MaxAttempts: 2},
	}, nil, routing.Limits{}))
	return g
}

func addLeafs(t *replica.Table, service string) {
	for _, id := range []string{"a", "b"} {
		t.Upsert(replica.Leaf{ID: service + id, Services: []string{service}, Zone: "z", Slots: 2}, time.Now())
	}
}

func ask(g *Gateway, path string) Answer {
	return g.Handle(context.Background(), &Request{ID: "r", Host: "h", Path: path, Arrived: time.Now()})
}

func TestResultCodeByLeafOutcome(t *testing.T) {
	always := func(o replica.Outcome) func(context.Context, LeafCall) LeafReply {
		return func(context.Context, LeafCall) LeafReply { return LeafReply{Outcome: o} }
	}
	for name, tc := range map[string]struct {
		path   string
		answer func(context.Context, LeafCall) LeafReply
		want   errcode.Code
	}{
		"no route": {"/none/", answered, errcode.UnknownRoute},
		"gather":   {"/all/", answered, errcode.OK},
		"gather, every leaf loses the connection": {"/all/", always(replica.ReplyLost), errcode.TooFewShards},
		"gather, every leaf refuses":              {"/all/", always(replica.Refused), errcode.ShardsUnavailable},
		"one":                                     {"/one/", answered, errcode.OK},
		"one, both refuse":                        {"/one/", always(replica.Refused), errcode.ShardsUnavailable},
		"one, both lose the connection":           {"/one/", always(replica.ReplyLost), errcode.LeafFailed},
		"hold":                                    {"/hold/", answered, errcode.OK},
		"hold, not sent":                          {"/hold/", always(replica.NotSent), errcode.ShardsUnavailable},
		"hold, connection lost: outcome unknown":  {"/hold/", always(replica.ReplyLost), errcode.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			a := ask(newGateway(t, 20, tc.answer), tc.path)
			require.Equal(t, tc.want, a.Code)
			require.Equal(t, a.Code.HTTPStatus() == 503, a.RetryAfter > 0, "a refusal has a retry hint")
		})
	}
}

// Guards against answers that are sent in time but reach distant callers late. Caller and
// instance are 5 ms apart, and the answer is sent 8 ms before the target as measured at the
// instance. The network delay was not taken into account.
func TestNetworkDelayIsSubtractedFromDeadlines(t *testing.T) {
	g := newGateway(t, 1, answered)
	opts := *g.opts.Load()
	opts.AnswerMargin = 5 * time.Millisecond
	g.SetOptions(opts)
	arrived := time.Now()
	for _, tc := range []struct{ delay, target, timeout, wantSent, wantLeft time.Duration }{
		{0, 200, 1000, 0, 995},
		{10, 200, 1000, 10, 985},
		{100, 200, 1000, 50, 895},
		{900, 200, 1000, 50, 750},
		{10, 0, 1000, 0, 985},
	} {
		req := &Request{Arrived: arrived, NetworkDelay: tc.delay * time.Millisecond, Timeout: tc.timeout * time.Millisecond}
		require.Equal(t, tc.wantSent*time.Millisecond, arrived.Sub(req.latencyStart(tc.target*time.Millisecond)), "%v", tc)
		require.Equal(t, tc.wantLeft*time.Millisecond, g.deadline(req, &routing.Route{}).Sub(arrived), "%v", tc)
	}
}

func TestMoreThanMaxInFlightIsRefused(t *testing.T) {
	hold := make(chan struct{})
	g := newGateway(t, 1, func(ctx context.Context, call LeafCall) LeafReply {
		<-hold
		return answered(ctx, call)
	})
	opts := *g.opts.Load()
	opts.MaxInFlight = 1
	g.SetOptions(opts)
	first := make(chan Answer)
	go func() { first <- ask(g, "/one/") }()
	require.Eventually(t, func() bool { return g.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, errcode.EntryOverloaded, ask(g, "/one/").Code)
	close(hold)
	require.Equal(t, errcode.OK, (<-first).Code)
}

// BenchmarkQuery measures the processor time and the allocations of one query over n shards
// whose leafs answer immediately: decisions, goroutines and merging.
func BenchmarkQuery(b *testing.B) {
	for _, n := range []int{20, 70, 90} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newGateway(b, n, answered)
			b.ReportAllocs()
			for b.Loop() {
				if a := ask(g, "/all/"); a.Code != errcode.OK {
					b.Fatal(a.Code)
				}
			}
		})
	}
}

// Guards against telling callers that nothing has run while parts of their query are at leafs.
// Three of twenty shards were refused within 5 ms, too few were left for a success, and the
// other requests, sent but not yet answered, were not considered:
//
//	query_failed after_ms=5 code=IY2005 covered=0 needed=18 missing=map[bano58l:unanswered cule94i:failed ...]
func TestQueryWithRequestsInFlightIsNotReportedAsNotRun(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	g := newGateway(t, 20, func(_ context.Context, call LeafCall) LeafReply {
		if call.Service == "s0" || call.Service == "s1" || call.Service == "s2" {
			return LeafReply{Outcome: replica.NotSent}
		}
		<-release
		return LeafReply{Outcome: replica.Answered}
	})
	a := g.Handle(context.Background(), &Request{ID: "r", Host: "h", Path: "/all/", Arrived: time.Now(), Timeout: 200 * time.Millisecond})
	require.NotEqual(t, errcode.OK, a.Code)
	require.False(t, a.Code.NotRun(), "%s", a.Code)
}
