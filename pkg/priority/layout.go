package priority

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// rebuild recomputes the groups and keeps those whose routes and ranks are unchanged. The caller
// holds mu.
func (c *Controller) rebuild() {
	known := make(map[string]*group)
	for _, g := range c.layout.Load().groups {
		known[g.key] = g
	}
	next := &layout{members: make(map[string]*member)}
	for _, routes := range connected(c.routes) {
		if !c.opts.Scope.includes(routes) {
			continue
		}
		g := known[keyOf(routes)]
		if g == nil {
			g = newGroup(routes)
		}
		g.update(routes, c.opts.MinShare)
		next.groups = append(next.groups, g)
		for _, m := range g.members {
			next.members[m.name] = m
		}
	}
	c.layout.Store(next)
}

// includes reports whether a group with the given routes is controlled.
func (s Scope) includes(routes []*routing.Route) bool {
	first, last := routes[0].Priority, routes[len(routes)-1].Priority
	return first != last && (s == MixedGroups || s == UrgentGroups && first == 0)
}

// connected returns the sets of routes that are connected through shared services. The routes of
// each set are sorted by rank and name, and the sets by their first route. Of several routes with
// the same name only the first is used.
func connected(routes []*routing.Route) [][]*routing.Route {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, func(a, b *routing.Route) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	parent := make([]int, len(sorted))
	names := make(map[string]bool)
	byService := make(map[string]int)
	for i, r := range sorted {
		parent[i] = i
		for _, service := range r.Shards {
			if j, ok := byService[service]; ok {
				parent[root(parent, i)] = root(parent, j)
			}
			byService[service] = i
		}
	}
	var order []int
	sets := make(map[int][]*routing.Route)
	for i, r := range sorted {
		if names[r.Name] {
			continue
		}
		names[r.Name] = true
		of := root(parent, i)
		if sets[of] == nil {
			order = append(order, of)
		}
		sets[of] = append(sets[of], r)
	}
	out := make([][]*routing.Route, 0, len(order))
	for _, of := range order {
		out = append(out, sets[of])
	}
	return out
}

// root returns the representative of the set of i.
func root(parent []int, i int) int {
	for parent[i] != i {
		parent[i] = parent[parent[i]]
		i = parent[i]
	}
	return i
}

// keyOf returns the key of a group with the given routes: their names and ranks. A change of their
// shards or targets keeps the group, because the load on the leafs continues.
func keyOf(routes []*routing.Route) string {
	var b strings.Builder
	for _, r := range routes {
		fmt.Fprintf(&b, "%d %q\n", r.Priority, r.Name)
	}
	return b.String()
}

// newGroup returns a group that admits everything.
func newGroup(routes []*routing.Route) *group {
	g := &group{key: keyOf(routes)}
	for _, r := range routes {
		if n := len(g.ranks); n == 0 || g.ranks[n-1].value != r.Priority {
			g.ranks = append(g.ranks, &rank{value: r.Priority, share: 1})
		}
		g.members = append(g.members, &member{group: g, rank: g.ranks[len(g.ranks)-1], name: r.Name, credit: initialCredit})
	}
	return g
}

// update applies the targets of the routes, which are those of the group in the same order, and the
// minimum share.
func (g *group) update(routes []*routing.Route, minShare float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.minShare = min(max(minShare, 0), 1)
	for _, r := range g.ranks {
		r.share = max(r.share, g.minShare)
	}
	g.measuredShare = 1
	for i, m := range g.members {
		m.target = routes[i].TargetLatency
		g.measuredShare = min(g.measuredShare, routes[i].MinShardShare)
	}
}
