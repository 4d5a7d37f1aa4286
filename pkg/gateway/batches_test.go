package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// scriptedBatcher passes batches to a function.
type scriptedBatcher struct {
	send      func(b Batch, deliver func([]BatchReply)) bool
	batches   atomic.Int64
	cancelled atomic.Int64
}

func (s *scriptedBatcher) Send(b Batch, deliver func([]BatchReply)) (func(), bool) {
	s.batches.Add(1)
	return func() { s.cancelled.Add(1) }, s.send(b, deliver)
}

// replyMerged replies to all calls of a batch in one group.
func replyMerged(b Batch, deliver func([]BatchReply)) {
	var group []BatchReply
	for i := range b.Calls {
		content := fmt.Sprint("merged ", i)
		group = append(group, BatchReply{Call: i, Took: time.Millisecond, Reply: LeafReply{Outcome: replica.Answered, Content: content}})
	}
	deliver(group)
}

// The first requests to another zone are sent as one batch; requests that no peer accepts are
// sent directly.
func TestFirstRequestsAreBatched(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		g := newGateway(t, 4, answered)
		batcher := &scriptedBatcher{send: func(b Batch, deliver func([]BatchReply)) bool {
			require.Equal(t, "z", b.Zone)
			require.Len(t, b.Calls, 4)
			if accepted {
				replyMerged(b, deliver)
			}
			return accepted
		}}
		g.UseBatcher(batcher, "elsewhere")
		a := ask(g, "/all/x")
		require.Equal(t, errcode.OK, a.Code)
		require.Zero(t, a.Missing())
		require.EqualValues(t, 1, batcher.batches.Load())
		require.Equal(t, accepted, a.Shards[0].Reply.Content == "merged 0")
		g.UseBatcher(batcher, "z")
		ask(g, "/all/x")
		require.EqualValues(t, 1, batcher.batches.Load(), "leafs of the own zone are called directly")
	}
}

// Guards against an answer whose records do not belong to the parts that it lists. A peer is
// slow; the second request for a shard, sent in a batch of its own, is answered first; then the
// peer's merged records arrive and include that shard's part. The first reply was kept next to
// records that contain the other one.
func TestMergedRecordsReplaceAnEarlierReply(t *testing.T) {
	second := make(chan struct{}, 8)
	g := newGateway(t, 2, answered)
	g.UseBatcher(&scriptedBatcher{send: func(b Batch, take func([]BatchReply)) bool {
		switch {
		case len(b.Calls) > 1:
			go func() {
				<-second
				replyMerged(b, take)
			}()
		case b.Calls[0].Service == "s0":
			take([]BatchReply{{Reply: LeafReply{Outcome: replica.Answered, Content: "alone"}}})
			second <- struct{}{}
		}
		return true
	}}, "elsewhere")
	a := ask(g, "/all/x")
	require.Equal(t, errcode.OK, a.Code)
	require.Zero(t, a.Missing())
	for i := range a.Shards {
		require.Equal(t, fmt.Sprint("merged ", i), a.Shards[i].Reply.Content)
	}
}

// A caller that disconnects cancels its batches.
func TestCallerDisconnectCancelsBatches(t *testing.T) {
	g := newGateway(t, 2, answered)
	sent := make(chan struct{})
	batcher := &scriptedBatcher{send: func(Batch, func([]BatchReply)) bool {
		close(sent)
		return true
	}}
	g.UseBatcher(batcher, "elsewhere")
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-sent
		leave()
	}()
	a := g.Handle(ctx, &Request{ID: "r", Host: "h", Path: "/all/x", Arrived: time.Now(), Timeout: time.Minute})
	require.Equal(t, errcode.CallerDisconnected, a.Code)
	require.EqualValues(t, 1, batcher.cancelled.Load())
}
