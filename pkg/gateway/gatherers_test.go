package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

// scriptedGatherers answers queries as a test says.
type scriptedGatherers func(q GatherQuery) (Answer, bool)

func (f scriptedGatherers) Delegate(_ context.Context, q GatherQuery) (Answer, bool) { return f(q) }

// A gatherer's answer is the caller's; what it declines is run here.
func TestQueriesAreHandedOn(t *testing.T) {
	g := newGateway(t, 2, answered)
	asked := 0
	g.UseGatherers(scriptedGatherers(func(q GatherQuery) (Answer, bool) {
		asked++
		require.Equal(t, g.Config().Version, q.ConfigVersion)
		return Answer{Code: errcode.ShardsOverloaded, RetryAfter: time.Second}, true
	}))
	a := ask(g, "/all/x")
	require.Equal(t, errcode.ShardsOverloaded, a.Code)
	require.Equal(t, time.Second, a.RetryAfter)
	require.NotNil(t, a.Route)
	g.UseGatherers(scriptedGatherers(func(GatherQuery) (Answer, bool) { return Answer{}, false }))
	require.Equal(t, errcode.OK, ask(g, "/all/x").Code)
	require.Equal(t, 1, asked)
}

// Symptom: a caller sees a configuration that was replaced. Sequence: a query is handed to
// an instance that has not heard of the newest configuration, or has heard of a newer one.
// Cause it guards against: running it under another version than its instance's.
func TestQueriesOfAnotherVersionAreDeclined(t *testing.T) {
	g := newGateway(t, 2, answered)
	req := &Request{ID: "r", Host: "h", Path: "/all/x", Arrived: time.Now(), Timeout: time.Minute}
	taken := 0
	for _, version := range []int64{g.version() - 1, g.version() + 1} {
		_, ok := g.Gather(t.Context(), req, version, func() bool { taken++; return true })
		require.False(t, ok)
	}
	require.Zero(t, taken)
	a, ok := g.Gather(t.Context(), req, g.version(), func() bool { taken++; return true })
	require.True(t, ok)
	require.Equal(t, errcode.OK, a.Code)
	require.Equal(t, 1, taken)
	_, ok = g.Gather(t.Context(), &Request{Host: "h", Path: "/nowhere/"}, g.version(), func() bool { taken++; return true })
	require.False(t, ok)
	require.Equal(t, 1, taken)
	require.Zero(t, g.InFlight())
}
