package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Guards against requests that wait for a leaf that is gone although another process serves now.
func TestLeafRestartsWhileRequestsWait(t *testing.T) {
	for name, renew := range map[string]func(*Gateway){
		"restarted": func(g *Gateway) {
			leaf := replica.Leaf{ID: "onea", Services: []string{"one"}, Zone: "z", Slots: 1, StartedAt: time.Now()}
			require.Equal(t, replica.Restarted, g.table.Upsert(leaf, time.Now()))
		},
		"removed, and another joins": func(g *Gateway) {
			require.True(t, g.table.Remove("onea", time.Now()))
			g.table.Upsert(replica.Leaf{ID: "onec", Services: []string{"one"}, Zone: "z", Slots: 1}, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			var renewed atomic.Bool
			b := newBlockingLeafs()
			g := newQueuedGateway(t, func(ctx context.Context, call LeafCall) LeafReply {
				if renewed.Load() {
					return answered(ctx, call)
				}
				return b.answer(ctx, call)
			})
			defer close(b.release)
			occupy(t, g, b)
			answer := make(chan Answer, 1)
			go func() { answer <- ask(g, "/hold/waiting") }()
			awaitWaiting(t, g, 1)
			renewed.Store(true)
			renew(g)
			require.Equal(t, errcode.OK, (<-answer).Code)
		})
	}
}

// Guards against holding callers until their limit when no leaf is left, and against a wrong reason.
func TestWaitingRequestsAreRefusedWhenNoLeafIsLeft(t *testing.T) {
	for name, remove := range map[string]func(*Gateway){
		"removed": func(g *Gateway) {
			g.table.Remove("onea", time.Now())
			g.table.Remove("oneb", time.Now())
		},
		"draining": func(g *Gateway) {
			g.table.SetDraining("onea", true)
			g.table.SetDraining("oneb", true)
		},
		"zone evacuated": func(g *Gateway) { g.SetEvacuated("z", true) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBlockingLeafs()
			g := newQueuedGateway(t, b.answer)
			defer close(b.release)
			occupy(t, g, b)
			answer := make(chan Answer, 1)
			go func() { answer <- ask(g, "/hold/waiting") }()
			awaitWaiting(t, g, 1)
			remove(g)
			began := time.Now()
			a := <-answer
			require.Equal(t, errcode.ShardsUnavailable, a.Code)
			require.True(t, a.Code.NotRun())
			require.Positive(t, a.RetryAfter)
			require.Less(t, time.Since(began), 200*time.Millisecond)
			require.Zero(t, b.count("/hold/waiting"))
		})
	}
}

// Guards against holding callers, or telling them that the outcome is unknown, when all leafs crash
// while requests wait.
func TestWaitingRequestsAreRefusedWhenAllLeafsAreDown(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, func(ctx context.Context, call LeafCall) LeafReply {
		if call.Request.Path == "/hold/waiting" {
			return LeafReply{Outcome: replica.NotSent}
		}
		b.answer(ctx, call)
		return LeafReply{Outcome: replica.ReplyLost}
	})
	occupying := occupy(t, g, b)
	const waiting = 5
	answers := make(chan Answer, waiting)
	for range waiting {
		go func() { answers <- ask(g, "/hold/waiting") }()
	}
	awaitWaiting(t, g, waiting)
	began := time.Now()
	close(b.release)
	for range waiting {
		a := <-answers
		require.Equal(t, errcode.ShardsUnavailable, a.Code)
		require.Positive(t, a.RetryAfter)
	}
	require.Less(t, time.Since(began), 150*time.Millisecond)
	require.Equal(t, errcode.OutcomeUnknown, (<-occupying).Code)
}

