package entry

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// runTicks runs the systems over the tables once a tick until ctx ends.
func (e *Entry) runTicks(ctx context.Context) {
	t := time.NewTicker(settings.Duration(e.set.TickMs))
	defer t.Stop()
	for {
		e.watchForPauses(ctx)
		e.reviveBackends()
		e.backends.refreshLatency()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// reviveBackends logs backend servers whose down mark has expired, the
// moment the fan-out may try them again.
func (e *Entry) reviveBackends() {
	for _, name := range e.backends.revive(time.Now()) {
		e.log.WithField("backend", name).Info("backend server may be tried again")
	}
}

// followConfig makes the backend table follow a configuration about to be
// put in force.
func (e *Entry) followConfig(cfg *topology.Config) {
	if e.backends.sync(cfg) {
		e.log.WithField("version", cfg.Version).Info("backend table follows configuration")
	}
}

// followInstance marks a backend server the platform lists as leaving, or
// as live again.
func (e *Entry) followInstance(inst wire.Instance) {
	hold := settings.Duration(e.set.LeavingHoldMs)
	if e.backends.markLeaving(inst.Name, inst.State == wire.InstanceLeaving, time.Now(), hold) {
		e.log.WithField("backend", inst.Name).WithField("state", inst.State).Info("instance list changed")
	}
}
