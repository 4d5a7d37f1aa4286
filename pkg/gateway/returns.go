package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// claimReturn reports whether the caller of a request was refused before and is retrying, and
// whether capacity was promised to it. It must be called once for each request.
func (g *Gateway) claimReturn(req *Request, route *routing.Route) (returning, promised bool) {
	return g.callerTimeouts.isRetry(route.Name, req.Timeout), false
}

// plannedRetryAfter returns the retry hint of a request that is refused because of load: the time of
// its planned return, or fallback if returns are not planned for the route.
func (g *Gateway) plannedRetryAfter(_ *Request, _ *routing.Route, fallback time.Duration) time.Duration {
	return fallback
}