// Guards against requests that are lost or run at another service than the one chosen for them when
// the configuration changes while they wait.
func TestConfigurationChangesWhileRequestsWait(t *testing.T) {
	for name, change := range map[string]func(*Gateway){
		"route removed":   func(g *Gateway) { g.SetConfig(routing.NewConfig(3, nil, nil, routing.Limits{})) },
		"service changed": func(g *Gateway) { setQueuedRoutes(g, 3, []routing.Target{{Service: "s0", Weight: 1}}) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBlockingLeafs()
			g := newQueuedGateway(t, b.answer)
			occupy(t, g, b)
			answer := make(chan Answer, 1)
			go func() { answer <- ask(g, "/hold/waiting") }()
			awaitWaiting(t, g, 1)
			change(g)
			g.Tick(time.Now())
			require.Equal(t, 1, waitingCount(g), "the queue is kept while requests wait")
			close(b.release)
			a := <-answer
			require.Equal(t, errcode.OK, a.Code)
			require.Contains(t, []any{"onea", "oneb"}, a.Relayed.Content)
			require.Eventually(t, func() bool {
				g.Tick(time.Now())
				return len(g.SingleQueues(time.Now())) == 0
			}, 10*time.Second, time.Millisecond, "the queue of a service without routes is removed")
		})
	}
}

// Guards against a graceful shutdown that loses waiting requests: the process exits when none is in
// flight, and by then each has been answered or refused.
func TestDrainWithFullQueue(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	occupying := occupy(t, g, b)
	answers := make(chan Answer, 20)
	for range 20 {
		go func() { answers <- ask(g, "/hold/waiting") }()
	}
	require.Eventually(t, func() bool { return waitingCount(g) > 0 }, 10*time.Second, time.Millisecond)
	require.Positive(t, g.InFlight(), "shutdown waits for requests that wait")
	for range 20 {
		require.Equal(t, errcode.QueueFull, (<-answers).Code)
	}
	close(b.release)
	<-occupying
	<-occupying
	require.Eventually(t, func() bool { return g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, b.count("/hold/waiting"))
}

// Guards against an at-most-once request that a leaf rejected giving up its attempt while another
// leaf has room, and against more attempts than the route allows.
func TestRejectedRequestIsTriedAtAnotherLeaf(t *testing.T) {
	var first atomic.Value
	g := newQueuedGateway(t, func(ctx context.Context, call LeafCall) LeafReply {
		if first.CompareAndSwap(nil, call.Leaf.ID) {
			return LeafReply{Outcome: replica.Refused}
		}
		return answered(ctx, call)
	})
	a := ask(g, "/hold/")
	require.Equal(t, errcode.OK, a.Code)
	require.NotEqual(t, first.Load(), a.Relayed.Content)
}

// Guards against moving what does not fit into one service to another: the traffic split was chosen
// by the user.
func TestTrafficSplitIsKeptWhenAServiceIsFull(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, func(ctx context.Context, call LeafCall) LeafReply {
		if call.Service == "one" {
			return b.answer(ctx, call)
		}
		return answered(ctx, call)
	})
	defer close(b.release)
	occupy(t, g, b)
	setQueuedRoutes(g, 3, []routing.Target{{Service: "one", Weight: 1}, {Service: "s0", Weight: 1}})
	codes := map[errcode.Code]int{}
	for range 6 {
		codes[ask(g, "/hold/").Code]++
	}
	require.Equal(t, map[errcode.Code]int{errcode.QueueFull: 3, errcode.OK: 3}, codes)
}

// Guards against hedges of requests that must run once, and against hedges at a leaf without room.
func TestHedgingThroughTheQueue(t *testing.T) {
	for _, tc := range []struct {
		path  string
		full  bool
		calls int
	}{{"/one/slow", false, 2}, {"/one/slow", true, 1}, {"/hold/slow", false, 1}} {
		b := newBlockingLeafs()
		g := newQueuedGateway(t, b.answer)
		if tc.full {
			go ask(g, "/hold/occupying")
			require.Eventually(t, func() bool { return b.count("/hold/occupying") == 1 }, 10*time.Second, time.Millisecond)
		}
		answer := make(chan Answer, 1)
		go func() { answer <- ask(g, tc.path) }()
		require.Eventually(t, func() bool { return b.count(tc.path) == 1 }, 10*time.Second, time.Millisecond)
		time.Sleep(time.Duration(1.2 * singleHedgeFraction * float64(queuedTarget)))
		require.Equal(t, tc.calls, b.count(tc.path), "%v", tc)
		close(b.release)
		require.Equal(t, errcode.OK, (<-answer).Code)
	}
}

