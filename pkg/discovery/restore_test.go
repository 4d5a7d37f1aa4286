package discovery

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// atEra returns a position in an era.
func atEra(era, revision int64) feed.Position { return feed.Position{Era: era, Revision: revision} }

// eraEvent returns an event of an era as the store sends it.
func eraEvent(key string, era, revision int64) Event {
	e := storeEvent(key, revision)
	e.Item.At = atEra(era, revision)
	return e
}

// storeConfig returns an event with a version of the configuration as the store sends
// it.
func storeConfig(version, era, revision int64) Event {
	e := eraEvent("config", era, revision)
	e.Leaf, e.Config = nil, routing.NewConfig(version, nil, nil, routing.Limits{})
	e.Item.Raw = []byte{byte(version)}
	return e
}

// Guards against missing changes of a restored store, whatever kind of answer reveals the
// restore.
func TestRestoredStoreIsListed(t *testing.T) {
	for name, answer := range map[string]func() (Page, error){
		"changes":      func() (Page, error) { return Page{At: atEra(1, 40), Events: []Event{eraEvent("x", 1, 40)}}, nil },
		"no changes":   func() (Page, error) { return Page{At: atEra(1, 9)}, nil },
		"history gone": func() (Page, error) { return Page{At: atEra(1, 0)}, ErrCompacted },
		"error":        func() (Page, error) { return Page{At: atEra(1, 0)}, errRestoredDuringListing },
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSource{
				lists:   []Page{{At: at(10)}, {At: atEra(1, 8), Events: []Event{eraEvent("b", 1, 8)}}},
				watches: []func() (Page, error){answer, func() (Page, error) { return Page{At: atEra(1, 9)}, nil }},
			}
			f, r := newTestFollower(s)
			f.opts.OutageThreshold = time.Minute
			f.step(context.Background())
			f.step(context.Background())
			require.Equal(t, at(10), f.Position(), "the known entries stay in use")
			require.True(t, f.Synced())
			f.step(context.Background())
			require.Equal(t, atEra(1, 8), f.Position())
			require.Equal(t, []string{"listed", "returned", "leaf b", "listed"}, r.calls)
			f.step(context.Background())
			require.Equal(t, atEra(1, 9), f.Position())
			require.Equal(t, 2, s.listCalls)
			require.EqualValues(t, 1, f.Restores())
		})
	}
}

// Guards against entries that a restored store has lost being removed at once, or never.
func TestEntriesLostByRestoreExpire(t *testing.T) {
	s := &scriptedSource{
		lists:   []Page{{At: at(10), Events: []Event{eraEvent("a", 0, 9), eraEvent("b", 0, 10), storeConfig(3, 0, 8)}}, {At: atEra(1, 8)}},
		watches: []func() (Page, error){func() (Page, error) { return Page{At: atEra(1, 9)}, nil }},
	}
	f, r := newTestFollower(s)
	f.opts.LostEntryGrace = time.Second
	f.step(context.Background())
	f.step(context.Background())
	f.step(context.Background())
	require.Equal(t, map[string]bool{"a": true, "b": true}, r.listing.Leafs)
	require.NoError(t, f.ApplyUpdate(feed.Update{From: atEra(1, 8), To: atEra(1, 9), Items: []feed.Item{eraEvent("a", 1, 9).Item}}))
	r.calls = nil
	f.Sweep(time.Now())
	require.Empty(t, r.calls)
	f.Sweep(time.Now().Add(time.Second))
	require.Equal(t, []string{"gone b"}, r.calls)
	f.Sweep(time.Now().Add(time.Minute))
	require.Equal(t, []string{"gone b"}, r.calls)
	require.Len(t, f.ChangesSince(feed.Position{}).Items, 2, "the configuration stays")
}

// Guards against an instance that starts being sent a configuration older than the one in force,
// because the store was restored.
func TestNewestConfigurationIsServedToPeers(t *testing.T) {
	s := &scriptedSource{
		lists: []Page{{At: at(10), Events: []Event{storeConfig(5, 0, 9)}}, {At: atEra(1, 8), Events: []Event{storeConfig(3, 1, 7)}}},
		watches: []func() (Page, error){func() (Page, error) { return Page{At: atEra(1, 8)}, nil }, func() (Page, error) {
			return Page{At: atEra(1, 9), Events: []Event{storeConfig(6, 1, 9)}}, nil
		}},
	}
	f, _ := newTestFollower(s)
	served := func() byte { return f.ChangesSince(feed.Position{}).Items[0].Raw[0] }
	for range 3 {
		f.step(context.Background())
	}
	require.Equal(t, atEra(1, 8), f.Position())
	require.EqualValues(t, 5, served())
	f.step(context.Background())
	require.EqualValues(t, 6, served())
}

// Guards against serving an older configuration when one answer holds several.
func TestLastOfSeveralConfigurationsIsServedToPeers(t *testing.T) {
	s := &scriptedSource{lists: []Page{{At: at(10), Events: []Event{storeConfig(2, 0, 10)}}}, watches: []func() (Page, error){func() (Page, error) {
		return Page{At: at(13), Events: []Event{storeConfig(1, 0, 11), storeConfig(2, 0, 12), storeConfig(3, 0, 13)}}, nil
	}}}
	f, _ := newTestFollower(s)
	f.step(context.Background())
	f.step(context.Background())
	require.EqualValues(t, 3, f.ChangesSince(feed.Position{}).Items[0].Raw[0])
}

