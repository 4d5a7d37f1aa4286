package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Backlog bounds the bytes of answers that callers have not read yet. Answers are not dropped for
// it; requests are refused before they run.
type Backlog interface {
	// Admits reports whether a request of a rank (0 is the most urgent) may run.
	Admits(rank int, now time.Time) bool
	// Measured returns the number of bytes that callers have not read, and how long ago it was
	// measured.
	Measured(now time.Time) (unread int64, age time.Duration)
}

// UseBacklog makes the gateway refuse requests while callers have too many bytes unread. It must be
// called before requests are served.
func (g *Gateway) UseBacklog(b Backlog) { g.backlog = b }

// refuseForBacklog refuses a request because callers have too many bytes unread.
func (g *Gateway) refuseForBacklog(req *Request, route *routing.Route) Answer {
	g.stats.refusedForBacklog(route.Priority)
	unread, age := g.backlog.Measured(time.Now())
	return g.refuseWith(req, route, errcode.EntryOverloaded, g.opts.Load().RetryAfter, oplog.Fields{
		"rank": route.Priority, "unread_bytes": unread, "measured_ms": age.Milliseconds(),
	})
}
