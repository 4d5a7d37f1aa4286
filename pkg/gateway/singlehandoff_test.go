package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// setSingleQueue sets the mode of the queue for single requests.
func setSingleQueue(g *Gateway, m Mode) {
	opts := *g.opts.Load()
	opts.Overload = Overload{SingleQueue: m, ShortTimeoutTargets: 12}
	g.SetOptions(opts)
}

// newSingle returns a request to a single leaf on the given path.
func newSingle(path string) *Request {
	return &Request{ID: "r", Host: "h", Path: path, Arrived: time.Now(), Timeout: time.Minute}
}

func alwaysGranted() bool { return true }

// Guards against a hand-off of requests whose route does not call for it, and against requests that
// are run here although a gatherer accepted them.
func TestSinglesAreHandedOffWhereTheRouteCallsForIt(t *testing.T) {
	for name, tc := range map[string]struct {
		mode    Mode
		timeout time.Duration
		regions []string
		want    int
	}{
		"short timeout":      {Auto, 600 * time.Millisecond, nil, 1},
		"long timeout":       {Auto, 1500 * time.Millisecond, nil, 0},
		"no timeout":         {Auto, 0, nil, 0},
		"always":             {On, 0, nil, 1},
		"never":              {Off, 600 * time.Millisecond, nil, 0},
		"zone not permitted": {On, 0, []string{"elsewhere"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, 1, answered)
			route := g.Config().Match("h", "/one/x")
			route.Timeout = tc.timeout
			g.table.SetAllowedRegions(map[string][]string{"one": tc.regions})
			setSingleQueue(g, tc.mode)
			handedOff := 0
			g.UseGatherers(scriptedGatherers(func(q GatherQuery) (Answer, bool) {
				handedOff++
				require.Equal(t, g.version(), q.ConfigVersion)
				require.Equal(t, routing.Repeatable, q.Route.Kind)
				require.True(t, time.Until(q.Deadline) > 0)
				return Answer{Code: errcode.QueueFull, RetryAfter: time.Second}, true
			}))
			a := ask(g, "/one/x")
			require.Equal(t, tc.want, handedOff)
			require.Equal(t, tc.want == 1, a.Code == errcode.QueueFull && a.RetryAfter == time.Second)
			require.NotNil(t, a.Route)
		})
	}
}

// Guards against an at-most-once request that is lost or runs twice when no gatherer takes it.
func TestSingleThatNoGathererTakesRunsHereOnce(t *testing.T) {
	calls := 0
	g := newGateway(t, 1, func(ctx context.Context, call LeafCall) LeafReply {
		calls++
		return answered(ctx, call)
	})
	setSingleQueue(g, On)
	g.UseGatherers(scriptedGatherers(func(GatherQuery) (Answer, bool) { return Answer{}, false }))
	require.Equal(t, errcode.OK, ask(g, "/hold/x").Code)
	require.Equal(t, 1, calls)
}

// Guards against running an at-most-once request here after its gatherer was lost.
func TestSingleOfLostGathererIsNotRunAgain(t *testing.T) {
	g := newGateway(t, 1, func(context.Context, LeafCall) LeafReply {
		t.Error("the request may have run elsewhere")
		return LeafReply{}
	})
	setSingleQueue(g, On)
	g.UseGatherers(scriptedGatherers(func(GatherQuery) (Answer, bool) { return Answer{Code: errcode.PeerLost}, true }))
	require.Equal(t, errcode.PeerLost, ask(g, "/hold/x").Code)
}

// Guards against running a peer's request under another configuration, on the wrong kind of route or
// beyond the limit of requests in flight. Nothing may be granted in these cases.
func TestSinglesOfPeersAreDeclined(t *testing.T) {
	g := newGateway(t, 1, answered)
	grants := 0
	granted := func() bool { grants++; return true }
	for name, tc := range map[string]struct {
		path    string
		version int64
	}{
		"older configuration": {"/one/x", g.version() - 1},
		"newer configuration": {"/one/x", g.version() + 1},
		"no route":            {"/nowhere/", g.version()},
		"gather route":        {"/all/x", g.version()},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := g.RunSingle(t.Context(), newSingle(tc.path), tc.version, granted)
			require.False(t, ok)
		})
	}
	_, ok := g.Gather(t.Context(), newSingle("/one/x"), g.version(), granted)
	require.False(t, ok, "a single request is no query")
	opts := *g.opts.Load()
	opts.MaxInFlight = 0
	g.SetOptions(opts)
	_, ok = g.RunSingle(t.Context(), newSingle("/one/x"), g.version(), granted)
	require.False(t, ok)
	require.Zero(t, grants)
	require.Zero(t, g.InFlight())
}

// Guards against a leaf call that is sent before the request is granted, or although it is not.
func TestSingleOfPeerIsSentOnlyAfterGrant(t *testing.T) {
	sent := 0
	g := newGateway(t, 1, func(ctx context.Context, call LeafCall) LeafReply {
		sent++
		return answered(ctx, call)
	})
	_, ok := g.RunSingle(t.Context(), newSingle("/hold/x"), g.version(), func() bool { return false })
	require.False(t, ok)
	require.Zero(t, sent)
	a, ok := g.RunSingle(t.Context(), newSingle("/hold/x"), g.version(), func() bool {
		require.Zero(t, sent)
		require.EqualValues(t, 1, g.InFlight())
		return true
	})
	require.True(t, ok)
	require.Equal(t, errcode.OK, a.Code)
	require.NotNil(t, a.Relayed)
	require.Equal(t, "hold", a.Route.Name)
	require.Equal(t, 1, sent)
}

// Guards against a granted at-most-once request that is broken off half way, or no longer counted as
// in flight, when its caller leaves; and against a repeatable one that goes on for nobody.
func TestGrantedSingleWhoseCallerLeft(t *testing.T) {
	for path, wantCancelled := range map[string]bool{"/hold/x": false, "/one/x": true} {
		t.Run(path, func(t *testing.T) {
			reached, release := make(chan struct{}), make(chan struct{})
			g := newGateway(t, 1, func(ctx context.Context, call LeafCall) LeafReply {
				close(reached)
				select {
				case <-ctx.Done():
					return LeafReply{Outcome: replica.Abandoned}
				case <-release:
					return answered(ctx, call)
				}
			})
			ctx, leave := context.WithCancel(t.Context())
			got := make(chan Answer, 1)
			go func() {
				a, _ := g.RunSingle(ctx, newSingle(path), g.version(), alwaysGranted)
				got <- a
			}()
			<-reached
			leave()
			if wantCancelled {
				require.Equal(t, errcode.CallerDisconnected, (<-got).Code)
				return
			}
			time.Sleep(20 * time.Millisecond)
			require.EqualValues(t, 1, g.InFlight())
			close(release)
			require.Equal(t, errcode.OK, (<-got).Code)
		})
	}
}
