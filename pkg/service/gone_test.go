package service

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"
)

// TestCallerGoneBeforeItsRequestIsRead checks that a request whose caller
// has closed its connection is told apart from one whose caller waits.
//
// Symptom: work runs for a caller that left before the request was read.
// Sequence: two callers connect and send a request while the server does
// not accept yet; one closes its connection; the server starts.
// Cause it guards against: only sensing a close some time after the handler
// has begun.
func TestCallerGoneBeforeItsRequestIsRead(t *testing.T) {
	s, err := Listen("127.0.0.1:0", time.Second, metrics.NewSet(), func() any { return nil }, nil)
	require.NoError(t, err)
	gone := make(chan bool, 2)
	s.Hertz.GET("/probe", func(ctx context.Context, c *app.RequestContext) { gone <- CallerDisconnected(ctx) })
	send := func() net.Conn {
		conn, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		_, err = conn.Write([]byte("GET /probe HTTP/1.1\r\nHost: entry\r\n\r\n"))
		require.NoError(t, err)
		return conn
	}
	require.NoError(t, send().Close())
	s.Start()
	require.True(t, <-gone)
	waiting := send()
	defer waiting.Close()
	require.False(t, <-gone)
	require.NoError(t, s.StopIdle(context.Background()))
}
