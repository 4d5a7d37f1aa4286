package entry

import (
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// drainTimes records when each backend server was last marked as draining.
type drainTimes struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func newDrainTimes() *drainTimes { return &drainTimes{since: make(map[string]time.Time)} }

// record sets the time at which a backend server was last marked as draining.
func (d *drainTimes) record(backend string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.since[backend] = now
}

// recordedWithin reports whether a backend server was last marked as draining less than
// age before now.
func (d *drainTimes) recordedWithin(age time.Duration, backend string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.since[backend]
	return ok && now.Sub(since) < age
}

// markDraining marks a backend server as draining, as reported by the server itself or
// by the instance list.
func (e *Entry) markDraining(backend string) {
	if !e.table.SetDraining(backend, true) {
		return
	}
	e.drainTimes.record(backend, time.Now())
	e.log.WithField("backend", backend).Info("backend server leaving")
}

// handleInstanceUpdate applies a row of the platform's instance list: it marks a backend
// server as draining, or as live again. The list lags behind the servers' own replies:
// an outdated row may list a server as live that has already reported that it is
// draining. So the mark is cleared only once it is older than the leaving hold time.
func (e *Entry) handleInstanceUpdate(inst wire.Instance) {
	if inst.State == wire.InstanceLeaving {
		e.markDraining(inst.Name)
		return
	}
	if e.drainTimes.recordedWithin(settings.Duration(e.settings.LeavingHoldMs), inst.Name, time.Now()) {
		return
	}
	if e.table.SetDraining(inst.Name, false) {
		e.log.WithField("backend", inst.Name).WithField("state", inst.State).Info("instance list changed")
	}
}
