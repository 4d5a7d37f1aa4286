package leafconn

import "github.com/indigoyoke/indigoyoke/pkg/sock"

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
	state := sock.Peek(c.Conn)
	return state == sock.Idle || state == sock.Unknown
}
