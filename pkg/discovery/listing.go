package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// errRestored fails a listing whose pages are of several eras.
var errRestored = errors.New("the store was restored while it was listed")

// list reads all that is published. Pages are no snapshot: a leaf may leave
// between two of them. Watching on from the first page's position replays what
// was missed.
func (f *Follower) list(ctx context.Context) error {
	f.relist.Store(false)
	listing := newListing()
	at, events, err := f.pages(ctx)
	if err != nil {
		f.relist.Store(true)
		return err
	}
	for _, e := range events {
		listing.add(e)
	}
	if !f.take(feed.Update{Full: true, To: at}, events) {
		return nil // Another instance has told of a later era.
	}
	f.addKnown(listing, at)
	f.sink.Listed(listing)
	f.answered()
	f.log.State("store_listed", oplog.Fields{
		"era": at.Era, "revision": at.Revision, "leafs": len(listing.Leafs), "evacuated_zones": len(listing.Evacuated),
	})
	return nil
}

// pages reads the pages of a listing and returns where the store was at the first one.
func (f *Follower) pages(ctx context.Context) (at feed.Position, events []Event, err error) {
	for first, next := true, ""; first || next != ""; first = false {
		callCtx, cancel := context.WithTimeout(ctx, f.opts.Pace.RetryTimeout)
		page, err := f.source.List(callCtx, next)
		cancel()
		if err != nil {
			return at, nil, err
		}
		f.succeeded()
		f.unreadable.Add(int64(page.Unreadable))
		if first {
			at = page.At
		}
		if page.At.Era != at.Era {
			return at, nil, errRestored
		}
		events = append(events, page.Events...)
		next = page.Next
	}
	return at, events, nil
}

// addKnown adds to a listing what it may lack: what another instance has told of since it began, and
// what holds although the store has lost it.
func (f *Follower) addKnown(listing Listing, at feed.Position) {
	f.mu.Lock()
	known := f.book.Since(feed.Position{}, time.Now())
	f.mu.Unlock()
	for _, it := range known.Items {
		if it.At.After(at) || it.At.Era < at.Era {
			listing.add(f.source.Decode(it))
		}
	}
}
