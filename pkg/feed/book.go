// Package feed lets the instances of an availability zone know what the platform's store
// publishes although only a few of them read it. A Book holds the latest entry of each key
// and says what has changed since a revision; a Plan says to whom an instance listens and
// whether it reads the store itself. The package does no I/O; time is an argument.
package feed

import (
	"errors"
	"time"
)

// Item is one entry of the store as it was published.
type Item struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// At is where the store was when the entry was written or deleted.
	At      Position
	Deleted bool
	// Raw is the entry undecoded; empty for a deletion.
	Raw []byte
}

// Update is what one instance tells another.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Full: Items are all there is; otherwise what has changed after From.
	Full bool
	// From and To are the positions that the page leads from and to.
	From, To Position
	Items    []Item
	// RecoveredMsAgo is how long ago the store has come back after an outage, in ms; zero: it
	// has not of late.
	RecoveredMsAgo uint32
}

// revisionMost is far above what a counter of changes reaches; more is no revision.
const revisionMost = 1 << 52

// listingWrites is how many changes may be written while the store is listed: its pages are no
// snapshot, and the later ones hold entries that are newer than the revision of the first. A
// listing takes some tens of milliseconds, and the largest store takes 3,200 writes a second.
const listingWrites = 10000

// Errors of pages.
var (
	// ErrInvalidPosition: a page claims a position that the store cannot have got to.
	ErrInvalidPosition = errors.New("no such position of the store")
	// ErrGap: changes are missing between what is known and a page.
	ErrGap = errors.New("changes are missing before the page")
	// ErrStaleEra: a page is of an era of the store that has ended.
	ErrStaleEra = errors.New("page of an era of the store that has ended")
)

// Validate reports whether a page is one that a sound instance sends.
func (p *Update) Validate() error {
	if !p.From.possible() || !p.To.possible() || p.To.Before(p.From) || (!p.Full && p.From.Era != p.To.Era) {
		return ErrInvalidPosition
	}
	most := p.To
	if p.Full {
		most.Revision += listingWrites
	}
	for i := range p.Items {
		if at := p.Items[i].At; !at.possible() || at.After(most) {
			return ErrInvalidPosition
		}
	}
	return nil
}

// Bounds of what is kept.
const (
	// deletionsKept is how many deletions are remembered: a release replaces some hundred
	// leafs, an outage of some seconds lets as many lapse.
	deletionsKept = 4096
	// returnTold is how long a return of the store is told: as long as leafs that lapsed
	// meanwhile are waited for.
	returnTold = 3 * time.Second
)

// Cache is what one instance knows of the store. It is not safe for concurrent use.
type Cache struct {
	items map[string]Item
	at    Position
	// floor is the position up to which deletions have been forgotten: who knows less
	// gets a full page.
	floor     Position
	deletions int
	// known: the book holds all of some position.
	known      bool
	returnedAt time.Time
	// held: there may be entries of an era that has ended. The store has lost them, and their writers
	// are given some time to write them again.
	held bool
}

// NewCache returns an empty book.
func NewCache() *Cache { return &Cache{items: make(map[string]Item)} }

// Position is the store's as of the latest entry.
func (b *Cache) Position() Position { return b.at }

// Synced reports whether the book holds all of some position.
func (b *Cache) Synced() bool { return b.known }

// NoteRecovery notes that the store has come back after an outage. It reports whether that is
// news: several may tell of one return.
func (b *Cache) NoteRecovery(at time.Time) bool {
	if at.Sub(b.returnedAt) < returnTold {
		return false
	}
	b.returnedAt = at
	return true
}

// NoteRestore notes that the store has come back in another era.
func (b *Cache) NoteRestore(at time.Time) { b.returnedAt = at }

// CheckApplicable reports whether a page can be taken over, as far as what is known goes.
func (b *Cache) CheckApplicable(p Update) error {
	switch {
	case b.known && p.To.Era < b.at.Era:
		return ErrStaleEra
	case p.Full:
		return nil
	case !b.known || p.From.Era != b.at.Era || p.From.After(b.at):
		return ErrGap
	}
	return nil
}

