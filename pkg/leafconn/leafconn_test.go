package leafconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// serveLeaf runs a leaf on raw TCP: f handles each connection and reads its requests with next.
func serveLeaf(t testing.TB, f func(conn net.Conn, next func() *http.Request)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				f(conn, func() *http.Request {
					q, err := http.ReadRequest(br)
					if err != nil {
						return nil
					}
					_, _ = io.Copy(io.Discard, q.Body)
					return q
				})
			}()
		}
	}()
	return ln.Addr().String()
}

// Limits of newPool in bytes.
const (
	testMaxReplyBytes  = 1000
	testMaxHeaderBytes = 64 << 10
)

func newLog() *oplog.Log {
	return oplog.New(io.Discard, nil, oplog.Options{LinesPerSecond: 5, Burst: 20, Buffer: 64})
}

func newPool() *Pool {
	return New(Options{
		DialTimeout: time.Second, IdleTimeout: time.Minute, Log: newLog(),
		MaxReplyBytes: testMaxReplyBytes, MaxHeaderBytes: testMaxHeaderBytes, MaxRepliesBytes: 4 << 20,
	})
}

func newRequest() *http.Request {
	return &http.Request{Method: "GET", Host: "h", URL: &url.URL{Opaque: "/x"}, Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
}

func anyReply(*Reply) error { return nil }

// send makes one call with the given timeout.
func send(p *Pool, addr string, within time.Duration) (*Reply, Outcome, error) {
	return p.RoundTrip(context.Background(), Call{Leaf: "leaf", Addr: addr, Request: newRequest(), ReadBy: time.Now().Add(within), Validate: anyReply})
}

// replyToAll sends text in reply to every request on a connection.
func replyToAll(text string) func(net.Conn, func() *http.Request) {
	return func(conn net.Conn, next func() *http.Request) {
		for next() != nil {
			_, _ = io.WriteString(conn, text)
		}
	}
}

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Checks for each behaviour of a leaf which outcome is reported, and whether the connection is
// kept.
func TestOutcomeByLeafBehaviour(t *testing.T) {
	type leafFunc = func(net.Conn, func() *http.Request)
	for name, tc := range map[string]struct {
		leaf  leafFunc
		want  Outcome
		dials int64
	}{
		"kept":                   {replyToAll(okReply), Replied, 1},
		"interim reply":          {replyToAll("HTTP/1.1 100 Continue\r\n\r\n" + okReply), Replied, 1},
		"leaf asks to close":     {replyToAll("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), Replied, 2},
		"bytes after the reply":  {replyToAll(okReply + okReply), Replied, 2},
		"short idle timeout":     {replyToAll("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1, max=5\r\nContent-Length: 0\r\n\r\n"), Replied, 1},
		"no HTTP reply":          {replyToAll("no http\r\n\r\n"), ReplyLost, 2},
		"too large":              {replyToAll("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + fmt.Sprintf("%01001d", 0)), ReplyLost, 2},
		"closes without a reply": {func(_ net.Conn, next func() *http.Request) { next() }, ReplyLostOnNewConn, 2},
		"closes within a reply": {func(conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		}, ReplyLost, 2},
		"sends nothing": {func(_ net.Conn, next func() *http.Request) { next(); next() }, TimedOut, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			addr := serveLeaf(t, tc.leaf)
			for range 2 {
				_, outcome, err := send(p, addr, 300*time.Millisecond)
				require.Equal(t, tc.want, outcome, "%v", err)
			}
			require.Equal(t, tc.dials, p.Stats.Dials.Load())
		})
	}
}

// Guards against a request waiting until its deadline for a leaf that has restarted. The leaf's
// new incarnation becomes known while a request is in flight on a connection that stays silent;
// only idle connections were closed.
func TestCloseAllEndsCallsInFlight(t *testing.T) {
	p := newPool()
	reached := make(chan struct{})
	addr := serveLeaf(t, func(_ net.Conn, next func() *http.Request) {
		next()
		close(reached)
		next()
	})
	outcome := make(chan Outcome, 1)
	go func() {
		_, got, _ := send(p, addr, time.Minute)
		outcome <- got
	}()
	<-reached
	p.CloseAll("other")
	p.CloseAll("leaf")
	require.Equal(t, ReplyLost, <-outcome, "it may have run")
	require.Zero(t, p.Stats.OpenConns.Load())
	require.Empty(t, p.busy)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	require.NoError(t, ln.Close())
	_, outcome, err := send(newPool(), addr, time.Second)
	require.Error(t, err)
	require.Equal(t, NotSent, outcome)
}

func TestInvalidReplyClosesTheConnection(t *testing.T) {
	p := newPool()
	addr := serveLeaf(t, replyToAll(okReply))
	wrong := errors.New("other request")
	_, outcome, err := p.RoundTrip(context.Background(), Call{Leaf: "leaf", Addr: addr, Request: newRequest(), ReadBy: time.Now().Add(time.Second), Validate: func(*Reply) error { return wrong }})
	require.ErrorIs(t, err, wrong)
	require.Equal(t, ReplyLost, outcome)
	require.Zero(t, p.Stats.OpenConns.Load())
}

// Guards against a request that fails, or gets the reply to another one, because its kept
// connection was closed or received data while it was idle.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	for name, idle := range map[string]func(net.Conn){
		"closed by the leaf": func(c net.Conn) { _ = c.Close() },
		"late second reply":  func(c net.Conn) { _, _ = io.WriteString(c, okReply) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			done := make(chan struct{}, 2)
			addr := serveLeaf(t, func(conn net.Conn, next func() *http.Request) {
				for next() != nil {
					_, _ = io.WriteString(conn, okReply)
					time.Sleep(20 * time.Millisecond)
					idle(conn)
					done <- struct{}{}
				}
			})
			for range 2 {
				_, outcome, err := send(p, addr, time.Second)
				require.NoError(t, err)
				require.Equal(t, Replied, outcome)
				<-done
				time.Sleep(10 * time.Millisecond)
			}
			require.EqualValues(t, 2, p.Stats.Dials.Load())
			require.EqualValues(t, 1, p.Stats.StrayDrops.Load())
		})
	}
}

// Cancelling a request closes its connection, which tells the leaf to stop.
func TestCancellationClosesConnection(t *testing.T) {
	p := newPool()
	closed := make(chan struct{})
	got := make(chan struct{})
	addr := serveLeaf(t, func(_ net.Conn, next func() *http.Request) {
		next()
		close(got)
		next()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-got
		cancel()
	}()
	_, outcome, err := p.RoundTrip(ctx, Call{Leaf: "leaf", Addr: addr, Request: newRequest(), ReadBy: time.Now().Add(10 * time.Second), Validate: anyReply})
	require.Error(t, err)
	require.Equal(t, Cancelled, outcome)
	<-closed
}

// When one connection to a leaf times out, the idle ones are closed too.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	p := newPool()
	silent := make(chan struct{})
	addr := serveLeaf(t, func(conn net.Conn, next func() *http.Request) {
		for next() != nil {
			select {
			case <-silent:
			default:
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, okReply)
			}
		}
	})
	both := make(chan error, 2)
	for range 2 {
		go func() { _, _, err := send(p, addr, time.Second); both <- err }()
	}
	require.NoError(t, <-both)
	require.NoError(t, <-both)
	require.EqualValues(t, 2, p.Stats.OpenConns.Load())
	close(silent)
	_, outcome, _ := send(p, addr, 50*time.Millisecond)
	require.Equal(t, TimedOut, outcome)
	require.Zero(t, p.Stats.OpenConns.Load())
}

