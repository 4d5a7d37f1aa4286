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
	// Revision is the store's when the entry was written or deleted.
	Revision int64
	Deleted  bool
	// Raw is the entry undecoded; empty for a deletion.
	Raw []byte
}

// Page is what one instance tells another.
type Page struct {
	_ struct{} `cbor:",toarray"`
	// Full: Items are all there is; otherwise what has changed after From.
	Full bool
	// From and To are the revisions that the page leads from and to.
	From, To int64
	Items    []Item
	// ReturnedMs is how long ago the store has come back after an outage, in ms; zero: it
	// has not of late.
	ReturnedMs uint32
}

// revisionMost is far above what a counter of changes reaches; more is no revision.
const revisionMost = 1 << 52

// listingWrites is how many changes may be written while the store is listed: its pages are no
// snapshot, and the later ones hold entries that are newer than the revision of the first. A
// listing takes some tens of milliseconds, and the largest store takes 3,200 writes a second.
const listingWrites = 10000

// ErrRevision: a page claims a revision that cannot be.
var ErrRevision = errors.New("no such revision of the store")

// Check reports whether a page is one that a sound instance sends.
func (p *Page) Check() error {
	if p.From < 0 || p.To < p.From || p.To > revisionMost {
		return ErrRevision
	}
	most := p.To
	if p.Full {
		most += listingWrites
	}
	for i := range p.Items {
		if p.Items[i].Revision < 0 || p.Items[i].Revision > most {
			return ErrRevision
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

// Book is what one instance knows of the store. It is not safe for concurrent use.
type Book struct {
	items    map[string]Item
	revision int64
	// floor is the revision up to which deletions have been forgotten: who knows less
	// gets a full page.
	floor     int64
	deletions int
	// known: the book holds all of some revision.
	known      bool
	returnedAt time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{items: make(map[string]Item)} }

// Revision is the store's as of the latest entry, and Known whether the book holds all of
// it.
func (b *Book) Revision() int64 { return b.revision }

// Known reports whether the book holds all of some revision.
func (b *Book) Known() bool { return b.known }

// Returned notes that the store has come back after an outage. It reports whether that is
// news: several may tell of one return.
func (b *Book) Returned(at time.Time) bool {
	if at.Sub(b.returnedAt) < returnTold {
		return false
	}
	b.returnedAt = at
	return true
}

// Take takes over a page and returns what is new in it. Entries are compared one by one,
// so that a page of an instance that is behind takes nothing back.
func (b *Book) Take(p Page) []Item {
	var fresh []Item
	for _, it := range p.Items {
		if b.put(it) {
			fresh = append(fresh, it)
		}
	}
	if p.Full {
		fresh = append(fresh, b.missing(p)...)
	}
	if p.Full && !b.known {
		// What was deleted before is not in the book. One that has been told less must be
		// told all: it would go on using leafs that left while the history was lost.
		b.known, b.floor = true, p.To
	}
	b.revision = max(b.revision, p.To)
	b.forget()
	return fresh
}

// put takes over an entry if it is newer than the one that is known.
func (b *Book) put(it Item) bool {
	have, ok := b.items[it.Key]
	if it.Key == "" || (ok && it.Revision <= have.Revision) {
		return false
	}
	if it.Deleted {
		it.Raw = nil
	}
	b.deletions += count(it.Deleted) - count(ok && have.Deleted)
	b.items[it.Key] = it
	return true
}

// missing turns entries that a full page lacks into deletions.
func (b *Book) missing(p Page) []Item {
	listed := make(map[string]bool, len(p.Items))
	for _, it := range p.Items {
		listed[it.Key] = true
	}
	var out []Item
	for key, it := range b.items {
		if it.Deleted || listed[key] || it.Revision > p.To {
			continue
		}
		gone := Item{Key: key, Revision: p.To, Deleted: true}
		b.items[key] = gone
		b.deletions++
		out = append(out, gone)
	}
	return out
}

// forget drops deletions when there are too many of them.
func (b *Book) forget() {
	if b.deletions <= deletionsKept {
		return
	}
	for key, it := range b.items {
		if it.Deleted {
			delete(b.items, key)
		}
	}
	b.deletions = 0
	b.floor = b.revision
}

// Since is what has changed after a revision, or all there is where that is not known.
func (b *Book) Since(revision int64, now time.Time) Page {
	p := Page{From: revision, To: b.revision}
	if !b.returnedAt.IsZero() && now.Sub(b.returnedAt) < returnTold {
		p.ReturnedMs = uint32(max(now.Sub(b.returnedAt).Milliseconds(), 1))
	}
	if revision <= 0 || revision < b.floor {
		p.Full, p.From = true, 0
	}
	for _, it := range b.items {
		if (p.Full && !it.Deleted) || (!p.Full && it.Revision > revision) {
			p.Items = append(p.Items, it)
		}
	}
	if revision > b.revision {
		p.From = b.revision
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
