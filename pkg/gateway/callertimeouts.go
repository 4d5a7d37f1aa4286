package gateway

import (
	"slices"
	"sync"
	"time"
)

// Parameters of the detection of retries.
const (
	// timeoutSamples is the number of recent requests of a route from which the usual timeout
	// is computed.
	timeoutSamples = 32
	// usualTimeoutQuantile is the quantile of the samples that counts as the usual timeout: up
	// to three quarters of the requests may be retries, and a few callers may have longer
	// timeouts than the others.
	usualTimeoutQuantile = 0.75
	// timeoutResolution is the smallest reduction of a timeout that can be detected: callers
	// state their timeout in whole milliseconds.
	timeoutResolution = time.Millisecond
)

// callerTimeouts tracks the usual timeout of the callers of each route in order to detect
// retries. It is safe for concurrent use.
//
// A caller that retries after a refusal has used a part of its timeout. If the retry is treated
// as a new request, the same overload refuses it again, and the request is lost because
// callers retry only a few times; the symptom is callers refused twice while new ones
// are served (335 of 6,848 in a day). The shorter remaining timeout distinguishes a retry
// from a new request on whichever instance it arrives.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeouts
}

// routeTimeouts is a ring buffer of the most recent timeouts of one route.
type routeTimeouts struct {
	recent []time.Duration
	next   int
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: make(map[string]*routeTimeouts)}
}

// reduction records the timeout of one caller, and returns by how much it is shorter than the usual
// one of the route: the time since the caller's first attempt. It is 0 for a first attempt.
func (t *callerTimeouts) reduction(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		r = &routeTimeouts{}
		t.routes[route] = r
	}
	r.add(timeout)
	return max(r.usualTimeout()-timeout, 0)
}

// add records one timeout in place of the oldest one.
func (r *routeTimeouts) add(timeout time.Duration) {
	if len(r.recent) < timeoutSamples {
		r.recent = append(r.recent, timeout)
		return
	}
	r.recent[r.next] = timeout
	r.next = (r.next + 1) % timeoutSamples
}

// usualTimeout returns the usual timeout of the callers of the route.
func (r *routeTimeouts) usualTimeout() time.Duration {
	sorted := slices.Clone(r.recent)
	slices.Sort(sorted)
	return sorted[int(usualTimeoutQuantile*float64(len(sorted)-1))]
}
