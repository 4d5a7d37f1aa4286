package feed

import "time"

// askAgain is how long a peer is given to send what it was asked for until it is asked again.
const askAgain = time.Second

// Subscription is what an instance knows of a peer that sends it changes. The peer alone keeps how far it
// has sent them, and does not learn that this instance has dropped or refused some. Its news show
// that: it sends all changes up to the position that it claims before its next news.
type Subscription struct {
	claimed Position
	askedAt time.Time
}

// Renew notes that the peer is asked anew: what it claimed before does not count.
func (s *Subscription) Renew(now time.Time) { *s = Subscription{askedAt: now} }

// Observe takes over the position that the peer claims, given the one that is known, and reports whether
// the peer is to be asked anew.
func (s *Subscription) Observe(claimed, known Position, now time.Time) bool {
	missed := known.Before(s.claimed) && now.Sub(s.askedAt) >= askAgain
	s.claimed = claimed
	return missed
}