// Apply takes over a page that fits and returns what is new in it. Entries are compared one by one,
// so that a page of an instance that is behind takes nothing back.
func (b *Cache) Apply(p Update) []Item {
	var fresh []Item
	behind := b.known && p.To.Before(b.at)
	for _, it := range p.Items {
		if !(behind && b.deletedBefore(it)) && b.put(it) {
			fresh = append(fresh, it)
		}
	}
	if p.Full {
		fresh = append(fresh, b.missing(p)...)
	}
	if p.Full && (!b.known || p.To.After(b.at)) {
		// What came and went before is not in the book. One that has been told less must be
		// told all: it would go on using leafs that left in between.
		b.known, b.floor = true, p.To
	}
	if p.To.After(b.at) {
		b.at = p.To
	}
	b.forget()
	return fresh
}

// deletedBefore reports whether an entry of a page that is behind has been deleted since. At its floor the
// book had all entries that there were, so one that is as old and was not among them was gone by then.
func (b *Cache) deletedBefore(it Item) bool {
	have, ok := b.items[it.Key]
	return it.At.Era == b.floor.Era && !it.At.After(b.floor) && (!ok || have.At.Era < it.At.Era)
}

// put takes over an entry if it is newer than the one that is known.
func (b *Cache) put(it Item) bool {
	have, ok := b.items[it.Key]
	if it.Key == "" || (ok && !it.At.After(have.At)) {
		return false
	}
	if it.Deleted {
		it.Raw = nil
	}
	b.deletions += count(it.Deleted) - count(ok && have.Deleted)
	b.items[it.Key] = it
	return true
}

// missing turns entries that a full page lacks into deletions, but for those of an earlier era: the
// store has lost them, and they are held.
func (b *Cache) missing(p Update) []Item {
	listed := make(map[string]bool, len(p.Items))
	for _, it := range p.Items {
		listed[it.Key] = it.At.Era == p.To.Era // One that is held there is not in the store.
	}
	var out []Item
	for key, it := range b.items {
		switch {
		case it.Deleted:
		case it.At.Era < p.To.Era:
			b.held = true
		case !listed[key] && !it.At.After(p.To):
			out = append(out, b.delete(key, p.To))
		}
	}
	return out
}

// delete turns an entry into a deletion.
func (b *Cache) delete(key string, at Position) Item {
	gone := Item{Key: key, At: at, Deleted: true}
	b.items[key] = gone
	b.deletions++
	return gone
}

// ExpireHeld turns entries that are held into deletions when the time to write them again is over, but for
// one that stays until it is replaced, and returns them.
func (b *Cache) ExpireHeld(now time.Time, hold time.Duration, stays string) []Item {
	if !b.held || now.Sub(b.returnedAt) < hold {
		return nil
	}
	b.held = false
	var out []Item
	for key, it := range b.items {
		if !it.Deleted && it.At.Era < b.at.Era && key != stays {
			out = append(out, b.delete(key, b.at))
		}
	}
	b.forget()
	return out
}

// ReplaceContent replaces the content of an entry that the book holds, at the same position.
func (b *Cache) ReplaceContent(key string, raw []byte) {
	if it, ok := b.items[key]; ok && !it.Deleted {
		it.Raw = raw
		b.items[key] = it
	}
}

// forget drops deletions when there are too many of them.
func (b *Cache) forget() {
	if b.deletions <= deletionsKept {
		return
	}
	for key, it := range b.items {
		if it.Deleted {
			delete(b.items, key)
		}
	}
	b.deletions = 0
	b.floor = b.at
}

// Since is what has changed after a position, or all there is where that is not known.
func (b *Cache) Since(after Position, now time.Time) Update {
	p := Update{From: after, To: b.at}
	if !b.returnedAt.IsZero() && (b.held || now.Sub(b.returnedAt) < returnTold) {
		p.RecoveredMsAgo = uint32(max(now.Sub(b.returnedAt).Milliseconds(), 1))
	}
	if after.Revision <= 0 || after.Before(b.floor) {
		p.Full, p.From = true, Position{}
	}
	for _, it := range b.items {
		if (p.Full && !it.Deleted) || (!p.Full && it.At.After(after)) {
			p.Items = append(p.Items, it)
		}
	}
	if after.After(b.at) {
		p.From = b.at
	}
	return p
}

// count is 1 for true.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
