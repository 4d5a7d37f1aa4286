package service

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection a request came on.
type connKey struct{}

// withConn keeps the accepted connection in its requests' contexts.
func withConn(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, conn)
}

// CallerGone reports whether the caller whose request ctx belongs to has
// closed its connection. The server's own sensing ends ctx some time after a
// handler starts; a request that waited in a socket buffer (the process was
// paused, or short of processor time) may be run by then although its caller
// left long ago. This asks the socket at once, without reading from it.
func CallerGone(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = (err == nil && n == 0) || err == unix.ECONNRESET
	})
	return gone || err != nil
}
