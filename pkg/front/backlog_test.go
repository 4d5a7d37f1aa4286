package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answerBytes is the size of an answer that does not fit into the buffers of a caller's kernel.
const answerBytes = 8 << 20

// startLargeAnswers starts a server whose answers have answerBytes bytes.
func startLargeAnswers(t *testing.T) *Server {
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, answerBytes)) })
}

// startServer starts a server with a handler.
func startServer(t *testing.T, handler http.HandlerFunc) *Server {
	s, err := New("127.0.0.1:0", handler, limits(64<<10), 100)
	require.NoError(t, err)
	go s.Run()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		s.Stop(ctx)
	})
	return s
}

// sendRequest sends a request and does not read its answer. The caller has a small receive buffer.
func sendRequest(t *testing.T, s *Server, header string) net.Conn {
	conn, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
	require.NoError(t, err)
	return conn
}

// waitUnread sweeps until about one answer is counted as unread.
func waitUnread(t *testing.T, s *Server) {
	require.Eventually(t, func() bool {
		s.Backlog().Sweep(time.Now())
		return s.Backlog().Bytes() > answerBytes/2
	}, 10*time.Second, time.Millisecond)
}

// Guards against an answer that is cut off because its caller reads late, and against bytes that
// stay counted after they were read. The connection is kept in one case and closed by the server
// after the answer in the other.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		t.Run(header, func(t *testing.T) {
			s := startLargeAnswers(t)
			conn := sendRequest(t, s, header)
			waitUnread(t, s)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.EqualValues(t, answerBytes, n)
			if header != "" {
				_, err = conn.Read(make([]byte, 1))
				require.ErrorIs(t, err, io.EOF)
			}
			require.Eventually(t, func() bool {
				s.Backlog().Sweep(time.Now())
				return s.Backlog().Bytes() == 0 && (header == "" || s.OpenConns() == 0)
			}, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against memory and a connection that are held for a caller that never reads its answer.
// The caller's connection is reset, and both are released.
func TestCallerThatNeverReadsIsDisconnected(t *testing.T) {
	s := startLargeAnswers(t)
	conn := sendRequest(t, s, "")
	waitUnread(t, s)
	stalls := 0
	for now := time.Now(); stalls == 0; now = now.Add(100 * time.Millisecond) {
		stalls = len(s.Backlog().Sweep(now))
	}
	require.Zero(t, s.Backlog().Bytes())
	require.Zero(t, s.OpenConns())
	_, err := io.Copy(io.Discard, conn)
	require.Error(t, err, "the answer is incomplete")
}

// shortAnswerBytes is the size of an answer that fits into the buffers of the kernel.
const shortAnswerBytes = 64 << 10

// startShortAnswers starts a server whose answers have shortAnswerBytes bytes.
func startShortAnswers(t *testing.T) *Server {
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, shortAnswerBytes)) })
}

// readAnswer reads one answer and returns the size of its body.
func readAnswer(t *testing.T, r *bufio.Reader) int64 {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return n
}

// settles sweeps until nothing is counted as unread and the given number of connections is open.
func settles(t *testing.T, s *Server, open int64) {
	require.Eventually(t, func() bool {
		s.Backlog().Sweep(time.Now())
		return s.Backlog().Bytes() == 0 && s.OpenConns() == open
	}, 10*time.Second, time.Millisecond)
}

// Guards against a connection that cannot be used for several requests because its answers are
// counted, and against unread bytes that add up over them.
func TestConnectionIsReused(t *testing.T) {
	s := startShortAnswers(t)
	conn := sendRequest(t, s, "")
	answers := bufio.NewReader(conn)
	for range 5 {
		require.EqualValues(t, shortAnswerBytes, readAnswer(t, answers))
		settles(t, s, 1)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
}

// Guards against an answer that is lost because the caller has closed its sending side.
func TestHalfClosedCallerGetsWholeAnswer(t *testing.T) {
	s := startLargeAnswers(t)
	conn := sendRequest(t, s, "")
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	waitUnread(t, s)
	require.EqualValues(t, answerBytes, readAnswer(t, bufio.NewReader(conn)))
	settles(t, s, 0)
}

// Guards against bytes and connections that stay counted for callers that reset their connection,
// before and after the server has closed it.
func TestCallerThatResetsHoldsNothing(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		s := startLargeAnswers(t)
		conn := sendRequest(t, s, header)
		waitUnread(t, s)
		require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
		require.NoError(t, conn.Close())
		settles(t, s, 0)
	}
}

// Guards against a stop that cuts off an answer that is complete but not read yet, or that waits for
// its caller.
func TestStopDeliversCompleteAnswers(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		s := startShortAnswers(t)
		conn := sendRequest(t, s, header)
		answers := bufio.NewReader(conn)
		_, err := answers.Peek(1)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		began := time.Now()
		s.Stop(ctx)
		cancel()
		require.Less(t, time.Since(began), 5*time.Second)
		require.Zero(t, s.OpenConns())
		require.EqualValues(t, shortAnswerBytes, readAnswer(t, answers))
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against a hijacked connection whose last bytes are lost, or that stays open after its
// handler has closed it.
func TestHijackedConnectionIsClosedAfterItsLastBytes(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = conn.Write(make([]byte, shortAnswerBytes))
			_ = conn.Close()
		}
	})
	conn := sendRequest(t, s, "")
	n, err := io.Copy(io.Discard, conn)
	require.NoError(t, err)
	require.EqualValues(t, shortAnswerBytes, n)
	settles(t, s, 0)
}
