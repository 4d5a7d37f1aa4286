package discovery

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
)

// entry is one as another instance sends it.
func entry(key string, revision int64) feed.Item {
	return feed.Item{Key: key, At: at(revision), Raw: []byte(key)}
}

// entryEvent is one as the store sends it.
func entryEvent(key string, revision int64) Event {
	e := leafEvent(key)
	e.Item = entry(key, revision)
	return e
}

// Symptom: when those that read the store fall, the ones that take their place ask it for
// everything, all at once. Cause it guards against: an instance that was fed and does not
// know from where to go on.
func TestFedInstanceGoesOnFromItsRevision(t *testing.T) {
	s := &script{watches: []func() (Page, error){empty}}
	f, r := follower(s)
	f.SetReading(false, longpoll.PeerGroup{})
	changes := 0
	f.OnChange(func() { changes++ })
	require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: at(9), Items: []feed.Item{entry("a", 3), entry("config", 9)}}))
	require.NoError(t, f.ApplyPage(feed.Update{From: at(9), To: at(11), Items: []feed.Item{entry("b", 10), {Key: "a", At: at(11), Deleted: true}}}))
	require.ElementsMatch(t, []string{"leaf a", "config", "listed", "leaf b", "gone a"}, r.told)
	require.Equal(t, 2, changes, "those that are fed by it are told")
	f.SetReading(true, longpoll.PeerGroup{})
	require.Zero(t, f.step(context.Background()))
	require.Equal(t, []int64{11}, s.watched, "nothing is listed")
	require.Equal(t, at(12), f.Position())
	require.NotZero(t, f.AnsweredAt())
}

// What another instance has told already is no news when the store says it too, and the
// other way round.
func TestWhatIsKnownIsNotToldAgain(t *testing.T) {
	s := &script{
		lists:   []Page{{Events: []Event{entryEvent("a", 3)}, At: at(5)}},
		watches: []func() (Page, error){func() (Page, error) { return Page{Events: []Event{entryEvent("b", 6)}, At: at(7)}, nil }},
	}
	f, r := follower(s)
	f.step(context.Background())
	require.NoError(t, f.ApplyPage(feed.Update{From: at(5), To: at(6), Items: []feed.Item{entry("b", 6)}}))
	f.step(context.Background())
	require.NoError(t, f.ApplyPage(feed.Update{From: at(5), To: at(7), Items: []feed.Item{entry("a", 3), entry("b", 6)}}))
	require.Equal(t, []string{"leaf a", "listed", "leaf b"}, r.told)
}

// Symptom: a leaf that has just joined is taken for gone. Sequence: while an instance lists
// the store, another one tells it of the leaf; the pages that were listed before lack it.
func TestLeafToldDuringAListingStays(t *testing.T) {
	s := &script{}
	f, r := follower(s)
	s.onList = func() {
		require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: at(8), Items: []feed.Item{entry("a", 3), entry("new", 8)}}))
	}
	s.lists = []Page{{Events: []Event{entryEvent("a", 3)}, At: at(5)}}
	f.step(context.Background())
	require.Equal(t, []string{"leaf a", "leaf new", "listed", "listed"}, r.told)
	require.Equal(t, map[string]bool{"new": true, "a": true}, r.listing.Leafs)
}

// Symptom: an instance hears of no change any more. Sequence: another one claims a revision
// that the store has not reached; the changes up to it are taken for old. Cause it guards
// against: believing one instance for good.
func TestRevisionThatTheStoreNeverHadIsForgotten(t *testing.T) {
	bad := feed.Update{Full: true, To: at(900), Items: []feed.Item{entry("a", 900)}}
	t.Run("by the store's answer", func(t *testing.T) {
		s := &script{
			lists:   []Page{{Events: []Event{entryEvent("b", 12)}, At: at(12)}},
			watches: []func() (Page, error){empty},
		}
		f, r := follower(s)
		require.NoError(t, f.ApplyPage(bad))
		require.Zero(t, f.step(context.Background()))
		require.False(t, f.HasSnapshot())
		f.step(context.Background())
		require.Equal(t, at(12), f.Position())
		require.Equal(t, map[string]bool{"b": true}, r.listing.Leafs)
	})
	t.Run("by another instance", func(t *testing.T) {
		f, r := follower(&script{})
		require.NoError(t, f.ApplyPage(bad))
		require.False(t, f.ResetIfContradicted(at(12), time.Now()), "that may be older")
		require.False(t, f.ResetIfContradicted(at(900), time.Now().Add(time.Minute)))
		require.True(t, f.ResetIfContradicted(at(12), time.Now().Add(time.Minute)))
		require.False(t, f.HasSnapshot())
		require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: at(12), Items: []feed.Item{entry("c", 12)}}))
		require.Equal(t, at(12), f.Position())
		require.Equal(t, map[string]bool{"c": true}, r.listing.Leafs, "what is not there any more is out of use")
	})
	f, _ := follower(&script{})
	require.ErrorIs(t, f.ApplyPage(feed.Update{Full: true, To: at(1 << 60)}), feed.ErrInvalidPosition)
	require.False(t, f.HasSnapshot())
}

// Symptom: leafs that live are dropped when the store is back. Sequence: it was away for so
// long that entries lapsed; an instance hears of its return from another one, or takes over
// from one that could not read it.
func TestReturnOfTheStoreIsHeardOf(t *testing.T) {
	f, r := follower(&script{})
	require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: at(3), RecoveredMsAgo: 40}))
	require.NoError(t, f.ApplyPage(feed.Update{From: at(3), To: at(4), RecoveredMsAgo: 90}))
	require.Equal(t, []string{"returned", "listed"}, r.told)

	s := &script{watches: []func() (Page, error){empty}}
	f, r = follower(s)
	f.SetReading(false, longpoll.PeerGroup{})
	require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: at(3)}))
	f.MarkCurrent(time.Now().Add(-time.Minute))
	f.SetReading(true, longpoll.PeerGroup{})
	f.idle(context.Background())
	f.step(context.Background())
	require.Equal(t, []string{"listed", "returned"}, r.told)
}
