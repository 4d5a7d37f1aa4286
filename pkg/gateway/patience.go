package gateway

import (
	"slices"
	"sync"
	"time"
)

// How callers that come again are known.
const (
	// patienceKept is how many requests of a route the usual patience is taken
	// from.
	patienceKept = 32
	// patienceRank is the quantile that is taken as usual: up to three quarters
	// of the callers may be coming again, and a few may be more patient than the
	// others.
	patienceRank = 0.75
	// patienceStep is the smallest loss of patience that shows: callers tell it
	// in whole milliseconds.
	patienceStep = time.Millisecond
)

// patienceTable knows for how long callers of each route usually wait. It is safe for
// concurrent use.
//
// A caller that was refused and comes again has used a part of its time. Taken for a
// new one it is refused again by the same overload, and lost, because callers try a
// few times only; one notices callers refused twice while new ones are served (335 of
// 6,848 in a day). What is left of its patience tells it from a new one, on whichever
// instance it comes back.
type patienceTable struct {
	mu     sync.Mutex
	routes map[string]*routePatience
}

// routePatience are the latest values of one route, in a ring.
type routePatience struct {
	latest []time.Duration
	next   int
}

func newPatienceTable() *patienceTable {
	return &patienceTable{routes: make(map[string]*routePatience)}
}

// Returned takes over the patience of one caller, and reports whether it has used a
// part of what is usual on the route. Zero means that it was not said.
func (t *patienceTable) Returned(route string, patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		r = &routePatience{}
		t.routes[route] = r
	}
	r.add(patience)
	return patience <= r.usual()-patienceStep
}

// add takes over one value in the place of the oldest.
func (r *routePatience) add(patience time.Duration) {
	if len(r.latest) < patienceKept {
		r.latest = append(r.latest, patience)
		return
	}
	r.latest[r.next] = patience
	r.next = (r.next + 1) % patienceKept
}

// usual is the usual patience.
func (r *routePatience) usual() time.Duration {
	sorted := slices.Clone(r.latest)
	slices.Sort(sorted)
	return sorted[int(patienceRank*float64(len(sorted)-1))]
}
