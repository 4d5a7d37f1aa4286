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

// in is a revision of an era.
func in(era, revision int64) feed.Position { return feed.Position{Era: era, Revision: revision} }

// seen is an entry of an era as the store sends it.
func seen(key string, era, revision int64) Event {
	e := entryEvent(key, revision)
	e.Item.At = in(era, revision)
	return e
}

// configOf is a version of the configuration as the store sends it.
func configOf(version, era, revision int64) Event {
	e := seen("config", era, revision)
	e.Leaf, e.Config = nil, routing.NewConfig(version, nil, nil, routing.Limits{})
	e.Item.Raw = []byte{byte(version)}
	return e
}

// Guards against: changes of a restored store that are missed, whatever the answer that tells of it.
func TestRestoredStoreIsListed(t *testing.T) {
	for name, answer := range map[string]func() (Page, error){
		"changes":  func() (Page, error) { return Page{At: in(1, 40), Events: []Event{seen("x", 1, 40)}}, nil },
		"none":     func() (Page, error) { return Page{At: in(1, 9)}, nil },
		"no such":  func() (Page, error) { return Page{At: in(1, 0)}, ErrCompacted },
		"rejected": func() (Page, error) { return Page{At: in(1, 0)}, errRestored },
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{
				lists:   []Page{{At: at(10)}, {At: in(1, 8), Events: []Event{seen("b", 1, 8)}}},
				watches: []func() (Page, error){answer, func() (Page, error) { return Page{At: in(1, 9)}, nil }},
			}
			f, r := follower(s)
			f.opts.OutageThreshold = time.Minute
			f.step(context.Background())
			f.step(context.Background())
			require.Equal(t, at(10), f.Position(), "what is known holds")
			require.True(t, f.HasSnapshot())
			f.step(context.Background())
			require.Equal(t, in(1, 8), f.Position())
			require.Equal(t, []string{"listed", "returned", "leaf b", "listed"}, r.told)
			f.step(context.Background())
			require.Equal(t, in(1, 9), f.Position())
			require.Equal(t, 2, s.listed)
			require.EqualValues(t, 1, f.Restores())
		})
	}
}

// Guards against: entries that a restored store has lost and that end at once, or never.
func TestWhatAStoreHasLostLapses(t *testing.T) {
	s := &script{
		lists:   []Page{{At: at(10), Events: []Event{seen("a", 0, 9), seen("b", 0, 10), configOf(3, 0, 8)}}, {At: in(1, 8)}},
		watches: []func() (Page, error){func() (Page, error) { return Page{At: in(1, 9)}, nil }},
	}
	f, r := follower(s)
	f.opts.LostEntryGrace = time.Second
	f.step(context.Background())
	f.step(context.Background())
	f.step(context.Background())
	require.Equal(t, map[string]bool{"a": true, "b": true}, r.listing.Leafs)
	require.NoError(t, f.ApplyPage(feed.Update{From: in(1, 8), To: in(1, 9), Items: []feed.Item{seen("a", 1, 9).Item}}))
	r.told = nil
	f.Sweep(time.Now())
	require.Empty(t, r.told)
	f.Sweep(time.Now().Add(time.Second))
	require.Equal(t, []string{"gone b"}, r.told)
	f.Sweep(time.Now().Add(time.Minute))
	require.Equal(t, []string{"gone b"}, r.told)
	require.Len(t, f.ChangesSince(feed.Position{}).Items, 2, "the configuration stays")
}

// Guards against: an instance that starts and is told of a configuration that is older than the one in
// force, since the store was restored.
func TestNewestConfigurationIsTold(t *testing.T) {
	s := &script{
		lists: []Page{{At: at(10), Events: []Event{configOf(5, 0, 9)}}, {At: in(1, 8), Events: []Event{configOf(3, 1, 7)}}},
		watches: []func() (Page, error){func() (Page, error) { return Page{At: in(1, 8)}, nil }, func() (Page, error) {
			return Page{At: in(1, 9), Events: []Event{configOf(6, 1, 9)}}, nil
		}},
	}
	f, _ := follower(s)
	told := func() byte { return f.ChangesSince(feed.Position{}).Items[0].Raw[0] }
	for range 3 {
		f.step(context.Background())
	}
	require.Equal(t, in(1, 8), f.Position())
	require.EqualValues(t, 5, told())
	f.step(context.Background())
	require.EqualValues(t, 6, told())
}

// Guards against: an older configuration that is told for the last one of several.
func TestTheLastOfSeveralConfigurationsIsTold(t *testing.T) {
	s := &script{lists: []Page{{At: at(10), Events: []Event{configOf(2, 0, 10)}}}, watches: []func() (Page, error){func() (Page, error) {
		return Page{At: at(13), Events: []Event{configOf(1, 0, 11), configOf(2, 0, 12), configOf(3, 0, 13)}}, nil
	}}}
	f, _ := follower(s)
	f.step(context.Background())
	f.step(context.Background())
	require.EqualValues(t, 3, f.ChangesSince(feed.Position{}).Items[0].Raw[0])
}

