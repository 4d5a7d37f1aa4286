package routing

import "sync"

// Splitter spreads the requests of routes over their targets by weight.
//
// It is a smooth weighted round robin: each target earns its weight per
// request and the richest one is taken and pays the sum. Drawing at random
// instead misses a share of 0.5 by more than 0.1 in about one of 2,000 runs
// of 300 requests; this keeps every prefix of the sequence within one request
// of its share.
type Splitter struct {
	mu     sync.Mutex
	credit map[string]map[string]float64
}

// NewSplitter returns an empty splitter.
func NewSplitter() *Splitter { return &Splitter{credit: make(map[string]map[string]float64)} }

// Pick returns the service that the next request of r goes to, or "" when the
// route has no target of positive weight.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credit[r.Name]
	if credit == nil {
		credit = make(map[string]float64, len(r.Targets))
		s.credit[r.Name] = credit
	}
	best := ""
	sum := 0.0
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		sum += t.Weight
		credit[t.Service] += t.Weight
		if best == "" || credit[t.Service] > credit[best] {
			best = t.Service
		}
	}
	if best != "" {
		credit[best] -= sum
	}
	return best
}

// Reset forgets all credit; a new configuration may have other weights.
func (s *Splitter) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credit = make(map[string]map[string]float64)
}
