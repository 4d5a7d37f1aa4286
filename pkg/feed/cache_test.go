package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(7000, 0)

// at returns a position in the first era.
func at(revision int64) Position { return Position{Revision: revision} }

// entry returns an entry with its key as content.
func entry(key string, revision int64) Item {
	return Item{Key: key, At: at(revision), Raw: []byte(key)}
}

// tombstone returns a deletion.
func tombstone(key string, revision int64) Item {
	return Item{Key: key, At: at(revision), Deleted: true}
}

// liveRevisions returns the keys in a cache and their revisions.
func liveRevisions(c *Cache) map[string]int64 {
	out := map[string]int64{}
	for _, it := range c.Since(at(0), testStart).Items {
		out[it.Key] = it.At.Revision
	}
	return out
}

// snapshot returns an update with all entries.
func snapshot(to int64, items ...Item) Update { return Update{Full: true, To: at(to), Items: items} }

func TestCacheReturnsChangesSincePosition(t *testing.T) {
	reader, subscriber := NewCache(), NewCache()
	require.False(t, reader.Synced())
	require.Len(t, reader.Apply(snapshot(10, entry("x", 3), entry("y", 10))), 2)
	require.True(t, reader.Synced())
	require.Len(t, subscriber.Apply(reader.Since(at(0), testStart)), 2)
	reader.Apply(Update{From: at(10), To: at(14), Items: []Item{entry("z", 12), tombstone("x", 13), entry("y", 14)}})
	delta := reader.Since(subscriber.Position(), testStart)
	require.False(t, delta.Full)
	require.Len(t, delta.Items, 3)
	require.Len(t, subscriber.Apply(delta), 3)
	require.Equal(t, liveRevisions(reader), liveRevisions(subscriber))
	require.Equal(t, map[string]int64{"y": 14, "z": 12}, liveRevisions(subscriber))
	require.Empty(t, reader.Since(at(14), testStart).Items)
}

// Guards against an instance that reverts to a replaced configuration, or uses a leaf that was
// removed. After a partition heals, one of its two sources is behind the other and sends its
// state, as a snapshot or a delta. An update is not the newest because it came last.
func TestOutdatedUpdatesDoNotRevertEntries(t *testing.T) {
	c := NewCache()
	c.Apply(snapshot(20, entry("config", 18), tombstone("left", 17), entry("new", 20)))
	c.Apply(Update{From: at(20), To: at(22), Items: []Item{tombstone("left", 21)}})
	require.Empty(t, c.Apply(snapshot(15, entry("config", 9), entry("left", 12))))
	require.Empty(t, c.Apply(Update{From: at(5), To: at(16), Items: []Item{entry("left", 12), entry("config", 16)}}))
	require.Equal(t, map[string]int64{"config": 18, "new": 20}, liveRevisions(c))
	require.Equal(t, at(22), c.Position())
}

// A snapshot deletes the entries that it lacks, except those written after it.
func TestSnapshotDeletesMissingEntries(t *testing.T) {
	c := NewCache()
	c.Apply(snapshot(10, entry("a", 3), entry("b", 4), entry("c", 10)))
	c.Apply(Update{From: at(10), To: at(12), Items: []Item{entry("d", 12)}})
	changed := c.Apply(snapshot(11, entry("a", 3)))
	require.Len(t, changed, 2)
	for _, it := range changed {
		require.True(t, it.Deleted)
		require.Contains(t, []string{"b", "c"}, it.Key)
	}
	require.Equal(t, map[string]int64{"a": 3, "d": 12}, liveRevisions(c))
}

// Deletions are not remembered forever: subscribers that are behind the last dropped one get a
// snapshot.
func TestDroppedTombstonesForceASnapshot(t *testing.T) {
	c := NewCache()
	c.Apply(snapshot(1, entry("kept", 1)))
	var items []Item
	for i := range int64(maxTombstones + 1) {
		items = append(items, tombstone(fmt.Sprint("k", i), 2+i))
	}
	to := int64(maxTombstones + 2)
	c.Apply(Update{From: at(1), To: at(to), Items: items})
	require.True(t, c.Since(at(5), testStart).Full)
	require.False(t, c.Since(at(to), testStart).Full)
	require.Equal(t, map[string]int64{"kept": 1}, liveRevisions(c))
}

func TestInvalidUpdatesAreRejected(t *testing.T) {
	for name, update := range map[string]Update{
		"revision over the maximum":     snapshot(1 << 60),
		"negative revision":             {From: at(-1), To: at(3)},
		"end before start":              {From: at(9), To: at(3)},
		"delta entry after the end":     {From: at(3), To: at(10), Items: []Item{entry("x", 11)}},
		"snapshot entry far beyond end": snapshot(10, entry("x", 11+maxWritesDuringListing)),
		"negative entry revision":       snapshot(10, entry("x", -1)),
	} {
		require.ErrorIs(t, update.Validate(), ErrInvalidPosition, name)
	}
	valid := snapshot(10, entry("x", 10), entry("written during the listing", 12))
	require.NoError(t, valid.Validate())
}

