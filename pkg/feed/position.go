package feed

import "cmp"

// Position is a point in the history of the store: a revision in one of its eras. The revision
// rises by one with each change. When the store is restored from a copy, its era rises, and the
// revisions after that of the copy are assigned again, to other changes.
type Position struct {
	_             struct{} `cbor:",toarray"`
	Era, Revision int64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// After reports whether p is later than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// valid reports whether the store can have reached p.
func (p Position) valid() bool {
	return p.Era >= 0 && p.Era <= maxRevision && p.Revision >= 0 && p.Revision <= maxRevision
}
