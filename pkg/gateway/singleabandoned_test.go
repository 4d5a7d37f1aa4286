package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// runForLeavingPeer runs an at-most-once request for a peer whose interest in it ends with ctx.
func runForLeavingPeer(ctx context.Context, g *Gateway) <-chan Answer {
	answer := make(chan Answer, 1)
	go func() {
		a, _ := g.RunSingle(ctx, newSingle("/hold/left"), g.version(), alwaysGranted)
		answer <- a
	}()
	return answer
}

// Guards against a granted at-most-once request that takes a place at a leaf although its caller left,
// or its owner was lost, while it waited. Neither was told that it did not run.
func TestAbandonedSingleOfPeerIsDroppedWhileItWaits(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	occupying := occupy(t, g, b)
	ctx, leave := context.WithCancel(t.Context())
	answer := runForLeavingPeer(ctx, g)
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

// Guards against a granted at-most-once request that has waited and is broken off at its leaf, or no
// longer counted as in flight, when its caller leaves.
func TestAbandonedSingleOfPeerIsCompletedOnceSent(t *testing.T) {
	b := newBlockingLeafs()
	g := newQueuedGateway(t, b.answer)
	occupying := occupy(t, g, b)
	ctx, leave := context.WithCancel(t.Context())
	answer := runForLeavingPeer(ctx, g)
	awaitWaiting(t, g, 1)
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
