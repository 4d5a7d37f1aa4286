package peers

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// declareFrame returns the start of a frame of a declared size with some bytes of its content.
func declareFrame(k frameKind, size uint64, content int) []byte {
	return append(append(binary.AppendUvarint(nil, size), byte(k)), make([]byte, content)...)
}

// Guards against a peer that makes this instance allocate what it declares: 400 connections of 8 MiB
// are many times its memory.
func TestDeclaredFrameSizeIsNotAllocated(t *testing.T) {
	for _, arrived := range []int{0, 10, 100 << 10, 3 << 20} {
		raw := declareFrame(kindBatch, maxFrameBytes, arrived)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), maxFrameBytes)
		runtime.ReadMemStats(&after)
		require.Error(t, err)
		// Doubling allocates at most four times the bytes that have arrived.
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4*arrived+2*frameChunkBytes+16<<10))
	}
}

// Guards against reading content of the wrong length, or losing the start of the next frame.
func TestFramesOfAllSizesAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, frameChunkBytes - 1, frameChunkBytes, frameChunkBytes + 1, 3*frameChunkBytes + 7, maxFrameBytes} {
		content := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		raw := append(declareFrame(kindUpdate, uint64(size), 0), content...)
		r := bufio.NewReader(bytes.NewReader(append(raw, declareFrame(kindHeartbeat, 0, 0)...)))
		k, got, err := readFrame(r, maxFrameBytes)
		require.NoError(t, err)
		require.Equal(t, kindUpdate, k)
		require.True(t, bytes.Equal(content, got))
		k, _, err = readFrame(r, maxFrameBytes)
		require.NoError(t, err)
		require.Equal(t, kindHeartbeat, k)
	}
}

// Guards against a connection that sends megabytes before it has said who it is.
func TestLargeHelloEndsTheConnection(t *testing.T) {
	b := newQueryFixture(t, nil)
	conn, err := net.Dial("tcp", b.server.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(declareFrame(kindHello, maxHelloBytes+1, 0))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(helloTimeout/2)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
