// Package feed distributes what the platform's store publishes among the instances of an
// availability zone, so that only a few of them read the store. A Cache holds the latest entry of
// each key and returns the changes since a position. A Planner decides to which peers an
// instance subscribes and whether it reads the store itself. The package does no I/O and takes the
// time as an argument.
package feed

import (
	"errors"
	"time"
)

// Item is one entry of the store as it was published.
type Item struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// At is the position of the store at which the entry was written or deleted.
	At      Position
	Deleted bool
	// Raw is the encoded entry. It is empty for a deletion.
	Raw []byte
}

// Update is what one instance sends to another: a snapshot of all entries, or a delta.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Full means that Items are all live entries; otherwise they are what changed after From.
	Full bool
	// From and To are the positions that the update leads from and to.
	From, To Position
	Items    []Item
	// RecoveredMsAgo is how long ago the store recovered from an outage, in ms. Zero means that
	// there was no recent recovery.
	RecoveredMsAgo uint32
}

// maxRevision is far above what a counter of changes reaches. Larger values are invalid.
const maxRevision = 1 << 52

// maxWritesDuringListing is the maximum number of changes that may be written while the store is
// listed. The pages of a listing are not a consistent snapshot: later pages may hold entries
// newer than the revision of the first one. A listing takes some tens of milliseconds, and the
// largest store takes 3,200 writes/s.
const maxWritesDuringListing = 10000

// Errors returned for updates that cannot be applied.
var (
	// ErrInvalidPosition means that an update claims a position that the store cannot have
	// reached.
	ErrInvalidPosition = errors.New("update claims a position that the store cannot have reached")
	// ErrGap means that changes are missing between what is known and the update.
	ErrGap = errors.New("update does not follow the known position: changes are missing")
	// ErrStaleEra means that an update is from an era of the store that has ended.
	ErrStaleEra = errors.New("update is from an era of the store that has ended")
)

// Validate checks that the positions in the update are possible and consistent.
func (u *Update) Validate() error {
	if !u.From.valid() || !u.To.valid() || u.To.Before(u.From) || (!u.Full && u.From.Era != u.To.Era) {
		return ErrInvalidPosition
	}
	limit := u.To
	if u.Full {
		limit.Revision += maxWritesDuringListing
	}
	for i := range u.Items {
		if at := u.Items[i].At; !at.valid() || at.After(limit) {
			return ErrInvalidPosition
		}
	}
	return nil
}

// Limits of what is remembered.
const (
	// maxTombstones is how many deletions are remembered: a release replaces a few hundred leafs,
	// and an outage of a few seconds expires as many.
	maxTombstones = 4096
	// recoveryNoticePeriod is how long a recovery of the store is reported: as long as instances
	// wait for leafs whose entries lapsed during the outage.
	recoveryNoticePeriod = 3 * time.Second
)

// Cache is one instance's copy of the store. It is not safe for concurrent use.
type Cache struct {
	items    map[string]Item
	position Position
	// deltaFloor is the position up to which deletions may have been forgotten. Subscribers
	// that are behind it get a snapshot.
	deltaFloor Position
	tombstones int
	// synced means that the cache holds all entries as of some position.
	synced      bool
	recoveredAt time.Time
	// hasLost means that there may be lost entries: those of an era that has ended, which the
	// restored store lacks. They are kept for a while so that their writers can write them again.
	hasLost bool
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{items: make(map[string]Item)} }

// Position returns the position of the store as of the latest entry.
func (c *Cache) Position() Position { return c.position }

// Synced reports whether the cache holds all entries as of some position.
func (c *Cache) Synced() bool { return c.synced }

// NoteRecovery records that the store has recovered from an outage. It reports whether this is
// new, as several sources may report the same recovery.
func (c *Cache) NoteRecovery(at time.Time) bool {
	if at.Sub(c.recoveredAt) < recoveryNoticePeriod {
		return false
	}
	c.recoveredAt = at
	return true
}

// NoteRestore records that the store was restored, that is, came back in a later era.
func (c *Cache) NoteRestore(at time.Time) { c.recoveredAt = at }

// CheckApplicable checks that an update follows what is known.
func (c *Cache) CheckApplicable(u Update) error {
	switch {
	case c.synced && u.To.Era < c.position.Era:
		return ErrStaleEra
	case u.Full:
		return nil
	case !c.synced || u.From.Era != c.position.Era || u.From.After(c.position):
		return ErrGap
	}
	return nil
}

