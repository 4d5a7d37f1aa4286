package routing

import "math"

// LeastUrgentRank is the rank of a route that publishes no valid one, and the highest rank. Such a
// route must not take capacity from routes that an operator has called urgent.
const LeastUrgentRank = math.MaxInt32

// RankOf returns the rank for a published priority, nil if none is published. ok is false if it is
// missing or negative; the rank is LeastUrgentRank then.
func RankOf(published *int) (rank int, ok bool) {
	if published == nil || *published < 0 {
		return LeastUrgentRank, false
	}
	return min(*published, LeastUrgentRank), true
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
