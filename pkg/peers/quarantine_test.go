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

// Guards against leafs that crash because the instance that runs a query does not know yet that the
// request is quarantined. A peer in another zone that knows it must not send it to its leafs.
func TestPeerRefusesQuarantinedRequests(t *testing.T) {
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return successReply(call) })
	table := quarantine.NewTable()
	b.server.SetQuarantine(table)
	m := newTestBatch(time.Second, leafCalls("a", "b"))
	table.Merge(quarantine.Report{Key: textCodec{}.Key(m.Request.Content), CrashIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
	got := make(replySink, 4)
	_, ok := b.conn.sendBatch(m, got.take)
	require.True(t, ok)
	for seen := 0; seen < 2; {
		for _, r := range <-got {
			require.Equal(t, replica.PeerRefused, r.Reply.Outcome)
			seen++
		}
	}
	require.Empty(t, b.leafs.calls())
}

// The crash of a leaf during a call through a peer is reported to the instance that runs the query.
func TestLeafCrashIsReportedThroughPeer(t *testing.T) {
	b := newServerFixture(t, func(context.Context, gateway.LeafCall) gateway.LeafReply {
		return gateway.LeafReply{Outcome: replica.LeafCrashed}
	})
	got := make(replySink, 4)
	_, ok := b.conn.sendBatch(newTestBatch(time.Second, leafCalls("a")), got.take)
	require.True(t, ok)
	require.Equal(t, replica.LeafCrashed, (<-got)[0].Reply.Outcome)
}
