package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Parts are told apart wherever one ends, and a request without a key shows none.
func TestKeys(t *testing.T) {
	require.Equal(t, KeyOf("GET", "/a", ""), KeyOf("GET", "/a", ""))
	require.NotEqual(t, KeyOf("GET", "/a", "b"), KeyOf("GET", "/ab", ""))
	require.NotEqual(t, KeyOf("a"), KeyOf("a", ""))
	require.Len(t, KeyOf("a").String(), 2*shownBytes)
	require.Empty(t, Key{}.String())
}
