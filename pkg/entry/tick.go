package entry

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// runTicks runs the periodic tasks (pause detection and the gateway's upkeep) once per
// tick until ctx ends.
func (e *Entry) runTicks(ctx context.Context) {
	t := time.NewTicker(settings.Duration(e.settings.TickMs))
	defer t.Stop()
	for {
		e.checkForPause(ctx)
		e.gateway.Tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