func TestSweepAndCloseIdle(t *testing.T) {
	p := newPool()
	addr := serveLeaf(t, replyToAll(okReply))
	_, _, err := send(p, addr, time.Second)
	require.NoError(t, err)
	p.Sweep(time.Now())
	require.EqualValues(t, 1, p.Stats.OpenConns.Load())
	p.Sweep(time.Now().Add(time.Hour))
	require.Zero(t, p.Stats.OpenConns.Load())
	_, _, err = send(p, addr, time.Second)
	require.NoError(t, err)
	p.CloseIdle("leaf")
	require.Zero(t, p.Stats.OpenConns.Load())
}

func TestParseKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 0, "timeout=5": 5 * time.Second, "max=3, timeout=12": 12 * time.Second,
		"Timeout = 2": 2 * time.Second, "timeout": 0, "timeout=0": 0,
	} {
		got, err := parseKeepAlive(header)
		require.NoError(t, err, header)
		require.Equal(t, want, got, header)
	}
	for _, header := range []string{"timeout=x", "timeout=-1"} {
		got, err := parseKeepAlive(header)
		require.Error(t, err, header)
		require.Zero(t, got, header)
	}
}

// A leaf that crashes while it has a request differs from one that only closes the
// connection: nothing listens at its address any more.
func TestCrashedLeafIsDistinguishedFromClosedConnection(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			if crashes {
				_ = ln.Close()
			}
			_ = conn.Close()
		}()
		_, outcome, err := send(newPool(), ln.Addr().String(), time.Minute)
		require.Error(t, err)
		require.Equal(t, crashes, outcome == LeafCrashed, "outcome %d", outcome)
	}
}
