package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A timeout below the usual one identifies a retry. A few longer timeouts and many retries do
// not change the usual timeout.
func TestRetryIsDetectedByShorterTimeout(t *testing.T) {
	table := newCallerTimeouts()
	isRetry := func(route string, timeout time.Duration) bool {
		return table.reduction(route, timeout) >= timeoutResolution
	}
	const usual = 3 * time.Second
	require.False(t, isRetry("r", usual), "first request of the route")
	for i := range 100 {
		if i%10 == 0 {
			isRetry("r", 10*usual)
		}
		require.False(t, isRetry("r", usual))
		require.True(t, isRetry("r", usual-250*time.Millisecond))
		require.True(t, isRetry("r", usual-3*time.Millisecond))
	}
	require.False(t, isRetry("r", 0), "no timeout stated")
	require.False(t, isRetry("other", time.Second))
}
