package service

import (
	"context"
	"net"

	"github.com/indigoyoke/indigoyoke/pkg/sock"
)

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// withConn returns the context of the requests of an accepted connection,
// which holds the connection.
func withConn(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, conn)
}

// CallerDisconnected reports whether the caller of the request with context ctx
// has closed its connection. The server detects this itself, but ends ctx only
// some time after the handler has started. A request that waited in a socket
// buffer, because the process was paused or short of processor time, may have
// run by then although its caller disconnected long ago. This function checks
// the socket immediately, without reading from it.
func CallerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && sock.Peek(conn) == sock.Closed
}