// Apply adopts an applicable update and returns the entries that changed. Entries are compared
// one by one, so that an update from an instance that is behind reverts nothing.
func (c *Cache) Apply(u Update) []Item {
	var changed []Item
	outdated := c.synced && u.To.Before(c.position)
	for _, it := range u.Items {
		if !(outdated && c.deletedSince(it)) && c.put(it) {
			changed = append(changed, it)
		}
	}
	if u.Full {
		changed = append(changed, c.deleteMissing(u)...)
	}
	if u.Full && (!c.synced || u.To.After(c.position)) {
		// The cache does not know the deletions before this position. Subscribers that are behind
		// it need a snapshot, or they would go on using leafs that were removed in between.
		c.synced, c.deltaFloor = true, u.To
	}
	if u.To.After(c.position) {
		c.position = u.To
	}
	c.dropTombstones()
	return changed
}

// deletedSince reports whether an entry of an outdated update has been deleted since. At
// deltaFloor the cache held all entries that existed, so an entry that is as old and was not
// among them had been deleted by then.
func (c *Cache) deletedSince(it Item) bool {
	known, ok := c.items[it.Key]
	return it.At.Era == c.deltaFloor.Era && !it.At.After(c.deltaFloor) && (!ok || known.At.Era < it.At.Era)
}

// put adopts an entry if it is newer than the known one and reports whether it did.
func (c *Cache) put(it Item) bool {
	known, ok := c.items[it.Key]
	if it.Key == "" || (ok && !it.At.After(known.At)) {
		return false
	}
	if it.Deleted {
		it.Raw = nil
	}
	c.tombstones += boolToInt(it.Deleted) - boolToInt(ok && known.Deleted)
	c.items[it.Key] = it
	return true
}

// deleteMissing deletes the entries that a snapshot lacks. It keeps those of an earlier era,
// which the store has lost.
func (c *Cache) deleteMissing(u Update) []Item {
	listed := make(map[string]bool, len(u.Items))
	for _, it := range u.Items {
		listed[it.Key] = it.At.Era == u.To.Era // Entries of an earlier era are lost.
	}
	var out []Item
	for key, it := range c.items {
		switch {
		case it.Deleted:
		case it.At.Era < u.To.Era:
			c.hasLost = true
		case !listed[key] && !it.At.After(u.To):
			out = append(out, c.delete(key, u.To))
		}
	}
	return out
}

// delete replaces an entry by a tombstone and returns it.
func (c *Cache) delete(key string, at Position) Item {
	deletion := Item{Key: key, At: at, Deleted: true}
	c.items[key] = deletion
	c.tombstones++
	return deletion
}

// ExpireLost deletes the entries that are still lost when the grace period for writing them again
// is over, and returns their tombstones. The entry under keptKey stays until it is replaced.
func (c *Cache) ExpireLost(now time.Time, grace time.Duration, keptKey string) []Item {
	if !c.hasLost || now.Sub(c.recoveredAt) < grace {
		return nil
	}
	c.hasLost = false
	var out []Item
	for key, it := range c.items {
		if !it.Deleted && it.At.Era < c.position.Era && key != keptKey {
			out = append(out, c.delete(key, c.position))
		}
	}
	c.dropTombstones()
	return out
}

// ReplaceContent replaces the content of an entry in the cache without changing its position.
func (c *Cache) ReplaceContent(key string, raw []byte) {
	if it, ok := c.items[key]; ok && !it.Deleted {
		it.Raw = raw
		c.items[key] = it
	}
}

// dropTombstones drops all tombstones when there are too many of them.
func (c *Cache) dropTombstones() {
	if c.tombstones <= maxTombstones {
		return
	}
	for key, it := range c.items {
		if it.Deleted {
			delete(c.items, key)
		}
	}
	c.tombstones = 0
	c.deltaFloor = c.position
}

// Since returns what changed after a position, or a snapshot if the changes are not known.
func (c *Cache) Since(after Position, now time.Time) Update {
	u := Update{From: after, To: c.position}
	if !c.recoveredAt.IsZero() && (c.hasLost || now.Sub(c.recoveredAt) < recoveryNoticePeriod) {
		u.RecoveredMsAgo = uint32(max(now.Sub(c.recoveredAt).Milliseconds(), 1))
	}
	if after.Revision <= 0 || after.Before(c.deltaFloor) {
		u.Full, u.From = true, Position{}
	}
	for _, it := range c.items {
		if (u.Full && !it.Deleted) || (!u.Full && it.At.After(after)) {
			u.Items = append(u.Items, it)
		}
	}
	if after.After(c.position) {
		u.From = c.position
	}
	return u
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
