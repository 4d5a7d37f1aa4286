package entry

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// runTicks runs the systems over the tables once a tick until ctx ends.
func (e *Entry) runTicks(ctx context.Context) {
	t := time.NewTicker(settings.Duration(e.set.TickMs))
	defer t.Stop()
	for {
		e.watchForPauses(ctx)
		e.gateway.Tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
