// Package sock queries the state of a connection's socket without reading from it.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is the state of a connection's socket.
type State int

const (
	// Idle means that the connection is open and has no unread bytes.
	Idle State = iota
	// Pending means that the connection has unread bytes.
	Pending
	// Closed means that the peer has closed or reset the connection, or that the socket
	// cannot be queried.
	Closed
	// Unknown means that the connection has no socket.
	Unknown
)

// Peek returns the state of conn's socket. It takes one system call.
func Peek(conn net.Conn) State {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	state := Closed
	withFD(sc, func(fd int) { state = peek(fd) })
	return state
}

// withFD calls f with the socket's file descriptor, unless the socket is closed.
func withFD(conn syscall.Conn, f func(fd int)) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the socket was closed meanwhile and f was not called.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}

// SmoothedRTT returns the kernel's smoothed estimate of the round-trip time to the peer, 0 if it
// is not known. It takes one system call.
func SmoothedRTT(conn net.Conn) time.Duration {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	var rtt time.Duration
	withFD(sc, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return rtt
}

// Acknowledged returns how many bytes the peer's kernel has acknowledged so far. ok is false if the
// connection has ended, so that nothing that was not acknowledged is kept any more, or if conn is
// no TCP connection. It takes one system call.
func Acknowledged(conn net.Conn) (bytes uint64, ok bool) {
	sc, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	withFD(sc, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State != unix.BPF_TCP_CLOSE {
			bytes, ok = info.Bytes_acked, true
		}
	})
	return bytes, ok
}

// SendQueue returns the number of bytes in the socket's send queue: those that were not sent yet and
// those that the peer's kernel has not acknowledged. ok is false if it is not known. It takes one
// system call.
func SendQueue(conn net.Conn) (bytes int, ok bool) {
	sc, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	withFD(sc, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		bytes, ok = n, err == nil
	})
	return bytes, ok
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
