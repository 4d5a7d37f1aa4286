package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// shortRoute and longRoute are routes with and without planned returns by default.
var (
	shortRoute = &routing.Route{Name: "short", Kind: routing.Gather, TargetLatency: 150 * time.Millisecond, Timeout: 1200 * time.Millisecond}
	longRoute  = &routing.Route{Name: "long", Kind: routing.Gather, TargetLatency: 150 * time.Millisecond, Timeout: 3 * time.Second}
)

// newReturnsGateway returns a gateway that plans returns in the given mode, and has admitted 100
// requests of each route in the last second.
func newReturnsGateway(t *testing.T, mode Mode) *Gateway {
	g := newGateway(t, 3, answered)
	opts := *g.opts.Load()
	opts.Overload = Overload{Returns: mode, ShortTimeoutTargets: 12}
	g.SetOptions(opts)
	now := time.Now()
	for i := range 100 {
		for _, route := range []*routing.Route{shortRoute, longRoute} {
			g.returns.RecordAdmission(route.Name, now.Add(time.Duration(i-99)*10*time.Millisecond))
		}
	}
	return g
}

func callerWith(timeout time.Duration) *Request {
	return &Request{ID: "r", Arrived: time.Now(), Timeout: timeout}
}

// Guards against planned returns on routes that do not call for them: hints, retries and holding
// must be as before.
func TestReturnsArePlannedForShortTimeoutsOnly(t *testing.T) {
	for _, tc := range []struct {
		mode    Mode
		route   *routing.Route
		planned bool
	}{{Auto, shortRoute, true}, {Auto, longRoute, false}, {On, longRoute, true}, {Off, shortRoute, false}} {
		g := newReturnsGateway(t, tc.mode)
		g.claimReturn(callerWith(tc.route.Timeout), tc.route)
		first := callerWith(tc.route.Timeout)
		require.Equal(t, priority.NewCaller, g.claimReturn(first, tc.route))
		require.Equal(t, tc.planned, g.returnTerms(first, tc.route) != fanout.ReturnTerms{})
		hint := g.plannedRetryAfter(first, tc.route, fanout.OverloadRetryAfter)
		fields := first.logFields("r", map[string]any{})
		if !tc.planned {
			require.Equal(t, fanout.OverloadRetryAfter, hint)
			require.NotContains(t, fields, "promised")
			require.Zero(t, g.Returns().Counts().Made.Load())
			continue
		}
		require.Equal(t, true, fields["promised"])
		require.Equal(t, false, fields["returning"])
		require.InDelta(t, 0.1, hint.Seconds(), 0.03)
		require.EqualValues(t, 1, g.Returns().Counts().Made.Load())
	}
}

// Guards against a returning caller that is not recognized when its promise is due, claims another
// one's, or collects further promises by retrying.
func TestReturningCallerClaimsOnePromise(t *testing.T) {
	g := newReturnsGateway(t, Auto)
	for range 10 { // The usual timeout must be known.
		g.claimReturn(callerWith(shortRoute.Timeout), shortRoute)
	}
	first := callerWith(shortRoute.Timeout)
	g.claimReturn(first, shortRoute)
	hint := g.plannedRetryAfter(first, shortRoute, time.Second)
	early := callerWith(shortRoute.Timeout - 10*time.Millisecond)
	require.Equal(t, priority.EarlyCaller, g.claimReturn(early, shortRoute), "its time has not come")
	remaining := g.plannedRetryAfter(early, shortRoute, time.Second)
	require.InDelta(t, 1.185, remaining.Seconds(), 0.02, "it is told that no capacity will come")

	time.Sleep(hint)
	third := callerWith(shortRoute.Timeout)
	require.Equal(t, priority.NewCaller, g.claimReturn(third, shortRoute), "new callers claim nothing")
	require.True(t, g.returnTerms(third, shortRoute).KeepFree)
	back := callerWith(shortRoute.Timeout - hint)
	require.Equal(t, priority.PromisedCaller, g.claimReturn(back, shortRoute))
	terms := g.returnTerms(back, shortRoute)
	require.True(t, terms.Promised)
	require.LessOrEqual(t, terms.MaxHold, shortRoute.TargetLatency/4)
	require.Equal(t, priority.ReturningCaller, g.claimReturn(callerWith(shortRoute.Timeout-hint), shortRoute), "one promise serves one caller")
	require.EqualValues(t, 1, g.Returns().Counts().Made.Load())
}

// Guards against a query whose caller retries at once and is admitted by rank like one that waited, and
// against changed treatment of retries where returns are not planned.
func TestCallerForAdmissionByRank(t *testing.T) {
	for _, tc := range []struct {
		mode    Mode
		elapsed time.Duration
		want    priority.Caller
	}{
		{Auto, 0, priority.NewCaller},
		{Auto, 10 * time.Millisecond, priority.EarlyCaller},
		{Auto, 200 * time.Millisecond, priority.ReturningCaller},
		{Off, 0, priority.NewCaller},
		{Off, 10 * time.Millisecond, priority.ReturningCaller},
		{Off, 200 * time.Millisecond, priority.ReturningCaller},
	} {
		g := newReturnsGateway(t, tc.mode)
		for range 10 {
			g.claimReturn(callerWith(shortRoute.Timeout), shortRoute)
		}
		require.Equal(t, tc.want, g.claimReturn(callerWith(shortRoute.Timeout-tc.elapsed), shortRoute), "mode %v, after %v", tc.mode, tc.elapsed)
	}
}

// Guards against refusals of queries that do not use the planned hint, and against hints of planned
// returns for shards that are unreachable.
func TestOverloadedQueryIsRefusedWithPlannedReturn(t *testing.T) {
	g := newReturnsGateway(t, Auto)
	overloaded := g.refuseGather(callerWith(shortRoute.Timeout), shortRoute, &fanout.Refusal{Overloaded: true, RetryAfter: fanout.OverloadRetryAfter})
	require.Equal(t, errcode.ShardsOverloaded, overloaded.Code)
	require.InDelta(t, 0.1, overloaded.RetryAfter.Seconds(), 0.03)
	unreachable := g.refuseGather(callerWith(shortRoute.Timeout), shortRoute, &fanout.Refusal{RetryAfter: time.Second})
	require.Equal(t, errcode.ShardsUnavailable, unreachable.Code)
	require.Equal(t, time.Second, unreachable.RetryAfter)
	held := g.refuseHeld(callerWith(shortRoute.Timeout), shortRoute, 30*time.Millisecond)
	require.Greater(t, held.RetryAfter, overloaded.RetryAfter)
}

// Guards against an admission rate that counts no queries, or a query once for each request.
func TestQueryIsOneAdmission(t *testing.T) {
	g := newGateway(t, 5, func(context.Context, LeafCall) LeafReply { return LeafReply{Outcome: replica.Answered, Status: 200} })
	opts := *g.opts.Load()
	opts.Overload.Returns = On
	g.SetOptions(opts)
	for range 3 {
		require.Equal(t, errcode.OK, ask(g, "/all/x").Code)
	}
	d := g.Returns().Dump(time.Now())
	require.Len(t, d, 1)
	require.InDelta(t, 12, d[0].AdmittedPerSecond, 0.1, "3 admissions in the shortest period of 250 ms")
}
