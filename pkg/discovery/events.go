package discovery

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Event is one published change. At most one of its fields besides Item is set; none is for an
// entry of another kind, or for one that cannot be decoded.
type Event struct {
	// Item is the entry as it was published, to be passed on to peers. Its key is empty if the
	// entry has no readable key.
	Item        feed.Item
	Leaf        *replica.Leaf
	Config      *routing.Config
	RemovedLeaf string
	// UnreadableLeaf is the ID of a leaf whose entry cannot be decoded. No leaf can be used under
	// this ID.
	UnreadableLeaf string
	// Evacuated is an availability zone whose leafs must not get requests. Readmitted is one that
	// is back in use.
	Evacuated, Readmitted string
}

// Listing holds the names found in a complete listing.
type Listing struct {
	// Leafs are the IDs of the leafs, and Evacuated the evacuated availability zones.
	Leafs, Evacuated map[string]bool
}

// newListing returns an empty listing.
func newListing() Listing {
	return Listing{Leafs: make(map[string]bool), Evacuated: make(map[string]bool)}
}

// add adds the names in an event.
func (l Listing) add(e Event) {
	if e.Leaf != nil {
		l.Leafs[e.Leaf.ID] = true
	}
	if e.Evacuated != "" {
		l.Evacuated[e.Evacuated] = true
	}
}

// Page is the result of one call to the store.
type Page struct {
	Events []Event
	// At is the position of the store at the call.
	At feed.Position
	// Next is where to continue the listing; empty when it is complete.
	Next string
	// Full means that the answer to a watch holds as much as fits, so more changes may be
	// available already.
	Full bool
	// Unreadable is how many of the events could not be decoded.
	Unreadable int
}

// Source reads the store. If the store answered with an error, the returned page still has at
// least the era from the answer.
type Source interface {
	// List returns one page of everything published, from the start or, given an earlier page's
	// Next, from there.
	List(ctx context.Context, next string) (Page, error)
	// Watch returns what changed after a position as soon as there is something, or an empty page
	// after wait.
	Watch(ctx context.Context, after feed.Position, wait time.Duration) (Page, error)
	// Decode decodes an entry that another instance has read.
	Decode(item feed.Item) Event
}

// Origin is where an instance has learned something from.
type Origin string

// The origins.
const (
	FromStore Origin = "store"
	FromPeer  Origin = "peer"
)

// Sink receives what is published.
type Sink interface {
	LeafUpdated(leaf replica.Leaf)
	LeafRemoved(id string)
	// LeafUnreadable reports a leaf whose entry cannot be decoded.
	LeafUnreadable(id string)
	// ZoneEvacuationChanged reports that the operator evacuates a zone or readmits it.
	ZoneEvacuationChanged(zone string, evacuated bool)
	// Listed reports a complete listing. Whatever it lacks has been removed.
	Listed(l Listing)
	ConfigUpdated(c *routing.Config, origin Origin)
	// StoreRecovered is called before the first events after an outage or a restore of the store.
	StoreRecovered()
}
