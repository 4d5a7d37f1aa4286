package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// deadlyLeafs end when they run a request with "deadly" in its path, and answer others.
func deadlyLeafs(calls *atomic.Int64) func(context.Context, LeafCall) LeafReply {
	return func(ctx context.Context, call LeafCall) LeafReply {
		if !strings.Contains(call.Request.Path, "deadly") {
			return answered(ctx, call)
		}
		calls.Add(1)
		return LeafReply{Outcome: replica.ProcessExited}
	}
}

var attempts atomic.Int64

// attempt sends one attempt of a request.
func attempt(g *Gateway, path string) Answer {
	id := fmt.Sprint("r", attempts.Add(1))
	return g.Handle(context.Background(), &Request{ID: id, Key: quarantine.KeyOf(path), Host: "h", Path: path, Arrived: time.Now()})
}

// A request that had ended leafs was sent to all shards, and to second leafs, with each of its
// attempts. Now the first attempt ends one leaf a shard at most, the trial one, and after it
// the answer comes at once, unrun, with a hint; other requests are served.
func TestRequestThatEndsLeafsIsRefused(t *testing.T) {
	for _, tc := range []struct {
		path                string
		first               int64
		attempts            int
		firstCode, lastCode errcode.Code
	}{
		{"/all/deadly", 20, 2, errcode.LeafsCrashed, errcode.LeafsCrashed},
		{"/one/deadly", 2, 2, errcode.LeafFailed, errcode.LeafFailed},
		{"/hold/deadly", 1, 3, errcode.OutcomeUnknown, errcode.OutcomeUnknown},
	} {
		t.Run(tc.path, func(t *testing.T) {
			var calls atomic.Int64
			g := newGateway(t, 20, deadlyLeafs(&calls))
			require.Equal(t, tc.firstCode, attempt(g, tc.path).Code)
			require.Eventually(t, func() bool { return calls.Load() == tc.first }, 10*time.Second, time.Millisecond)
			for range tc.attempts - 2 {
				attempt(g, tc.path)
			}
			before := calls.Load()
			require.Equal(t, tc.lastCode, attempt(g, tc.path).Code)
			require.Equal(t, before+1, calls.Load(), "a trial asks one leaf")
			for range 5 {
				a := attempt(g, tc.path)
				require.Equal(t, errcode.Quarantined, a.Code)
				require.Positive(t, a.RetryAfter)
				require.Equal(t, 503, a.Code.HTTPStatus())
				require.True(t, a.Code.NotRun())
			}
			require.Equal(t, before+1, calls.Load())
			require.Equal(t, errcode.OK, attempt(g, strings.Replace(tc.path, "deadly", "sound", 1)).Code)
		})
	}
}

// A request that makes the leafs of one shard crash, and is answered by all others, is held
// back as well: it is tried at the shard whose leafs ended.
func TestRequestThatEndsTheLeafsOfOneShardIsRefused(t *testing.T) {
	var ended atomic.Int64
	g := newGateway(t, 20, func(ctx context.Context, call LeafCall) LeafReply {
		if call.Service == "s7" && strings.Contains(call.Request.Path, "deadly") {
			ended.Add(1)
			return LeafReply{Outcome: replica.ProcessExited}
		}
		return answered(ctx, call)
	})
	require.Equal(t, errcode.OK, attempt(g, "/all/deadly").Code, "the least share is covered")
	require.EqualValues(t, 2, ended.Load())
	require.Equal(t, errcode.LeafsCrashed, attempt(g, "/all/deadly").Code)
	require.Equal(t, errcode.Quarantined, attempt(g, "/all/deadly").Code)
	require.EqualValues(t, 3, ended.Load())
}

// A request that was in flight by chance when leafs ended is tried at one leaf, and then served
// whole.
func TestSoundSuspectIsServed(t *testing.T) {
	for _, path := range []string{"/all/x", "/one/x", "/hold/x"} {
		g := newGateway(t, 20, answered)
		for _, leaf := range []string{"a", "b", "c"} {
			g.quarantine.RecordLeafEnd(quarantine.KeyOf(path), "earlier", leaf, "s3", time.Now(), time.Now())
		}
		a := attempt(g, path)
		require.Equal(t, errcode.OK, a.Code)
		require.Zero(t, a.Missing())
		require.Zero(t, g.quarantine.Count(quarantine.Suspect, time.Now()))
	}
}

