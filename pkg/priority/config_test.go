package priority

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Guards against control where no route calls for it, and against settings without effect.
func TestScope(t *testing.T) {
	rank := func(name string, n int) *routing.Route { return gatherRoute(name, n, urgentTarget, "s") }
	for name, tc := range map[string]struct {
		scope  Scope
		routes []*routing.Route
		want   int
	}{
		"rank 0 and another":         {UrgentGroups, []*routing.Route{rank("x", 0), rank("y", 3)}, 1},
		"no rank 0":                  {UrgentGroups, []*routing.Route{rank("x", 1), rank("y", 2)}, 0},
		"no rank 0, on":              {MixedGroups, []*routing.Route{rank("x", 1), rank("y", 2)}, 1},
		"off":                        {NoGroups, []*routing.Route{rank("x", 0), rank("y", 3)}, 0},
		"equal ranks":                {MixedGroups, []*routing.Route{rank("x", 0), rank("y", 0)}, 0},
		"no shared service":          {MixedGroups, []*routing.Route{rank("x", 0), gatherRoute("y", 1, urgentTarget, "t")}, 0},
		"connected by a third":       {UrgentGroups, []*routing.Route{rank("x", 0), gatherRoute("y", 1, urgentTarget, "t"), gatherRoute("z", 1, urgentTarget, "t", "s")}, 1},
		"no routes":                  {MixedGroups, nil, 0},
		"a single request's route":   {UrgentGroups, []*routing.Route{rank("x", 0), {Name: "y", Priority: 1, Targets: []routing.Target{{Service: "s"}}}}, 0},
		"the same name in two hosts": {UrgentGroups, []*routing.Route{rank("x", 0), rank("x", 1)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(Options{Scope: tc.scope, MinShare: 0.3}, tc.routes...)
			require.Len(t, h.Dump(h.now), tc.want)
			require.Equal(t, tc.want > 0, h.Admit("x", NewCaller, h.now).Controlled)
			require.Equal(t, tc.want > 0, h.MeasuredShare("x") > 0)
		})
	}
}

// Guards against a route without a published rank that is favored as the most urgent one, that is
// exempt from refusals, or that changes anything where no route has a rank.
func TestUnrankedRoutesAreLeastUrgent(t *testing.T) {
	unranked := func(name string) *routing.Route {
		r := gatherRoute(name, routing.LeastUrgentRank, urgentTarget, "a")
		r.Unranked = true
		return r
	}
	h := newHarness(defaults(), append(twoRanks(), unranked("bad"))...)
	h.run(time.Second, missed, "urgent", "other", "bad")
	require.True(t, h.Reduced("bad"))
	require.LessOrEqual(t, h.share("bad"), h.share("other"))
	require.False(t, h.Reduced("urgent"))
	require.Equal(t, []int{0, 1, routing.LeastUrgentRank}, h.Ranks())

	for _, scope := range []Scope{UrgentGroups, MixedGroups} {
		h = newHarness(Options{Scope: scope, MinShare: 0.3}, unranked("x"), unranked("y"))
		h.run(time.Second, missed, "x", "y")
		require.Empty(t, h.Dump(h.now))
		require.Equal(t, Decision{Admitted: true, Share: 1}, h.Admit("x", NewCaller, h.now))
	}
}

// Guards against a share that is lost, or kept for other routes, by a change of the configuration.
func TestConfigurationChange(t *testing.T) {
	reduced := func() *harness {
		h := newHarness(defaults(), append(twoRanks(), gatherRoute("u2", 0, urgentTarget, "x"), gatherRoute("o2", 1, urgentTarget, "x"))...)
		h.run(time.Second, missed, "urgent", "other")
		require.True(t, h.Reduced("other"))
		return h
	}
	other := []*routing.Route{gatherRoute("u2", 0, urgentTarget, "x"), gatherRoute("o2", 1, urgentTarget, "x")}

	h := reduced()
	share := h.share("other")
	h.SetRoutes(twoRanks())
	require.Equal(t, share, h.share("other"), "another group was removed")
	h.SetRoutes([]*routing.Route{gatherRoute("urgent", 0, 2*urgentTarget, "a", "d"), gatherRoute("other", 1, otherTarget, "d", "e", "f")})
	require.Equal(t, share, h.share("other"), "shards and targets have changed")
	h.SetOptions(Options{MinShare: 0.5})
	require.Equal(t, 0.5, h.share("other"), "the minimum share was raised")

	h = reduced()
	h.SetRoutes(append([]*routing.Route{gatherRoute("urgent", 1, urgentTarget, "a", "b"), gatherRoute("other", 0, otherTarget, "b")}, other...))
	require.Equal(t, 1.0, h.share("urgent"), "the ranks were exchanged")
	require.False(t, h.Reduced("other"))
	h.run(time.Second, missed, "urgent", "other")
	require.True(t, h.Reduced("urgent"))
	require.False(t, h.Reduced("other"))

	h = reduced()
	h.SetRoutes(append([]*routing.Route{gatherRoute("other", 1, otherTarget, "b")}, other...))
	require.False(t, h.Reduced("other"), "the urgent route was removed")
	require.False(t, h.Admit("other", NewCaller, h.now).Controlled)

	h = reduced()
	h.SetOptions(Options{Scope: NoGroups, MinShare: 0.3})
	require.True(t, h.Admit("other", NewCaller, h.now).Admitted)
	require.False(t, h.Reduced("other"))
}

// Guards against data races between decisions and changes of the configuration, and against groups
// that are kept after their routes were removed.
func TestConcurrentUse(t *testing.T) {
	c := New(defaults())
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			now := epoch
			for n := range 500 {
				now = now.Add(time.Millisecond)
				c.Admit("other", Caller(n%3), now)
				c.Observe("urgent", Sample{Missed: true}, now)
				c.Reduced("other")
				c.Tick(now)
				c.Dump(now)
				c.MinShare(func(int) bool { return true })
				if n%50 == 0 && i == 0 {
					c.SetRoutes(twoRanks()[:1+n/50%2])
				}
			}
		}()
	}
	wg.Wait()
	require.LessOrEqual(t, len(c.Dump(epoch)), 1)
}
