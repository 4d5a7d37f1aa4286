package peers

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// An instance that has not heard yet that a request ends leafs hands it to a peer in another
// zone that has: the peer sends it to none.
func TestPeerKeepsQuarantinedRequestsFromLeafs(t *testing.T) {
	b := newBench(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return answered(call) })
	table := quarantine.NewTable()
	b.server.SetQuarantine(table)
	m := message(time.Second, leafs("a", "b"))
	table.Merge(quarantine.Report{Key: textCodec{}.Key(m.Request.Content), EndIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
	got := make(sink, 4)
	_, ok := b.conn.send(m, got.take)
	require.True(t, ok)
	for seen := 0; seen < 2; {
		for _, r := range <-got {
			require.Equal(t, replica.PeerRefused, r.Reply.Outcome)
			seen++
		}
	}
	require.Empty(t, b.leafs.calls())
}

// How a leaf ended passes through a peer: the instance that runs the query learns of it.
func TestEndOfALeafPassesThroughAPeer(t *testing.T) {
	b := newBench(t, func(context.Context, gateway.LeafCall) gateway.LeafReply {
		return gateway.LeafReply{Outcome: replica.ProcessExited}
	})
	got := make(sink, 4)
	_, ok := b.conn.send(message(time.Second, leafs("a")), got.take)
	require.True(t, ok)
	require.Equal(t, replica.ProcessExited, (<-got)[0].Reply.Outcome)
}
