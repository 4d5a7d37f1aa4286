package replica

import (
	"fmt"
	"time"
)

// Load is the load that a leaf reports with a reply.
type Load struct {
	// Running and Waiting are the numbers of the leaf's requests from all callers. Slots is the
	// number of requests that it runs at the same time.
	Running, Waiting, Slots int
	// Slowdown is how long work currently takes on the leaf's machine, as a multiple of the
	// usual time. Zero means that it was not reported.
	Slowdown float64
}

// Largest values accepted in a reported load.
const (
	// maxLoadCount is the maximum of the numbers of requests and slots.
	maxLoadCount = 1 << 20
	maxSlowdown  = 1000
)

// Validate returns an error if a value of the load is out of range.
func (l Load) Validate() error {
	switch {
	case l.Running < 0 || l.Running > maxLoadCount:
		return fmt.Errorf("number of running requests out of range: %d", l.Running)
	case l.Waiting < 0 || l.Waiting > maxLoadCount:
		return fmt.Errorf("number of waiting requests out of range: %d", l.Waiting)
	case l.Slots < 1 || l.Slots > maxLoadCount:
		return fmt.Errorf("number of slots out of range: %d", l.Slots)
	case !(l.Slowdown >= 0 && l.Slowdown <= maxSlowdown):
		return fmt.Errorf("slowdown out of range: %g times the usual time", l.Slowdown)
	}
	return nil
}

// String formats the load for logs.
func (l Load) String() string {
	return fmt.Sprintf("%d running, %d waiting, %d slots, pace %.2f", l.Running, l.Waiting, l.Slots, l.Slowdown)
}

// RecordLoad stores the load that the leaf of a call has reported.
func (t *Table) RecordLoad(c *Call, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.leafs[c.Leaf.ID]; r != nil && r == c.record {
		r.load, r.loadAt = load, now
	}
}

// LoadOf returns the load that a leaf last reported, and its age. It returns ok false if the
// leaf has not reported any.
func (t *Table) LoadOf(id string, now time.Time) (load Load, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil || r.loadAt.IsZero() {
		return Load{}, 0, false
	}
	return r.load, now.Sub(r.loadAt), true
}
