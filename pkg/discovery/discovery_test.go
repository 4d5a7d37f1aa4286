package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// at returns a position in the first era.
func at(revision int64) feed.Position { return feed.Position{Revision: revision} }

// scriptedSource is a source that returns prepared answers.
type scriptedSource struct {
	lists       []Page
	watches     []func() (Page, error)
	listCalls   int
	watchedFrom []int64
	// onList is called during each listing.
	onList func()
}

func (s *scriptedSource) List(context.Context, string) (Page, error) {
	if s.listCalls >= len(s.lists) {
		return Page{}, errors.New("store unavailable")
	}
	s.listCalls++
	if s.onList != nil {
		s.onList()
	}
	return s.lists[s.listCalls-1], nil
}

func (s *scriptedSource) Watch(_ context.Context, after feed.Position, _ time.Duration) (Page, error) {
	n := len(s.watchedFrom)
	s.watchedFrom = append(s.watchedFrom, after.Revision)
	return s.watches[n]()
}

// recordingSink is a sink that records the calls it receives.
type recordingSink struct {
	calls []string
	// listing is the latest one.
	listing Listing
}

func (r *recordingSink) LeafUpdated(l replica.Leaf)            { r.calls = append(r.calls, "leaf "+l.ID) }
func (r *recordingSink) LeafRemoved(id string)                 { r.calls = append(r.calls, "gone "+id) }
func (r *recordingSink) LeafUnreadable(id string)              { r.calls = append(r.calls, "unreadable "+id) }
func (r *recordingSink) ConfigUpdated(*routing.Config, Origin) { r.calls = append(r.calls, "config") }
func (r *recordingSink) StoreRecovered()                       { r.calls = append(r.calls, "returned") }

func (r *recordingSink) ZoneEvacuationChanged(zone string, evacuated bool) {
	r.calls = append(r.calls, fmt.Sprint("evacuated ", zone, " ", evacuated))
}

func (r *recordingSink) Listed(l Listing) {
	r.calls = append(r.calls, "listed")
	r.listing = l
}

// pauseAfterChanges is the pause after an answer with changes in these tests.
const pauseAfterChanges = 500 * time.Millisecond

func newTestFollower(s *scriptedSource) (*Follower, *recordingSink) {
	r := &recordingSink{}
	log := oplog.New(io.Discard, nil, oplog.Options{LinesPerSecond: 1, Burst: 1, Buffer: 16})
	pace := longpoll.Options{
		Wait: time.Second, ProbeWait: time.Millisecond, CoalesceDelay: pauseAfterChanges, Timeout: time.Second, RetryTimeout: time.Second,
		MinBackoff: 100 * time.Millisecond, MaxBackoff: 400 * time.Millisecond,
	}
	f := NewFollower(s, r, Options{LongPoll: pace}, log)
	f.pacer = longpoll.New(pace, func() float64 { return 1 }) // Selects the longest of the randomised times.
	return f, r
}

func leafEvent(id string) Event { return Event{Leaf: &replica.Leaf{ID: id}} }
func configEvent() Event        { return Event{Config: routing.NewConfig(1, nil, nil, routing.Limits{})} }

// Decode returns the leaf, the removal or the configuration that an entry stands for.
func (s *scriptedSource) Decode(it feed.Item) Event {
	e := Event{Item: it}
	switch {
	case it.Key == "config":
		e.Config = configEvent().Config
	case it.Deleted:
		e.RemovedLeaf = it.Key
	default:
		e.Leaf = &replica.Leaf{ID: it.Key}
	}
	return e
}

func failedWatch() (Page, error)    { return Page{}, errors.New("connection lost") }
func compactedWatch() (Page, error) { return Page{}, ErrCompacted }
func emptyWatch() (Page, error)     { return Page{At: at(12)}, nil }

