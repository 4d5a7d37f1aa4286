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

// Guards against work for a caller that disconnected before its request was
// read. A caller sends a request and closes its connection while the server does
// not accept yet; then the server starts. A server that detects the close only
// some time after the handler has started would run the request. A second caller,
// which waits for its answer, must not be reported as disconnected.
func TestCallerThatDisconnectedBeforeRequestIsReadIsDetected(t *testing.T) {
	s, err := Listen("127.0.0.1:0", time.Second, metrics.NewSet(), func() any { return nil }, nil)
	require.NoError(t, err)
	disconnected := make(chan bool, 2)
	s.Hertz.GET("/probe", func(ctx context.Context, c *app.RequestContext) { disconnected <- CallerDisconnected(ctx) })
	send := func() net.Conn {
		conn, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		_, err = conn.Write([]byte("GET /probe HTTP/1.1\r\nHost: entry\r\n\r\n"))
		require.NoError(t, err)
		return conn
	}
	require.NoError(t, send().Close())
	s.Start()
	require.True(t, <-disconnected)
	waiting := send()
	defer waiting.Close()
	require.False(t, <-disconnected)
	require.NoError(t, s.StopIdle(context.Background()))
}
