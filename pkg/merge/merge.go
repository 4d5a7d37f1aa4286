// Package merge joins the parts of a query over many shards into one answer.
package merge

import (
	"bytes"
	"container/heap"
	"slices"
)

// Greatest returns the greatest k records of all bodies, greatest first,
// compared byte by byte. Records have a fixed size in bytes; a shorter rest at
// the end of a body is no record. Equal records all count.
func Greatest(bodies [][]byte, size, k int) []byte {
	if k <= 0 || size <= 0 {
		return nil
	}
	least := make(records, 0, k)
	for _, body := range bodies {
		for ; len(body) >= size; body = body[size:] {
			least.offer(body[:size], k)
		}
	}
	slices.SortFunc(least, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(least, nil)
}

// records is a heap with the least record first.
type records [][]byte

// offer keeps record if it is among the greatest k so far.
func (r *records) offer(record []byte, k int) {
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
func (r records) Len() int { return len(r) }

// Less implements heap.Interface.
func (r records) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }

// Swap implements heap.Interface.
func (r records) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *records) Push(x any) { *r = append(*r, x.([]byte)) }

// Pop implements heap.Interface.
func (r *records) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}
