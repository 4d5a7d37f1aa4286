package leafconn

import (
	"net"
	"sync/atomic"
)

// replyReader reads replies from a connection and counts their bytes.
type replyReader struct {
	net.Conn
	stats *Stats
	// received is the number of bytes of the reply in progress, and inBody whether its header has
	// been read. Bytes of a body that were read together with the header count as header.
	received int64
	inBody   bool
}

// Read implements io.Reader.
func (r *replyReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.received += int64(n)
	r.stats.ReplyBytesHeld.Add(int64(n))
	if r.inBody {
		storeMax(&r.stats.MaxBodyBytes, r.received)
	} else {
		storeMax(&r.stats.MaxHeaderBytes, r.received)
	}
	return n, err
}

// endHeader records that the header of the reply in progress has been read.
func (r *replyReader) endHeader() { r.inBody = true }

// endReply records that the reply in progress is not being read any more.
func (r *replyReader) endReply() {
	r.stats.ReplyBytesHeld.Add(-r.received)
	r.received, r.inBody = 0, false
}

// storeMax stores n if it is greater than the current value.
func storeMax(v *atomic.Int64, n int64) {
	for {
		current := v.Load()
		if n <= current || v.CompareAndSwap(current, n) {
			return
		}
	}
}
