package returns

import "time"

// promiseQueue holds the times of the open promises, earliest first. It is a ring buffer that grows
// up to maxPromises and is then reused without allocation.
type promiseQueue struct {
	ring       []time.Time
	head, size int
}

// minRing is the first capacity of the ring.
const minRing = 16

// push appends a promise that is due no earlier than the others. It returns false if the queue is
// full.
func (q *promiseQueue) push(due time.Time) bool {
	if q.size == maxPromises {
		return false
	}
	if q.size == len(q.ring) {
		q.grow()
	}
	q.ring[(q.head+q.size)%len(q.ring)] = due
	q.size++
	return true
}

func (q *promiseQueue) grow() {
	ring := make([]time.Time, min(max(2*len(q.ring), minRing), maxPromises))
	n := copy(ring, q.ring[q.head:])
	copy(ring[n:], q.ring[:q.head])
	q.ring, q.head = ring, 0
}

// first returns the earliest promise of a queue that is not empty.
func (q *promiseQueue) first() time.Time { return q.ring[q.head] }

// pop removes the earliest promise.
func (q *promiseQueue) pop() {
	q.head = (q.head + 1) % len(q.ring)
	q.size--
}
