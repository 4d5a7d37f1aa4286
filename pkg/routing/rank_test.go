package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a route without a valid rank that counts as the most urgent one.
func TestMissingAndNegativeRanksAreLeastUrgent(t *testing.T) {
	for _, tc := range []struct {
		published, rank int
		unranked        bool
	}{
		{NoRank, LeastUrgentRank, true},
		{-2, LeastUrgentRank, true},
		{math.MinInt, LeastUrgentRank, true},
		{0, 0, false},
		{7, 7, false},
		{LeastUrgentRank, LeastUrgentRank, false},
		{math.MaxInt, LeastUrgentRank, false},
	} {
		published := &Route{Name: "r", Host: "h", Prefix: "/p/", Priority: tc.published}
		r := NewConfig(1, []*Route{published}, nil, Limits{}).Match("h", "/p/x")
		require.Equal(t, tc.rank, r.Priority)
		require.Equal(t, tc.unranked, r.Unranked)
		require.Equal(t, "r", r.Name)
		require.Equal(t, tc.published, published.Priority, "the caller's route is unchanged")
	}
}

// Guards against an operator who is not told which routes lack a rank, or is told about others.
func TestUnrankedRoutesAreCounted(t *testing.T) {
	routes := []*Route{{Name: "a"}, {Name: "c", Host: "c", Priority: NoRank}, {Name: "b", Priority: -7}, {Name: "d", Priority: LeastUrgentRank}}
	count, example := NewConfig(1, routes, nil, Limits{}).UnrankedRoutes()
	require.Equal(t, 2, count)
	require.Equal(t, "b", example)
	count, example = NewConfig(1, routes[:1], nil, Limits{}).UnrankedRoutes()
	require.Zero(t, count)
	require.Empty(t, example)
}
