package peers

import (
	"context"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
)

// maxHandedOffBytes is the maximum size of the body of a single request, or of a leaf's reply, that
// is sent to a peer. It leaves room for the rest of the frame: a frame over the limit would close
// the connection, and with it lose the other requests.
const maxHandedOffBytes = maxFrameBytes / 2

// HandOffSingle implements gateway.Gatherers. A request whose body does not fit into a frame is not
// handed off.
func (p *Peers) HandOffSingle(ctx context.Context, q gateway.GatherQuery) (gateway.Answer, bool) {
	if len(p.codec.Request(q.Request.Content).Body) > maxHandedOffBytes {
		return gateway.Answer{}, false
	}
	return p.handOff(ctx, singleHandoff, q)
}

// singleRunners passes on the number of instances that run single requests.
type singleRunners struct {
	apply func(n int)
	last  int
}

// update passes on n if it has changed.
func (s *singleRunners) update(n int) {
	if s.apply == nil || n == s.last {
		return
	}
	s.last = n
	s.apply(n)
}

// EnableSingleHandoff makes the agent pass the number of instances that run single requests in all
// zones together to onRunners, first on the first tick and then whenever it changes. It must be
// called before Run.
func (p *Peers) EnableSingleHandoff(onRunners func(n int)) {
	p.runners = singleRunners{apply: onRunners}
}

// countGatherers returns the number of gatherers of all zones together. zones holds the other
// members; self is added to its zone.
func countGatherers(self membership.Member, zones map[string][]membership.Member) int {
	n := 0
	own := false
	for zone, in := range zones {
		all := append([]membership.Member{}, in...)
		if zone == self.Zone {
			all, own = append(all, self), true
		}
		n += len(selectGatherers(sortByCapacity(zone, all)))
	}
	if !own {
		n++ // This instance is alone in its zone.
	}
	return n
}