// Guards against: a call that waits on in an era that another instance has told to be over.
func TestCallOfAnEraThatIsOverEnds(t *testing.T) {
	waits := &waiting{script: script{lists: []Page{{At: at(10)}}}, began: make(chan feed.Position), ended: make(chan error, 1)}
	f, _ := follower(&waits.script)
	f.source = waits
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go f.Run(ctx)
	require.Equal(t, at(10), <-waits.began)
	require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: in(1, 8)}))
	require.ErrorIs(t, <-waits.ended, context.Canceled)
	require.Equal(t, in(1, 8), <-waits.began)
	stop()

	go func() { <-waits.began }()
	_, err := f.watch(context.Background(), at(10), longpoll.Call{Wait: time.Minute})
	require.ErrorIs(t, err, errEraEnded, "one that begins at that moment")
}

// waiting is a source whose watches are never answered.
type waiting struct {
	script
	began chan feed.Position
	ended chan error
}

func (w *waiting) Watch(ctx context.Context, after feed.Position, _ time.Duration) (Page, error) {
	w.began <- after
	<-ctx.Done()
	select {
	case w.ended <- ctx.Err():
	default:
	}
	return Page{}, ctx.Err()
}

// Guards against: a watch that goes on from where it must not when the listing that was due has failed.
func TestListingThatFailsIsRepeated(t *testing.T) {
	s := &script{lists: []Page{{At: at(10)}}, watches: []func() (Page, error){compacted}}
	f, _ := follower(s)
	f.step(context.Background())
	f.step(context.Background())
	for range 3 {
		require.NotZero(t, f.step(context.Background()))
	}
	require.Len(t, s.watched, 1)
	s.lists = append(s.lists, Page{At: at(20)})
	f.step(context.Background())
	require.Equal(t, at(20), f.Position())
}

// Guards against: pages of other instances that leave a gap, or go back to an era that is over.
func TestPagesOfOthersThatDoNotFitAreRefused(t *testing.T) {
	f, r := follower(&script{})
	require.ErrorIs(t, f.ApplyPage(feed.Update{From: at(3), To: at(4)}), feed.ErrGap)
	require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: in(1, 8)}))
	require.ErrorIs(t, f.ApplyPage(feed.Update{From: in(1, 9), To: in(1, 10), Items: []feed.Item{seen("x", 1, 10).Item}}), feed.ErrGap)
	require.ErrorIs(t, f.ApplyPage(feed.Update{Full: true, To: at(90), Items: []feed.Item{entry("x", 90)}}), feed.ErrStaleEra)
	require.Equal(t, in(1, 8), f.Position())
	require.Equal(t, []string{"listed"}, r.told)
}

// Guards against: knowledge of a later era that is dropped for the revision of an instance, or kept
// although the store never had it.
func TestPositionsOfErasAreContradictedByEra(t *testing.T) {
	f, _ := follower(&script{})
	require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: in(1, 8)}))
	later := time.Now().Add(time.Minute)
	require.False(t, f.ResetIfContradicted(in(2, 3), later))
	require.True(t, f.ResetIfContradicted(in(0, 900), later))
}

// Guards against: answers that were under way when another instance told of a later era, and are taken
// for changes of it.
func TestAnswersOfAnEraThatIsOverAreDropped(t *testing.T) {
	var f *Follower
	s := &script{lists: []Page{{At: at(10)}}}
	late := func() (Page, error) {
		require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: in(1, 8)}))
		return Page{At: at(12), Events: []Event{seen("late", 0, 12)}}, nil
	}
	s.watches = []func() (Page, error){late, func() (Page, error) { return Page{At: in(1, 8)}, nil }}
	f, r := follower(s)
	f.SetReading(true, longpoll.PeerGroup{RelativeRank: 1})
	f.step(context.Background())
	f.step(context.Background())
	require.Equal(t, in(1, 8), f.Position())
	require.NotContains(t, r.told, "leaf late")
	f.step(context.Background())
	require.Equal(t, []int64{10, 8}, s.watched)
	require.Equal(t, 1, s.listed)
}

// Guards against: a listing of which one half is from before the store was restored.
func TestListingAcrossARestoreIsBegunAnew(t *testing.T) {
	s := &script{lists: []Page{
		{At: at(10), Events: []Event{seen("a", 0, 9)}, Next: "a"}, {At: in(1, 8)},
		{At: in(1, 8), Events: []Event{seen("b", 1, 8)}},
	}}
	f, r := follower(s)
	f.opts.OutageThreshold = time.Minute
	require.NotZero(t, f.step(context.Background()))
	require.False(t, f.HasSnapshot())
	f.step(context.Background())
	require.Equal(t, []string{"leaf b", "listed"}, r.told)
}

// Guards against: an instance that claims an era which the store never had, and keeps another one from
// all changes.
func TestEraThatTheStoreNeverHadIsForgotten(t *testing.T) {
	s := &script{
		lists:   []Page{{At: in(1, 12), Events: []Event{seen("b", 1, 12)}}},
		watches: []func() (Page, error){func() (Page, error) { return Page{At: in(1, 12)}, nil }},
	}
	f, r := follower(s)
	require.NoError(t, f.ApplyPage(feed.Update{Full: true, To: in(900, 1), Items: []feed.Item{seen("a", 900, 1).Item}}))
	f.step(context.Background())
	require.False(t, f.HasSnapshot())
	f.step(context.Background())
	require.Equal(t, in(1, 12), f.Position())
	require.Equal(t, map[string]bool{"b": true}, r.listing.Leafs)
}
