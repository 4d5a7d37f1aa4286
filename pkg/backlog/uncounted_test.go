package backlog

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that count as unread forever, are kept open after they were closed or
// are disconnected, where the system does not report acknowledged bytes: the query fails, always
// reports 0, or nothing else shows whether the 0 is true.
func TestConnectionWithoutReportedProgressIsNotCounted(t *testing.T) {
	for name, setUp := range map[string]func(*caller){
		"always 0, empty send queue":   func(c *caller) { c.queueEmpty = true },
		"always 0, unknown send queue": func(c *caller) { c.noQueue = true },
		"query fails":                  func(c *caller) { c.lost = true },
	} {
		t.Run(name, func(t *testing.T) {
			b := New(1000)
			c := newCaller(b)
			setUp(c)
			c.answer(t, 2000)
			require.True(t, b.Admits(1, epoch))
			require.Empty(t, sweepFor(b, epoch, time.Minute))
			require.Zero(t, c.socket.closed)
			for range 10 {
				c.answer(t, 2000)
				b.Sweep(epoch)
				require.Zero(t, b.Bytes())
			}
			require.NoError(t, c.Close())
			require.Equal(t, 1, c.socket.closed, "closed at once")
			require.False(t, c.socket.aborted)
			require.Empty(t, b.conns)
		})
	}
}

// Guards against a caller that is exempt because its connection was measured before anything was
// written to the socket, or while the socket still held everything.
func TestConnectionWithUnacknowledgedBytesIsCounted(t *testing.T) {
	b := New(1000)
	c := newCaller(b)
	c.queueEmpty = true
	c.socket.onWrite = func() {
		c.queueEmpty = false
		b.Sweep(epoch)
		c.queueEmpty = true
		b.Sweep(epoch) // As if the write had not reached the socket yet.
	}
	c.answer(t, 1000)
	c.queueEmpty = false
	b.Sweep(epoch)
	require.EqualValues(t, 1000, b.Bytes())
	c.read = 1000
	b.Sweep(epoch)
	c.socket.onWrite = nil
	c.answer(t, 500)
	c.queueEmpty = true
	b.Sweep(epoch)
	require.EqualValues(t, 500, b.Bytes(), "acknowledged bytes were reported before")
}

// Guards against a system that does not report progress being detected only after the write that
// fills the backlog: the connection must not be counted from its start.
func TestConnectionThatCannotBeMeasuredIsNeverCounted(t *testing.T) {
	b := New(1000)
	socket := &fakeConn{}
	c := b.Wrap(socket, func() {})
	_, err := c.Write(make([]byte, 5000))
	require.NoError(t, err)
	require.Zero(t, b.Bytes())
	require.True(t, b.Admits(1, epoch))
	socket.writeErr = errors.New("reset")
	_, err = c.Write(make([]byte, 5000))
	require.Error(t, err)
	require.Zero(t, b.Bytes())
	require.NoError(t, c.Close())
	require.Equal(t, 1, socket.closed)
}
