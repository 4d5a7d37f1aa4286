// Package routing holds the published configuration in the form that the gateway uses: the
// route of each request, the services that the route may use, and the limits on callers'
// requests. A Config is immutable and is replaced as a whole by a new version. The package does
// no I/O and reads no clock.
package routing

import (
	"strings"
	"time"
)

// Kind says how often the requests of a route may run on a leaf, and whether they go to a
// single service or to all shards.
type Kind int

const (
	// AtMostOnce requests must not run more than once. They are sent again only if it is certain
	// that they did not run.
	AtMostOnce Kind = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// Gather requests go to one leaf of every shard, and the replies are merged. They are
	// repeatable.
	Gather
)

// String returns the name of the kind in logs and metric labels.
func (k Kind) String() string {
	return [...]string{"at_most_once", "repeatable", "gather"}[k]
}

// Route is an entry of the routing table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets are the services among which the route's requests are distributed by weight. A
	// route to a single service has one target.
	Targets []Target
	// Shards are the services of a gather route, one per shard.
	Shards []string
	// TopK is the maximum number of records in a gathered answer.
	TopK int
	// MinShardShare is the fraction of the shards (0 to 1) that an answer must cover to be a
	// success.
	MinShardShare float64
	// Timeout is the maximum time that the operator allows for a request. Zero means that only
	// the caller's deadline applies.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value for callers. Zero
	// means that none is published.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of leafs that a request may be sent to. For a gather
	// route, it applies to each shard.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the most urgent. In a Config it is between 0 and
	// LeastUrgentRank.
	Priority int
	// Unranked reports that no valid rank was published, so that Priority is LeastUrgentRank.
	Unranked bool
	// AllowedRegions are the regions whose leafs may get the route's requests. An empty list
	// allows all regions.
	AllowedRegions []string
}

// ShortTimeout reports whether the route's timeout is at most the given number of target latencies.
// It is false if either is not published.
//
// A caller with a longer timeout can be held or retried after an overload of some seconds. A caller
// with a short one must be told at once whether it can be served.
func (r *Route) ShortTimeout(targets float64) bool {
	return r.Timeout > 0 && r.TargetLatency > 0 && float64(r.Timeout) <= targets*float64(r.TargetLatency)
}

// Target is a service of a route and its share of the requests.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route. Targets without a positive weight
	// get no requests unless they are the only target.
	Weight float64
}

// Service is the configuration of a service or shard.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that each leaf of the service accepts from
	// all callers together. Zero means that it is not published.
	MaxConns int
	// ColdDuration is how long a leaf is cold after its start. ColdRequestsPerSecond is the
	// maximum rate of requests to a cold leaf. Zero means no limit.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	// HealthPath is the path of the health check of a leaf.
	HealthPath string
}

// Limits are the limits on the size and the duration of callers' requests.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the body of a request.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the maximum time to receive the header of a request. IdleTimeout is how
	// long an idle connection stays open.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// routes are the routes by normalized host, and count is their number.
	routes map[string][]*Route
	count  int
}

// NewConfig returns a configuration with the routes indexed by host. It keeps the pointers in
// routes.
func NewConfig(version int64, routes []*Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		routes:   make(map[string][]*Route),
		count:    len(routes),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := normalizeHost(r.Host)
		c.routes[host] = append(c.routes[host], r.withValidRank())
	}
	return c
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.count }

// Routes calls f for each route until f returns false.
func (c *Config) Routes(f func(*Route) bool) {
	for _, list := range c.routes {
		for _, r := range list {
			if !f(r) {
				return
			}
		}
	}
}

// Match returns the route of host with the longest prefix that path begins with, or nil if
// there is none. The host may include a port. The path is the escaped path without the query.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routes[normalizeHost(host)] {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// normalizeHost returns a Host header in lower case and without the port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
