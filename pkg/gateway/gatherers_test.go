package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

// scriptedGatherers answers queries by a function.
type scriptedGatherers func(q GatherQuery) (Answer, bool)

func (f scriptedGatherers) HandOff(_ context.Context, q GatherQuery) (Answer, bool) { return f(q) }
func (f scriptedGatherers) HandOffSingle(_ context.Context, q GatherQuery) (Answer, bool) {
	return f(q)
}

// A gatherer's answer is passed to the caller; a query that it declines runs locally.
func TestQueriesAreHandedOffToGatherer(t *testing.T) {
	g := newGateway(t, 2, answered)
	handedOff := 0
	g.UseGatherers(scriptedGatherers(func(q GatherQuery) (Answer, bool) {
		handedOff++
		require.Equal(t, g.Config().Version, q.ConfigVersion)
		return Answer{Code: errcode.ShardsOverloaded, RetryAfter: time.Second}, true
	}))
	a := ask(g, "/all/x")
	require.Equal(t, errcode.ShardsOverloaded, a.Code)
	require.Equal(t, time.Second, a.RetryAfter)
	require.NotNil(t, a.Route)
	g.UseGatherers(scriptedGatherers(func(GatherQuery) (Answer, bool) { return Answer{}, false }))
	require.Equal(t, errcode.OK, ask(g, "/all/x").Code)
	require.Equal(t, 1, handedOff)
}

// Guards against a caller seeing a configuration that has been replaced. A query is handed off to
// an instance that has not yet received the newest configuration, or has a newer one, and would
// run it under another version than that of the instance that hands it off.
func TestQueriesOfAnotherConfigVersionAreDeclined(t *testing.T) {
	g := newGateway(t, 2, answered)
	req := &Request{ID: "r", Host: "h", Path: "/all/x", Arrived: time.Now(), Timeout: time.Minute}
	grants := 0
	for _, version := range []int64{g.version() - 1, g.version() + 1} {
		_, ok := g.Gather(t.Context(), req, version, func() bool { grants++; return true })
		require.False(t, ok)
	}
	require.Zero(t, grants)
	a, ok := g.Gather(t.Context(), req, g.version(), func() bool { grants++; return true })
	require.True(t, ok)
	require.Equal(t, errcode.OK, a.Code)
	require.Equal(t, 1, grants)
	_, ok = g.Gather(t.Context(), &Request{Host: "h", Path: "/nowhere/"}, g.version(), func() bool { grants++; return true })
	require.False(t, ok)
	require.Equal(t, 1, grants)
	require.Zero(t, g.InFlight())
}
