package backlog

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeConn is a caller's connection that accepts what is written to it.
type fakeConn struct {
	net.Conn
	// writeErr makes Write accept the given number of bytes only.
	writeErr error
	accept   int
	closed   int
	aborted  bool
	// onWrite, if not nil, is called by Write.
	onWrite func()
}

func (c *fakeConn) Write(p []byte) (int, error) {
	if c.onWrite != nil {
		c.onWrite()
	}
	if c.writeErr != nil {
		return c.accept, c.writeErr
	}
	return len(p), nil
}
func (c *fakeConn) Close() error                { c.closed++; return nil }
func (c *fakeConn) CloseWrite() error           { return nil }
func (c *fakeConn) SetDeadline(time.Time) error { return nil }
func (c *fakeConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }
func (c *fakeConn) SetLinger(seconds int) error { c.aborted = seconds == 0; return nil }

// caller is a connection with a caller that reads what the test says.
type caller struct {
	*Conn
	socket *fakeConn
	read   int64
	lost   bool
	// queueEmpty and noQueue say that the send queue is empty, or that its size is unknown.
	queueEmpty, noQueue bool
}

func newCaller(b *Backlog) *caller {
	c := &caller{socket: &fakeConn{}}
	c.Conn = b.Wrap(c.socket, func() {})
	c.progress = func() (int64, bool) { return c.read, !c.lost }
	c.queued = func() (int, bool) { return map[bool]int{false: 1}[c.queueEmpty], !c.noQueue }
	c.uncounted = false
	return c
}

// answer writes an answer of n bytes.
func (c *caller) answer(t *testing.T, n int) {
	_, err := c.Write(make([]byte, n))
	require.NoError(t, err)
}

// sweepFor sweeps every 50 ms for some time and returns the stalls.
func sweepFor(b *Backlog, from time.Time, d time.Duration) []Stall {
	var stalls []Stall
	for at := from; at.Before(from.Add(d)); at = at.Add(50 * time.Millisecond) {
		stalls = append(stalls, b.Sweep(at)...)
	}
	return stalls
}

// Guards against memory that grows with the callers that do not read: requests are refused before
// they run, the less urgent ones first. Once callers have read, requests are admitted again
// although no sweep has run.
func TestRequestsAreRefusedWhileCallersDoNotRead(t *testing.T) {
	b := New(1000)
	c := newCaller(b)
	now := epoch
	for _, tc := range []struct {
		write          int
		urgent, others bool
	}{{749, true, true}, {1, true, false}, {249, true, false}, {1, false, false}, {500, false, false}} {
		c.answer(t, tc.write)
		now = now.Add(time.Second)
		require.Equal(t, tc.urgent, b.Admits(0, now), b.Bytes())
		require.Equal(t, tc.others, b.Admits(1, now), b.Bytes())
		require.Equal(t, tc.others, b.Admits(2, now), b.Bytes())
	}
	c.read = 1400
	require.True(t, b.Admits(1, now.Add(time.Second)))
	require.EqualValues(t, 100, b.Bytes())
	b.SetLimit(100)
	require.False(t, b.Admits(0, now.Add(2*time.Second)), "the limit can be changed")
}

// Guards against a flood of requests that spends its processor time on measuring connections.
func TestConnectionsAreMeasuredAtLimitedRate(t *testing.T) {
	b := New(10)
	c := newCaller(b)
	measured := 0
	c.progress = func() (int64, bool) { measured++; return 0, true }
	c.answer(t, 100)
	for i := range 1000 {
		b.Admits(0, epoch.Add(time.Duration(i)*time.Millisecond))
	}
	require.Equal(t, 20, measured)
}

// Guards against memory that is held forever for callers that never read, and against
// disconnecting callers that read slowly.
func TestCallerThatReadsNothingIsDisconnected(t *testing.T) {
	b := New(1900)
	silent, slow, quick := newCaller(b), newCaller(b), newCaller(b)
	silent.answer(t, 1000)
	slow.answer(t, 1000)
	quick.answer(t, 1000)
	quick.read = 1000
	now := epoch
	for i := range 4 {
		slow.read += 10
		stalls := sweepFor(b, now, 2900*time.Millisecond)
		now = now.Add(2900 * time.Millisecond)
		if i != 1 {
			require.Empty(t, stalls)
			continue
		}
		require.Len(t, stalls, 1)
		require.EqualValues(t, 1000, stalls[0].Unread)
		require.GreaterOrEqual(t, stalls[0].For, StallTimeout)
	}
	require.True(t, silent.socket.aborted, "the kernel drops what it holds")
	require.Equal(t, 1, silent.socket.closed)
	require.Zero(t, slow.socket.closed+quick.socket.closed)
	require.EqualValues(t, 960, b.Bytes(), "what the slow caller has not read")
	require.EqualValues(t, 1, b.StalledCallers())
	_, err := silent.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
}

// Guards against callers that are disconnected after this process was paused: they may have read
// all the time.
func TestPauseOfThisProcessIsNotCountedAsStall(t *testing.T) {
	b := New(1000)
	c := newCaller(b)
	c.answer(t, 1000)
	require.Empty(t, b.Sweep(epoch))
	require.Empty(t, b.Sweep(epoch.Add(time.Minute)))
	require.Empty(t, sweepFor(b, epoch.Add(time.Minute), 2*time.Second))
	require.Len(t, sweepFor(b, epoch.Add(time.Minute+2*time.Second), time.Second), 1)
}

