package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// queuedTarget is the target latency of the routes of newQueuedGateway: requests wait for at most
// leafqueue.MaxWait of it.
const queuedTarget = time.Second

// newQueuedGateway returns a gateway whose routes "one" (repeatable) and "hold" (at most once) to the
// service "one", of two leafs with one slot each, go through the queue.
func newQueuedGateway(tb testing.TB, answer func(context.Context, LeafCall) LeafReply) *Gateway {
	g := newGateway(tb, 1, answer)
	opts := *g.opts.Load()
	opts.Overload.ShortTimeoutTargets = 12
	g.SetOptions(opts)
	for _, id := range []string{"onea", "oneb"} {
		g.table.Upsert(replica.Leaf{ID: id, Services: []string{"one"}, Zone: "z", Slots: 1, Sequence: 1}, time.Now())
	}
	setQueuedRoutes(g, 2, []routing.Target{{Service: "one", Weight: 1}})
	return g
}

// setQueuedRoutes applies a version of the configuration with the routes "one" and "hold".
func setQueuedRoutes(g *Gateway, version int64, targets []routing.Target) {
	route := func(name string, kind routing.Kind) *routing.Route {
		return &routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Targets: targets, MaxAttempts: 2, Priority: 2,
			TargetLatency: queuedTarget, Timeout: 5 * queuedTarget,
		}
	}
	g.SetConfig(routing.NewConfig(version, []*routing.Route{route("one", routing.Repeatable), route("hold", routing.AtMostOnce)}, nil, routing.Limits{}))
}

// blockingLeafs hold requests until they are released, and count those that ran.
type blockingLeafs struct {
	release chan struct{}
	mu      sync.Mutex
	// ran counts the calls by path, and leafs lists the leafs that were called.
	ran   map[string]int
	leafs []string
}

func newBlockingLeafs() *blockingLeafs {
	return &blockingLeafs{release: make(chan struct{}), ran: map[string]int{}}
}

func (b *blockingLeafs) answer(ctx context.Context, call LeafCall) LeafReply {
	b.mu.Lock()
	b.ran[call.Request.Path]++
	b.leafs = append(b.leafs, call.Leaf.ID)
	b.mu.Unlock()
	select {
	case <-b.release:
		return answered(ctx, call)
	case <-ctx.Done():
		return LeafReply{Outcome: replica.Abandoned}
	}
}

func (b *blockingLeafs) count(path string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[path]
}

// occupy starts requests until all leafs have as many as they may. The answers arrive on the channel.
func occupy(t *testing.T, g *Gateway, b *blockingLeafs) <-chan Answer {
	answers := make(chan Answer, 10)
	// Two per leaf: its window of 1 may be exceeded by one while it is not known to be full, and the
	// connection limit of a leaf with one slot is 1.
	for range 2 {
		go func() { answers <- ask(g, "/hold/occupying") }()
	}
	require.Eventually(t, func() bool { return b.count("/hold/occupying") == 2 }, 10*time.Second, time.Millisecond)
	return answers
}

// waitingCount returns the number of requests that wait in the queues.
func waitingCount(g *Gateway) int { return g.singles.waiting() }

func awaitWaiting(t *testing.T, g *Gateway, n int) {
	require.Eventually(t, func() bool { return waitingCount(g) == n }, 10*time.Second, time.Millisecond)
}

