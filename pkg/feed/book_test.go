package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var bookStart = time.Unix(7000, 0)

// at is a revision of the first era.
func at(revision int64) Position { return Position{Revision: revision} }

// put is an entry with its key as content.
func put(key string, revision int64) Item {
	return Item{Key: key, At: at(revision), Raw: []byte(key)}
}

// gone is a deletion.
func gone(key string, revision int64) Item { return Item{Key: key, At: at(revision), Deleted: true} }

// live are the keys that a book holds.
func live(b *Cache) map[string]int64 {
	out := map[string]int64{}
	for _, it := range b.Since(at(0), bookStart).Items {
		out[it.Key] = it.At.Revision
	}
	return out
}

// full is a page of all there is.
func full(to int64, items ...Item) Update { return Update{Full: true, To: at(to), Items: items} }

func TestBookHandsOnWhatChanged(t *testing.T) {
	a, b := NewCache(), NewCache()
	require.False(t, a.Synced())
	require.Len(t, a.Apply(full(10, put("x", 3), put("y", 10))), 2)
	require.True(t, a.Synced())
	require.Len(t, b.Apply(a.Since(at(0), bookStart)), 2)
	a.Apply(Update{From: at(10), To: at(14), Items: []Item{put("z", 12), gone("x", 13), put("y", 14)}})
	delta := a.Since(b.Position(), bookStart)
	require.False(t, delta.Full)
	require.Len(t, delta.Items, 3)
	require.Len(t, b.Apply(delta), 3)
	require.Equal(t, live(a), live(b))
	require.Equal(t, map[string]int64{"y": 14, "z": 12}, live(b))
	require.Empty(t, a.Since(at(14), bookStart).Items)
}

// Symptom: an instance goes back to a configuration that was replaced, or uses a leaf that
// has left. Sequence: a cut heals; one of its two sources is behind the other and sends what
// it has, whole or in part. Cause it guards against: taking a page for the newest because it
// came last.
func TestPagesThatAreBehindTakeNothingBack(t *testing.T) {
	b := NewCache()
	b.Apply(full(20, put("config", 18), gone("left", 17), put("new", 20)))
	b.Apply(Update{From: at(20), To: at(22), Items: []Item{gone("left", 21)}})
	require.Empty(t, b.Apply(full(15, put("config", 9), put("left", 12))))
	require.Empty(t, b.Apply(Update{From: at(5), To: at(16), Items: []Item{put("left", 12), put("config", 16)}}))
	require.Equal(t, map[string]int64{"config": 18, "new": 20}, live(b))
	require.Equal(t, at(22), b.Position())
}

// What a full page lacks has gone, but for what came later.
func TestFullPageEndsWhatItLacks(t *testing.T) {
	b := NewCache()
	b.Apply(full(10, put("a", 3), put("b", 4), put("c", 10)))
	b.Apply(Update{From: at(10), To: at(12), Items: []Item{put("d", 12)}})
	fresh := b.Apply(full(11, put("a", 3)))
	require.Len(t, fresh, 2)
	for _, it := range fresh {
		require.True(t, it.Deleted)
		require.Contains(t, []string{"b", "c"}, it.Key)
	}
	require.Equal(t, map[string]int64{"a": 3, "d": 12}, live(b))
}

// Deletions are not remembered for ever: who was told before is told all again.
func TestForgottenDeletionsMakeAFullPage(t *testing.T) {
	b := NewCache()
	b.Apply(full(1, put("kept", 1)))
	var items []Item
	for i := range int64(deletionsKept + 1) {
		items = append(items, gone(fmt.Sprint("k", i), 2+i))
	}
	to := int64(deletionsKept + 2)
	b.Apply(Update{From: at(1), To: at(to), Items: items})
	require.True(t, b.Since(at(5), bookStart).Full)
	require.False(t, b.Since(at(to), bookStart).Full)
	require.Equal(t, map[string]int64{"kept": 1}, live(b))
}

func TestImpossiblePagesAreRefused(t *testing.T) {
	for name, p := range map[string]Update{
		"absurd":           full(1 << 60),
		"negative":         {From: at(-1), To: at(3)},
		"backwards":        {From: at(9), To: at(3)},
		"beyond its end":   {From: at(3), To: at(10), Items: []Item{put("x", 11)}},
		"far beyond it":    full(10, put("x", 11+listingWrites)),
		"negative entries": full(10, put("x", -1)),
	} {
		require.ErrorIs(t, p.Validate(), ErrInvalidPosition, name)
	}
	sound := full(10, put("x", 10), put("written during the listing", 12))
	require.NoError(t, sound.Validate())
}