// Guards against an answer that is cut off while a link is down for some seconds although nothing
// else needs the memory.
func TestCallerBelowHalfOfTheLimitIsDisconnectedLater(t *testing.T) {
	b := New(1 << 20)
	c := newCaller(b)
	c.answer(t, 1000)
	require.Empty(t, sweepFor(b, epoch, 29*time.Second))
	require.Zero(t, c.socket.closed)
	require.Len(t, sweepFor(b, epoch.Add(29*time.Second), 2*time.Second), 1)
}

// Guards against an idle caller that is disconnected because of the time in which it had nothing to
// read.
func TestTimeWithoutUnreadBytesIsNotCountedAsStall(t *testing.T) {
	b := New(10)
	c := newCaller(b)
	c.answer(t, 10)
	require.Empty(t, sweepFor(b, epoch, 2900*time.Millisecond))
	c.read = 10
	require.Empty(t, sweepFor(b, epoch.Add(2900*time.Millisecond), time.Minute))
	c.answer(t, 10)
	require.Empty(t, sweepFor(b, epoch.Add(70*time.Second), 2900*time.Millisecond))
}

// Guards against an answer that is lost, or no longer counted, because its connection is closed
// before the caller has read it.
func TestClosedConnectionIsHeldUntilCallerHasRead(t *testing.T) {
	b := New(1 << 20)
	c := newCaller(b)
	c.answer(t, 1000)
	require.NoError(t, c.Close())
	require.ErrorIs(t, c.Close(), net.ErrClosed)
	b.Sweep(epoch)
	require.Zero(t, c.socket.closed)
	require.EqualValues(t, 1000, b.Bytes())
	c.read = 1000
	b.Sweep(epoch.Add(50 * time.Millisecond))
	require.Equal(t, 1, c.socket.closed)
	require.Zero(t, b.Bytes())

	c = newCaller(b)
	c.answer(t, 1000)
	c.read = 1000
	require.NoError(t, c.Close())
	require.Equal(t, 1, c.socket.closed, "closed at once if everything was read")
}

// Guards against bytes that stay counted although no memory is held for them: the connection is
// lost, or they could not be written. All requests would be refused in the end.
func TestLostConnectionsHoldNothing(t *testing.T) {
	b := New(1000)
	lost, failing := newCaller(b), newCaller(b)
	lost.answer(t, 900)
	lost.lost = true
	b.Sweep(epoch)
	require.Zero(t, b.Bytes())
	failing.socket.writeErr, failing.socket.accept = errors.New("reset"), 300
	n, err := failing.Write(make([]byte, 900))
	require.Error(t, err)
	require.Equal(t, 300, n)
	require.EqualValues(t, 300, b.Bytes())
	failing.lost = true
	require.NoError(t, failing.Close())
	require.Zero(t, b.Bytes())
	require.True(t, b.Admits(1, epoch))
}

// Guards against system calls while every caller has read everything.
func TestNothingIsMeasuredWithoutUnreadBytes(t *testing.T) {
	b := New(1000)
	measured := 0
	for range 100 {
		c := newCaller(b)
		c.progress = func() (int64, bool) { measured++; return c.read, true }
		c.answer(t, 5)
		c.read = 5
	}
	b.Sweep(epoch)
	require.Equal(t, 100, measured)
	sweepFor(b, epoch, time.Minute)
	require.True(t, b.Admits(1, epoch.Add(time.Hour)))
	require.Equal(t, 100, measured)
}

// Guards against sockets that stay open after a stop.
func TestStopClosesSocketsThatWaitForCallers(t *testing.T) {
	b := New(1000)
	c := newCaller(b)
	c.answer(t, 900)
	require.NoError(t, c.Close())
	b.Close()
	require.Equal(t, 1, c.socket.closed)
	require.False(t, c.socket.aborted, "the kernel goes on sending")
	require.Zero(t, b.Bytes())
}

// Guards against a count that differs from what the kernel holds: bytes in its send buffer that the
// caller's kernel has not acknowledged, and bytes that do not fit into it.
func TestUnreadBytesOfSocketAreMeasured(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	reader, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = reader.Close() }()
	raw, err := ln.Accept()
	require.NoError(t, err)
	b := New(1 << 30)
	closed := make(chan struct{})
	c := b.Wrap(raw, func() { close(closed) })
	_, err = c.Write(make([]byte, 1000))
	require.NoError(t, err)
	settles := func(want int64) {
		require.Eventually(t, func() bool { b.Sweep(time.Now()); return b.Bytes() == want }, 10*time.Second, time.Millisecond)
	}
	settles(0)
	const size = 32 << 20
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, size))
		written <- err
	}()
	require.Eventually(t, func() bool { return b.Bytes() > size/2 }, 10*time.Second, time.Millisecond)
	_, err = io.CopyN(io.Discard, reader, 1000+size)
	require.NoError(t, err)
	require.NoError(t, <-written)
	settles(0)
	require.NoError(t, c.Close())
	<-closed
}

// BenchmarkAdmits measures the decision on a request, below the limits and with callers that do
// not read.
func BenchmarkAdmits(b *testing.B) {
	for name, limit := range map[string]int64{"below": 1 << 40, "above": 1} {
		b.Run(name, func(b *testing.B) {
			backlog := New(limit)
			for range 1000 {
				c := newCaller(backlog)
				_, _ = c.Write(make([]byte, 1000))
			}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				backlog.Admits(1, now)
				now = now.Add(100 * time.Microsecond)
			}
		})
	}
}
