package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a route without a valid rank that counts as the most urgent one.
func TestMissingAndNegativeRanksAreLeastUrgent(t *testing.T) {
	for _, tc := range []struct {
		published *int
		rank      int
		ok        bool
	}{
		{nil, LeastUrgentRank, false},
		{new(-1), LeastUrgentRank, false},
		{new(math.MinInt), LeastUrgentRank, false},
		{new(0), 0, true},
		{new(7), 7, true},
		{new(math.MaxInt), LeastUrgentRank, true},
	} {
		rank, ok := RankOf(tc.published)
		require.Equal(t, tc.rank, rank)
		require.Equal(t, tc.ok, ok)
	}
}

// Guards against an operator who is not told which routes lack a rank, or is told about others.
func TestUnrankedRoutesAreCounted(t *testing.T) {
	unranked := func(name string) *Route {
		return &Route{Name: name, Host: name, Priority: LeastUrgentRank, Unranked: true}
	}
	routes := []*Route{{Name: "a"}, unranked("c"), unranked("b"), {Name: "d", Priority: LeastUrgentRank}}
	count, example := NewConfig(1, routes, nil, Limits{}).UnrankedRoutes()
	require.Equal(t, 2, count)
	require.Equal(t, "b", example)
	count, example = NewConfig(1, routes[:1], nil, Limits{}).UnrankedRoutes()
	require.Zero(t, count)
	require.Empty(t, example)
}