// Guards against subscribers that go on using removed leafs. The store drops its history, a leaf is
// removed in the gap, and the reader lists the store again into a new cache that does not know
// the deletion. Subscribers behind that listing were sent only what is newer.
func TestNewCacheSendsSnapshotToSubscribersBehindItsListing(t *testing.T) {
	subscriber := NewCache()
	subscriber.Apply(snapshot(10, entry("stays", 3), entry("left", 4)))
	relisted := NewCache()
	relisted.Apply(snapshot(20, entry("stays", 3), entry("new", 15)))
	update := relisted.Since(subscriber.Position(), testStart)
	require.True(t, update.Full)
	subscriber.Apply(update)
	require.Equal(t, map[string]int64{"stays": 3, "new": 15}, liveRevisions(subscriber))
	require.False(t, relisted.Since(at(20), testStart).Full)
}

// An entry written while the store is listed is in the cache before the cache's position reaches
// it. It is sent with the snapshot and, without harm, again with the next delta.
func TestEntriesWrittenDuringTheListing(t *testing.T) {
	reader, subscriber := NewCache(), NewCache()
	reader.Apply(snapshot(10, entry("a", 3), entry("late", 12)))
	update := reader.Since(at(0), testStart)
	require.NoError(t, update.Validate())
	subscriber.Apply(update)
	require.Equal(t, at(10), subscriber.Position())
	reader.Apply(Update{From: at(10), To: at(13), Items: []Item{entry("between", 11), entry("late", 12)}})
	subscriber.Apply(reader.Since(subscriber.Position(), testStart))
	require.Equal(t, map[string]int64{"a": 3, "between": 11, "late": 12}, liveRevisions(subscriber))
}

// A recovery of the store is new only once, and is sent to subscribers for as long as it matters.
func TestStoreRecoveryIsReported(t *testing.T) {
	c := NewCache()
	require.True(t, c.NoteRecovery(testStart))
	require.False(t, c.NoteRecovery(testStart.Add(time.Second)))
	require.EqualValues(t, 500, c.Since(at(0), testStart.Add(500*time.Millisecond)).RecoveredMsAgo)
	require.Zero(t, c.Since(at(0), testStart.Add(recoveryNoticePeriod)).RecoveredMsAgo)
	require.True(t, c.NoteRecovery(testStart.Add(recoveryNoticePeriod)))
}

// atEra returns a position in an era.
func atEra(era, revision int64) Position { return Position{Era: era, Revision: revision} }

// withEra moves entries to an era.
func withEra(era int64, items ...Item) []Item {
	for i := range items {
		items[i].At.Era = era
	}
	return items
}

// restoredCache returns a cache that held a leaf, an evacuation and a configuration when the
// store was restored, after which it has only the configuration.
func restoredCache(now time.Time) *Cache {
	c := NewCache()
	c.Apply(snapshot(20, entry("config", 10), entry("leaf", 19), entry("order", 20)))
	c.NoteRestore(now)
	c.Apply(Update{Full: true, To: atEra(1, 12), Items: withEra(1, entry("config", 10))})
	return c
}

// Guards against changes of a restored store being taken for older ones, since it assigns
// revisions again.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	require.True(t, atEra(1, 3).After(atEra(0, 900)))
	require.True(t, atEra(1, 3).Before(atEra(1, 4)))
	require.False(t, atEra(1, 3).Before(atEra(1, 3)) || atEra(1, 3).After(atEra(1, 3)))
	c := restoredCache(testStart)
	require.Equal(t, atEra(1, 12), c.Position())
	changed := c.Apply(Update{From: atEra(1, 12), To: atEra(1, 13), Items: withEra(1, entry("config", 13))})
	require.Len(t, changed, 1, "the entry had revision 10 in the era before")
	require.True(t, c.Since(at(20), testStart).Full, "a listener at a later revision of the era before gets a snapshot")
	require.False(t, c.Since(atEra(1, 12), testStart).Full)
}

