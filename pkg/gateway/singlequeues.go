package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// singleQueues are the queues of single requests, by service. Its zero value is empty.
type singleQueues struct {
	mu        sync.Mutex
	byService map[string]*serviceQueue
	// runners is the number of instances that run single requests; zero: 1.
	runners int
}

// serviceQueue is the queue of one service with the timer that wakes it.
type serviceQueue struct {
	*leafqueue.Queue
	mu    sync.Mutex
	timer *time.Timer
	// wakeAt is when the timer fires; zero: it is not set.
	wakeAt time.Time
}

// queuesSingle reports whether the requests of a route go through a queue.
func (g *Gateway) queuesSingle(route *routing.Route) bool {
	o := &g.opts.Load().Overload
	return o.SingleQueue.For(route.ShortTimeout(o.ShortTimeoutTargets))
}

// SetSingleRunners sets the number of instances that run single requests, including this one. Each
// starts with an equal part of the slots of a leaf that it does not know.
func (g *Gateway) SetSingleRunners(n int) {
	g.singles.mu.Lock()
	defer g.singles.mu.Unlock()
	g.singles.runners = n
	for _, s := range g.singles.byService {
		s.SetRunners(n)
	}
}

// SingleQueues returns the state of the queues of single requests, ordered by service.
func (g *Gateway) SingleQueues(now time.Time) []leafqueue.State {
	out := []leafqueue.State{}
	for _, s := range g.singles.all() {
		out = append(out, s.Dump(now))
	}
	slices.SortFunc(out, func(a, b leafqueue.State) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// queue returns the queue of a service, which is created by its first request.
func (q *singleQueues) queue(service string, table *replica.Table) *serviceQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.byService[service]
	if s == nil {
		s = &serviceQueue{Queue: leafqueue.New(service, table, q.runners)}
		if q.byService == nil {
			q.byService = make(map[string]*serviceQueue)
		}
		q.byService[service] = s
	}
	return s
}

// all returns the queues in no particular order.
func (q *singleQueues) all() []*serviceQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]*serviceQueue, 0, len(q.byService))
	for _, s := range q.byService {
		out = append(out, s)
	}
	return out
}

// waiting returns the number of waiting requests.
func (q *singleQueues) waiting() int {
	n := 0
	for _, s := range q.all() {
		n += s.WaitingCount()
	}
	return n
}

// sweep removes what is known of leafs that are gone, and the idle queues of services that are no
// target of the configuration any more.
func (q *singleQueues) sweep(c *routing.Config, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byService) == 0 {
		return
	}
	targets := targetServices(c)
	for service, s := range q.byService {
		s.Sweep(now)
		if !targets[service] && !s.Busy() {
			delete(q.byService, service)
		}
	}
}

// targetServices returns the services to which a configuration sends single requests.
func targetServices(c *routing.Config) map[string]bool {
	out := make(map[string]bool)
	if c == nil {
		return out
	}
	c.Routes(func(r *routing.Route) bool {
		for _, t := range r.Targets {
			out[t.Service] = true
		}
		return true
	})
	return out
}

// pump carries out the decisions about waiting requests that are due. It must be called whenever a
// request has ended or has begun to wait.
func (s *serviceQueue) pump() {
	now := time.Now()
	for _, d := range s.Next(now, nil) {
		d.Request.Owner.(*queuedRun).decided <- d
	}
	s.setTimer(now)
}

// setTimer sets the timer for the next call of pump if a request waits.
func (s *serviceQueue) setTimer(now time.Time) {
	at, ok := s.WakeAt(now)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.wakeAt.IsZero() && !at.Before(s.wakeAt) {
		return
	}
	s.wakeAt = at
	if s.timer == nil {
		s.timer = time.AfterFunc(at.Sub(now), s.timerFired)
		return
	}
	s.timer.Reset(at.Sub(now))
}

// timerFired is called by the timer.
func (s *serviceQueue) timerFired() {
	s.mu.Lock()
	s.wakeAt = time.Time{}
	s.mu.Unlock()
	s.pump()
}

// end gives up the place of a call at its leaf.
func (s *serviceQueue) end(lease *leafqueue.Lease, outcome replica.Outcome, took time.Duration) {
	s.Done(lease, outcome, took, time.Now())
	s.pump()
}
