// Package sock asks a connection's socket what waits on it, without reading.
package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection's socket shows.
type State int

const (
	// Quiet: open, nothing to read.
	Quiet State = iota
	// Pending: bytes wait to be read.
	Pending
	// Closed: the peer has closed or reset the connection, or the socket
	// cannot be asked.
	Closed
	// Unknown: the connection has no socket.
	Unknown
)

// Peek returns the state of conn's socket. It takes one system call.
func Peek(conn net.Conn) State {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		return Quiet
	case err == nil && n > 0:
		return Pending
	}
	return Closed
}
