package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// newRankedGateway returns a gateway with two gather routes over the same n shards: /urgent/ of rank
// urgent and /other/ of the next rank. Its log is written to the returned buffer and complete after
// the returned function was called.
func newRankedGateway(t *testing.T, n, urgent int, answer func(context.Context, LeafCall) LeafReply) (*Gateway, *bytes.Buffer, func()) {
	g := newGateway(t, n, answer)
	opts := *g.opts.Load()
	opts.Overload.MinAdmittedShare = 0.3
	g.SetOptions(opts)
	var log bytes.Buffer
	g.log = oplog.New(&log, nil, oplog.Options{LinesPerSecond: 1000, Burst: 1000, Buffer: 1000})
	var routes []*routing.Route
	for i, name := range []string{"urgent", "other"} {
		r := &routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: routing.Gather, TopK: 20, MinShardShare: 0.89, MaxAttempts: 2,
			TargetLatency: 300 * time.Millisecond, Priority: urgent + i,
		}
		for s := range n {
			r.Shards = append(r.Shards, fmt.Sprint("s", s))
		}
		routes = append(routes, r)
	}
	require.True(t, g.SetConfig(routing.NewConfig(2, routes, nil, routing.Limits{})))
	return g, &log, func() { g.log.Close(time.Second) }
}

// press makes the controller see urgent queries that missed their target during the last 3 s.
func press(g *Gateway) {
	now := time.Now()
	for at := now.Add(-3 * time.Second); at.Before(now); at = at.Add(10 * time.Millisecond) {
		for _, route := range []string{"urgent", "other"} {
			g.priorities.Admit(route, priority.NewCaller, at)
			g.priorities.Observe(route, priority.Sample{Missed: true}, at)
		}
	}
}

// lines returns the log lines of an event.
func lines(t *testing.T, log *bytes.Buffer, event string) []map[string]any {
	var out []map[string]any
	for _, raw := range bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n")) {
		var line map[string]any
		require.NoError(t, json.Unmarshal(raw, &line))
		if line["event"] == event {
			out = append(out, line)
		}
	}
	return out
}

// Guards against less urgent queries that run although an urgent route misses its target, and against
// refusals that an operator cannot attribute.
func TestQueryIsRefusedInFavourOfUrgentRoute(t *testing.T) {
	var calls atomic.Int64
	g, log, flush := newRankedGateway(t, 20, 0, func(ctx context.Context, call LeafCall) LeafReply {
		calls.Add(1)
		return answered(ctx, call)
	})
	press(g)
	var refused Answer
	for range 5 {
		if a := ask(g, "/other/"); a.Code == errcode.LowPriority {
			refused = a
			break
		}
		calls.Store(0)
	}
	require.Equal(t, errcode.LowPriority, refused.Code)
	require.Zero(t, calls.Load(), "a refused query has not run")
	require.Equal(t, fanout.OverloadRetryAfter, refused.RetryAfter)
	require.Len(t, refused.Shards, 20)
	require.Equal(t, fanout.Withheld, refused.Shards[0].MissingReason)
	require.Equal(t, errcode.OK, ask(g, "/urgent/").Code)

	g.Tick(time.Now())
	flush()
	got := lines(t, log, "query_refused")
	require.Len(t, got, 1)
	require.Equal(t, "IY2009", got[0]["code"])
	require.Equal(t, "urgent", got[0]["favored"])
	require.Equal(t, 1.0, got[0]["rank"])
	for _, field := range []string{"share", "pressure", "pressure_age_ms", "retry_after_ms", "config_version"} {
		require.Contains(t, got[0], field)
	}
	require.Len(t, lines(t, log, "rank_reduced"), 1)
	var metrics bytes.Buffer
	g.stats.set.WritePrometheus(&metrics)
	require.Contains(t, metrics.String(), `gateway_rank_decisions_total{rank="1",decision="refused"} 1`)
	require.Contains(t, metrics.String(), `gateway_rank_admitted_share{rank="1"} 0.3`)
	require.Contains(t, metrics.String(), `gateway_refusals_total{code="IY2009"} 1`)
}

