package feed

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against: an instance that waits for good for changes that a peer believes to have sent, and
// against one that asks for them over and over.
func TestMissedChangesAreAskedForOnce(t *testing.T) {
	now := bookStart
	var s Subscription
	require.False(t, s.Observe(at(9), at(5), now), "they may still be under way")
	require.True(t, s.Observe(at(9), at(5), now.Add(askAgain)))
	s.Renew(now.Add(askAgain))
	require.False(t, s.Observe(at(9), at(5), now.Add(askAgain)))
	require.False(t, s.Observe(at(9), at(5), now.Add(2*askAgain-1)))
	require.True(t, s.Observe(at(9), at(5), now.Add(2*askAgain)))
	require.False(t, s.Observe(at(12), at(9), now.Add(9*askAgain)), "what it named before is known")
	require.True(t, s.Observe(at(12), at(11), now.Add(9*askAgain)))
}