// The pages of a listing are not a consistent snapshot, so the watch continues from the revision
// of the first page. The configuration comes after the leafs that its routes need.
func TestWatchContinuesFromFirstPageOfListing(t *testing.T) {
	s := &scriptedSource{
		lists:   []Page{{Events: []Event{configEvent(), leafEvent("a")}, At: at(10), Next: "a"}, {Events: []Event{leafEvent("b")}, At: at(11)}},
		watches: []func() (Page, error){emptyWatch},
	}
	f, r := newTestFollower(s)
	require.Equal(t, 500*time.Millisecond, f.step(context.Background()))
	require.Equal(t, []string{"leaf a", "leaf b", "config", "listed"}, r.calls)
	require.Zero(t, f.step(context.Background()), "an empty watch is followed by the next at once")
	require.Equal(t, []int64{10}, s.watchedFrom)
	require.Equal(t, at(12), f.Position())
}

// Calls to an unavailable store are billed too, so the pause between them grows.
func TestFailuresBackOffUntilStoreRecovers(t *testing.T) {
	s := &scriptedSource{
		lists:   []Page{{At: at(10)}, {At: at(20)}},
		watches: []func() (Page, error){failedWatch, failedWatch, failedWatch, failedWatch, emptyWatch, compactedWatch},
	}
	f, r := newTestFollower(s)
	f.step(context.Background())
	var pauses []time.Duration
	for range 4 {
		pauses = append(pauses, f.step(context.Background()).Round(time.Millisecond)/time.Millisecond)
	}
	require.Equal(t, []time.Duration{100, 200, 400, 400}, pauses)
	require.Zero(t, f.step(context.Background()))
	require.Equal(t, []string{"listed", "returned"}, r.calls)
	require.Zero(t, f.step(context.Background()), "a lost history is followed by a listing at once")
	f.step(context.Background())
	require.Equal(t, []string{"listed", "returned", "listed"}, r.calls)
	require.Equal(t, at(20), f.Position())
	require.EqualValues(t, 4, f.Failures())
}

// Guards against new routes staying unknown, and removed leafs being called, for many seconds
// after an outage. More had changed than one answer of the store holds, and each answer was
// followed by the pause that collects changes although more were available.
func TestBacklogIsReadWithoutPauses(t *testing.T) {
	full := func() (Page, error) { return Page{Events: []Event{leafEvent("a")}, At: at(9), Full: true}, nil }
	last := func() (Page, error) { return Page{Events: []Event{leafEvent("b")}, At: at(12)}, nil }
	s := &scriptedSource{lists: []Page{{At: at(3)}}, watches: []func() (Page, error){full, full, last}}
	f, _ := newTestFollower(s)
	f.step(context.Background())
	require.Zero(t, f.step(context.Background()))
	require.Zero(t, f.step(context.Background()))
	require.Equal(t, pauseAfterChanges, f.step(context.Background()))
	require.Equal(t, []int64{3, 9, 9}, s.watchedFrom)
}

func TestOnlyLastConfigurationIsApplied(t *testing.T) {
	s := &scriptedSource{lists: []Page{{}}, watches: []func() (Page, error){func() (Page, error) {
		return Page{Events: []Event{configEvent(), configEvent(), {RemovedLeaf: "x"}, configEvent()}}, nil
	}}}
	f, r := newTestFollower(s)
	f.step(context.Background())
	f.step(context.Background())
	require.Equal(t, []string{"listed", "gone x", "config"}, r.calls)
}

// Guards against using a leaf whose entry became unreadable while the store was unavailable. The
// listing after the outage has its key with a value that cannot be decoded; the leaf was taken
// for one that merely expired because of the outage.
func TestUnreadableLeafIsDistinguishedFromRemovedLeaf(t *testing.T) {
	s := &scriptedSource{
		lists: []Page{{Events: []Event{leafEvent("a"), {UnreadableLeaf: "b"}}, Unreadable: 1}},
		watches: []func() (Page, error){func() (Page, error) {
			return Page{Events: []Event{{UnreadableLeaf: "a"}, {}}, Unreadable: 2, At: at(15)}, nil
		}},
	}
	f, r := newTestFollower(s)
	f.step(context.Background())
	require.Equal(t, pauseAfterChanges, f.step(context.Background()))
	require.Equal(t, []string{"leaf a", "unreadable b", "listed", "unreadable a"}, r.calls)
	require.Equal(t, at(15), f.Position(), "continues after entries that cannot be decoded")
	require.EqualValues(t, 3, f.Unreadable())
}