// Symptom: instances that are fed go on using leafs that have left. Sequence: the store drops
// its history; a leaf leaves in the gap; the one that reads lists all anew, and its book knows
// nothing of the deletion. Cause: those that were told up to the gap were told only what is
// newer.
func TestWhoWasToldBeforeAListingIsToldAll(t *testing.T) {
	listener := NewCache()
	listener.Apply(full(10, put("stays", 3), put("left", 4)))
	anew := NewCache()
	anew.Apply(full(20, put("stays", 3), put("new", 15)))
	page := anew.Since(listener.Position(), bookStart)
	require.True(t, page.Full)
	listener.Apply(page)
	require.Equal(t, map[string]int64{"stays": 3, "new": 15}, live(listener))
	require.False(t, anew.Since(at(20), bookStart).Full)
}

// An entry that was written while the store was listed is in the book before its revision is;
// it is told with a full page and again, without harm, with the next changes.
func TestEntriesNewerThanTheListing(t *testing.T) {
	reader, listener := NewCache(), NewCache()
	reader.Apply(full(10, put("a", 3), put("late", 12)))
	page := reader.Since(at(0), bookStart)
	require.NoError(t, page.Validate())
	listener.Apply(page)
	require.Equal(t, at(10), listener.Position())
	reader.Apply(Update{From: at(10), To: at(13), Items: []Item{put("between", 11), put("late", 12)}})
	listener.Apply(reader.Since(listener.Position(), bookStart))
	require.Equal(t, map[string]int64{"a": 3, "between": 11, "late": 12}, live(listener))
}

// A return of the store is told once, and to those that are fed for as long as it counts.
func TestReturnIsTold(t *testing.T) {
	b := NewCache()
	require.True(t, b.NoteRecovery(bookStart))
	require.False(t, b.NoteRecovery(bookStart.Add(time.Second)))
	require.EqualValues(t, 500, b.Since(at(0), bookStart.Add(500*time.Millisecond)).RecoveredMsAgo)
	require.Zero(t, b.Since(at(0), bookStart.Add(returnTold)).RecoveredMsAgo)
	require.True(t, b.NoteRecovery(bookStart.Add(returnTold)))
}

// in is a revision of an era.
func in(era, revision int64) Position { return Position{Era: era, Revision: revision} }

// of moves entries to an era.
func of(era int64, items ...Item) []Item {
	for i := range items {
		items[i].At.Era = era
	}
	return items
}

// restoredBook is a book that was told of a leaf, of an evacuation and of a configuration, and then of a
// restored store that has only the configuration.
func restoredBook(now time.Time) *Cache {
	b := NewCache()
	b.Apply(full(20, put("config", 10), put("leaf", 19), put("order", 20)))
	b.NoteRestore(now)
	b.Apply(Update{Full: true, To: in(1, 12), Items: of(1, put("config", 10))})
	return b
}

// Guards against: changes of a restored store that are taken for older ones, since revisions are given
// out again.
func TestAnEraComesBeforeARevision(t *testing.T) {
	require.True(t, in(1, 3).After(in(0, 900)))
	require.True(t, in(1, 3).Before(in(1, 4)))
	require.False(t, in(1, 3).Before(in(1, 3)) || in(1, 3).After(in(1, 3)))
	b := restoredBook(bookStart)
	require.Equal(t, in(1, 12), b.Position())
	fresh := b.Apply(Update{From: in(1, 12), To: in(1, 13), Items: of(1, put("config", 13))})
	require.Len(t, fresh, 1, "an entry that had revision 10 before")
	require.True(t, b.Since(at(20), bookStart).Full, "one that knows more of the era before is told all")
	require.False(t, b.Since(in(1, 12), bookStart).Full)
}

