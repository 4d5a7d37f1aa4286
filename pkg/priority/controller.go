// Package priority decides which queries are refused in favour of more urgent queries to the same
// shards. It does no I/O and reads no clock: callers pass the current time.
//
// It is designed for the following overload. Two classes of queries use the same leafs at 1.5 times
// their capacity. A full leaf queue takes 90 ms to drain, which a query with a target of 150 ms
// tolerates, but one with a target of 50 ms does not. Without ranks, the urgent class, an eighth of
// the work, was served in time in a quarter of the cases only. Refusing a part of the less urgent
// queries keeps the queues short enough for the urgent ones.
package priority

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Scope says which groups of routes are controlled.
type Scope int

const (
	// UrgentGroups are the groups that contain a route of rank 0 and one of another rank.
	UrgentGroups Scope = iota
	// MixedGroups are all groups that contain different ranks.
	MixedGroups
	// NoGroups means that no group is controlled.
	NoGroups
)

// Options are the settings of the controller.
type Options struct {
	Scope Scope
	// MinShare is the minimum admitted share (0 to 1) of a less urgent rank.
	MinShare float64
}

// Caller says whether the caller of a query was refused before.
type Caller int

const (
	// NewCaller sends its query for the first time.
	NewCaller Caller = iota
	// ReturningCaller was refused before and is retrying.
	ReturningCaller
	// PromisedCaller is retrying at a time for which capacity was promised to it.
	PromisedCaller
	// EarlyCaller is retrying before the time that it was told to wait for. It is not preferred to new
	// callers, and accrues no credit as long as refused callers are expected back.
	EarlyCaller
)

// Decision says whether a query is admitted. If it is not, the other fields say why.
type Decision struct {
	Admitted bool
	// Controlled reports whether the route belongs to a controlled group. Rank is the route's rank
	// and Share the admitted share (0 to 1) of that rank.
	Controlled bool
	Rank       int
	Share      float64
	// Favored is the name of the more urgent route that needs the capacity. Pressure is its latency
	// as a fraction of its target latency, last measured PressureAge ago.
	Favored     string
	Pressure    float64
	PressureAge time.Duration
}

// Sample is the outcome of one query.
type Sample struct {
	// Latency is the time from the arrival of the query until the fraction of the shards that
	// MeasuredShare returns was covered.
	Latency time.Duration
	// Missed reports that so many shards were never covered, or that the query was refused because
	// of overload. Latency is ignored then.
	Missed bool
}

// Controller holds the admitted share of each rank in each group of routes that use the same
// shards. It is safe for concurrent use. Its size is bounded by the number of routes.
type Controller struct {
	// mu serializes changes of opts, routes and layout.
	mu     sync.Mutex
	opts   Options
	routes []*routing.Route
	layout atomic.Pointer[layout]
}

// layout is the current assignment of routes to groups. It is immutable; the groups are not.
type layout struct {
	// members holds the routes of controlled groups by name.
	members map[string]*member
	groups  []*group
}

// New returns a controller without routes, which admits every query.
func New(opts Options) *Controller {
	c := &Controller{opts: opts}
	c.layout.Store(&layout{})
	return c
}

// SetOptions replaces the options.
func (c *Controller) SetOptions(opts Options) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts = opts
	c.rebuild()
}

// SetRoutes replaces the routes, which are those of a routing.Config and have valid ranks. Groups
// whose routes and ranks are unchanged keep their state.
func (c *Controller) SetRoutes(routes []*routing.Route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes = nil
	for _, r := range routes {
		if r.Kind == routing.Gather {
			c.routes = append(c.routes, r)
		}
	}
	c.rebuild()
}

// Admit decides whether a query of a route may run. It must be called once for each query.
func (c *Controller) Admit(route string, caller Caller, now time.Time) Decision {
	m := c.layout.Load().members[route]
	if m == nil {
		return Decision{Admitted: true, Share: 1}
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.group.admit(m, caller, now)
}

// Observe records the outcome of a query of a route.
func (c *Controller) Observe(route string, s Sample, now time.Time) {
	m := c.layout.Load().members[route]
	if m == nil {
		return
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.signal.observe(s, m.target, m.group.reduced(), now)
	m.group.step(now)
}

// MeasuredShare returns the fraction of its shards (0 to 1) until whose coverage the latency of a
// route's queries must be measured: the smallest fraction that its group requires, so that the
// latencies of different routes say the same about the leafs. It is 0 for a route that is not
// controlled.
func (c *Controller) MeasuredShare(route string) float64 {
	m := c.layout.Load().members[route]
	if m == nil {
		return 0
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.group.measuredShare
}

// Reduced reports whether only a part of the route's queries is admitted.
func (c *Controller) Reduced(route string) bool {
	m := c.layout.Load().members[route]
	if m == nil {
		return false
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.rank.share < 1
}
