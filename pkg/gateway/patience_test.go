package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Who has used a part of the usual patience is known; a few more patient callers, and
// many that come again, do not change what is usual.
func TestCallersThatComeAgainAreKnown(t *testing.T) {
	table := newPatienceTable()
	const usual = 3 * time.Second
	require.False(t, table.Returned("r", usual), "the first of all")
	for i := range 100 {
		if i%10 == 0 {
			table.Returned("r", 10*usual)
		}
		require.False(t, table.Returned("r", usual))
		require.True(t, table.Returned("r", usual-250*time.Millisecond))
		require.True(t, table.Returned("r", usual-3*time.Millisecond))
	}
	require.False(t, table.Returned("r", 0), "not said")
	require.False(t, table.Returned("other", time.Second))
}