// Guards against applying an update that follows unknown changes, or that is from an ended era.
func TestInapplicableUpdatesAreRejected(t *testing.T) {
	c := restoredCache(testStart)
	for name, tc := range map[string]struct {
		update Update
		want   error
	}{
		"snapshot of an earlier era": {snapshot(90), ErrStaleEra},
		"delta of an earlier era":    {Update{From: at(20), To: at(21)}, ErrStaleEra},
		"delta after a gap":          {Update{From: atEra(1, 13), To: atEra(1, 14)}, ErrGap},
		"delta of a later era":       {Update{From: atEra(2, 3), To: atEra(2, 4)}, ErrGap},
		"snapshot of a later era":    {Update{Full: true, To: atEra(2, 4)}, nil},
		"delta":                      {Update{From: atEra(1, 12), To: atEra(1, 14)}, nil},
		"delta known in part":        {Update{From: atEra(1, 11), To: atEra(1, 14)}, nil},
	} {
		require.ErrorIs(t, c.CheckApplicable(tc.update), tc.want, name)
	}
	require.ErrorIs(t, NewCache().CheckApplicable(Update{From: at(3), To: at(4)}), ErrGap)
	require.ErrorIs(t, NewCache().CheckApplicable(Update{From: at(0), To: at(4)}), ErrGap)
	across := Update{From: at(20), To: atEra(1, 14)}
	require.ErrorIs(t, across.Validate(), ErrInvalidPosition, "delta across eras")
	early := Update{Full: true, To: at(20), Items: withEra(1, entry("x", 3))}
	require.ErrorIs(t, early.Validate(), ErrInvalidPosition, "entry of a later era")
	lost := Update{Full: true, To: atEra(1, 2), Items: []Item{entry("x", 90)}}
	require.NoError(t, lost.Validate(), "entry of an earlier era")
}

// Guards against entries that a restored store has lost being dropped at once, or never.
func TestLostEntriesAreKeptForTheGracePeriod(t *testing.T) {
	const grace = 2 * time.Second
	c := restoredCache(testStart)
	require.Equal(t, map[string]int64{"config": 10, "leaf": 19, "order": 20}, liveRevisions(c))
	update := c.Since(Position{}, testStart.Add(time.Second))
	require.EqualValues(t, 1000, update.RecoveredMsAgo, "listeners hold lost entries no longer than this cache")
	require.Empty(t, c.ExpireLost(testStart.Add(grace-1), grace, ""))
	c.Apply(Update{From: atEra(1, 12), To: atEra(1, 15), Items: withEra(1, entry("leaf", 15))})
	lapsed := c.ExpireLost(testStart.Add(grace), grace, "")
	require.Equal(t, []Item{{Key: "order", At: atEra(1, 15), Deleted: true}}, lapsed)
	require.Empty(t, c.ExpireLost(testStart.Add(grace), grace, ""))
	require.Equal(t, map[string]int64{"config": 10, "leaf": 15}, liveRevisions(c))

	c = restoredCache(testStart)
	require.Len(t, c.ExpireLost(testStart.Add(grace), grace, "leaf"), 1, "the entry under keptKey stays until it is replaced")
}

// Guards against leafs that stay in use forever after they left. One instance has a leaf from the
// restored store. Its peer missed that the leaf was added and removed there, and sends the entry
// that it still keeps from the era before.
func TestLostEntryDoesNotCountAsListed(t *testing.T) {
	c, peer := restoredCache(testStart), restoredCache(testStart)
	c.Apply(Update{From: atEra(1, 12), To: atEra(1, 14), Items: withEra(1, entry("leaf", 14))})
	peer.Apply(Update{Full: true, To: atEra(1, 17), Items: withEra(1, entry("config", 10))})
	changed := c.Apply(peer.Since(c.Position(), testStart))
	require.Equal(t, []Item{{Key: "leaf", At: atEra(1, 17), Deleted: true}}, changed)
}

// Guards against an update of an instance that is behind restoring deleted entries.
func TestOutdatedUpdatesDoNotRestoreDeletedEntries(t *testing.T) {
	c := NewCache()
	c.Apply(snapshot(20, entry("config", 10)))
	require.Empty(t, c.Apply(snapshot(15, entry("config", 10), entry("left", 12))))
	require.Empty(t, c.Apply(Update{From: at(11), To: at(15), Items: []Item{entry("left", 12)}}))
	require.Equal(t, map[string]int64{"config": 10}, liveRevisions(c))
	require.Len(t, c.Apply(snapshot(25, entry("config", 10), entry("missed", 12))), 1, "a newer snapshot holds only live entries")
}

// Guards against subscribers that go on using leafs removed while the history was lost, when the
// reader that lists the store again keeps its cache.
func TestSnapshotIsSentToSubscribersBehindARelisting(t *testing.T) {
	c := NewCache()
	c.Apply(snapshot(10, entry("stays", 3)))
	c.Apply(snapshot(20, entry("stays", 3)))
	require.True(t, c.Since(at(15), testStart).Full)
	require.False(t, c.Since(at(20), testStart).Full)
	c.Apply(snapshot(20, entry("stays", 3)))
	require.False(t, c.Since(at(20), testStart).Full)
}

// Guards against sending an older configuration to instances that start.
func TestReplacedContentIsSent(t *testing.T) {
	c := restoredCache(testStart)
	c.ReplaceContent("config", []byte("newer"))
	c.ReplaceContent("unknown", []byte("x"))
	for _, it := range c.Since(Position{}, testStart).Items {
		if it.Key == "config" {
			require.Equal(t, "newer", string(it.Raw))
		}
	}
	require.Len(t, liveRevisions(c), 3)
}
