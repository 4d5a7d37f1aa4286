package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// waitForPeer starts an at-most-once request for a peer that waits for a leaf, and returns the function
// with which the peer leaves, its answer, and those of the requests that occupy the leafs.
func waitForPeer(t *testing.T, g *Gateway, b *blockingLeafs) (leave func(), answer, occupying <-chan Answer) {
	occupying = occupy(t, g, b)
	ctx, leave := context.WithCancel(t.Context())
	answers := make(chan Answer, 1)
	go func() {
		a, _ := g.RunSingle(ctx, newSingle("/hold/left"), g.version(), alwaysGranted)
		answers <- a
	}()
	awaitWaiting(t, g, 1)
	return leave, answers, occupying
}

// Guards against a granted at-most-once request that takes a place at a leaf although its caller left,
// or its owner was lost, while it waited. Neither was told that it did not run.
func TestAbandonedSingleOfPeerIsDroppedWhileItWaits(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	leave, answer, occupying := waitForPeer(t, g, b)
	leave()
	require.Equal(t, errcode.CallerDisconnected, (<-answer).Code)
	require.Zero(t, waitingCount(g))
	close(b.release)
	<-occupying
	<-occupying
	require.Zero(t, b.count("/hold/left"))
	require.Zero(t, g.SingleQueues(time.Now())[0].InFlight)
}

// Guards against a granted at-most-once request that has waited and is broken off at its leaf, or no
// longer counted as in flight, when its caller leaves.
func TestAbandonedSingleOfPeerIsCompletedOnceSent(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	leave, answer, occupying := waitForPeer(t, g, b)
	g.table.Upsert(replica.Leaf{ID: "onec", Services: []string{"one"}, Zone: "z", Slots: 1}, time.Now())
	require.Eventually(t, func() bool { return b.count("/hold/left") == 1 }, 10*time.Second, time.Millisecond)
	leave()
	time.Sleep(20 * time.Millisecond)
	require.EqualValues(t, 3, g.InFlight())
	close(b.release)
	require.Equal(t, errcode.OK, (<-answer).Code)
	<-occupying
	<-occupying
	require.Equal(t, 1, b.count("/hold/left"))
}

// Guards against telling a caller that closed only its sending direction, and still reads the answer,
// that its at-most-once request did not run although it was sent to a leaf or granted to a gatherer.
func TestLeftCallerOfSentSingleIsNotToldThatItDidNotRun(t *testing.T) {
	for path, want := range map[string]errcode.Code{"/hold/left": errcode.OutcomeUnknown, "/one/left": errcode.CallerDisconnected} {
		b := newBlockingLeafs()
		defer close(b.release)
		for name, g := range map[string]*Gateway{"queued": newQueuedGateway(t, b.answer), "unqueued": newGateway(t, 1, b.answer)} {
			t.Run("sent "+name+path, func(t *testing.T) {
				sent := b.count(path)
				ctx, leave := context.WithCancel(t.Context())
				answer := make(chan Answer, 1)
				go func() { answer <- g.Handle(ctx, newSingle(path)) }()
				require.Eventually(t, func() bool { return b.count(path) == sent+1 }, 10*time.Second, time.Millisecond)
				leave()
				require.Equal(t, want, (<-answer).Code)
			})
		}
		t.Run("handed off"+path, func(t *testing.T) {
			g := newQueuedGateway(t, answered)
			g.UseGatherers(scriptedGatherers(func(GatherQuery) (Answer, bool) {
				return Answer{Code: errcode.CallerDisconnected}, true
			}))
			require.Equal(t, want, ask(g, path).Code)
		})
	}
}
