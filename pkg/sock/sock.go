// Package sock asks a connection's socket what it knows, without reading from it.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what a connection's socket shows.
type State int

const (
	// Idle: open, nothing to read.
	Idle State = iota
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
	state := Closed
	control(sc, func(fd int) { state = peek(fd) })
	return state
}

// control calls f with the socket's descriptor, unless it is closed.
func control(conn syscall.Conn, f func(fd int)) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// An error says that the socket was closed meanwhile: f was not called.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}

// SmoothedRTT is the time to the peer and back as the kernel has smoothed it, 0
// where it is not known. It takes one system call.
func SmoothedRTT(conn net.Conn) time.Duration {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	var rtt time.Duration
	control(sc, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return rtt
}

func peek(fd int) State {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		return Idle
	case err == nil && n > 0:
		return Pending
	}
	return Closed
}
