package feed

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an instance that waits forever for changes that a peer believes it has sent, and
// against one that requests them over and over.
func TestMissedChangesAreRequestedOnce(t *testing.T) {
	now := testStart
	var s Subscription
	require.False(t, s.Observe(at(9), at(5), now), "the changes may still be in flight")
	require.True(t, s.Observe(at(9), at(5), now.Add(renewInterval)))
	s.Renew(now.Add(renewInterval))
	require.False(t, s.Observe(at(9), at(5), now.Add(renewInterval)))
	require.False(t, s.Observe(at(9), at(5), now.Add(2*renewInterval-1)))
	require.True(t, s.Observe(at(9), at(5), now.Add(2*renewInterval)))
	require.False(t, s.Observe(at(12), at(9), now.Add(9*renewInterval)), "the position claimed before is known")
	require.True(t, s.Observe(at(12), at(11), now.Add(9*renewInterval)))
}
