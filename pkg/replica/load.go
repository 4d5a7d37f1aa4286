package replica

import (
	"fmt"
	"time"
)

// Load is what a leaf says of itself with a reply.
type Load struct {
	// Running and Waiting are its requests, of all callers, and Slots how many run at once.
	Running, Waiting, Slots int
	// Slowdown is how long work takes on its machine now, in multiples of the usual time; zero: not
	// said.
	Slowdown float64
}

// Bounds of what a leaf may say.
const (
	loadMost = 1 << 20
	paceMost = 1000
)

// Validate reports what keeps a load from being one.
func (l Load) Validate() error {
	switch {
	case l.Running < 0 || l.Running > loadMost:
		return fmt.Errorf("%d requests running", l.Running)
	case l.Waiting < 0 || l.Waiting > loadMost:
		return fmt.Errorf("%d requests waiting", l.Waiting)
	case l.Slots < 1 || l.Slots > loadMost:
		return fmt.Errorf("%d slots", l.Slots)
	case !(l.Slowdown >= 0 && l.Slowdown <= paceMost):
		return fmt.Errorf("pace of %g times the usual", l.Slowdown)
	}
	return nil
}

// String is the load in logs.
func (l Load) String() string {
	return fmt.Sprintf("%d running, %d waiting, %d slots, pace %.2f", l.Running, l.Waiting, l.Slots, l.Slowdown)
}

// RecordLoad takes over what the leaf of a call has said of itself.
func (t *Table) RecordLoad(c *Call, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.leafs[c.Leaf.ID]; r != nil && r == c.row {
		r.load, r.loadAt = load, now
	}
}

// LoadOf is what a leaf has said of itself last, and how long ago; ok is false if it has not.
func (t *Table) LoadOf(id string, now time.Time) (load Load, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil || r.loadAt.IsZero() {
		return Load{}, 0, false
	}
	return r.load, now.Sub(r.loadAt), true
}
