package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The key depends on where one part ends and the next begins, and a request without a key shows
// none.
func TestKeyDependsOnPartBoundaries(t *testing.T) {
	require.Equal(t, KeyOf("GET", "/a", ""), KeyOf("GET", "/a", ""))
	require.NotEqual(t, KeyOf("GET", "/a", "b"), KeyOf("GET", "/ab", ""))
	require.NotEqual(t, KeyOf("a"), KeyOf("a", ""))
	require.Len(t, KeyOf("a").String(), 2*keyPrefixBytes)
	require.Empty(t, Key{}.String())
}
