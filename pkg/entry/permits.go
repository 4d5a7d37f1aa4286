package entry

import (
	"context"
	"time"

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

// callWaitPart of the time a request has left is how long a leaf call waits
// for a permit while there is something better to do than wait: another
// replica to try, or, for a hold, an answer to give. Waiting to the deadline
// would hold a search at a server that is full while another replica is
// free, and a hold that cannot be sent from its refusal.
const callWaitPart = 4

// takeCall takes a permit for a leaf call. A patient call waits as long as
// ctx allows: on a search's last replica, giving up sooner would only turn a
// short burst into shards not sent.
func (p permits) takeCall(ctx context.Context, patient bool) bool {
	end, ok := ctx.Deadline()
	if !ok || patient {
		return take(ctx, p.calls)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(end)/callWaitPart)
	defer cancel()
	return take(ctx, p.calls)
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
