package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

// fakeBacklog admits the ranks below limit.
type fakeBacklog struct{ limit atomic.Int64 }

func (b *fakeBacklog) Admits(rank int, _ time.Time) bool { return int64(rank) < b.limit.Load() }
func (b *fakeBacklog) Measured(time.Time) (int64, time.Duration) {
	return 1 << 20, time.Millisecond
}

// Guards against requests that run although their answers would not fit into memory: the answers
// of earlier ones have not been read. A refused request reaches no leaf, and says that it did not
// run. The requests of the most urgent rank are refused last.
func TestRequestsDoNotRunWhileAnswersAreUnread(t *testing.T) {
	var calls atomic.Int64
	g := newGateway(t, 3, func(ctx context.Context, call LeafCall) LeafReply {
		calls.Add(1)
		return answered(ctx, call)
	})
	b := &fakeBacklog{}
	g.UseBacklog(b)
	g.Config().Match("h", "/one/").Priority = 1
	for _, tc := range []struct {
		limit int64
		path  string
		want  errcode.Code
	}{
		{0, "/all/", errcode.EntryOverloaded}, {0, "/one/", errcode.EntryOverloaded}, {0, "/hold/", errcode.EntryOverloaded},
		{1, "/all/", errcode.OK}, {1, "/one/", errcode.EntryOverloaded}, {1, "/hold/", errcode.OK},
		{2, "/one/", errcode.OK},
	} {
		b.limit.Store(tc.limit)
		before := calls.Load()
		a := ask(g, tc.path)
		require.Equal(t, tc.want, a.Code, tc)
		if tc.want != errcode.OK {
			require.Equal(t, before, calls.Load(), "a refused request reached a leaf")
			require.True(t, a.Code.NotRun())
			require.Positive(t, a.RetryAfter)
		}
	}
	require.Zero(t, g.InFlight())
}

// Guards against a finished answer that is dropped because the limit was reached while its request
// ran.
func TestReadyAnswerIsDeliveredAtTheLimit(t *testing.T) {
	b := &fakeBacklog{}
	b.limit.Store(1)
	g := newGateway(t, 3, func(ctx context.Context, call LeafCall) LeafReply {
		b.limit.Store(0)
		return answered(ctx, call)
	})
	g.UseBacklog(b)
	for _, path := range []string{"/all/", "/one/", "/hold/"} {
		b.limit.Store(1)
		require.Equal(t, errcode.OK, ask(g, path).Code, path)
	}
}
