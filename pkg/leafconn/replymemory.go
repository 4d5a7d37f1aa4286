package leafconn

import "sync"

const (
	// unreservedReplyBytes is the size up to which a reply needs no reservation, so that usual
	// replies do not depend on what large ones hold.
	unreservedReplyBytes = 16 << 10
	// reservationBytes is the size of one reservation.
	reservationBytes = 64 << 10
	// leafShares is the number of parts that the limit is divided into; one leaf may hold one part.
	// A faulty leaf therefore does not take the memory that the replies of the others need.
	leafShares = 4
)

// replyMemory limits the bytes of large replies that are being read at the same time. It is safe
// for concurrent use.
type replyMemory struct {
	limit int64

	mu       sync.Mutex
	reserved int64
	byLeaf   map[string]int64
}

func newReplyMemory(limit int64) *replyMemory {
	return &replyMemory{limit: limit, byLeaf: make(map[string]int64)}
}

// reserve takes n bytes for a reply of a leaf, or returns false if they are not available.
func (m *replyMemory) reserve(leaf string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved+n > m.limit || m.byLeaf[leaf]+n > m.limit/leafShares {
		return false
	}
	m.reserved += n
	m.byLeaf[leaf] += n
	return true
}

// release returns n reserved bytes.
func (m *replyMemory) release(leaf string, n int64) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved -= n
	if m.byLeaf[leaf] -= n; m.byLeaf[leaf] == 0 {
		delete(m.byLeaf, leaf)
	}
}
