package peers

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// newSingleRequest returns an at-most-once request to a single leaf.
func newSingleRequest() gateway.GatherQuery {
	q := newGatherQuery()
	q.Route = &routing.Route{Name: "hold", Kind: routing.AtMostOnce}
	return q
}

// wholeReply is a reply with repeated headers and bytes that are no UTF-8.
func wholeReply() Reply {
	return Reply{
		Status: 500, Body: []byte("\xff\x00"),
		Header: http.Header{"Set-Cookie": {"b=2", "a=1", "b=2"}, "X-Empty": {""}, "X-Latin": {"caf\xe9"}},
	}
}

// relayedAnswer returns an answer that passes on wholeReply.
func relayedAnswer() gateway.Answer {
	return gateway.Answer{Relayed: &gateway.LeafReply{Outcome: replica.Failed, Status: 500, Content: wholeReply()}}
}

// runGranted returns a runner that answers with run once the request is granted.
func runGranted(run func(ctx context.Context) gateway.Answer) queryRunnerFunc {
	return func(ctx context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		return run(ctx), true
	}
}

// countRuns returns a runner that counts in ran how often it ran.
func countRuns(ran *atomic.Int64) queryRunnerFunc {
	return runGranted(func(context.Context) gateway.Answer {
		ran.Add(1)
		return relayedAnswer()
	})
}

