package leafconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and has no bytes waiting.
//
// A leaf may send a second reply after a complete one, or close. Bytes left on
// a kept connection would be read as the reply to the next request: another
// caller's answer. The request ID echoed in replies catches most of these; this
// catches the ones that came while the connection was idle, without losing a
// request to a closed connection.
func quiet(c *conn) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
	})
	return open && err == nil
}
