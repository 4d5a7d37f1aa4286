// Package routing holds the published configuration as the gateway uses it:
// which route a request takes, which services it may go to, and the limits
// that bound a caller. A Config is immutable; a new version replaces it whole.
// Nothing here does I/O or reads a clock.
package routing

import (
	"strings"
	"time"
)

// Kind says how often a request may run on a leaf.
type Kind int

const (
	// AtMostOnce requests run on no leaf twice: only a certain "not run"
	// lets them be sent again.
	AtMostOnce Kind = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// Gather requests go to one leaf of every shard and are merged; they
	// are repeatable.
	Gather
)

// String names the kind in logs and metric labels.
func (k Kind) String() string {
	return [...]string{"at_most_once", "repeatable", "gather"}[k]
}

// Route is one entry of the routing table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets are the services that share the route's requests by weight; a
	// route with a single service has one target.
	Targets []Target
	// Shards are the services of a gather route, one per shard.
	Shards []string
	// TopK is how many records a gathered answer holds at most.
	TopK int
	// MinShardShare is the least share (0 to 1) of the shards that an answer
	// must cover to be a success.
	MinShardShare float64
	// Timeout is the longest that the operator lets a request wait; zero:
	// no bound beyond the caller's deadline.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth its full
	// value to callers; zero: none published.
	TargetLatency time.Duration
	// MaxAttempts is how many leafs one request may be sent to (for a gather
	// route: per shard).
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// AllowedRegions are the regions whose leafs may be asked; none: all.
	AllowedRegions []string
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is what the configuration says of a service or shard.
type Service struct {
	Name string
	// MaxConns is how many connections each of its leafs accepts from all
	// callers together; zero: not published.
	MaxConns int
	// ColdDuration is how long a leaf is cold after its start, and ColdPerSecond how many requests a
	// second it bears meanwhile; zero: that is not bounded.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	// HealthPath answers whether a leaf is well.
	HealthPath string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	routes   map[string][]*Route
	count    int
}

// NewConfig indexes routes by host. It keeps the pointers it is given.
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
		host := normalHost(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	return c
}

// RouteCount is how many routes the version has.
func (c *Config) RouteCount() int { return c.count }

// Routes calls f with each route until f returns false.
func (c *Config) Routes(f func(*Route) bool) {
	for _, list := range c.routes {
		for _, r := range list {
			if !f(r) {
				return
			}
		}
	}
}

// Match returns the route with the longest prefix that begins path among the
// routes of host, or nil. Host may carry a port; path is the undecoded path
// without the query.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routes[normalHost(host)] {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// normalHost drops the port and the case of a Host header.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
