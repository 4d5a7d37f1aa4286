package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// errRestoredDuringListing fails a listing whose pages are of different eras.
var errRestoredDuringListing = errors.New("store was restored during the listing")

// list reads everything that is published. The pages are not a consistent snapshot: a leaf may be
// removed between two of them. Watching from the position of the first page replays such changes.
func (f *Follower) list(ctx context.Context) error {
	f.needsListing.Store(false)
	listing := newListing()
	at, events, err := f.readPages(ctx)
	if err != nil {
		f.needsListing.Store(true)
		return err
	}
	for _, e := range events {
		listing.add(e)
	}
	if !f.applyAnswer(feed.Update{Full: true, To: at}, events) {
		return nil // A peer has reported a later era.
	}
	f.addKnownEntries(listing, at)
	f.sink.Listed(listing)
	f.noteAnswer()
	f.log.State("store_listed", oplog.Fields{
		"era": at.Era, "revision": at.Revision, "leafs": len(listing.Leafs), "evacuated_zones": len(listing.Evacuated),
	})
	return nil
}

// readPages reads the pages of a listing and returns the position of the store at the first one.
func (f *Follower) readPages(ctx context.Context) (at feed.Position, events []Event, err error) {
	for first, next := true, ""; first || next != ""; first = false {
		callCtx, cancel := context.WithTimeout(ctx, f.opts.LongPoll.RetryTimeout)
		page, err := f.source.List(callCtx, next)
		cancel()
		if err != nil {
			return at, nil, err
		}
		f.recordSuccess()
		f.unreadable.Add(int64(page.Unreadable))
		if first {
			at = page.At
		}
		if page.At.Era != at.Era {
			return at, nil, errRestoredDuringListing
		}
		events = append(events, page.Events...)
		next = page.Next
	}
	return at, events, nil
}

// addKnownEntries adds to a listing what it may lack: what peers have reported since it began,
// and entries that stay in use although the store has lost them.
func (f *Follower) addKnownEntries(listing Listing, at feed.Position) {
	f.mu.Lock()
	known := f.cache.Since(feed.Position{}, time.Now())
	f.mu.Unlock()
	for _, it := range known.Items {
		if it.At.After(at) || it.At.Era < at.Era {
			listing.add(f.source.Decode(it))
		}
	}
}