// Guards against: a page that leads on from changes which are not known, or from an era that has ended.
func TestPagesThatDoNotFitAreRefused(t *testing.T) {
	b := restoredBook(bookStart)
	for name, tc := range map[string]struct {
		page Update
		want error
	}{
		"an era before, full":    {full(90), ErrStaleEra},
		"an era before, changes": {Update{From: at(20), To: at(21)}, ErrStaleEra},
		"beyond a gap":           {Update{From: in(1, 13), To: in(1, 14)}, ErrGap},
		"a later era, changes":   {Update{From: in(2, 3), To: in(2, 4)}, ErrGap},
		"a later era, full":      {Update{Full: true, To: in(2, 4)}, nil},
		"changes":                {Update{From: in(1, 12), To: in(1, 14)}, nil},
		"changes, in part known": {Update{From: in(1, 11), To: in(1, 14)}, nil},
	} {
		require.ErrorIs(t, b.CheckApplicable(tc.page), tc.want, name)
	}
	require.ErrorIs(t, NewCache().CheckApplicable(Update{From: at(3), To: at(4)}), ErrGap)
	require.ErrorIs(t, NewCache().CheckApplicable(Update{From: at(0), To: at(4)}), ErrGap)
	across := Update{From: at(20), To: in(1, 14)}
	require.ErrorIs(t, across.Validate(), ErrInvalidPosition, "changes across eras")
	early := Update{Full: true, To: at(20), Items: of(1, put("x", 3))}
	require.ErrorIs(t, early.Validate(), ErrInvalidPosition, "an entry of a later era")
	held := Update{Full: true, To: in(1, 2), Items: []Item{put("x", 90)}}
	require.NoError(t, held.Validate(), "an entry of an era before")
}

// Guards against: what a restored store has lost ending at once, or never.
func TestWhatTheStoreHasLostIsHeldForAWhile(t *testing.T) {
	const hold = 2 * time.Second
	b := restoredBook(bookStart)
	require.Equal(t, map[string]int64{"config": 10, "leaf": 19, "order": 20}, live(b))
	page := b.Since(Position{}, bookStart.Add(time.Second))
	require.EqualValues(t, 1000, page.RecoveredMsAgo, "others hold it no longer")
	require.Empty(t, b.ExpireHeld(bookStart.Add(hold-1), hold, ""))
	b.Apply(Update{From: in(1, 12), To: in(1, 15), Items: of(1, put("leaf", 15))})
	lapsed := b.ExpireHeld(bookStart.Add(hold), hold, "")
	require.Equal(t, []Item{{Key: "order", At: in(1, 15), Deleted: true}}, lapsed)
	require.Empty(t, b.ExpireHeld(bookStart.Add(hold), hold, ""))
	require.Equal(t, map[string]int64{"config": 10, "leaf": 15}, live(b))

	b = restoredBook(bookStart)
	require.Len(t, b.ExpireHeld(bookStart.Add(hold), hold, "leaf"), 1, "one stays until it is replaced")
}

// Guards against: leafs that are used for good although they have left, since one of two instances that
// tell each other holds an entry that the other one has from the restored store.
func TestAnEntryThatIsHeldIsNotListed(t *testing.T) {
	b, peer := restoredBook(bookStart), restoredBook(bookStart)
	b.Apply(Update{From: in(1, 12), To: in(1, 14), Items: of(1, put("leaf", 14))})
	peer.Apply(Update{Full: true, To: in(1, 17), Items: of(1, put("config", 10))}) // The leaf came and went.
	fresh := b.Apply(peer.Since(b.Position(), bookStart))
	require.Equal(t, []Item{{Key: "leaf", At: in(1, 17), Deleted: true}}, fresh)
}

// Guards against: entries that were deleted and come back with a page of an instance that is behind.
func TestPagesThatAreBehindBringNothingBack(t *testing.T) {
	b := NewCache()
	b.Apply(full(20, put("config", 10)))
	require.Empty(t, b.Apply(full(15, put("config", 10), put("left", 12))))
	require.Empty(t, b.Apply(Update{From: at(11), To: at(15), Items: []Item{put("left", 12)}}))
	require.Equal(t, map[string]int64{"config": 10}, live(b))
	require.Len(t, b.Apply(full(25, put("config", 10), put("missed", 12))), 1, "one that is ahead has what is still there")
}

// Guards against: instances that go on using leafs which left while the history was lost, when the one
// that lists the store anew keeps what it knew.
func TestWhoWasToldBeforeANewListingIsToldAll(t *testing.T) {
	b := NewCache()
	b.Apply(full(10, put("stays", 3)))
	b.Apply(full(20, put("stays", 3)))
	require.True(t, b.Since(at(15), bookStart).Full)
	require.False(t, b.Since(at(20), bookStart).Full)
	b.Apply(full(20, put("stays", 3)))
	require.False(t, b.Since(at(20), bookStart).Full)
}

// Guards against: an older configuration that is told to those who start.
func TestKeptContentIsTold(t *testing.T) {
	b := restoredBook(bookStart)
	b.ReplaceContent("config", []byte("newer"))
	b.ReplaceContent("unknown", []byte("x"))
	for _, it := range b.Since(Position{}, bookStart).Items {
		if it.Key == "config" {
			require.Equal(t, "newer", string(it.Raw))
		}
	}
	require.Len(t, live(b), 3)
}
