package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// This file is the follower's part that has to do with other instances: it takes over what
// they have read, hands on what it knows, and stops reading where others do.

// OnChange lets changed be called when there is something new for others. It is called
// before Run.
func (f *Follower) OnChange(changed func()) { f.changed = changed }

// OnProof lets gap be told, each time that what is known is proven to be up to date, how long after
// the proof before. It is called before Run.
func (f *Follower) OnProof(gap func(time.Duration)) { f.proofGap = gap }

// ChangesSince is what has changed after a position.
func (f *Follower) ChangesSince(after feed.Position) feed.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Since(after, time.Now())
}

// HasSnapshot reports whether this instance has all that is published, from any source.
func (f *Follower) HasSnapshot() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Synced()
}

// Position is the store's as of the latest change that is known.
func (f *Follower) Position() feed.Position { return *f.position.Load() }

// MarkCurrent notes that all is known which the store had published by a time, as another instance says.
func (f *Follower) MarkCurrent(at time.Time) {
	if was, later := advance(&f.provenAt, at); later && was != nil {
		f.proofGap(at.Sub(*was))
	}
}

// MarkConfirmed notes the same where that instance has asked the store itself. Only this is told on: each
// message makes an answer seem younger by the time that it is on its way, so that instances which
// tell each other what they were told would never see it grow old.
func (f *Follower) MarkConfirmed(at time.Time) {
	advance(&f.confirmedAt, at)
	f.MarkCurrent(at)
}

