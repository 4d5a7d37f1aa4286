package demo

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/caller"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// BenchmarkWideSearch measures a search with a fan-out of 70 shards, which is the number of
// shards that the users expect within two years. Callers, entry instance and backend servers
// run in one process.
func BenchmarkWideSearch(b *testing.B) {
	const width = 70
	c, err := StartClusterWithShards(Lipovec, width, io.Discard, func(l *Layout) {
		for i := range l.Backends {
			l.Backends[i].Slots = 4 * width
		}
	})
	require.NoError(b, err)
	defer c.Stop()
	cl, err := caller.New("cad-viewer", "cad-viewer-key")
	require.NoError(b, err)
	q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: "bolt", TimeoutMs: 5000}
	addr := c.Entries[c.EntryNames()[0]].Addr()
	b.ReportAllocs()
	for b.Loop() {
		a, err := cl.Search(context.Background(), addr, q)
		require.NoError(b, err)
		require.Len(b, a.Covered, width)
	}
}
