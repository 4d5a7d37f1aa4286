package entry

import (
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// leavingMarks remembers when each backend server was found to be leaving.
type leavingMarks struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func newLeavingMarks() *leavingMarks { return &leavingMarks{since: make(map[string]time.Time)} }

// set notes that a backend server was found to be leaving.
func (m *leavingMarks) set(backend string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.since[backend] = now
}

// youngerThan reports whether a backend server was found to be leaving less than
// age ago.
func (m *leavingMarks) youngerThan(age time.Duration, backend string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, ok := m.since[backend]
	return ok && now.Sub(since) < age
}

// backendLeaves takes over that a backend server says that it is leaving.
func (e *Entry) backendLeaves(backend string) {
	if !e.table.SetDraining(backend, true) {
		return
	}
	e.marks.set(backend, time.Now())
	e.log.WithField("backend", backend).Info("backend server leaving")
}

// followInstance marks a backend server the platform lists as leaving, or
// as live again. The list lags: a server that told us itself that it is leaving
// would be shown live again by an old row, so a mark is cleared only once it is
// older than the hold time.
func (e *Entry) followInstance(inst wire.Instance) {
	if inst.State == wire.InstanceLeaving {
		e.backendLeaves(inst.Name)
		return
	}
	if e.marks.youngerThan(settings.Duration(e.set.LeavingHoldMs), inst.Name, time.Now()) {
		return
	}
	if e.table.SetDraining(inst.Name, false) {
		e.log.WithField("backend", inst.Name).WithField("state", inst.State).Info("instance list changed")
	}
}
