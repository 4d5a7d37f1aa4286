package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// SetConfig puts a configuration in force unless it is older than the one in
// force. Requests under way keep the version that they started with.
func (g *Gateway) SetConfig(c *routing.Config) bool {
	if was := g.config.Load(); was != nil && c.Version <= was.Version {
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
	g.table.SetAllowedRegions(homes(c))
	g.table.SetShards(onlyShards(c))
	g.splitter.Reset()
	if g.config.Swap(c) == nil {
		close(g.configured)
	}
	return true
}

// coldLimit is what a cold leaf of a service may get from all instances together.
func (g *Gateway) coldLimit(s routing.Service) replica.ColdLimit {
	opts := g.opts.Load()
	return replica.ColdLimit{PerSecond: s.ColdRequestsPerSecond*opts.ColdFactor + opts.ColdSlack, Duration: s.ColdDuration}
}

// homes are the regions to which the routes of a configuration are confined, by the route's name.
func homes(c *routing.Config) map[string][]string {
	out := make(map[string][]string)
	c.Routes(func(r *routing.Route) bool {
		if len(r.AllowedRegions) > 0 {
			out[r.Name] = r.AllowedRegions
		}
		return true
	})
	return out
}

// onlyShards are the services of a configuration that are asked as shards of queries and
// not alone.
func onlyShards(c *routing.Config) map[string]bool {
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

// firstConfigWait is how long a request waits for the first configuration. A
// process that starts reads it within about 50 ms; refusing meanwhile would
// send callers away for longer than that. With the store away, a request is
// refused after this time.
const firstConfigWait = 200 * time.Millisecond

// awaitConfig returns the configuration in force, waiting a little for the
// first one.
func (g *Gateway) awaitConfig(ctx context.Context) *routing.Config {
	if c := g.config.Load(); c != nil {
		return c
	}
	timer := time.NewTimer(firstConfigWait)
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.config.Load()
}
