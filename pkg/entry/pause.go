package entry

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/indigoyoke/indigoyoke/pkg/service"
)

// Limits of the settling period after a pause.
const (
	// minSettleTime is the minimum duration of settling: the requests that waited in
	// socket buffers while the process was paused are read, and refused, before new
	// ones are served. It is also the retry interval for asking the configuration
	// service.
	minSettleTime = 100 * time.Millisecond
	// maxSettleTime is the maximum time to wait for the configuration service, so that
	// a zone that is partitioned from the service continues to serve.
	maxSettleTime = time.Second
)

// pauseDetector detects that the process was paused (stopped, descheduled, or its
// machine suspended) and resumed late. Two failures follow such a pause. The timeout
// of a request that waited in a socket buffer counts from when it is read, so a hold
// would run long after its caller disconnected. And the first answers would come from
// the configuration of before the pause. Either way, the answers would differ from
// those of the other entry instances for a moment.
//
// Each tick records its time. A gap since the last tick that exceeds the limit, found
// by the next tick or by the first request, starts a settling period, during which
// every request is refused without being run.
type pauseDetector struct {
	// limit is the longest gap between ticks that is not taken for a pause.
	limit time.Duration
	// now returns the time since boot; it is replaced in tests.
	now func() time.Duration
	// lastTick is when the last tick was recorded, in nanoseconds since boot.
	lastTick atomic.Int64
	// settlingSince is when settling began, in nanoseconds since boot; 0: not settling.
	settlingSince atomic.Int64
}

func newPauseDetector(limit time.Duration) *pauseDetector {
	return &pauseDetector{limit: limit, now: sinceBoot}
}

// resetTick sets the time of the last tick to now, without checking for a pause.
func (d *pauseDetector) resetTick() { d.lastTick.Store(int64(d.now())) }

// sinceBoot returns the time since boot, from the clock that also runs while the
// machine is suspended and that changes of the wall clock do not affect.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// isSettling reports whether the process is settling after a pause. It reads the clock
// itself and starts settling if the last tick is too long ago, because the first
// request after a pause may be read before the next tick runs.
func (d *pauseDetector) isSettling() bool {
	if d.settlingSince.Load() != 0 {
		return true
	}
	now := d.now()
	if now-time.Duration(d.lastTick.Load()) <= d.limit {
		return false
	}
	d.settlingSince.CompareAndSwap(0, int64(now))
	return true
}

// recordTick records a tick and reports whether the process is settling.
func (d *pauseDetector) recordTick() bool {
	paused := d.isSettling()
	d.resetTick()
	return paused
}

func (d *pauseDetector) endSettling() { d.settlingSince.Store(0) }

// settlingDuration returns how long the process has been settling.
func (d *pauseDetector) settlingDuration() time.Duration {
	return d.now() - time.Duration(d.settlingSince.Load())
}

// settleAfterPause ends settling once the configuration is confirmed to be the newest
// that the configuration service has, or after maxSettleTime without an answer.
func (e *Entry) settleAfterPause(ctx context.Context) {
	e.stats.pauses.Inc()
	e.log.Info("woke from a pause: refusing until the configuration is confirmed")
	ctx, cancel := context.WithTimeout(ctx, maxSettleTime)
	defer cancel()
	confirmed := false
	for !confirmed && ctx.Err() == nil {
		confirmed = e.watcher.Refresh(ctx) == nil
		if !confirmed {
			service.Sleep(ctx, minSettleTime)
		}
	}
	if left := minSettleTime - e.pauseDetector.settlingDuration(); left > 0 {
		service.Sleep(ctx, left)
	}
	e.pauseDetector.endSettling()
	e.log.WithField("confirmed", confirmed).Info("settled after a pause")
}

// checkForPause is called each tick. After a pause it blocks until settling has ended.
func (e *Entry) checkForPause(ctx context.Context) {
	if e.pauseDetector.recordTick() {
		e.settleAfterPause(ctx)
		e.pauseDetector.recordTick()
	}
}
