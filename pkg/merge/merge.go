// Package merge combines the shards' replies to a query into one answer.
package merge

import (
	"bytes"
	"container/heap"
	"slices"
)

// Greatest returns the greatest k records of all bodies in descending order. Records are compared
// byte by byte and have a fixed size in bytes; a shorter remainder at the end of a body is
// ignored. Equal records are all included.
func Greatest(bodies [][]byte, size, k int) []byte {
	if k <= 0 || size <= 0 {
		return nil
	}
	top := make(recordHeap, 0, k)
	for _, body := range bodies {
		for ; len(body) >= size; body = body[size:] {
			top.offer(body[:size], k)
		}
	}
	slices.SortFunc(top, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(top, nil)
}

// recordHeap is a heap with the smallest record first.
type recordHeap [][]byte

// offer adds record if it is among the greatest k records so far.
func (r *recordHeap) offer(record []byte, k int) {
	if len(*r) < k {
		heap.Push(r, record)
		return
	}
	if bytes.Compare(record, (*r)[0]) > 0 {
		(*r)[0] = record
		heap.Fix(r, 0)
	}
}

// Len implements heap.Interface.
func (r recordHeap) Len() int { return len(r) }

// Less implements heap.Interface.
func (r recordHeap) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }

// Swap implements heap.Interface.
func (r recordHeap) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *recordHeap) Push(x any) { *r = append(*r, x.([]byte)) }

// Pop implements heap.Interface.
func (r *recordHeap) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}
