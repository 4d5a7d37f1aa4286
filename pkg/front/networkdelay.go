package front

import (
	"context"
	"net"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/sock"
)

// callerKey is the context key of what is known of a request's connection.
type callerKey struct{}

// callerConn is what is known of a caller's connection. Its requests are handled
// one after the other.
type callerConn struct {
	conn      net.Conn
	requests  int
	roundTrip time.Duration
}

// withCaller keeps a connection in the contexts of its requests.
func withCaller(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &callerConn{conn: conn})
}

// NetworkDelay is how long the request that ctx belongs to, and its answer, spend
// between the caller and this instance: a round trip, and one more before the
// first request on a connection for opening it. It is called once a request.
//
// A caller counts its wait from when it began to send. An answer that is given
// just before the target latency is over, as seen from here, reaches a distant
// caller after it; one notices whole routes late by their callers' count and in
// time by this instance's. The kernel knows the round trip from opening the
// connection.
func NetworkDelay(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
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
