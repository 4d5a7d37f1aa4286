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

// crashingLeafs crash on requests with "deadly" in the path, and answer all others.
func crashingLeafs(calls *atomic.Int64) func(context.Context, LeafCall) LeafReply {
	return func(ctx context.Context, call LeafCall) LeafReply {
		if !strings.Contains(call.Request.Path, "deadly") {
			return answered(ctx, call)
		}
		calls.Add(1)
		return LeafReply{Outcome: replica.LeafCrashed}
	}
}

var attempts atomic.Int64

// attempt sends one attempt of a request.
func attempt(g *Gateway, path string) Answer {
	id := fmt.Sprint("r", attempts.Add(1))
	return g.Handle(context.Background(), &Request{ID: id, Key: quarantine.KeyOf(path), Host: "h", Path: path, Arrived: time.Now()})
}

// Guards against sending a request that has crashed leafs to all shards, and to second leafs,
// with each of its attempts. The first attempt crashes at most one leaf per shard, the trial one;
// after that the request is refused at once, without running and with a retry hint, while other
// requests are served.
func TestRequestThatCrashesLeafsIsRefused(t *testing.T) {
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
			g := newGateway(t, 20, crashingLeafs(&calls))
			require.Equal(t, tc.firstCode, attempt(g, tc.path).Code)
			require.Eventually(t, func() bool { return calls.Load() == tc.first }, 10*time.Second, time.Millisecond)
			for range tc.attempts - 2 {
				attempt(g, tc.path)
			}
			before := calls.Load()
			require.Equal(t, tc.lastCode, attempt(g, tc.path).Code)
			require.Equal(t, before+1, calls.Load(), "a trial calls one leaf")
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

// A request that crashes the leafs of one shard and is answered by all others is quarantined as
// well: it is tried at the shard whose leafs crashed.
func TestRequestThatCrashesLeafsOfOneShardIsRefused(t *testing.T) {
	var crashed atomic.Int64
	g := newGateway(t, 20, func(ctx context.Context, call LeafCall) LeafReply {
		if call.Service == "s7" && strings.Contains(call.Request.Path, "deadly") {
			crashed.Add(1)
			return LeafReply{Outcome: replica.LeafCrashed}
		}
		return answered(ctx, call)
	})
	require.Equal(t, errcode.OK, attempt(g, "/all/deadly").Code, "the minimum share of shards is covered")
	require.EqualValues(t, 2, crashed.Load())
	require.Equal(t, errcode.LeafsCrashed, attempt(g, "/all/deadly").Code)
	require.Equal(t, errcode.Quarantined, attempt(g, "/all/deadly").Code)
	require.EqualValues(t, 3, crashed.Load())
}

// A request that happened to be in flight when leafs crashed is tried at one leaf and then
// served completely.
func TestHarmlessSuspectIsServedAfterTrial(t *testing.T) {
	for _, path := range []string{"/all/x", "/one/x", "/hold/x"} {
		g := newGateway(t, 20, answered)
		for _, leaf := range []string{"a", "b", "c"} {
			g.quarantine.RecordLeafCrash(quarantine.KeyOf(path), "earlier", leaf, "s3", time.Now(), time.Now())
		}
		a := attempt(g, path)
		require.Equal(t, errcode.OK, a.Code)
		require.Zero(t, a.Missing())
		require.Zero(t, g.quarantine.Count(quarantine.Suspect, time.Now()))
	}
}

// Guards against leafs continuing with queued requests of a query that is known to crash them.
// Once the query is given up, or other instances report that it crashes leafs, all its calls in
// flight are cancelled.
func TestQueryThatCrashesLeafsIsCancelled(t *testing.T) {
	for _, reported := range []bool{false, true} {
		t.Run(fmt.Sprint("reported by others ", reported), func(t *testing.T) {
			var crashed, cancelled atomic.Int64
			g := newGateway(t, 20, func(ctx context.Context, _ LeafCall) LeafReply {
				if !reported && crashed.Add(1) <= 3 {
					return LeafReply{Outcome: replica.LeafCrashed}
				}
				<-ctx.Done()
				cancelled.Add(1)
				return LeafReply{Outcome: replica.Abandoned}
			})
			key := quarantine.KeyOf("/all/deadly")
			if reported {
				go g.quarantine.Merge(quarantine.Report{Key: key, CrashIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
			}
			require.Contains(t, []errcode.Code{errcode.LeafsCrashed, errcode.Quarantined}, attempt(g, "/all/deadly").Code)
			want := int64(17)
			if reported {
				want = cancelled.Load() // However many had been sent.
			}
			require.Eventually(t, func() bool { return cancelled.Load() >= want }, 10*time.Second, time.Millisecond)
		})
	}
}

// A query handed off by another instance is refused according to this instance's quarantine.
func TestQuarantineAppliesToHandedOffQueries(t *testing.T) {
	var calls atomic.Int64
	g := newGateway(t, 20, crashingLeafs(&calls))
	key := quarantine.KeyOf("/all/deadly")
	g.quarantine.Merge(quarantine.Report{Key: key, CrashIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
	a, ok := g.Gather(t.Context(), &Request{ID: "r", Key: key, Host: "h", Path: "/all/deadly", Arrived: time.Now(), Timeout: time.Minute}, g.version(), func() bool { return true })
	require.True(t, ok, "if it were declined, the other instance would run it")
	require.Equal(t, errcode.Quarantined, a.Code)
	require.Len(t, a.Shards, 20)
	require.Equal(t, fanout.Withheld, a.Shards[0].MissingReason)
	require.Zero(t, calls.Load())
}

// A trial whose caller disconnects before it has an outcome neither leaves the request in trial
// forever nor allows another trial at once.
func TestTrialWithoutOutcomeIsRepeatedLater(t *testing.T) {
	g := newGateway(t, 20, func(ctx context.Context, _ LeafCall) LeafReply {
		<-ctx.Done()
		return LeafReply{Outcome: replica.Abandoned}
	})
	key := quarantine.KeyOf("/all/x")
	for _, leaf := range []string{"a", "b", "c"} {
		g.quarantine.RecordLeafCrash(key, "earlier", leaf, "s3", time.Now(), time.Now())
	}
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, leave)
	a := g.Handle(ctx, &Request{ID: "r", Key: key, Host: "h", Path: "/all/x", Arrived: time.Now(), Timeout: time.Minute})
	require.Equal(t, errcode.CallerDisconnected, a.Code)
	require.Equal(t, quarantine.Quarantined, g.quarantine.Verdict(key, time.Now()))
	require.Equal(t, quarantine.Suspect, g.quarantine.Verdict(key, time.Now().Add(10*time.Second)))
}

// A query that leafs have answered is delivered even if others report meanwhile that it crashes
// leafs.
func TestAnsweredQueryIsDeliveredDespiteQuarantine(t *testing.T) {
	key := quarantine.KeyOf("/all/x")
	var g *Gateway
	g = newGateway(t, 20, func(ctx context.Context, call LeafCall) LeafReply {
		if call.Service == "s0" {
			time.Sleep(30 * time.Millisecond)
			g.quarantine.Merge(quarantine.Report{Key: key, CrashIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
		}
		return answered(ctx, call)
	})
	require.Equal(t, errcode.OK, attempt(g, "/all/x").Code)
	require.Equal(t, errcode.Quarantined, attempt(g, "/all/x").Code)
}

// A suspect for which no service is available remains a suspect that may be tried.
func TestSuspectWithoutServiceIsNotTried(t *testing.T) {
	g := newGateway(t, 1, answered)
	route := &routing.Route{Name: "none", Kind: routing.Repeatable, MaxAttempts: 2}
	key := quarantine.KeyOf("none")
	for _, leaf := range []string{"a", "b", "c"} {
		g.quarantine.RecordLeafCrash(key, "earlier", leaf, "one", time.Now(), time.Now())
	}
	a := g.Serve(t.Context(), &Request{ID: "r", Key: key, Arrived: time.Now()}, route)
	require.Equal(t, errcode.ShardsUnavailable, a.Code)
	require.Equal(t, quarantine.Suspect, g.quarantine.Admit(key, time.Now()).Verdict)
}

// Guards against repeated trials of a request that crashes leafs. On a machine short of processor
// time it remains unknown whether the leaf of a trial has crashed, because only the loss of the
// connection is seen; the request was then tried again every few seconds.
func TestTrialWithLostConnectionCountsAsCrash(t *testing.T) {
	for _, outcome := range []replica.Outcome{replica.ReplyLost, replica.ConnLimitReached, replica.LeafCrashed} {
		g := newGateway(t, 20, func(context.Context, LeafCall) LeafReply { return LeafReply{Outcome: outcome} })
		key := quarantine.KeyOf("/all/x")
		for _, leaf := range []string{"a", "b", "c"} {
			g.quarantine.RecordLeafCrash(key, "earlier", leaf, "s3", time.Now(), time.Now())
		}
		attempt(g, "/all/x")
		require.Greater(t, g.quarantine.Remaining(key, time.Now()), 9*time.Second, outcome.String())
	}
}
