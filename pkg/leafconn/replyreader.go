package leafconn

import (
	"errors"
	"net"
	"sync/atomic"
)

// Errors of replies that are not read any further because of their size.
var (
	errHeaderTooLarge = errors.New("reply header over the limit")
	errBodyTooLarge   = errors.New("reply body over the limit")
	errNoReplyMemory  = errors.New("replies of the leaf, or of all leafs, over the limit of bytes being read")
)

// replyReader reads replies from a connection. It counts their bytes and limits the memory that a
// leaf can make this process allocate: the parsers of net/http buffer a header of any size.
type replyReader struct {
	net.Conn
	leaf   string
	stats  *Stats
	memory *replyMemory
	// maxHeaderBytes is the maximum size of a reply's header, including interim responses.
	maxHeaderBytes int64
	// received is the number of bytes of the reply in progress, reserved how many of them are
	// reserved, and inBody whether its header has been read. Bytes of a body that were read together
	// with the header count as header.
	received, reserved int64
	inBody             bool
}

// Read implements io.Reader.
func (r *replyReader) Read(p []byte) (int, error) {
	available, err := r.available()
	if err != nil {
		return 0, err
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), available)])
	r.received += int64(n)
	r.stats.ReplyBytesHeld.Add(int64(n))
	if r.inBody {
		storeMax(&r.stats.MaxBodyBytes, r.received)
	} else {
		storeMax(&r.stats.MaxHeaderBytes, r.received)
	}
	return n, err
}

// available returns how many more bytes of the reply may be read now.
func (r *replyReader) available() (int64, error) {
	if !r.inBody && r.received >= r.maxHeaderBytes {
		r.stats.HeadersTooLarge.Add(1)
		return 0, errHeaderTooLarge
	}
	if r.received >= unreservedReplyBytes+r.reserved {
		if !r.memory.reserve(r.leaf, reservationBytes) {
			r.stats.RepliesWithoutMemory.Add(1)
			return 0, errNoReplyMemory
		}
		r.reserved += reservationBytes
	}
	n := unreservedReplyBytes + r.reserved - r.received
	if !r.inBody {
		n = min(n, r.maxHeaderBytes-r.received)
	}
	return n, nil
}

// endHeader records that the header of the reply in progress has been read.
func (r *replyReader) endHeader() { r.inBody = true }

// endReply records that the reply in progress is not being read any more.
func (r *replyReader) endReply() {
	r.stats.ReplyBytesHeld.Add(-r.received)
	r.memory.release(r.leaf, r.reserved)
	r.received, r.reserved, r.inBody = 0, 0, false
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
