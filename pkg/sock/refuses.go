package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// RefusesConnections reports whether nothing listens at a TCP address: the connection is refused
// within the given time. Silence says nothing.
func RefusesConnections(ctx context.Context, addr string, within time.Duration) bool {
	dialer := net.Dialer{Timeout: within}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close() // It was opened for the question only.
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// RefusalTimeout is how long the question may take whether a server that broke a request off
// has ended: some round trips between zones, and a late timer on a small processor. Longer, and
// a request that may be sent to another server waits for it.
const RefusalTimeout = 50 * time.Millisecond
