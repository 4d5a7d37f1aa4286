package sock

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeek(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	server, err := ln.Accept()
	require.NoError(t, err)
	becomes := func(want State) {
		require.Eventually(t, func() bool { return Peek(client) == want }, 10*time.Second, time.Millisecond)
	}
	becomes(Idle)
	_, err = server.Write([]byte("x"))
	require.NoError(t, err)
	becomes(Pending)
	becomes(Pending)
	_, err = client.Read(make([]byte, 1))
	require.NoError(t, err)
	becomes(Idle)
	require.NoError(t, server.Close())
	becomes(Closed)
	require.NoError(t, client.Close())
	require.Equal(t, Closed, Peek(client))
	a, _ := net.Pipe()
	require.Equal(t, Unknown, Peek(a))
}
