package routing

import "math"

const (
	// NoRank is the rank of a route that publishes none. NewConfig replaces it, and any negative
	// rank, by LeastUrgentRank.
	NoRank = -1
	// LeastUrgentRank is the rank of a route that publishes no valid one, and the highest rank. Such
	// a route must not take capacity from routes that an operator has called urgent.
	LeastUrgentRank = math.MaxInt32
)

// withValidRank returns the route, or a copy with a valid rank if it has none.
func (r *Route) withValidRank() *Route {
	if r.Priority >= 0 && r.Priority <= LeastUrgentRank {
		return r
	}
	c := *r
	c.Unranked = r.Priority < 0
	c.Priority = LeastUrgentRank
	return &c
}

// UnrankedRoutes returns the number of routes that publish no valid rank, and the name of one of
// them: the first in alphabetical order.
func (c *Config) UnrankedRoutes() (count int, example string) {
	c.Routes(func(r *Route) bool {
		if r.Unranked {
			if count == 0 || r.Name < example {
				example = r.Name
			}
			count++
		}
		return true
	})
	return count, example
}
