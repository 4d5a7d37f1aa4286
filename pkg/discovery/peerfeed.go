package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// This file holds the part of the follower that deals with other instances: it applies what they
// have read, provides what this one knows, and stops reading the store when others do.

// OnChange sets a function that is called when there are changes to send to subscribers, and after
// each answer of the store. It must be called before Run.
func (f *Follower) OnChange(onChange func()) { f.onChange = onChange }

// OnCurrent sets a function that receives, each time the data is found to be up to date as of a
// later time, the difference to the previous such time. It must be called before Run.
func (f *Follower) OnCurrent(onCurrent func(time.Duration)) { f.onCurrent = onCurrent }

// ChangesSince returns what changed after a position.
func (f *Follower) ChangesSince(after feed.Position) feed.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.Since(after, time.Now())
}

// Synced reports whether this instance has everything that is published, from any source.
func (f *Follower) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.Synced()
}

// Position returns the position of the store as of the latest known change.
func (f *Follower) Position() feed.Position { return *f.position.Load() }

// MarkCurrent records that this instance knows everything that the store had published at a time,
// according to a peer.
func (f *Follower) MarkCurrent(at time.Time) {
	if was, advanced := advanceTime(&f.currentAsOf, at); advanced && was != nil {
		f.onCurrent(at.Sub(*was))
	}
}

// MarkConfirmed is like MarkCurrent, for a time at which the store answered this instance or the
// peer itself. Only these times are passed on to other instances: each hop makes an answer seem
// younger by the time in transit, so instances that passed on the times that they received would
// never see the data become stale.
func (f *Follower) MarkConfirmed(at time.Time) {
	advanceTime(&f.confirmedAt, at)
	f.MarkCurrent(at)
}

// advanceTime moves a time forward, unless it is already later, and returns its previous value.
func advanceTime(p *atomic.Pointer[time.Time], at time.Time) (was *time.Time, advanced bool) {
	for {
		was = p.Load()
		if was != nil && !at.After(*was) {
			return was, false
		}
		if p.CompareAndSwap(was, &at) {
			return was, true
		}
	}
}

// ConfirmedAt returns when the store last answered this instance or one to which it subscribes;
// zero if it never has.
func (f *Follower) ConfirmedAt() time.Time { return loadTime(&f.confirmedAt) }

// noteAnswer records an answer of the store after its content has been applied, so that the data
// is never older than an answer reported to other instances.
func (f *Follower) noteAnswer() {
	at := f.lastSuccess
	f.answeredAt.Store(&at)
	f.MarkConfirmed(at)
	f.onChange() // Other readers can then ask the store later.
}

// AnsweredAt returns when the store last answered this instance itself; zero if it never has.
func (f *Follower) AnsweredAt() time.Time { return loadTime(&f.answeredAt) }

// loadTime returns the time that p points to; zero if there is none.
func loadTime(p *atomic.Pointer[time.Time]) time.Time {
	if at := p.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SetReading sets whether this instance reads the store, and describes the other readers.
func (f *Follower) SetReading(reading bool, group longpoll.PeerGroup) {
	f.readers.Store(&group)
	if f.reading.Swap(reading) == reading {
		return
	}
	f.log.State("store_reading", oplog.Fields{"reading": reading, "revision": f.Position().Revision, "age_ms": f.Age(time.Now()).Milliseconds()})
	select {
	case f.readingChanged <- struct{}{}:
	default:
	}
}

// Reading reports whether this instance reads the store.
func (f *Follower) Reading() bool { return f.reading.Load() }

// waitUntilReading waits until this instance has to read the store.
func (f *Follower) waitUntilReading(ctx context.Context) {
	f.failingSince = time.Time{}
	select {
	case <-f.readingChanged:
	case <-ctx.Done():
		return
	}
	// The previous readers could not read the store or are gone, and this instance takes over. If
	// that was an outage, leafs that vanished during it may merely have expired.
	f.lastSuccess = loadTime(&f.currentAsOf)
	if !f.lastSuccess.IsZero() && time.Since(f.lastSuccess) >= f.opts.OutageThreshold {
		f.failingSince = f.lastSuccess
	}
}

// ApplyUpdate applies an update that a peer has sent.
func (f *Follower) ApplyUpdate(u feed.Update) error {
	if err := u.Validate(); err != nil {
		return err
	}
	recoveredAt := time.Now().Add(-time.Duration(u.RecoveredMsAgo) * time.Millisecond)
	if u.RecoveredMsAgo > 0 {
		f.noteRecovery(recoveredAt)
	}
	f.mu.Lock()
	if err := f.cache.CheckApplicable(u); err != nil {
		f.mu.Unlock()
		return err
	}
	firstSnapshot := u.Full && !f.cache.Synced()
	eraChanged := f.noteEraChange(u.To, recoveredAt, FromPeer)
	changed := f.cache.Apply(u)
	f.raisePosition()
	events := make([]Event, 0, len(changed))
	listing := newListing()
	for _, it := range changed {
		e := f.source.Decode(it)
		listing.add(e)
		events = append(events, e)
	}
	f.applyEvents(events, FromPeer)
	if firstSnapshot {
		// Anything known before was discarded, so the changed entries are all there are.
		f.sink.Listed(listing)
	}
	f.mu.Unlock()
	if cancelWatch := f.cancelWatch.Load(); eraChanged && cancelWatch != nil {
		(*cancelWatch)(errEraEnded)
	}
	f.log.State("store_fed", oplog.Fields{
		"full": u.Full, "from": u.From.Revision, "era": u.To.Era, "revision": u.To.Revision, "entries": len(u.Items), "new": len(changed),
	})
	if len(changed) > 0 {
		f.onChange()
	}
	return nil
}

// noteEraChange handles a restore of the store if the data to be applied next is of a later era,
// and reports whether it is. What the store has lost stays in use for LostEntryGrace from then
// on. mu must be held.
func (f *Follower) noteEraChange(to feed.Position, at time.Time, origin Origin) bool {
	was := f.Position()
	if !f.cache.Synced() || to.Era <= was.Era {
		return false
	}
	f.restores.Add(1)
	f.cache.NoteRestore(at)
	f.sink.StoreRecovered()
	f.log.State("store_era_changed", oplog.Fields{
		"era": to.Era, "revision": to.Revision, "was_era": was.Era, "was_revision": was.Revision, "origin": origin,
	})
	return true
}

// Sweep removes the entries that a restored store has lost and whose writers have not written
// them again in time. It is called on each tick.
func (f *Follower) Sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	expired := f.cache.ExpireLost(now, f.opts.LostEntryGrace, f.newestConfig.Item.Key)
	if len(expired) == 0 {
		return
	}
	events := make([]Event, 0, len(expired))
	for _, it := range expired {
		events = append(events, f.source.Decode(it))
	}
	f.applyEvents(events, FromStore)
	f.log.State("store_entries_lapsed", oplog.Fields{"entries": len(expired), "era": f.Position().Era})
}

