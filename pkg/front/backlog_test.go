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
	s, err := New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, answerBytes))
	}), limits(64<<10), 100)
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
