package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatchLongestPrefix(t *testing.T) {
	c := NewConfig(3, []*Route{
		{Name: "a", Host: "x.example", Prefix: "/a/"},
		{Name: "ab", Host: "x.example", Prefix: "/a/b/"},
		{Name: "root", Host: "y.example", Prefix: "/"},
	}, nil, Limits{})
	for _, tc := range []struct{ host, path, want string }{
		{"x.example", "/a/1", "a"},
		{"X.Example:8080", "/a/b/1", "ab"},
		{"x.example", "/a/bc", "a"},
		{"x.example", "/a", ""},
		{"x.example", "/A/1", ""},
		{"x.example", "/a%2Fb/1", ""},
		{"y.example", "/anything", "root"},
		{"z.example", "/a/1", ""},
	} {
		r := c.Match(tc.host, tc.path)
		if tc.want == "" {
			require.Nil(t, r, tc)
			continue
		}
		require.NotNil(t, r, tc)
		require.Equal(t, tc.want, r.Name, tc)
	}
}

func TestSplitterKeepsWeights(t *testing.T) {
	r := &Route{Name: "r", Targets: []Target{{"a", 7}, {"b", 2}, {"c", 1}, {"none", 0}}}
	s := NewSplitter()
	got := map[string]int{}
	for i := 1; i <= 1000; i++ {
		got[s.Pick(r)]++
		for _, target := range r.Targets {
			require.InDelta(t, float64(i)*target.Weight/10, float64(got[target.Service]), 1.5)
		}
	}
	require.Equal(t, map[string]int{"a": 700, "b": 200, "c": 100}, got)
}
