package entry

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/indigoyoke/indigoyoke/pkg/service"
)

// Bounds of settling after a pause.
const (
	// settleMin lets the requests that waited in socket buffers while the
	// process was paused be read, and refused, before new ones are served.
	settleMin = 100 * time.Millisecond
	// settleMax bounds the wait for the configuration service: a zone cut
	// off from it goes on serving what it can.
	settleMax = time.Second
)

// pauseGuard notices that the process was paused (stopped, descheduled, or
// its machine suspended) and woke up late. Two things go wrong then: a
// request that waited in a socket buffer has its timeout counted from when
// it is read, so a hold runs long after its caller left; and the first
// answers come from the configuration of before the pause. Both show as
// answers that differ from those of the other entry instances for a moment.
// The tick beats the guard; a gap between beats longer than the limit, seen
// by the tick or by the first request, starts settling, during which every
// request is refused unrun.
type pauseGuard struct {
	limit    time.Duration
	now      func() time.Duration
	lastBeat atomic.Int64
	// settling is when settling began, 0 when it is over.
	settling atomic.Int64
}

func newPauseGuard(limit time.Duration) *pauseGuard {
	return &pauseGuard{limit: limit, now: sinceBoot}
}

// start sets the first beat.
func (g *pauseGuard) start() { g.lastBeat.Store(int64(g.now())) }

// sinceBoot reads the clock that runs on while the machine is suspended and
// that no change of the time of day moves.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// check reports whether the process is settling after a pause. It looks at
// the clock itself, because the first request after a wake-up may be read
// before the tick runs.
func (g *pauseGuard) check() bool {
	if g.settling.Load() != 0 {
		return true
	}
	now := g.now()
	if now-time.Duration(g.lastBeat.Load()) <= g.limit {
		return false
	}
	g.settling.CompareAndSwap(0, int64(now))
	return true
}

// beat is called each tick and reports whether settling is going on.
func (g *pauseGuard) beat() bool {
	paused := g.check()
	g.start()
	return paused
}

// settled ends settling.
func (g *pauseGuard) settled() { g.settling.Store(0) }

// settledFor is how long settling has been going on.
func (g *pauseGuard) settledFor() time.Duration {
	return g.now() - time.Duration(g.settling.Load())
}

// settleAfterPause ends settling once the configuration is known to be the
// newest the service has, or the service could not be asked in time.
func (e *Entry) settleAfterPause(ctx context.Context) {
	e.stats.pauses.Inc()
	e.log.Info("woke from a pause: refusing until the configuration is confirmed")
	ctx, cancel := context.WithTimeout(ctx, settleMax)
	defer cancel()
	confirmed := false
	for !confirmed && ctx.Err() == nil {
		confirmed = e.watcher.Refresh(ctx) == nil
		if !confirmed {
			service.Sleep(ctx, settleMin)
		}
	}
	if left := settleMin - e.pause.settledFor(); left > 0 {
		service.Sleep(ctx, left)
	}
	e.pause.settled()
	e.log.WithField("confirmed", confirmed).Info("settled after a pause")
}

// watchForPauses beats the guard each tick and settles after a pause.
func (e *Entry) watchForPauses(ctx context.Context) {
	if e.pause.beat() {
		e.settleAfterPause(ctx)
		e.pause.beat()
	}
}
