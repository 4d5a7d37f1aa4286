package peers

// Who runs a query that one instance hands to another. Exactly one may: either asks up to as
// many leafs of a shard as the route allows.
//
// The instance that has the query offers it; the other one takes it; the first one grants it,
// and from then on does not run it. A word that is late, lost or repeated between the two
// leaves a query with one of them or with none, never with both: the offer is taken back by not
// granting it. The grant costs a round trip in the zone before the first leaf is asked.

// offer is a query at the instance that hands it on.
type offer int

const (
	// offered: the other one may take it.
	offered offer = iota
	// granted: the other one runs it, and this one does not, whatever becomes of the other.
	granted
	// takenBack: this one runs it.
	takenBack
)

// taken is called when the other one takes the query. It reports whether to grant it.
func (o *offer) taken() bool {
	if *o != offered {
		return false
	}
	*o = granted
	return true
}

// refused is called when the other one declines, is gone, or has not taken the query in time.
// It reports whether this instance is to run it.
func (o *offer) refused() bool {
	if *o == granted {
		return false
	}
	*o = takenBack
	return true
}

// handover is a query at the instance that took it.
type handover struct {
	// grants is closed when the query is granted.
	grants  chan struct{}
	granted bool
}

func newHandover() *handover { return &handover{grants: make(chan struct{})} }

// grant takes over that the query is granted; once is enough.
func (h *handover) grant() {
	if !h.granted {
		h.granted = true
		close(h.grants)
	}
}
