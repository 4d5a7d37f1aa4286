package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPauseSeenByFirstRequest checks that the first request after a pause
// is refused even when it is read before the tick runs, and that settling
// lasts until it is ended.
//
// Symptom: a request that waited in a socket buffer while the process was
// paused is served on wake-up.
// Sequence: the clock jumps past the limit; a request is checked before any
// tick; ticks and requests follow.
// Cause it guards against: a guard that only the tick consults.
func TestPauseSeenByFirstRequest(t *testing.T) {
	var now time.Duration = time.Hour
	g := newPauseGuard(2 * time.Second)
	g.now = func() time.Duration { return now }
	g.start()
	now += 1900 * time.Millisecond
	require.False(t, g.check(), "a late tick is no pause")
	now += 200 * time.Millisecond
	require.True(t, g.check(), "the first request sees the gap")
	require.True(t, g.beat(), "the tick goes on settling")
	require.True(t, g.check())
	now += 300 * time.Millisecond
	require.Equal(t, 300*time.Millisecond, g.settledFor())
	g.settled()
	require.False(t, g.check())
}
