package entry

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/platform"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// instancePollTicks is how many ticks pass between reads of the platform's
// instance list; reads are capped across the whole fleet.
const instancePollTicks = 10

// runTicks runs the systems over the tables once a tick until ctx ends.
func (e *Entry) runTicks(ctx context.Context) {
	t := time.NewTicker(settings.Duration(e.set.TickMs))
	defer t.Stop()
	for n := 0; ; n++ {
		if n%instancePollTicks == 0 {
			e.syncInstances(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// followConfig makes the backend table follow a configuration about to be
// put in force.
func (e *Entry) followConfig(cfg *topology.Config) {
	if e.backends.sync(cfg) {
		e.log.WithField("version", cfg.Version).Info("backend table follows configuration")
	}
}

// syncInstances marks backend servers that the platform lists as leaving.
func (e *Entry) syncInstances(ctx context.Context) {
	list, err := platform.Instances(ctx, e.ctlHTTP, e.set.Platform)
	if err != nil {
		return
	}
	now := time.Now()
	hold := settings.Duration(e.set.LeavingHoldMs)
	for _, inst := range list.Instances {
		if e.backends.markLeaving(inst.Name, inst.State == wire.InstanceLeaving, now, hold) {
			e.log.WithField("backend", inst.Name).WithField("state", inst.State).Info("instance list changed")
		}
	}
}