// minContradictionDelay is how long after the known position was learned the store must have
// answered with a lower one to contradict it. Shorter differences are not significant, because
// times that peers report are off by the time that their messages are in transit.
const minContradictionDelay = time.Second

// ResetIfContradicted compares the known position with the position of the store in an answer that a
// peer got at a time. If the known position cannot be right, it discards what is known and returns
// true. Without this check, a peer that claimed a position which the store never had would keep
// this instance from seeing any later change.
func (f *Follower) ResetIfContradicted(store feed.Position, at time.Time) bool {
	f.mu.Lock()
	known, raisedAt := f.cache.Position(), f.positionRaisedAt
	f.mu.Unlock()
	if !store.Before(known) || at.Sub(raisedAt) < minContradictionDelay {
		return false
	}
	f.log.State("store_feed_contradicted", oplog.Fields{
		"era": known.Era, "revision": known.Revision, "store_era": store.Era, "store_revision": store.Revision,
	})
	f.reset()
	return true
}

// reset discards what is known of the store. What the sink has received stays in use.
func (f *Follower) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cache = feed.NewCache()
	f.position.Store(&feed.Position{})
}

// applyAnswer applies an answer of the store and reports whether it still follows what is known.
func (f *Follower) applyAnswer(u feed.Update, events []Event) bool {
	for _, e := range events {
		if e.Item.Key != "" {
			u.Items = append(u.Items, e.Item)
		}
	}
	f.mu.Lock()
	if f.cache.CheckApplicable(u) != nil {
		f.mu.Unlock()
		return false
	}
	f.noteEraChange(u.To, time.Now(), FromStore)
	changed := make(map[string]bool)
	for _, it := range f.cache.Apply(u) {
		changed[it.Key] = true
	}
	f.raisePosition()
	f.applyEvents(changedEvents(events, changed), FromStore)
	f.mu.Unlock()
	if len(changed) > 0 {
		f.onChange()
	}
	return true
}

// changedEvents returns the events whose entries changed. Peers may have reported the others
// already.
func changedEvents(events []Event, changed map[string]bool) []Event {
	out := make([]Event, 0, len(events))
	for _, e := range events {
		if e.Item.Key == "" || changed[e.Item.Key] {
			out = append(out, e)
		}
	}
	return out
}

// raisePosition publishes the position of the cache if it has risen. mu must be held.
func (f *Follower) raisePosition() {
	if at := f.cache.Position(); at.After(f.Position()) {
		f.position.Store(&at)
		f.positionRaisedAt = time.Now()
	}
}

// noteRecovery records that the store recovered from an outage, and tells the sink if this is
// new.
func (f *Follower) noteRecovery(at time.Time) {
	f.mu.Lock()
	isNew := f.cache.NoteRecovery(at)
	f.mu.Unlock()
	if isNew {
		f.sink.StoreRecovered()
	}
}