// Leafs went on with what waited in their queues after a query was known to end them. Once it
// is given up, or others say that it ends leafs, all that is in flight is withdrawn.
func TestQueryThatEndsLeafsIsWithdrawn(t *testing.T) {
	for _, told := range []bool{false, true} {
		t.Run(fmt.Sprint("told by others ", told), func(t *testing.T) {
			var ended, withdrawn atomic.Int64
			g := newGateway(t, 20, func(ctx context.Context, _ LeafCall) LeafReply {
				if !told && ended.Add(1) <= 3 {
					return LeafReply{Outcome: replica.ProcessExited}
				}
				<-ctx.Done()
				withdrawn.Add(1)
				return LeafReply{Outcome: replica.Abandoned}
			})
			key := quarantine.KeyOf("/all/deadly")
			if told {
				go g.quarantine.Merge(quarantine.Report{Key: key, EndIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
			}
			require.Contains(t, []errcode.Code{errcode.LeafsCrashed, errcode.Quarantined}, attempt(g, "/all/deadly").Code)
			want := int64(17)
			if told {
				want = withdrawn.Load() // However many had been sent.
			}
			require.Eventually(t, func() bool { return withdrawn.Load() >= want }, 10*time.Second, time.Millisecond)
		})
	}
}

// A query that another instance hands on is refused here by what this instance knows.
func TestQuarantineHoldsForQueriesOfOthers(t *testing.T) {
	var calls atomic.Int64
	g := newGateway(t, 20, deadlyLeafs(&calls))
	key := quarantine.KeyOf("/all/deadly")
	g.quarantine.Merge(quarantine.Report{Key: key, EndIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
	a, ok := g.Gather(t.Context(), &Request{ID: "r", Key: key, Host: "h", Path: "/all/deadly", Arrived: time.Now(), Timeout: time.Minute}, g.version(), func() bool { return true })
	require.True(t, ok, "declined, the other instance would run it")
	require.Equal(t, errcode.Quarantined, a.Code)
	require.Len(t, a.Shards, 20)
	require.Equal(t, fanout.Withheld, a.Shards[0].MissingReason)
	require.Zero(t, calls.Load())
}

// A trial whose caller leaves, or that brings no outcome in time, does not leave the request
// tried for good, nor free to be tried at once.
func TestTrialWithoutOutcome(t *testing.T) {
	g := newGateway(t, 20, func(ctx context.Context, _ LeafCall) LeafReply {
		<-ctx.Done()
		return LeafReply{Outcome: replica.Abandoned}
	})
	key := quarantine.KeyOf("/all/x")
	for _, leaf := range []string{"a", "b", "c"} {
		g.quarantine.RecordLeafEnd(key, "earlier", leaf, "s3", time.Now(), time.Now())
	}
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, leave)
	a := g.Handle(ctx, &Request{ID: "r", Key: key, Host: "h", Path: "/all/x", Arrived: time.Now(), Timeout: time.Minute})
	require.Equal(t, errcode.CallerDisconnected, a.Code)
	require.Equal(t, quarantine.Quarantined, g.quarantine.Verdict(key, time.Now()))
	require.Equal(t, quarantine.Suspect, g.quarantine.Verdict(key, time.Now().Add(10*time.Second)))
}

// A query that leafs have answered is answered, whatever others say of it meanwhile.
func TestReadyAnswerIsDelivered(t *testing.T) {
	key := quarantine.KeyOf("/all/x")
	var g *Gateway
	g = newGateway(t, 20, func(ctx context.Context, call LeafCall) LeafReply {
		if call.Service == "s0" {
			time.Sleep(30 * time.Millisecond)
			g.quarantine.Merge(quarantine.Report{Key: key, EndIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
		}
		return answered(ctx, call)
	})
	require.Equal(t, errcode.OK, attempt(g, "/all/x").Code)
	require.Equal(t, errcode.Quarantined, attempt(g, "/all/x").Code)
}

// A suspect for which no service is to be had stays free to be tried.
func TestSuspectWithoutAServiceIsNotTried(t *testing.T) {
	g := newGateway(t, 1, answered)
	route := &routing.Route{Name: "none", Kind: routing.Repeatable, MaxAttempts: 2}
	key := quarantine.KeyOf("none")
	for _, leaf := range []string{"a", "b", "c"} {
		g.quarantine.RecordLeafEnd(key, "earlier", leaf, "one", time.Now(), time.Now())
	}
	a := g.Serve(t.Context(), &Request{ID: "r", Key: key, Arrived: time.Now()}, route)
	require.Equal(t, errcode.ShardsUnavailable, a.Code)
	require.Equal(t, quarantine.Suspect, g.quarantine.Admit(key, time.Now()).Verdict)
}

// On a machine short of processor time nobody learned whether the leaf of a trial had ended: its
// connection had only broken off, and the request was tried again every few seconds.
func TestTrialThatBreaksOffCountsAsAnEnd(t *testing.T) {
	for _, outcome := range []replica.Outcome{replica.Broken, replica.ConnLimitReached, replica.ProcessExited} {
		g := newGateway(t, 20, func(context.Context, LeafCall) LeafReply { return LeafReply{Outcome: outcome} })
		key := quarantine.KeyOf("/all/x")
		for _, leaf := range []string{"a", "b", "c"} {
			g.quarantine.RecordLeafEnd(key, "earlier", leaf, "s3", time.Now(), time.Now())
		}
		attempt(g, "/all/x")
		require.Greater(t, g.quarantine.Remaining(key, time.Now()), 9*time.Second, outcome.String())
	}
}
