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
	const usual = 3 * time.Second
	require.False(t, table.isRetry("r", usual), "first request of the route")
	for i := range 100 {
		if i%10 == 0 {
			table.isRetry("r", 10*usual)
		}
		require.False(t, table.isRetry("r", usual))
		require.True(t, table.isRetry("r", usual-250*time.Millisecond))
		require.True(t, table.isRetry("r", usual-3*time.Millisecond))
	}
	require.False(t, table.isRetry("r", 0), "no timeout stated")
	require.False(t, table.isRetry("other", time.Second))
}
