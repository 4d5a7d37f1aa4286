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

// Checks that only bytes that the peer's kernel has accepted count as acknowledged, and that a
// connection that was reset has none outstanding.
func TestAcknowledged(t *testing.T) {
	client, server := connect(t)
	acked := func() uint64 {
		n, ok := Acknowledged(server)
		require.True(t, ok)
		return n
	}
	before := acked()
	_, err := server.Write(make([]byte, 1000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return acked() == before+1000 }, 10*time.Second, time.Millisecond)
	require.NoError(t, client.(*net.TCPConn).SetLinger(0))
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool { _, ok := Acknowledged(server); return !ok }, 10*time.Second, time.Millisecond)
	_, ok := Acknowledged(nil)
	require.False(t, ok)
}

// connect returns the two ends of a loopback connection.
func connect(t testing.TB) (client, server net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	client, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	server, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

func BenchmarkAcknowledged(b *testing.B) {
	_, server := connect(b)
	b.ReportAllocs()
	for b.Loop() {
		Acknowledged(server)
	}
}
