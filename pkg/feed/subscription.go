package feed

import "time"

// renewInterval is the minimum time between two requests to a peer to send its changes again.
const renewInterval = time.Second

// Subscription tracks what an instance has heard from a peer that sends it changes. Only the peer
// knows how far it has sent them, and it does not learn that this instance has dropped or
// rejected some. Its status messages reveal that: the peer sends all changes up to the position
// that it claims in one of them before it sends the next.
type Subscription struct {
	claimed     Position
	requestedAt time.Time
}

// Renew records that the peer is asked again. What it claimed before no longer counts.
func (s *Subscription) Renew(now time.Time) { *s = Subscription{requestedAt: now} }

// Observe records the position that the peer claims, given the known one, and reports whether the
// peer must be asked again.
func (s *Subscription) Observe(claimed, known Position, now time.Time) bool {
	missed := known.Before(s.claimed) && now.Sub(s.requestedAt) >= renewInterval
	s.claimed = claimed
	return missed
}
