package leafconn

import "github.com/indigoyoke/indigoyoke/pkg/sock"

// isIdle reports whether an idle connection is still open and has no unread bytes.
//
// A leaf may close the connection or send a second reply after a complete one. Bytes left on a
// kept connection would be read as the reply to the next request, which would return another
// caller's answer. The request ID echoed in replies detects most of these cases. This check
// detects bytes that arrived while the connection was idle, and avoids losing a request to a
// closed connection.
func isIdle(c *conn) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	state := sock.Peek(c.Conn)
	return state == sock.Idle || state == sock.Unknown
}
