package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// flakyListener fails a number of times before it accepts connections.
type flakyListener struct {
	net.Listener
	failuresLeft atomic.Int32
}

func (f *flakyListener) Accept() (net.Conn, error) {
	if f.failuresLeft.Add(-1) >= 0 {
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

// Guards against a process that ends, or never accepts again, after a temporary shortage of file
// descriptors. Accept fails while all descriptors are in use and then works again; the server
// took the accept error for the end of its listener.
func TestAcceptErrorsDoNotStopTheServer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &flakyListener{Listener: ln}
	f.failuresLeft.Store(3)
	r := RetryAccept(f)
	go func() {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
	}()
	conn, err := r.Accept()
	require.NoError(t, err)
	_ = conn.Close()
	require.NoError(t, r.Close())
	_, err = r.Accept()
	require.Error(t, err, "Accept fails once the listener is closed")
}

func limits(headerBytes int) routing.Limits {
	return routing.Limits{HeaderBytes: headerBytes, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
}

func get(t *testing.T, c *http.Client, addr string, size int) int {
	t.Helper()
	req, err := http.NewRequest("GET", "http://"+addr, nil)
	require.NoError(t, err)
	req.Header.Set("X-Pad", strings.Repeat("a", size))
	resp, err := c.Do(req)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// New limits apply to new connections; open connections keep the old ones.
func TestNewLimitsKeepOpenConnections(t *testing.T) {
	s, err := New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}), limits(64<<10), 100)
	require.NoError(t, err)
	go s.Run()
	defer s.Stop(context.Background())
	kept := &http.Client{Transport: &http.Transport{}}
	require.Equal(t, 200, get(t, kept, s.Addr(), 20000))
	s.SetLimits(limits(8 << 10))
	fresh := &http.Client{Transport: &http.Transport{}}
	require.Equal(t, 431, get(t, fresh, s.Addr(), 20000))
	require.Equal(t, 200, get(t, fresh, s.Addr(), 100))
	require.Equal(t, 200, get(t, kept, s.Addr(), 20000))
	kept.CloseIdleConnections()
	fresh.CloseIdleConnections()
}

// Guards against every shard becoming unreachable during a flood of callers, whose connections
// take the file descriptors that connections to leafs need. Over the limit a connection is closed
// unread; once another one ends, new connections are served again.
func TestTooManyConnectionsAreClosedUnread(t *testing.T) {
	s, err := New("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits(64<<10), 2)
	require.NoError(t, err)
	go s.Run()
	defer s.Stop(context.Background())
	var kept []*http.Client
	for range 2 {
		c := &http.Client{Transport: &http.Transport{}}
		require.Equal(t, 200, get(t, c, s.Addr(), 10))
		kept = append(kept, c)
	}
	require.EqualValues(t, 2, s.OpenConns())
	fresh := &http.Client{Transport: &http.Transport{}}
	_, err = fresh.Get("http://" + s.Addr())
	require.Error(t, err)
	require.GreaterOrEqual(t, s.RejectedConns(), int64(1))
	kept[0].CloseIdleConnections()
	require.Eventually(t, func() bool { return s.OpenConns() == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 200, get(t, fresh, s.Addr(), 10))
	fresh.CloseIdleConnections()
	kept[1].CloseIdleConnections()
}

// The first request on a connection includes one more round trip than later ones, for opening the
// connection.
func TestNetworkDelay(t *testing.T) {
	delays := make(chan time.Duration, 2)
	s, err := New("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		delays <- NetworkDelay(r.Context())
	}), routing.Limits{IdleTimeout: time.Minute}, 10)
	require.NoError(t, err)
	go s.Run()
	defer s.Stop(t.Context())
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		resp, err := client.Get("http://" + s.Addr())
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	client.CloseIdleConnections()
	first, second := <-delays, <-delays
	require.Positive(t, second)
	require.Equal(t, 2*second, first)
	require.Zero(t, NetworkDelay(t.Context()), "no connection known")
}
