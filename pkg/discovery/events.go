package discovery

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Event is one published change. Exactly one of its fields besides Item is set; an event
// about anything else, or one that cannot be decoded, has none.
type Event struct {
	// Item is the entry as it was published, for other instances; without a key for one
	// that has none that can be read.
	Item        feed.Item
	Leaf        *replica.Leaf
	Config      *routing.Config
	RemovedLeaf string
	// UnreadableLeaf is a leaf whose entry cannot be decoded: there is no leaf to
	// use under this ID.
	UnreadableLeaf string
	// Evacuated is an availability zone whose leafs are to get nothing, Readmitted one that
	// is taken back.
	Evacuated, Readmitted string
}

// Listing names what a complete listing holds.
type Listing struct {
	// Leafs are the IDs of the leafs, Evacuated the availability zones that are evacuated.
	Leafs, Evacuated map[string]bool
}

// newListing returns an empty listing.
func newListing() Listing {
	return Listing{Leafs: make(map[string]bool), Evacuated: make(map[string]bool)}
}

// add adds what an event names.
func (l Listing) add(e Event) {
	if e.Leaf != nil {
		l.Leafs[e.Leaf.ID] = true
	}
	if e.Evacuated != "" {
		l.Evacuated[e.Evacuated] = true
	}
}

// Page is what one call to the store brought.
type Page struct {
	Events []Event
	// At is where the store was as of the call.
	At feed.Position
	// Next continues a listing; "" when it is complete.
	Next string
	// Full: a watch brought as much as fits into one reply, so that there may
	// be more already.
	Full bool
	// Unreadable is how many of the events could not be decoded.
	Unreadable int
}

// Source reads the store. Where the store has answered with an error, the page has at least the era
// that it stated.
type Source interface {
	// List returns one page of all that is published, from the start or from
	// where an earlier page ended.
	List(ctx context.Context, next string) (Page, error)
	// Watch returns what changed after a position, as soon as there is
	// something, or an empty page after wait.
	Watch(ctx context.Context, after feed.Position, wait time.Duration) (Page, error)
	// Decode decodes an entry that another instance has read.
	Decode(item feed.Item) Event
}

// Origin is from whom an instance has learned something.
type Origin string

// Origins.
const (
	FromStore Origin = "store"
	FromPeer  Origin = "peer"
)

// Sink takes over what is published.
type Sink interface {
	LeafUpdated(leaf replica.Leaf)
	LeafRemoved(id string)
	// LeafUnreadable is told a leaf whose entry cannot be decoded.
	LeafUnreadable(id string)
	// ZoneEvacuationChanged is told a zone that the operator evacuates, or has taken back.
	ZoneEvacuationChanged(zone string, evacuated bool)
	// Listed is told a complete listing: what it lacks is gone.
	Listed(l Listing)
	ConfigUpdated(c *routing.Config, origin Origin)
	// StoreRecovered is told before the first events after an outage.
	StoreRecovered()
}
