package peers

// Handoff protocol: a query that one instance hands off to another must be run by at most one of
// them, since each run may call as many leafs of a shard as the route allows.
//
// The instance that owns the query offers it, the peer accepts it, and the owner grants it. After
// the grant the owner does not run the query itself. The owner withdraws an offer by not granting
// it. A message that is late, lost or repeated therefore leaves the query with one of the
// instances or with none, but never with both. Waiting for the grant costs a round trip within
// the zone before the first leaf is called.

// offerState is the state of a query at the instance that offers it.
type offerState int

const (
	// offered: the peer may accept the query.
	offered offerState = iota
	// granted: the peer runs the query. This instance does not, even if the peer is lost.
	granted
	// withdrawn: this instance runs the query.
	withdrawn
)

// accept is called when the peer accepts the query. It reports whether to grant it.
func (o *offerState) accept() bool {
	if *o != offered {
		return false
	}
	*o = granted
	return true
}

// withdraw is called when the peer declines the query, is lost, or does not accept it in time. It
// reports whether this instance is to run the query.
func (o *offerState) withdraw() bool {
	if *o == granted {
		return false
	}
	*o = withdrawn
	return true
}

// handoff is the state of a query at the instance that accepted it.
type handoff struct {
	// grantedCh is closed when the query is granted.
	grantedCh chan struct{}
	granted   bool
}

func newHandoff() *handoff { return &handoff{grantedCh: make(chan struct{})} }

// grant records that the query is granted. Repeated calls have no effect.
func (h *handoff) grant() {
	if !h.granted {
		h.granted = true
		close(h.grantedCh)
	}
}
