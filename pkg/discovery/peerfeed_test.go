package discovery

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
)

// peerEntry returns an entry as a peer sends it.
func peerEntry(key string, revision int64) feed.Item {
	return feed.Item{Key: key, At: at(revision), Raw: []byte(key)}
}

// storeEvent returns an event as the store sends it.
func storeEvent(key string, revision int64) Event {
	e := leafEvent(key)
	e.Item = peerEntry(key, revision)
	return e
}

// Guards against replacements for failed readers all listing the whole store at once. An instance
// that was fed by peers must know the position from which to watch.
func TestInstanceFedByPeersWatchesFromItsRevision(t *testing.T) {
	s := &scriptedSource{watches: []func() (Page, error){emptyWatch}}
	f, r := newTestFollower(s)
	f.SetReading(false, longpoll.PeerGroup{})
	changes := 0
	f.OnChange(func() { changes++ })
	require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: at(9), Items: []feed.Item{peerEntry("a", 3), peerEntry("config", 9)}}))
	require.NoError(t, f.ApplyUpdate(feed.Update{From: at(9), To: at(11), Items: []feed.Item{peerEntry("b", 10), {Key: "a", At: at(11), Deleted: true}}}))
	require.ElementsMatch(t, []string{"leaf a", "config", "listed", "leaf b", "gone a"}, r.calls)
	require.Equal(t, 2, changes, "listeners are notified")
	f.SetReading(true, longpoll.PeerGroup{})
	require.Zero(t, f.step(context.Background()))
	require.Equal(t, []int64{11}, s.watchedFrom, "nothing is listed")
	require.Equal(t, at(12), f.Position())
	require.NotZero(t, f.AnsweredAt())
}

// What a peer has reported is not applied again when the store reports it too, nor the reverse.
func TestKnownEntriesAreNotAppliedAgain(t *testing.T) {
	s := &scriptedSource{
		lists:   []Page{{Events: []Event{storeEvent("a", 3)}, At: at(5)}},
		watches: []func() (Page, error){func() (Page, error) { return Page{Events: []Event{storeEvent("b", 6)}, At: at(7)}, nil }},
	}
	f, r := newTestFollower(s)
	f.step(context.Background())
	require.NoError(t, f.ApplyUpdate(feed.Update{From: at(5), To: at(6), Items: []feed.Item{peerEntry("b", 6)}}))
	f.step(context.Background())
	require.NoError(t, f.ApplyUpdate(feed.Update{From: at(5), To: at(7), Items: []feed.Item{peerEntry("a", 3), peerEntry("b", 6)}}))
	require.Equal(t, []string{"leaf a", "listed", "leaf b"}, r.calls)
}

// Guards against taking a leaf that has just joined for a removed one. While an instance lists
// the store, a peer reports the leaf, and the pages listed before lack it.
func TestLeafReceivedDuringListingIsKept(t *testing.T) {
	s := &scriptedSource{}
	f, r := newTestFollower(s)
	s.onList = func() {
		require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: at(8), Items: []feed.Item{peerEntry("a", 3), peerEntry("new", 8)}}))
	}
	s.lists = []Page{{Events: []Event{storeEvent("a", 3)}, At: at(5)}}
	f.step(context.Background())
	require.Equal(t, []string{"leaf a", "leaf new", "listed", "listed"}, r.calls)
	require.Equal(t, map[string]bool{"new": true, "a": true}, r.listing.Leafs)
}

// Guards against an instance that no longer sees any change. A peer claims a revision that the
// store has not reached, so the changes up to it are taken for old. A single peer must not be
// believed forever.
func TestImpossibleRevisionIsDiscarded(t *testing.T) {
	bad := feed.Update{Full: true, To: at(900), Items: []feed.Item{peerEntry("a", 900)}}
	t.Run("contradicted by the store", func(t *testing.T) {
		s := &scriptedSource{
			lists:   []Page{{Events: []Event{storeEvent("b", 12)}, At: at(12)}},
			watches: []func() (Page, error){emptyWatch},
		}
		f, r := newTestFollower(s)
		require.NoError(t, f.ApplyUpdate(bad))
		require.Zero(t, f.step(context.Background()))
		require.False(t, f.Synced())
		f.step(context.Background())
		require.Equal(t, at(12), f.Position())
		require.Equal(t, map[string]bool{"b": true}, r.listing.Leafs)
	})
	t.Run("contradicted by a peer", func(t *testing.T) {
		f, r := newTestFollower(&scriptedSource{})
		require.NoError(t, f.ApplyUpdate(bad))
		require.False(t, f.ResetIfContradicted(at(12), time.Now()), "the answer may be older")
		require.False(t, f.ResetIfContradicted(at(900), time.Now().Add(time.Minute)))
		require.True(t, f.ResetIfContradicted(at(12), time.Now().Add(time.Minute)))
		require.False(t, f.Synced())
		require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: at(12), Items: []feed.Item{peerEntry("c", 12)}}))
		require.Equal(t, at(12), f.Position())
		require.Equal(t, map[string]bool{"c": true}, r.listing.Leafs, "a leaf that is no longer listed is out of use")
	})
	f, _ := newTestFollower(&scriptedSource{})
	require.ErrorIs(t, f.ApplyUpdate(feed.Update{Full: true, To: at(1 << 60)}), feed.ErrInvalidPosition)
	require.False(t, f.Synced())
}

// Guards against dropping live leafs when the store recovers. It was unavailable for so long that
// entries expired. The instance learns of the recovery from a peer, or takes over from a reader
// that could not read the store.
func TestStoreRecoveryIsLearnedFromPeers(t *testing.T) {
	f, r := newTestFollower(&scriptedSource{})
	require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: at(3), RecoveredMsAgo: 40}))
	require.NoError(t, f.ApplyUpdate(feed.Update{From: at(3), To: at(4), RecoveredMsAgo: 90}))
	require.Equal(t, []string{"returned", "listed"}, r.calls)

	s := &scriptedSource{watches: []func() (Page, error){emptyWatch}}
	f, r = newTestFollower(s)
	f.SetReading(false, longpoll.PeerGroup{})
	require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: at(3)}))
	f.MarkCurrent(time.Now().Add(-time.Minute))
	f.SetReading(true, longpoll.PeerGroup{})
	f.waitUntilReading(context.Background())
	f.step(context.Background())
	require.Equal(t, []string{"listed", "returned"}, r.calls)
}
