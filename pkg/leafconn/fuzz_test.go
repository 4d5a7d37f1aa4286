package leafconn

import (
	"bytes"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/mutate"
)

// bytesConn is a connection from which fixed bytes are read.
type bytesConn struct {
	net.Conn
	r *bytes.Reader
}

func (c bytesConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// FuzzReadReply checks that what a leaf sends costs memory in proportion to its size, and that no reply
// exceeds the limits.
func FuzzReadReply(f *testing.F) {
	mutate.AddSeeds(f,
		[]byte(okReply), []byte("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"+okReply), []byte("no http\r\n\r\n"),
		[]byte("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\nbody"), []byte("HTTP/1.1 200 OK\r\n\r\nbody"),
		[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nbody"),
		[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n"),
	)
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := newPool()
		c := p.newConn("leaf", bytesConn{r: bytes.NewReader(raw)})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		reply, _, err := p.readReply(c, newRequest())
		runtime.ReadMemStats(&after)
		// A header line of three bytes takes about 100.
		require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20+200*len(raw)))
		require.Zero(t, p.Stats.ReplyBytesHeld.Load())
		require.Zero(t, p.memory.reserved)
		if err == nil {
			require.LessOrEqual(t, len(reply.Body), testMaxReplyBytes)
		}
	})
}
