package peers

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Guards against avoiding a healthy peer for 2 s because a caller left: a peer sends no frame for a
// batch that is cancelled before its flush time, and was taken for silent.
func TestPeerOfCancelledBatchIsNotSilent(t *testing.T) {
	b := newServerFixture(t, func(ctx context.Context, _ gateway.LeafCall) gateway.LeafReply {
		<-ctx.Done()
		return gateway.LeafReply{Outcome: replica.Abandoned}
	})
	const flush = 10 * time.Millisecond
	cancel, ok := b.conn.sendBatch(newTestBatch(flush, leafCalls("a")), make(replySink, 4).take)
	require.True(t, ok)
	cancel()
	time.Sleep(flush + 2*firstReplyGrace)
	require.Empty(t, b.silent)
}
