package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against serving a request that waited in a socket buffer while the process was
// paused. This happens if only the tick checks for a pause and a request is read
// before the first tick after the pause. The test also checks that settling lasts until
// it is ended.
func TestFirstRequestAfterPauseIsRefused(t *testing.T) {
	var now time.Duration = time.Hour
	d := newPauseDetector(2 * time.Second)
	d.now = func() time.Duration { return now }
	d.resetTick()
	now += 1900 * time.Millisecond
	require.False(t, d.isSettling(), "a late tick was taken for a pause")
	now += 200 * time.Millisecond
	require.True(t, d.isSettling(), "the first request after a pause did not detect it")
	require.True(t, d.recordTick(), "the tick ended settling")
	require.True(t, d.isSettling())
	now += 300 * time.Millisecond
	require.Equal(t, 300*time.Millisecond, d.settlingDuration())
	d.endSettling()
	require.False(t, d.isSettling())
}
