package service

import (
	"context"
	"net"

	"github.com/indigoyoke/indigoyoke/pkg/sock"
)

// connKey is the context key of the connection a request came on.
type connKey struct{}

// withConn keeps the accepted connection in its requests' contexts.
func withConn(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, conn)
}

// CallerDisconnected reports whether the caller whose request ctx belongs to has
// closed its connection. The server's own sensing ends ctx some time after a
// handler starts; a request that waited in a socket buffer (the process was
// paused, or short of processor time) may be run by then although its caller
// left long ago. This asks the socket at once, without reading from it.
func CallerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && sock.Peek(conn) == sock.Closed
}