// Guards against a place at a leaf that is lost because the call could not be sent.
func TestPlaceIsReturnedWithoutFreeWorker(t *testing.T) {
	g := newQueuedGateway(t, answered)
	g.Close()
	for range 10 {
		require.Equal(t, errcode.ShardsUnavailable, ask(g, "/hold/").Code)
	}
	require.Zero(t, g.SingleQueues(time.Now())[0].InFlight)
	require.Zero(t, g.table.InFlightIn("z"))
}

// Guards against sending a request that crashes leafs to further leafs and with each retry, as
// without the queue.
func TestRequestThatCrashesLeafsIsRefusedThroughTheQueue(t *testing.T) {
	for _, path := range []string{"/one/deadly", "/hold/deadly"} {
		var calls atomic.Int64
		g := newQueuedGateway(t, crashingLeafs(&calls))
		for range 3 {
			attempt(g, path)
		}
		last := attempt(g, path)
		for range 20 {
			if last.Code != errcode.Quarantined {
				last = attempt(g, path)
			}
		}
		require.Equal(t, errcode.Quarantined, last.Code, path)
		before := calls.Load()
		require.LessOrEqual(t, before, int64(4))
		require.Equal(t, errcode.Quarantined, attempt(g, path).Code)
		require.Equal(t, before, calls.Load())
		require.NotEqual(t, quarantine.Sound, g.quarantine.Verdict(quarantine.KeyOf(path), time.Now()))
	}
}

// Guards against initial windows that do not follow the number of instances.
func TestInitialWindowsFollowTheNumberOfRunners(t *testing.T) {
	g := newQueuedGateway(t, answered)
	for _, id := range []string{"onea", "oneb"} {
		g.table.Upsert(replica.Leaf{ID: id, Services: []string{"one"}, Zone: "z", Slots: 6, Sequence: 2}, time.Now())
	}
	g.SetSingleRunners(3)
	require.Equal(t, errcode.OK, ask(g, "/hold/").Code)
	require.InDelta(t, 2, g.SingleQueues(time.Now())[0].Leafs[0].Window, 1e-9)
	g.table.Remove("onea", time.Now())
	g.table.Remove("oneb", time.Now())
	g.SetSingleRunners(2)
	g.table.Upsert(replica.Leaf{ID: "onec", Services: []string{"one"}, Zone: "z", Slots: 6}, time.Now())
	require.Equal(t, errcode.OK, ask(g, "/hold/").Code)
	require.InDelta(t, 5, g.SingleQueues(time.Now())[0].WindowSum, 1e-9)
}

// Guards against refusals that an operator cannot explain: the log line and the metrics name rank,
// queue and windows.
func TestQueueIsObservable(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	var out bytes.Buffer
	g.log = oplog.New(&out, nil, oplog.Options{LinesPerSecond: 100, Burst: 100, Buffer: 100})
	defer close(b.release)
	occupy(t, g, b)
	require.Equal(t, errcode.QueueFull, ask(g, "/hold/refused").Code)
	g.log.Close(time.Second)
	events := map[string]map[string]any{}
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		events[fields["event"].(string)] = fields
	}
	require.Contains(t, events, "single_queued")
	refused := events["request_refused"]
	require.NotNil(t, refused)
	for _, field := range []string{"rank", "waiting", "expected_start_ms", "window_sum", "retry_after_ms", "waited_ms", "service", "verdict"} {
		require.Contains(t, refused, field)
	}
	require.Equal(t, "IY2008", refused["code"])
	require.EqualValues(t, 2, refused["rank"])
	var text bytes.Buffer
	g.stats.set.WritePrometheus(&text)
	for _, metric := range []string{
		`gateway_single_queue_total{rank="2",result="started"} 2`, `gateway_single_queue_total{rank="2",result="dropped"} 1`,
		`gateway_single_queue_waiting 0`, `gateway_single_queue_wait_seconds_count 1`, `gateway_refusals_total{code="IY2008"} 1`,
	} {
		require.Contains(t, text.String(), metric)
	}
}