// requireIdle waits until the server has no work.
func (b *queryFixture) requireIdle() {
	require.Eventually(b.t, func() bool { return b.server.inFlight.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a leaf's reply that changes on its way through the peer.
func TestSingleReplyArrivesUnchanged(t *testing.T) {
	b := newQueryFixture(t, runGranted(func(context.Context) gateway.Answer { return relayedAnswer() }))
	a, ok := b.agent.HandOffSingle(t.Context(), newSingleRequest())
	require.True(t, ok)
	require.Equal(t, errcode.OK, a.Code)
	require.Equal(t, replica.Failed, a.Relayed.Outcome)
	require.Equal(t, 500, a.Relayed.Status)
	require.Equal(t, wholeReply(), a.Relayed.Content)
	require.EqualValues(t, 1, b.agent.Singles.HandedOff.Load())
	require.EqualValues(t, 1, b.server.SinglesServed.Load())
	require.Zero(t, b.agent.Queries.HandedOff.Load()+b.server.QueriesServed.Load())
}

// Guards against losing the retry hint, or the reason for which a request has no reply.
func TestSingleRefusalKeepsHintAndLastFailure(t *testing.T) {
	b := newQueryFixture(t, runGranted(func(context.Context) gateway.Answer {
		failure := &gateway.LeafReply{Outcome: replica.Refused, Status: 503, Err: errors.New("full"), Content: wholeReply()}
		return gateway.Answer{Code: errcode.QueueFull, RetryAfter: 420 * time.Millisecond, LastFailure: failure}
	}))
	a, ok := b.agent.HandOffSingle(t.Context(), newSingleRequest())
	require.True(t, ok)
	require.Equal(t, errcode.QueueFull, a.Code)
	require.Equal(t, 420*time.Millisecond, a.RetryAfter)
	require.Nil(t, a.Relayed)
	require.Equal(t, replica.Refused, a.LastFailure.Outcome)
	require.Equal(t, 503, a.LastFailure.Status)
	require.EqualError(t, a.LastFailure.Err, "full")
}

// Guards against a request that is refused because a peer declined it.
func TestDeclinedSingleIsLeftToOwner(t *testing.T) {
	b := newQueryFixture(t, func(context.Context, *gateway.Request, int64, func() bool) (gateway.Answer, bool) {
		return gateway.Answer{}, false
	})
	_, ok := b.agent.HandOffSingle(t.Context(), newSingleRequest())
	require.False(t, ok)
	require.EqualValues(t, 1, b.agent.Singles.Declined.Load())
}

// Guards against a request that two instances run: the peer accepts it after the owner took it back.
func TestSingleAcceptedLateRunsOnOneInstance(t *testing.T) {
	var ran atomic.Int64
	b := newQueryFixture(t, countRuns(&ran))
	p := newDelayProxy(t, b.server.listener.Addr().String())
	c := b.dial(p.addr)
	c.onTimeout, c.onLateAccept = b.agent.handleTimeout, b.agent.handleLateAccept
	b.agent.conns["peer"] = c
	p.toClient.closed.Store(true)
	_, ok := b.agent.HandOffSingle(t.Context(), newSingleRequest())
	require.False(t, ok)
	p.toClient.closed.Store(false)
	require.Eventually(t, func() bool { return b.agent.Singles.AcceptedLate.Load() == 1 }, 10*time.Second, time.Millisecond)
	b.requireIdle()
	require.Zero(t, ran.Load())
	require.EqualValues(t, 1, b.agent.Singles.TakenBack.Load())
}

// Guards against running a request whose grant arrives after the peer has declined it. The owner was
// frozen between the acceptance and the grant.
func TestSingleGrantedAfterGrantTimeoutDoesNotRun(t *testing.T) {
	var ran atomic.Int64
	b := newQueryFixture(t, countRuns(&ran))
	number, pending, ok := b.conn.sendOffer(singleHandoff, newSingleRequest())
	require.True(t, ok)
	require.Equal(t, queryAccepted, (<-pending.events).kind)
	require.Equal(t, queryDeclined, (<-pending.events).kind)
	b.conn.mu.Lock()
	err := b.conn.writeLocked(kindGrant, numbered{Number: number})
	b.conn.mu.Unlock()
	require.NoError(t, err)
	b.requireIdle()
	time.Sleep(20 * time.Millisecond)
	require.Zero(t, ran.Load())
}

// Guards against an owner that runs a request which it has granted. Frozen between the acceptance and
// the grant, it reads the acceptance and the peer's later decline together.
func TestOwnerFrozenBeforeGrantNeverRunsGrantedSingle(t *testing.T) {
	b := newQueryFixture(t, nil)
	pending := &handedOffQuery{events: make(chan queryEvent, 3)}
	pending.events <- queryEvent{kind: queryAccepted}
	pending.events <- queryEvent{kind: queryDeclined}
	w := &queryWait{p: b.agent, c: b.conn, kind: singleHandoff, number: 1, handedOff: pending, query: newSingleRequest()}
	a, ok := w.run(t.Context())
	require.True(t, ok)
	require.Equal(t, errcode.PeerLost, a.Code)
}

// Guards against a request that runs twice because its offer and grant were repeated.
func TestRepeatedSingleRunsOnce(t *testing.T) {
	var ran atomic.Int64
	b := newQueryFixture(t, countRuns(&ran))
	conn, err := net.Dial("tcp", b.server.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	w, r := bufio.NewWriter(conn), bufio.NewReader(conn)
	require.NoError(t, writeFrame(w, kindHello, hello{Version: protocolVersion, Name: "owner"}))
	texts := textEncoder{numbers: map[string]uint16{}}
	offer := query{Number: 1, Request: texts.encodeRequest("r1", newTestBatch(0, nil).Request.Content.(Request))}
	for range 2 {
		require.NoError(t, writeFrame(w, kindSingle, offer))
		if k, _, err := readFrame(r, maxFrameBytes); err == nil {
			require.Equal(t, kindAccepted, k)
			_ = writeFrame(w, kindGrant, numbered{Number: 1})
			_, _, _ = readFrame(r, maxFrameBytes) // The answer.
		}
	}
	b.requireIdle()
	require.EqualValues(t, 1, ran.Load())
}

// Guards against running a request again, or reporting it as not run, when its peer is killed after
// the grant.
func TestGrantedSingleOfLostPeerHasUnknownOutcome(t *testing.T) {
	started := make(chan struct{})
	b := newQueryFixture(t, runGranted(func(ctx context.Context) gateway.Answer {
		close(started)
		<-ctx.Done()
		return gateway.Answer{Code: errcode.CallerDisconnected}
	}))
	go func() {
		<-started
		b.server.Close()
	}()
	a, ok := b.agent.HandOffSingle(t.Context(), newSingleRequest())
	require.True(t, ok)
	require.Equal(t, errcode.PeerLost, a.Code)
	require.False(t, a.Code.NotRun())
	require.EqualValues(t, 1, b.agent.Singles.Lost.Load())
}

// Guards against giving up a request that takes longer than the heartbeat timeout.
func TestHeartbeatsKeepLongSingleAlive(t *testing.T) {
	b := newQueryFixture(t, runGranted(func(context.Context) gateway.Answer {
		time.Sleep(5 * time.Second)
		return relayedAnswer()
	}))
	q := newSingleRequest()
	q.Deadline = time.Now().Add(10 * time.Second)
	a, ok := b.agent.HandOffSingle(t.Context(), q)
	require.True(t, ok)
	require.Equal(t, errcode.OK, a.Code)
}

// Guards against waiting until the deadline for a peer that stops sending heartbeats.
func TestSilentPeerOfGrantedSingleIsLost(t *testing.T) {
	b := newQueryFixture(t, nil)
	b.agent.conns["peer"] = dialPeerThatGoesSilent(t, b, make(chan struct{}))
	began := time.Now()
	a, ok := b.agent.HandOffSingle(t.Context(), newSingleRequest())
	require.True(t, ok)
	require.Equal(t, errcode.PeerLost, a.Code)
	require.Less(t, time.Since(began), 2*time.Second)
}

// Guards against a peer that stops with a granted request in progress, and against one that accepts
// a request while it stops.
func TestDrainFinishesGrantedSinglesAndDeclinesOthers(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	b := newQueryFixture(t, runGranted(func(context.Context) gateway.Answer {
		close(started)
		<-release
		return relayedAnswer()
	}))
	got := make(chan gateway.Answer, 1)
	go func() {
		a, _ := b.agent.HandOffSingle(t.Context(), newSingleRequest())
		got <- a
	}()
	<-started
	drained := make(chan struct{})
	go func() {
		b.server.Drain(t.Context())
		close(drained)
	}()
	require.Eventually(t, b.server.draining.Load, 10*time.Second, time.Millisecond)
	_, ok := b.agent.HandOffSingle(t.Context(), newSingleRequest())
	require.False(t, ok, "a stopping peer declines, and the owner runs the request")
	select {
	case <-drained:
		t.Fatal("drained while a granted request was in progress")
	default:
	}
	close(release)
	require.Equal(t, errcode.OK, (<-got).Code)
	<-drained
}

// Guards against a peer that keeps working for a caller that has left.
func TestSingleIsCancelledAtPeerWhenCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	ctx, leave := context.WithCancel(t.Context())
	b := newQueryFixture(t, runGranted(func(ctx context.Context) gateway.Answer {
		leave()
		<-ctx.Done()
		close(ended)
		return gateway.Answer{Code: errcode.CallerDisconnected}
	}))
	a, ok := b.agent.HandOffSingle(ctx, newSingleRequest())
	require.True(t, ok)
	require.Equal(t, errcode.CallerDisconnected, a.Code)
	<-ended
}

// Guards against a request that runs although its caller left before it was granted.
func TestSingleWhoseCallerLeavesBeforeGrantDoesNotRun(t *testing.T) {
	var ran atomic.Int64
	ctx, leave := context.WithCancel(t.Context())
	b := newQueryFixture(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		leave()
		time.Sleep(10 * time.Millisecond)
		if granted() {
			ran.Add(1)
		}
		return gateway.Answer{}, false
	})
	a, ok := b.agent.HandOffSingle(ctx, newSingleRequest())
	require.True(t, ok)
	require.Equal(t, errcode.CallerDisconnected, a.Code)
	b.requireIdle()
	require.Zero(t, ran.Load())
}

// Guards against a wrong number of instances that run single requests, by which they divide the slots
// of the leafs, and against calls without a change.
func TestSingleRunnersAreCountedOverAllZones(t *testing.T) {
	all := append(append(newMembers("x", largeZone(41)...), newMembers("y", 40, 40, 40)...), newMembers("z", 40)...)
	want := 0
	for _, r := range assignAll(all) {
		if len(r.gatherers) == 0 {
			want++
		}
	}
	for name, r := range assignAll(all) {
		require.Equal(t, want, r.singleRunners, name)
	}
	require.Equal(t, 1, assignRoles(membership.Member{Name: "a", Zone: "z"}, nil, neverAvoided).singleRunners)
	var got []int
	s := singleRunners{apply: func(n int) { got = append(got, n) }}
	for _, n := range []int{4, 4, 5, 4} {
		s.update(n)
	}
	require.Equal(t, []int{4, 5, 4}, got)
}
