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
	near, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	far, err := ln.Accept()
	require.NoError(t, err)
	becomes := func(want State) {
		require.Eventually(t, func() bool { return Peek(near) == want }, 10*time.Second, time.Millisecond)
	}
	becomes(Idle)
	_, err = far.Write([]byte("x"))
	require.NoError(t, err)
	becomes(Pending)
	becomes(Pending)
	_, err = near.Read(make([]byte, 1))
	require.NoError(t, err)
	becomes(Idle)
	require.NoError(t, far.Close())
	becomes(Closed)
	require.NoError(t, near.Close())
	require.Equal(t, Closed, Peek(near))
	a, _ := net.Pipe()
	require.Equal(t, Unknown, Peek(a))
}