// advance moves a time on unless it is later already, and returns what it was before.
func advance(p *atomic.Pointer[time.Time], at time.Time) (was *time.Time, later bool) {
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

// ConfirmedAt is when the store last answered, this instance or one that it listens to; zero before
// the first time.
func (f *Follower) ConfirmedAt() time.Time { return loaded(&f.confirmedAt) }

// answered notes an answer of the store when what it says has been taken over: what is known
// is at no time older than an answer that others are told of.
func (f *Follower) answered() {
	at := f.lastGood
	f.answeredAt.Store(&at)
	f.MarkConfirmed(at)
	f.changed() // Others that read the store need not ask it so soon.
}

// AnsweredAt is when the store last answered this instance; zero before the first time.
func (f *Follower) AnsweredAt() time.Time { return loaded(&f.answeredAt) }

// loaded is the time that p points to, zero for none.
func loaded(p *atomic.Pointer[time.Time]) time.Time {
	if at := p.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SetReading says whether this instance reads the store, and what it knows of the others that do.
func (f *Follower) SetReading(reading bool, group longpoll.PeerGroup) {
	f.group.Store(&group)
	if f.reading.Swap(reading) == reading {
		return
	}
	f.log.State("store_reading", oplog.Fields{"reading": reading, "revision": f.Position().Revision, "age_ms": f.Age(time.Now()).Milliseconds()})
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// Reading reports whether this instance reads the store.
func (f *Follower) Reading() bool { return f.reading.Load() }

// idle waits until this instance is to read the store.
func (f *Follower) idle(ctx context.Context) {
	f.failingSince = time.Time{}
	select {
	case <-f.woken:
	case <-ctx.Done():
		return
	}
	// Others could not read the store, or are gone, and this instance takes over. If that
	// was an outage, leafs that vanished meanwhile may only have lapsed.
	f.lastGood = loaded(&f.provenAt)
	if !f.lastGood.IsZero() && time.Since(f.lastGood) >= f.opts.OutageThreshold {
		f.failingSince = f.lastGood
	}
}

// ApplyPage takes over a page that another instance has sent.
func (f *Follower) ApplyPage(p feed.Update) error {
	if err := p.Validate(); err != nil {
		return err
	}
	returned := time.Now().Add(-time.Duration(p.RecoveredMsAgo) * time.Millisecond)
	if p.RecoveredMsAgo > 0 {
		f.returned(returned)
	}
	f.mu.Lock()
	if err := f.book.CheckApplicable(p); err != nil {
		f.mu.Unlock()
		return err
	}
	first := p.Full && !f.book.Synced()
	restored := f.restored(p.To, returned, FromPeer)
	fresh := f.book.Apply(p)
	f.rise()
	events := make([]Event, 0, len(fresh))
	listing := newListing()
	for _, it := range fresh {
		e := f.source.Decode(it)
		listing.add(e)
		events = append(events, e)
	}
	f.apply(events, FromPeer)
	if first {
		// What was known before was dropped, if there was anything: all that is new is all
		// there is.
		f.sink.Listed(listing)
	}
	f.mu.Unlock()
	if giveUp := f.open.Load(); restored && giveUp != nil {
		(*giveUp)(errEraEnded)
	}
	f.log.State("store_fed", oplog.Fields{
		"full": p.Full, "from": p.From.Revision, "era": p.To.Era, "revision": p.To.Revision, "entries": len(p.Items), "new": len(fresh),
	})
	if len(fresh) > 0 {
		f.changed()
	}
	return nil
}

// restored notes that the store has come back in another era, if what is taken over next is of one, and
// reports whether it is; mu is held. What the store has lost holds for a while from then on.
func (f *Follower) restored(to feed.Position, at time.Time, origin Origin) bool {
	was := f.Position()
	if !f.book.Synced() || to.Era <= was.Era {
		return false
	}
	f.restores.Add(1)
	f.book.NoteRestore(at)
	f.sink.StoreRecovered()
	f.log.State("store_era_changed", oplog.Fields{
		"era": to.Era, "revision": to.Revision, "was_era": was.Era, "was_revision": was.Revision, "origin": origin,
	})
	return true
}

// Sweep ends what the store has lost and nobody has written again in time. It is run each tick.
func (f *Follower) Sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lapsed := f.book.ExpireHeld(now, f.opts.LostEntryGrace, f.config.Item.Key)
	if len(lapsed) == 0 {
		return
	}
	events := make([]Event, 0, len(lapsed))
	for _, it := range lapsed {
		events = append(events, f.source.Decode(it))
	}
	f.apply(events, FromStore)
	f.log.State("store_entries_lapsed", oplog.Fields{"entries": len(lapsed), "era": f.Position().Era})
}

// contradictedAfter is how much later than a revision was heard of the store must have
// answered with a lower one to contradict it: clocks of two instances' messages differ by
// the way between them.
const contradictedAfter = time.Second

// ResetIfContradicted takes over where the store was when it answered another instance at a time. It forgets
// what is known if that cannot be: one instance that claimed a position which the store never had
// would keep this one from all later changes.
func (f *Follower) ResetIfContradicted(store feed.Position, at time.Time) bool {
	f.mu.Lock()
	known, risenAt := f.book.Position(), f.risenAt
	f.mu.Unlock()
	if !store.Before(known) || at.Sub(risenAt) < contradictedAfter {
		return false
	}
	f.log.State("store_feed_contradicted", oplog.Fields{
		"era": known.Era, "revision": known.Revision, "store_era": store.Era, "store_revision": store.Revision,
	})
	f.forget()
	return true
}

// forget drops what is known of the store; what the sink was told holds.
func (f *Follower) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book = feed.NewCache()
	f.position.Store(&feed.Position{})
}

// take takes over what the store has answered, unless that does not go on from what is known by now.
func (f *Follower) take(p feed.Update, events []Event) bool {
	for _, e := range events {
		if e.Item.Key != "" {
			p.Items = append(p.Items, e.Item)
		}
	}
	f.mu.Lock()
	if f.book.CheckApplicable(p) != nil {
		f.mu.Unlock()
		return false
	}
	f.restored(p.To, time.Now(), FromStore)
	fresh := make(map[string]bool)
	for _, it := range f.book.Apply(p) {
		fresh[it.Key] = true
	}
	f.rise()
	f.apply(onlyFresh(events, fresh), FromStore)
	f.mu.Unlock()
	if len(fresh) > 0 {
		f.changed()
	}
	return true
}

// onlyFresh are the events that are news: another instance may have told of the others.
func onlyFresh(events []Event, fresh map[string]bool) []Event {
	out := make([]Event, 0, len(events))
	for _, e := range events {
		if e.Item.Key == "" || fresh[e.Item.Key] {
			out = append(out, e)
		}
	}
	return out
}

// rise notes the book's position; mu is held.
func (f *Follower) rise() {
	if at := f.book.Position(); at.After(f.Position()) {
		f.position.Store(&at)
		f.risenAt = time.Now()
	}
}

// returned notes that the store has come back after an outage.
func (f *Follower) returned(at time.Time) {
	f.mu.Lock()
	news := f.book.NoteRecovery(at)
	f.mu.Unlock()
	if news {
		f.sink.StoreRecovered()
	}
}
