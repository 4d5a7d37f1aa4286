package replica

import (
	"slices"
	"time"
)

// Change is the effect of a published report on the table.
type Change int

const (
	// Unchanged means that the report contained nothing new, or was older than one already seen.
	Unchanged Change = iota
	// Joined means that the leaf is new, or is listed again after its removal.
	Joined
	// DrainStarted means that the leaf takes no new requests from now on.
	DrainStarted
	// Moved means that the address, the zone or the services have changed.
	Moved
	// TurnedCold means that the leaf reports to be cold and was not cold before.
	TurnedCold
	// Restarted means that the leaf is a new incarnation. Requests in flight at the previous one
	// are lost.
	Restarted
)

// String returns the name of the change in logs.
func (c Change) String() string {
	return [...]string{"unchanged", "joined", "drains", "moved", "turned_cold", "reborn"}[c]
}

// departedTTL is how long the last report of a removed leaf is remembered. It covers a few
// heartbeat intervals, and so the reports that were in transit when the leaf left.
const departedTTL = 30 * time.Second

// Upsert applies one published report.
//
// An older report of a draining leaf can arrive after the one that announced the draining. If
// it were applied, a leaf that is about to exit would get new requests, which would be cut off
// at the end of a planned stop. Draining is therefore final for an incarnation, and reports
// with a lower sequence are dropped.
//
// A leaf that crashed may restart under the same ID, and count its reports from the beginning.
// By sequence alone, all of them would look outdated, and a healthy leaf would get no requests
// any more. Incarnations are therefore compared first, and a later one starts with a new
// record.
func (t *Table) Upsert(leaf Leaf, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[leaf.ID]
	if r == nil {
		return t.join(leaf, now)
	}
	switch {
	case leaf.StartedAt.After(r.StartedAt):
		t.replace(r, leaf, now)
		return Restarted
	case leaf.StartedAt.Before(r.StartedAt), leaf.Sequence < r.Sequence:
		return Unchanged
	}
	r.lapsed = false
	wasCold := now.Before(r.coldUntil)
	r.setColdRemaining(leaf.ColdRemaining, now)
	change := Unchanged
	switch {
	case leaf.Draining && !r.Draining:
		change = DrainStarted
	case leaf.Addr != r.Addr || leaf.Zone != r.Zone || !slices.Equal(leaf.Services, r.Services):
		change = Moved
	case leaf.ColdRemaining > 0 && !wasCold:
		change = TurnedCold
	}
	leaf.Draining = leaf.Draining || r.Draining
	if slices.Equal(leaf.Services, r.Services) {
		r.Leaf = leaf
		return change
	}
	t.detach(r)
	r.Leaf = leaf
	t.attach(r)
	return change
}

// join adds a leaf that is not in the table, unless the report is older than its removal.
func (t *Table) join(leaf Leaf, now time.Time) Change {
	previous, hasLeft := t.departed[leaf.ID]
	switch {
	case hasLeft && leaf.StartedAt.Before(previous.startedAt):
		return Unchanged
	case hasLeft && leaf.StartedAt.Equal(previous.startedAt):
		if leaf.Sequence <= previous.sequence && previous.draining {
			return Unchanged
		}
		leaf.Draining = leaf.Draining || previous.draining
	}
	delete(t.departed, leaf.ID)
	t.add(leaf, now)
	if leaf.Draining {
		return DrainStarted
	}
	return Joined
}

// add creates the record of a leaf.
func (t *Table) add(leaf Leaf, now time.Time) {
	r := newLeafRecord(leaf, now)
	t.lastRecord++
	r.number = t.lastRecord
	t.leafs[leaf.ID] = r
	t.attach(r)
}

// replace replaces r by a new record. The outcomes of calls that are in flight at r are ignored
// from then on.
func (t *Table) replace(r *leafRecord, leaf Leaf, now time.Time) {
	t.detach(r)
	t.add(leaf, now)
}

// attach adds r to the lists of its services.
func (t *Table) attach(r *leafRecord) {
	for _, name := range r.Services {
		s := t.service(name)
		s.leafs = append(s.leafs, r)
	}
}

// detach removes r from the lists of its services.
func (t *Table) detach(r *leafRecord) {
	r.busiestService = nil
	for _, name := range r.Services {
		s := t.service(name)
		s.leafs = slices.DeleteFunc(s.leafs, func(other *leafRecord) bool { return other == r })
	}
}

// SetDraining sets whether a leaf is draining, as learned from a source other than its reports.
// The leaf's replies announce draining earlier than the published list does, and a list whose
// IDs survive a restart shows when the leaf is back. It reports whether this is a change.
func (t *Table) SetDraining(id string, draining bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil || r.Draining == draining {
		return false
	}
	r.Draining = draining
	return true
}

// StoreRecovered records that the store has recovered from an outage or was restored.
//
// During an outage of the store, leafs cannot renew their entries. Healthy leafs therefore
// vanish from the list and reappear within about 2 s of the store's recovery. Removing them at
// once would leave services without leafs, so that all shards would be missing right after the
// outage. For LapseGrace after the recovery, vanished leafs are therefore only marked as lapsed
// and stay in use.
func (t *Table) StoreRecovered(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapseGraceUntil = now.Add(t.opts.LapseGrace)
}

// Remove records that a leaf is no longer listed. It returns true if the leaf has been removed
// from the table, and false if it is kept as lapsed for a grace period or was not known.
func (t *Table) Remove(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil {
		return false
	}
	if now.Before(t.lapseGraceUntil) {
		r.lapsed = true
		return false
	}
	t.drop(r, now)
	return true
}

// Withdraw removes a leaf whose published entry can no longer be read. It reports whether the
// leaf was in the table.
//
// The entry may have been overwritten by another writer after the leaf left. Using the last
// readable version would send requests to whatever process has its address now.
func (t *Table) Withdraw(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil {
		return false
	}
	t.drop(r, now)
	return true
}

// drop removes a record from the table and remembers its last report.
func (t *Table) drop(r *leafRecord, now time.Time) {
	t.detach(r)
	delete(t.leafs, r.ID)
	t.departed[r.ID] = departedLeaf{
		startedAt: r.StartedAt, sequence: r.Sequence, draining: r.Draining, removedAt: now,
	}
}

// Sweep removes the lapsed leafs whose grace period is over and returns their IDs. It also
// forgets the reports of leafs that left more than departedTTL ago. It is called on every tick.
func (t *Table) Sweep(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, d := range t.departed {
		if now.Sub(d.removedAt) > departedTTL {
			delete(t.departed, id)
		}
	}
	if now.Before(t.lapseGraceUntil) {
		return nil
	}
	var expired []string
	for id, r := range t.leafs {
		if r.lapsed {
			t.drop(r, now)
			expired = append(expired, id)
		}
	}
	return expired
}

// Leaf returns the leaf as it was last published, and whether it is in the table.
func (t *Table) Leaf(id string) (leaf Leaf, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil {
		return Leaf{}, false
	}
	return r.Leaf, true
}

// IDs returns the IDs of the leafs in the table, in no particular order.
func (t *Table) IDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.leafs))
	for id := range t.leafs {
		out = append(out, id)
	}
	return out
}
