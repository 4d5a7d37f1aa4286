package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// SetOptions replaces the options for requests that arrive from now on.
func (g *Gateway) SetOptions(opts Options) {
	g.opts.Store(&opts)
	g.priorities.SetOptions(priorityOptions(opts))
	g.stats.registerShares(g.priorities)
}

// SetConfig applies a configuration unless its version is not newer than the current one, and
// reports whether it did. Requests in flight keep the version that they started with.
func (g *Gateway) SetConfig(c *routing.Config) bool {
	if current := g.config.Load(); current != nil && c.Version <= current.Version {
		return false
	}
	limits := make(map[string]int, len(c.Services))
	cold := make(map[string]replica.ColdLimit)
	for name, s := range c.Services {
		limits[name] = s.MaxConns
		if s.ColdRequestsPerSecond > 0 {
			cold[name] = g.coldLimit(s)
		}
	}
	g.table.SetMaxConns(limits)
	g.table.SetColdLimits(cold)
	g.table.SetAllowedRegions(routeRegions(c))
	g.table.SetShards(shardOnlyServices(c))
	g.splitter.Reset()
	g.setPriorityRoutes(c)
	if g.config.Swap(c) == nil {
		close(g.configured)
	}
	return true
}

// coldLimit returns the limit on the requests of all instances together to a cold leaf of a
// service.
func (g *Gateway) coldLimit(s routing.Service) replica.ColdLimit {
	opts := g.opts.Load()
	return replica.ColdLimit{PerSecond: s.ColdRequestsPerSecond*opts.ColdFactor + opts.ColdSlack, Duration: s.ColdDuration}
}

// routeRegions returns the regions to which routes are restricted, by route name.
func routeRegions(c *routing.Config) map[string][]string {
	out := make(map[string][]string)
	c.Routes(func(r *routing.Route) bool {
		if len(r.AllowedRegions) > 0 {
			out[r.Name] = r.AllowedRegions
		}
		return true
	})
	return out
}

// shardOnlyServices returns the services that are requested only as shards of gather queries
// and never as the target of a single request.
func shardOnlyServices(c *routing.Config) map[string]bool {
	out := make(map[string]bool)
	c.Routes(func(r *routing.Route) bool {
		for _, name := range r.Shards {
			out[name] = true
		}
		return true
	})
	c.Routes(func(r *routing.Route) bool {
		for _, target := range r.Targets {
			delete(out, target.Service)
		}
		return true
	})
	return out
}

// firstConfigTimeout is how long a request waits for the first configuration. A starting
// process reads it within about 50 ms; refusing requests meanwhile would keep callers away for
// longer than that. When the store is unavailable, requests are refused after this time.
const firstConfigTimeout = 200 * time.Millisecond

// awaitConfig returns the current configuration and waits up to firstConfigTimeout for the
// first one. It returns nil if there is none by then.
func (g *Gateway) awaitConfig(ctx context.Context) *routing.Config {
	if c := g.config.Load(); c != nil {
		return c
	}
	timer := time.NewTimer(firstConfigTimeout)
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.config.Load()
}
