package leafqueue

// deadlines is a heap of the waiting requests by the time at which they are dropped.
type deadlines []*Request

// first returns the request that is dropped next; there must be one.
func (d deadlines) first() *Request { return d[0] }

// push adds a request.
func (d *deadlines) push(r *Request) {
	r.heapIndex = len(*d)
	*d = append(*d, r)
	d.up(r.heapIndex)
}

// remove takes a request out.
func (d *deadlines) remove(r *Request) {
	i, last := r.heapIndex, len(*d)-1
	d.swap(i, last)
	(*d)[last] = nil
	*d = (*d)[:last]
	if i < last {
		d.down(i)
		d.up(i)
	}
}

func (d deadlines) less(i, j int) bool { return d[i].StartBy.Before(d[j].StartBy) }

func (d deadlines) swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d deadlines) up(i int) {
	for i > 0 && d.less(i, (i-1)/2) {
		d.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (d deadlines) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(d) {
			return
		}
		if child+1 < len(d) && d.less(child+1, child) {
			child++
		}
		if !d.less(child, i) {
			return
		}
		d.swap(i, child)
		i = child
	}
}
