package leafqueue

import "cmp"

// key is the order of a request: by rank, then further attempts, returning callers and new callers.
type key struct{ rank, caller int }

func keyOf(r *Request) key {
	k := key{rank: r.Rank, caller: 2}
	switch {
	case r.Again:
		k.caller = 0
	case r.Returning:
		k.caller = 1
	}
	return k
}

func (k key) compare(o key) int {
	return cmp.Or(cmp.Compare(k.rank, o.rank), cmp.Compare(k.caller, o.caller))
}

// bucket holds the waiting requests of one key by arrival.
type bucket struct {
	key         key
	first, last *Request
	count       int
}

// order holds the waiting requests in their order.
type order struct {
	// buckets are sorted by key. Empty buckets are removed, so their number is at most three times
	// that of the ranks that wait.
	buckets []*bucket
	count   int
}

// countBefore returns the number of requests that come before a new one with the key.
func (o *order) countBefore(k key) int {
	n := 0
	for _, b := range o.buckets {
		if b.key.compare(k) > 0 {
			break
		}
		n += b.count
	}
	return n
}

// countAhead returns the number of requests that come before a waiting one, as far as they are in
// other buckets: the requests that are dropped are the oldest of their bucket.
func (o *order) countAhead(r *Request) int {
	n := 0
	for _, b := range o.buckets {
		if b == r.bucket {
			break
		}
		n += b.count
	}
	return n
}

// push adds a request as the last one of its key.
func (o *order) push(r *Request) {
	b := o.bucket(keyOf(r))
	r.bucket, r.prev, r.next = b, b.last, nil
	if b.last == nil {
		b.first = r
	} else {
		b.last.next = r
	}
	b.last = r
	b.count++
	o.count++
}

// bucket returns the bucket of a key, which is created if there is none.
func (o *order) bucket(k key) *bucket {
	i := 0
	for ; i < len(o.buckets); i++ {
		switch c := o.buckets[i].key.compare(k); {
		case c == 0:
			return o.buckets[i]
		case c > 0:
			return o.insert(i, k)
		}
	}
	return o.insert(i, k)
}

// insert adds an empty bucket at an index.
func (o *order) insert(i int, k key) *bucket {
	b := &bucket{key: k}
	o.buckets = append(o.buckets, nil)
	copy(o.buckets[i+1:], o.buckets[i:])
	o.buckets[i] = b
	return b
}

// remove takes a request out.
func (o *order) remove(r *Request) {
	b := r.bucket
	if r.prev == nil {
		b.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		b.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.bucket, r.prev, r.next = nil, nil, nil
	b.count--
	o.count--
	if b.count == 0 {
		o.removeBucket(b)
	}
}

// removeBucket removes an empty bucket.
func (o *order) removeBucket(b *bucket) {
	for i := range o.buckets {
		if o.buckets[i] == b {
			o.buckets = append(o.buckets[:i], o.buckets[i+1:]...)
			return
		}
	}
}

// first returns the first request, nil if none waits.
func (o *order) first() *Request {
	if len(o.buckets) == 0 {
		return nil
	}
	return o.buckets[0].first
}

// after returns the request after a waiting one, nil if it is the last.
func (o *order) after(r *Request) *Request {
	if r.next != nil {
		return r.next
	}
	for i := range o.buckets {
		if o.buckets[i] == r.bucket && i+1 < len(o.buckets) {
			return o.buckets[i+1].first
		}
	}
	return nil
}
