package front

import (
	"context"
	"net"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/sock"
)

// callerConnKey is the context key of a request's *callerConn.
type callerConnKey struct{}

// callerConn is the state of a caller's connection. Its requests are handled one at a time.
type callerConn struct {
	conn net.Conn
	// requests is the number of requests on the connection so far.
	requests int
	// roundTrip is the round-trip time measured at the first request.
	roundTrip time.Duration
}

// withCallerConn adds a connection to the contexts of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: conn})
}

// NetworkDelay returns the time that the request of ctx and its answer together spend between
// the caller and this instance: one round trip, and another one for opening the connection
// if the request is the first on it. It must be called once per request.
//
// A caller measures its latency from when it began to send. An answer that leaves just before
// the target latency as measured here reaches a distant caller after it; whole routes are
// then late as measured by their callers and in time as measured by this instance. The kernel
// measures the round trip when the connection is opened.
func NetworkDelay(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 0
	}
	c.requests++
	if c.requests > 1 {
		return c.roundTrip
	}
	c.roundTrip = sock.SmoothedRTT(c.conn)
	return 2 * c.roundTrip
}
