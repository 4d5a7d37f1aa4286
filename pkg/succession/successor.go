package succession

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// askInterval is the interval at which a starting process asks its keepers.
const askInterval = 100 * time.Millisecond

// Successor is a starting process that does not know yet what its predecessor has sent.
type Successor struct {
	// until is when everything that the predecessor has sent has left the window.
	until   time.Time
	askedAt time.Time
	done    bool
	answers map[string]*assembly
}

// NewSuccessor returns the state of a process that starts now. If it has no predecessor, it knows
// everything.
func NewSuccessor(hasPredecessor bool, window time.Duration, now time.Time) *Successor {
	return &Successor{until: now.Add(window), done: !hasPredecessor, answers: make(map[string]*assembly)}
}

// Waiting reports whether the process does not know yet what its predecessor has sent.
func (s *Successor) Waiting(now time.Time) bool { return !s.done && now.Before(s.until) }

// Asks reports whether the process is to ask its keepers now.
func (s *Successor) Asks(now time.Time) bool {
	if !s.Waiting(now) || now.Sub(s.askedAt) < askInterval {
		return false
	}
	s.askedAt = now
	return true
}

// Receive takes an answer of a keeper. It returns the counts to inherit, and whether the process now
// knows everything.
func (s *Successor) Receive(keeper string, r Report, now time.Time) (counts []replica.SentCounts, complete bool) {
	if !r.valid() || !now.Before(s.until) {
		return nil, false
	}
	if s.answers[keeper] == nil {
		if len(s.answers) >= maxRecords {
			return nil, false
		}
		s.answers[keeper] = &assembly{}
	}
	whole := s.answers[keeper].add(r)
	if r.Full && whole && !s.done {
		s.done, complete = true, true
	}
	return r.Services, complete
}