// Guards against refusals by rank where the published configuration does not call for them, and
// against a setting without effect.
func TestPrioritiesApplyWhereConfigured(t *testing.T) {
	for name, tc := range map[string]struct {
		urgent  int
		mode    Mode
		refuses bool
	}{
		"rank 0":      {0, Auto, true},
		"rank 0, off": {0, Off, false},
		"no rank 0":   {1, Auto, false},
		"rank 1, on":  {1, On, true},
		"negative":    {-1, On, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, _, _ := newRankedGateway(t, 3, tc.urgent, answered)
			opts := *g.opts.Load()
			opts.Overload.Priorities = tc.mode
			g.SetOptions(opts)
			press(g)
			refused := 0
			for range 5 {
				if ask(g, "/other/").Code == errcode.LowPriority {
					refused++
				}
			}
			require.Equal(t, tc.refuses, refused > 0)
		})
	}
}

// Guards against admitted shares without a metric after a reload of the settings has turned the
// admission by rank on.
func TestReloadRegistersShares(t *testing.T) {
	g, _, _ := newRankedGateway(t, 3, 1, answered)
	shares := func() string {
		var metrics bytes.Buffer
		g.stats.set.WritePrometheus(&metrics)
		return metrics.String()
	}
	require.NotContains(t, shares(), "gateway_rank_admitted_share")
	opts := *g.opts.Load()
	opts.Overload.Priorities = On
	g.SetOptions(opts)
	require.Contains(t, shares(), `gateway_rank_admitted_share{rank="2"} 1`)
}

// Guards against hedged requests of a reduced rank, which use the budget that the urgent rank needs,
// and against the loss of its retries after failures.
func TestReducedRankSendsNoHedgedRequests(t *testing.T) {
	for _, failing := range []bool{false, true} {
		t.Run(fmt.Sprint("failing ", failing), func(t *testing.T) {
			var calls atomic.Int64
			g, _, _ := newRankedGateway(t, 1, 0, func(ctx context.Context, call LeafCall) LeafReply {
				if calls.Add(1) == 1 {
					if failing {
						return LeafReply{Outcome: replica.Refused}
					}
					time.Sleep(200 * time.Millisecond)
				}
				return answered(ctx, call)
			})
			press(g)
			for {
				a := ask(g, "/other/")
				if a.Code != errcode.LowPriority {
					require.Equal(t, errcode.OK, a.Code)
					break
				}
			}
			want := int64(1)
			if failing {
				want = 2
			}
			require.Equal(t, want, calls.Load())
		})
	}
}

// Guards against a pressure that nobody measures: queries that are refused for overload, late or
// incomplete must reduce the other rank by themselves.
func TestOutcomesOfQueriesReduceTheOtherRank(t *testing.T) {
	g, _, _ := newRankedGateway(t, 3, 0, func(_ context.Context, call LeafCall) LeafReply {
		if call.Request.Path == "/other/" {
			return LeafReply{Outcome: replica.Answered}
		}
		time.Sleep(280 * time.Millisecond)
		return LeafReply{Outcome: replica.Answered}
	})
	ask(g, "/other/")
	require.Eventually(t, func() bool {
		go ask(g, "/urgent/")
		ask(g, "/other/")
		return g.priorities.Reduced("other")
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against a route without a rank that an operator does not learn of, and against a log line
// for each route or request instead of one per version.
func TestUnrankedRoutesAreLoggedOncePerVersion(t *testing.T) {
	g, log, flush := newRankedGateway(t, 2, 0, answered)
	unranked := func(name string) *routing.Route {
		return &routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: routing.NoRank}
	}
	routes := []*routing.Route{unranked("x"), unranked("y"), {Name: "z", Host: "h", Prefix: "/z/"}}
	require.True(t, g.SetConfig(routing.NewConfig(3, routes, nil, routing.Limits{})))
	require.False(t, g.SetConfig(routing.NewConfig(3, routes, nil, routing.Limits{})))
	require.True(t, g.SetConfig(routing.NewConfig(4, routes[2:], nil, routing.Limits{})))
	flush()
	got := lines(t, log, "route_rank_invalid")
	require.Len(t, got, 1)
	require.EqualValues(t, 2, got[0]["routes"])
	require.Equal(t, "x", got[0]["route"])
	require.EqualValues(t, 3, got[0]["config_version"])
}

// Guards against a metric series for each rank that an operator ever publishes.
func TestRankLabelsAreBounded(t *testing.T) {
	labels := map[string]bool{}
	for rank := range 1000 {
		labels[rankLabel(rank)] = true
	}
	require.Len(t, labels, maxRankLabel+2)
	require.Equal(t, "8+", rankLabel(routing.LeastUrgentRank))
}
