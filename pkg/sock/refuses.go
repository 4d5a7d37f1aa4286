package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// RefusesConnections reports whether nothing listens at a TCP address, that is, whether a
// connection is refused within the given time. A timeout is not a refusal.
func RefusesConnections(ctx context.Context, addr string, within time.Duration) bool {
	dialer := net.Dialer{Timeout: within}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close() // It was opened only for the check.
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// RefusalTimeout is the timeout of the check whether a server that closed the connection of a
// request has crashed. It allows for some round trips between zones and a late timer on a small
// processor. A longer one would delay a retry at another server.
const RefusalTimeout = 50 * time.Millisecond