// Guards against results that differ through the queue: each outcome of a leaf gives the same code
// as without it.
func TestQueuedResultCodeByLeafOutcome(t *testing.T) {
	for _, tc := range []struct {
		path    string
		outcome replica.Outcome
		want    errcode.Code
		calls   int32
	}{
		{"/one/", replica.Answered, errcode.OK, 1},
		{"/one/", replica.Refused, errcode.ShardsUnavailable, 2},
		{"/one/", replica.ReplyLost, errcode.LeafFailed, 2},
		{"/one/", replica.Failed, errcode.OK, 2},
		{"/hold/", replica.Answered, errcode.OK, 1},
		{"/hold/", replica.Refused, errcode.ShardsUnavailable, 2},
		{"/hold/", replica.NotSent, errcode.ShardsUnavailable, 2},
		{"/hold/", replica.Misdirected, errcode.ShardsUnavailable, 2},
		{"/hold/", replica.ReplyLost, errcode.OutcomeUnknown, 1},
		{"/hold/", replica.LeafCrashed, errcode.OutcomeUnknown, 1},
		{"/hold/", replica.TimedOut, errcode.OutcomeUnknown, 1},
		{"/hold/", replica.Failed, errcode.OK, 1},
	} {
		t.Run(tc.path+tc.outcome.String(), func(t *testing.T) {
			var calls atomic.Int32
			g := newQueuedGateway(t, func(context.Context, LeafCall) LeafReply {
				calls.Add(1)
				return LeafReply{Outcome: tc.outcome}
			})
			a := ask(g, tc.path)
			require.Equal(t, tc.want, a.Code)
			require.Equal(t, tc.calls, calls.Load())
			require.Equal(t, a.Code.HTTPStatus() == 503, a.RetryAfter > 0, "a refusal has a retry hint")
			require.Len(t, g.SingleQueues(time.Now()), 1)
			require.Zero(t, g.SingleQueues(time.Now())[0].InFlight)
		})
	}
}

// Guards against the queue applying where the configuration or the settings do not call for it.
func TestQueueAppliesByTimeoutAndSetting(t *testing.T) {
	for _, tc := range []struct {
		mode    Mode
		targets float64
		want    int
	}{{Auto, 12, 1}, {Auto, 4.9, 0}, {Auto, 0, 0}, {On, 0, 1}, {Off, 12, 0}} {
		g := newQueuedGateway(t, answered)
		opts := *g.opts.Load()
		opts.Overload.SingleQueue, opts.Overload.ShortTimeoutTargets = tc.mode, tc.targets
		g.SetOptions(opts)
		require.Equal(t, errcode.OK, ask(g, "/one/").Code)
		require.Len(t, g.SingleQueues(time.Now()), tc.want, "%v", tc)
	}
	g := newGateway(t, 1, answered)
	opts := *g.opts.Load()
	opts.Overload.SingleQueue = On
	g.SetOptions(opts)
	require.Equal(t, errcode.OK, ask(g, "/hold/").Code, "a route without a target latency")
	require.Len(t, g.SingleQueues(time.Now()), 1)
}

// Guards against losing requests that wait: they run when others end, each once.
func TestWaitingRequestsRunWhenOthersEnd(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	occupying := occupy(t, g, b)
	answers := make(chan Answer, 3)
	for range 3 {
		go func() { answers <- ask(g, "/hold/waiting") }()
	}
	awaitWaiting(t, g, 3)
	require.Zero(t, b.count("/hold/waiting"))
	require.Equal(t, 3, g.SingleQueues(time.Now())[0].Waiting)
	close(b.release)
	for range 3 {
		require.Equal(t, errcode.OK, (<-answers).Code)
	}
	require.Equal(t, errcode.OK, (<-occupying).Code)
	require.Equal(t, 3, b.count("/hold/waiting"))
	require.Zero(t, waitingCount(g))
}

// Guards against holding callers: a request that waited for as long as it may is refused, with a
// hint, and does not run later.
func TestRequestIsDroppedUnrun(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	occupying := occupy(t, g, b)
	began := time.Now()
	a := ask(g, "/hold/dropped")
	took := time.Since(began)
	require.Equal(t, errcode.QueueFull, a.Code)
	require.True(t, a.Code.NotRun())
	require.Equal(t, 503, a.Code.HTTPStatus())
	require.GreaterOrEqual(t, a.RetryAfter, minQueueRetryAfter)
	require.Greater(t, took, 200*time.Millisecond)
	close(b.release)
	<-occupying
	<-occupying
	require.Eventually(t, func() bool { return g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, b.count("/hold/dropped"))
}

// Guards against answering that the outcome is unknown when the deadline passes before anything ran.
func TestDeadlineWhileWaitingIsRefused(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	defer close(b.release)
	occupy(t, g, b)
	a := g.Handle(t.Context(), &Request{ID: "r", Host: "h", Path: "/hold/short", Arrived: time.Now(), Timeout: 50 * time.Millisecond})
	require.Equal(t, errcode.QueueFull, a.Code)
	require.Zero(t, b.count("/hold/short"))
}

// Guards against running requests whose caller has left.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	occupying := occupy(t, g, b)
	ctx, leave := context.WithCancel(t.Context())
	answer := make(chan Answer)
	go func() {
		answer <- g.Handle(ctx, &Request{ID: "r", Host: "h", Path: "/hold/left", Arrived: time.Now()})
	}()
	awaitWaiting(t, g, 1)
	leave()
	require.Equal(t, errcode.CallerDisconnected, (<-answer).Code)
	require.Zero(t, waitingCount(g))
	close(b.release)
	<-occupying
	<-occupying
	require.Zero(t, b.count("/hold/left"))
	require.Zero(t, g.SingleQueues(time.Now())[0].InFlight)
}

