package entry

import (
	"context"

	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// permits bounds the connections one entry instance opens to one backend
// server: its share of the server's limit. A backend server counts the
// connections of all callers together and resets those beyond its limit.
// With a cap per entry instance that ignores the others, a burst makes a
// healthy server reset connections, which looks like a lost replica: it is
// marked down and its shards go missing. A leaf call holds a permit while it
// uses a connection; one more is kept for cancel messages, which would
// otherwise wait behind the very calls they are to end.
type permits struct {
	calls   chan struct{}
	cancels chan struct{}
}

// newPermits splits share connections between leaf calls and cancels; a
// share of one leaves none for cancels.
func newPermits(share int) permits {
	share = max(share, 1)
	reserved := 0
	if share > 1 {
		reserved = 1
	}
	return permits{calls: make(chan struct{}, share-reserved), cancels: make(chan struct{}, reserved)}
}

// share is how many connections to b this entry instance may open: its part
// of the limit the configuration publishes, or the settings' cap when none
// is published or that is lower.
func share(b topology.BackendServer, entryInstances, limit int) int {
	if b.MaxConns <= 0 {
		return limit
	}
	return min(limit, max(b.MaxConns/entryInstances, 1))
}

// take waits for a permit until ctx ends.
func take(ctx context.Context, p chan struct{}) bool {
	select {
	case p <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
