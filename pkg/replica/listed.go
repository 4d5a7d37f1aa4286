package replica

import (
	"slices"
	"time"
)

// Change says what a published report did to the table.
type Change int

const (
	// Unchanged: nothing new, or a report older than one already seen.
	Unchanged Change = iota
	// Joined: the leaf is new, or back after it had lapsed.
	Joined
	// DrainStarted: the leaf takes no new work from now on.
	DrainStarted
	// Moved: address, zone or service differ.
	Moved
	// TurnedCold: the leaf says that it is cold, which it was not.
	TurnedCold
	// Restarted: the leaf has started again; what was in flight there is lost.
	Restarted
)

// String names the change in logs.
func (c Change) String() string {
	return [...]string{"unchanged", "joined", "drains", "moved", "turned_cold", "reborn"}[c]
}

// departedFor bounds how long the last report of a departed leaf is
// remembered: a few heartbeats cover reports that were under way when it
// left.
const departedFor = 30 * time.Second

// Upsert takes over one published report.
//
// A draining leaf's earlier report can be delivered after its draining one.
// Taken at face value it would put new work on a leaf that is about to exit;
// one notices requests cut off at the end of a planned stop. So draining is
// final for an incarnation, and its reports with a lower sequence are dropped.
//
// A leaf that crashed may start again under its ID, with its reports counted anew.
// Compared by sequence alone they would all look old; one notices a leaf that gets
// no requests for good, though it is well. So incarnations are compared first, and a
// later one begins with a row that knows nothing of the earlier one.
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
	r.learnCold(leaf.ColdRemaining, now)
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

// join adds a row for a leaf that is not in the table.
func (t *Table) join(leaf Leaf, now time.Time) Change {
	was, left := t.sequences[leaf.ID]
	switch {
	case left && leaf.StartedAt.Before(was.born):
		return Unchanged
	case left && leaf.StartedAt.Equal(was.born):
		if leaf.Sequence <= was.sequence && was.draining {
			return Unchanged
		}
		leaf.Draining = leaf.Draining || was.draining
	}
	delete(t.sequences, leaf.ID)
	t.add(leaf, now)
	if leaf.Draining {
		return DrainStarted
	}
	return Joined
}

// add makes a row for a leaf.
func (t *Table) add(leaf Leaf, now time.Time) {
	r := newRow(leaf, now)
	t.leafs[leaf.ID] = r
	t.attach(r)
}

// replace puts a new row in the place of r, whose calls in flight teach nothing more.
func (t *Table) replace(r *row, leaf Leaf, now time.Time) {
	t.detach(r)
	t.add(leaf, now)
}

// attach lists r under its services.
func (t *Table) attach(r *row) {
	for _, name := range r.Services {
		s := t.service(name)
		s.leafs = append(s.leafs, r)
	}
}

// detach takes r off its services' lists.
func (t *Table) detach(r *row) {
	r.busiest = nil
	for _, name := range r.Services {
		s := t.service(name)
		s.leafs = slices.DeleteFunc(s.leafs, func(have *row) bool { return have == r })
	}
}

// SetDraining takes over from another source than the published list whether a
// leaf is leaving: its own replies say so before the list does, and a list whose
// IDs outlive a restart says when the leaf is back. It reports whether that is
// new.
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

// StoreReturned says that the store answers again after an outage.
//
// While the store is away, leafs cannot renew their entries, so healthy leafs
// vanish from the list and reappear within about two seconds of its return.
// Dropping them at once would empty whole services; one notices every shard
// missing right after an outage ends. So for LapseGrace after the return a
// vanished leaf is only marked, and used on.
func (t *Table) StoreReturned(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapseUntil = now.Add(t.opts.LapseGrace)
}

// Remove takes over that a leaf is no longer listed. It reports whether the
// leaf is out of use at once (false: it lapsed and is kept for a while, or was
// not known).
func (t *Table) Remove(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil {
		return false
	}
	if now.Before(t.lapseUntil) {
		r.lapsed = true
		return false
	}
	t.drop(r, now)
	return true
}

// Withdraw takes over that a leaf's entry cannot be read any more: it is out of use
// at once. It reports whether the leaf was in the table.
//
// Another writer may have put the entry there, for a leaf that has left. Going on with
// the last readable one would send requests to whatever has its address now.
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

// drop forgets a row.
func (t *Table) drop(r *row, now time.Time) {
	t.detach(r)
	delete(t.leafs, r.ID)
	t.sequences[r.ID] = departed{born: r.StartedAt, sequence: r.Sequence, draining: r.Draining, at: now}
}

// Sweep is the membership system: run each tick, it drops the lapsed leafs
// whose grace is over and returns their IDs.
func (t *Table) Sweep(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, d := range t.sequences {
		if now.Sub(d.at) > departedFor {
			delete(t.sequences, id)
		}
	}
	if now.Before(t.lapseUntil) {
		return nil
	}
	var gone []string
	for id, r := range t.leafs {
		if r.lapsed {
			t.drop(r, now)
			gone = append(gone, id)
		}
	}
	return gone
}

// Leaf returns a leaf as it is listed.
func (t *Table) Leaf(id string) (leaf Leaf, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leafs[id]
	if r == nil {
		return Leaf{}, false
	}
	return r.Leaf, true
}

// IDs lists the leafs in the table.
func (t *Table) IDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.leafs))
	for id := range t.leafs {
		out = append(out, id)
	}
	return out
}