// Guards against a request that is told that it did not run, and runs: leafs take about as long as
// requests wait, callers leave at that moment, and leafs reject requests or lose replies. Run it with
// -race.
func TestNoRequestRunsAfterItsRefusalOrTwice(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	var n atomic.Uint64
	g := newQueuedGateway(t, func(ctx context.Context, call LeafCall) LeafReply {
		k := n.Add(1)
		if k%5 == 0 {
			return LeafReply{Outcome: replica.Refused}
		}
		mu.Lock()
		ran[call.Request.ID]++
		mu.Unlock()
		time.Sleep(time.Duration(k%7) * time.Millisecond)
		if k%6 == 0 {
			return LeafReply{Outcome: replica.ReplyLost}
		}
		return answered(ctx, call)
	})
	opts := *g.opts.Load()
	opts.MaxInFlight = 10000
	g.SetOptions(opts)
	const requests = 3000
	codes := make([]errcode.Code, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i/6) * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(4+i%8)*time.Millisecond)
			defer cancel()
			if i%4 != 0 {
				ctx = context.Background()
			}
			arrived := time.Now().Add(-leafqueue.MaxWait(queuedTarget) + time.Duration(i%9)*time.Millisecond)
			codes[i] = g.Handle(ctx, &Request{ID: fmt.Sprint(i), Host: "h", Path: "/hold/", Arrived: arrived}).Code
		}()
	}
	wg.Wait()
	require.Eventually(t, func() bool { return g.SingleQueues(time.Now())[0].InFlight == 0 }, 10*time.Second, time.Millisecond)
	seen := map[errcode.Code]int{}
	for i, code := range codes {
		seen[code]++
		require.LessOrEqual(t, ran[fmt.Sprint(i)], 1)
		if code.NotRun() {
			require.Zero(t, ran[fmt.Sprint(i)], "%s", code)
		}
	}
	t.Log(seen)
	for _, code := range []errcode.Code{errcode.OK, errcode.QueueFull, errcode.CallerDisconnected, errcode.OutcomeUnknown} {
		require.Positive(t, seen[code], "%s", code)
	}
}

// Guards against sending a request that was found to crash leafs while it waited. Its place goes to
// the next one.
func TestVerdictIsCheckedWhenRequestStarts(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	occupying := occupy(t, g, b)
	key := quarantine.KeyOf("/hold/deadly")
	deadly, next := make(chan Answer, 1), make(chan Answer, 1)
	go func() {
		deadly <- g.Handle(context.Background(), &Request{ID: "d", Key: key, Host: "h", Path: "/hold/deadly", Arrived: time.Now()})
	}()
	awaitWaiting(t, g, 1)
	go func() { next <- ask(g, "/hold/next") }()
	awaitWaiting(t, g, 2)
	g.quarantine.Merge(quarantine.Report{Key: key, CrashIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
	close(b.release)
	a := <-deadly
	require.Equal(t, errcode.Quarantined, a.Code)
	require.Positive(t, a.RetryAfter)
	require.Equal(t, errcode.OK, (<-next).Code)
	<-occupying
	require.Zero(t, b.count("/hold/deadly"))
}