// Guards against a watch that keeps waiting in an era which has ended according to a peer.
func TestWatchOfEndedEraIsCancelled(t *testing.T) {
	source := &blockingSource{scriptedSource: scriptedSource{lists: []Page{{At: at(10)}}}, watchStarted: make(chan feed.Position), watchEnded: make(chan error, 1)}
	f, _ := newTestFollower(&source.scriptedSource)
	f.source = source
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go f.Run(ctx)
	require.Equal(t, at(10), <-source.watchStarted)
	require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: atEra(1, 8)}))
	require.ErrorIs(t, <-source.watchEnded, context.Canceled)
	require.Equal(t, atEra(1, 8), <-source.watchStarted)
	stop()

	go func() { <-source.watchStarted }()
	_, err := f.watch(context.Background(), at(10), longpoll.Call{Wait: time.Minute})
	require.ErrorIs(t, err, errEraEnded, "a watch that begins at that moment is cancelled too")
}

// blockingSource is a source whose watches are never answered.
type blockingSource struct {
	scriptedSource
	watchStarted chan feed.Position
	watchEnded   chan error
}

func (s *blockingSource) Watch(ctx context.Context, after feed.Position, _ time.Duration) (Page, error) {
	s.watchStarted <- after
	<-ctx.Done()
	select {
	case s.watchEnded <- ctx.Err():
	default:
	}
	return Page{}, ctx.Err()
}

// Guards against continuing a watch from an invalid position when the listing due has failed.
func TestFailedListingIsRepeated(t *testing.T) {
	s := &scriptedSource{lists: []Page{{At: at(10)}}, watches: []func() (Page, error){compactedWatch}}
	f, _ := newTestFollower(s)
	f.step(context.Background())
	f.step(context.Background())
	for range 3 {
		require.NotZero(t, f.step(context.Background()))
	}
	require.Len(t, s.watchedFrom, 1)
	s.lists = append(s.lists, Page{At: at(20)})
	f.step(context.Background())
	require.Equal(t, at(20), f.Position())
}

// Guards against applying peer updates that leave a gap or belong to an ended era.
func TestInapplicablePeerUpdatesAreRejected(t *testing.T) {
	f, r := newTestFollower(&scriptedSource{})
	require.ErrorIs(t, f.ApplyUpdate(feed.Update{From: at(3), To: at(4)}), feed.ErrGap)
	require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: atEra(1, 8)}))
	require.ErrorIs(t, f.ApplyUpdate(feed.Update{From: atEra(1, 9), To: atEra(1, 10), Items: []feed.Item{eraEvent("x", 1, 10).Item}}), feed.ErrGap)
	require.ErrorIs(t, f.ApplyUpdate(feed.Update{Full: true, To: at(90), Items: []feed.Item{peerEntry("x", 90)}}), feed.ErrStaleEra)
	require.Equal(t, atEra(1, 8), f.Position())
	require.Equal(t, []string{"listed"}, r.calls)
}

// Guards against discarding data of a later era because of a peer's higher revision, and against
// keeping data of an era that the store never had.
func TestPositionsAreContradictedByEraFirst(t *testing.T) {
	f, _ := newTestFollower(&scriptedSource{})
	require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: atEra(1, 8)}))
	later := time.Now().Add(time.Minute)
	require.False(t, f.ResetIfContradicted(atEra(2, 3), later))
	require.True(t, f.ResetIfContradicted(atEra(0, 900), later))
}

// Guards against answers that were in flight when a peer reported a later era, and that are taken
// for changes of that era.
func TestWatchAnswersOfEndedEraAreDropped(t *testing.T) {
	var f *Follower
	s := &scriptedSource{lists: []Page{{At: at(10)}}}
	late := func() (Page, error) {
		require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: atEra(1, 8)}))
		return Page{At: at(12), Events: []Event{eraEvent("late", 0, 12)}}, nil
	}
	s.watches = []func() (Page, error){late, func() (Page, error) { return Page{At: atEra(1, 8)}, nil }}
	f, r := newTestFollower(s)
	f.SetReading(true, longpoll.PeerGroup{RelativeRank: 1})
	f.step(context.Background())
	f.step(context.Background())
	require.Equal(t, atEra(1, 8), f.Position())
	require.NotContains(t, r.calls, "leaf late")
	f.step(context.Background())
	require.Equal(t, []int64{10, 8}, s.watchedFrom)
	require.Equal(t, 1, s.listCalls)
}

// Guards against a listing of which one half dates from before the store was restored.
func TestListingAcrossRestoreIsRestarted(t *testing.T) {
	s := &scriptedSource{lists: []Page{
		{At: at(10), Events: []Event{eraEvent("a", 0, 9)}, Next: "a"}, {At: atEra(1, 8)},
		{At: atEra(1, 8), Events: []Event{eraEvent("b", 1, 8)}},
	}}
	f, r := newTestFollower(s)
	f.opts.OutageThreshold = time.Minute
	require.NotZero(t, f.step(context.Background()))
	require.False(t, f.Synced())
	f.step(context.Background())
	require.Equal(t, []string{"leaf b", "listed"}, r.calls)
}

// Guards against a peer that claims an era which the store never had, and so keeps an instance
// from seeing any change.
func TestImpossibleEraIsDiscarded(t *testing.T) {
	s := &scriptedSource{
		lists:   []Page{{At: atEra(1, 12), Events: []Event{eraEvent("b", 1, 12)}}},
		watches: []func() (Page, error){func() (Page, error) { return Page{At: atEra(1, 12)}, nil }},
	}
	f, r := newTestFollower(s)
	require.NoError(t, f.ApplyUpdate(feed.Update{Full: true, To: atEra(900, 1), Items: []feed.Item{eraEvent("a", 900, 1).Item}}))
	f.step(context.Background())
	require.False(t, f.Synced())
	f.step(context.Background())
	require.Equal(t, atEra(1, 12), f.Position())
	require.Equal(t, map[string]bool{"b": true}, r.listing.Leafs)
}
