package sock

import (
	"io"
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

// Checks that bytes that the peer's kernel has not accepted are in the send queue, and no others.
func TestSendQueue(t *testing.T) {
	client, server := connect(t)
	require.NoError(t, client.(*net.TCPConn).SetReadBuffer(16<<10))
	require.NoError(t, server.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	n, err := server.Write(make([]byte, 64<<20))
	require.Error(t, err, "the buffers are full")
	queued, ok := SendQueue(server)
	require.True(t, ok)
	require.Positive(t, queued)
	_, err = io.CopyN(io.Discard, client, int64(n))
	require.NoError(t, err)
	require.Eventually(t, func() bool { queued, ok := SendQueue(server); return ok && queued == 0 }, 10*time.Second, time.Millisecond)
	require.NoError(t, server.Close())
	_, ok = SendQueue(server)
	require.False(t, ok)
	_, ok = SendQueue(nil)
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
