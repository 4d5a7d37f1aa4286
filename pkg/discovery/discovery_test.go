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

// at is a revision of the first era.
func at(revision int64) feed.Position { return feed.Position{Revision: revision} }

// script is a source that plays prepared answers.
type script struct {
	lists   []Page
	watches []func() (Page, error)
	listed  int
	watched []int64
	// onList is called during a listing.
	onList func()
}

func (s *script) List(context.Context, string) (Page, error) {
	if s.listed >= len(s.lists) {
		return Page{}, errors.New("store away")
	}
	s.listed++
	if s.onList != nil {
		s.onList()
	}
	return s.lists[s.listed-1], nil
}

func (s *script) Watch(_ context.Context, after feed.Position, _ time.Duration) (Page, error) {
	n := len(s.watched)
	s.watched = append(s.watched, after.Revision)
	return s.watches[n]()
}

// record is a sink that notes what it is told.
type record struct {
	told []string
	// listing is the last one.
	listing Listing
}

func (r *record) LeafUpdated(l replica.Leaf)            { r.told = append(r.told, "leaf "+l.ID) }
func (r *record) LeafRemoved(id string)                 { r.told = append(r.told, "gone "+id) }
func (r *record) LeafUnreadable(id string)              { r.told = append(r.told, "unreadable "+id) }
func (r *record) ConfigUpdated(*routing.Config, Origin) { r.told = append(r.told, "config") }
func (r *record) StoreRecovered()                       { r.told = append(r.told, "returned") }

func (r *record) ZoneEvacuationChanged(zone string, evacuated bool) {
	r.told = append(r.told, fmt.Sprint("evacuated ", zone, " ", evacuated))
}

func (r *record) Listed(l Listing) {
	r.told = append(r.told, "listed")
	r.listing = l
}

// pauseAfterChanges is the pause of a follower in these tests.
const pauseAfterChanges = 500 * time.Millisecond

func follower(s *script) (*Follower, *record) {
	r := &record{}
	log := oplog.New(io.Discard, nil, oplog.Options{LinesPerSecond: 1, Burst: 1, Buffer: 16})
	pace := longpoll.Options{
		Wait: time.Second, ProbeWait: time.Millisecond, CoalesceDelay: pauseAfterChanges, Timeout: time.Second, RetryTimeout: time.Second,
		MinBackoff: 100 * time.Millisecond, MaxBackoff: 400 * time.Millisecond,
	}
	f := NewFollower(s, r, Options{Pace: pace}, log)
	f.pacer = longpoll.New(pace, func() float64 { return 1 }) // The longest of random times.
	return f, r
}

func leafEvent(id string) Event { return Event{Leaf: &replica.Leaf{ID: id}} }
func configEvent() Event        { return Event{Config: routing.NewConfig(1, nil, nil, routing.Limits{})} }

// Decode reads a leaf's ID, or a deletion, from an entry.
func (s *script) Decode(it feed.Item) Event {
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

func failing() (Page, error)   { return Page{}, errors.New("cut") }
func compacted() (Page, error) { return Page{}, ErrCompacted }
func empty() (Page, error)     { return Page{At: at(12)}, nil }

// Pages are no snapshot: the watch goes on from the first page's revision, and
// the configuration comes after the leafs that its routes need.
func TestListingThenWatching(t *testing.T) {
	s := &script{
		lists:   []Page{{Events: []Event{configEvent(), leafEvent("a")}, At: at(10), Next: "a"}, {Events: []Event{leafEvent("b")}, At: at(11)}},
		watches: []func() (Page, error){empty},
	}
	f, r := follower(s)
	require.Equal(t, 500*time.Millisecond, f.step(context.Background()))
	require.Equal(t, []string{"leaf a", "leaf b", "config", "listed"}, r.told)
	require.Zero(t, f.step(context.Background()), "an empty watch is followed by the next at once")
	require.Equal(t, []int64{10}, s.watched)
	require.Equal(t, at(12), f.Position())
}

// Calls to a store that is away are billed too: the pause between them grows.
func TestFailuresBackOffAndEndWithTheReturn(t *testing.T) {
	s := &script{
		lists:   []Page{{At: at(10)}, {At: at(20)}},
		watches: []func() (Page, error){failing, failing, failing, failing, empty, compacted},
	}
	f, r := follower(s)
	f.step(context.Background())
	var pauses []time.Duration
	for range 4 {
		pauses = append(pauses, f.step(context.Background()).Round(time.Millisecond)/time.Millisecond)
	}
	require.Equal(t, []time.Duration{100, 200, 400, 400}, pauses)
	require.Zero(t, f.step(context.Background()))
	require.Equal(t, []string{"listed", "returned"}, r.told)
	require.Zero(t, f.step(context.Background()), "lost history is listed anew at once")
	f.step(context.Background())
	require.Equal(t, []string{"listed", "returned", "listed"}, r.told)
	require.Equal(t, at(20), f.Position())
	require.EqualValues(t, 4, f.Failures())
}

// Symptom: after an outage new routes are unknown and leafs that left are asked for
// many seconds more. Sequence: more has changed than one reply of the store holds;
// each reply is followed by the pause that collects changes. Cause: the pause came
// although more was waiting.
func TestBacklogIsReadWithoutPauses(t *testing.T) {
	full := func() (Page, error) { return Page{Events: []Event{leafEvent("a")}, At: at(9), Full: true}, nil }
	last := func() (Page, error) { return Page{Events: []Event{leafEvent("b")}, At: at(12)}, nil }
	s := &script{lists: []Page{{At: at(3)}}, watches: []func() (Page, error){full, full, last}}
	f, _ := follower(s)
	f.step(context.Background())
	require.Zero(t, f.step(context.Background()))
	require.Zero(t, f.step(context.Background()))
	require.Equal(t, pauseAfterChanges, f.step(context.Background()))
	require.Equal(t, []int64{3, 9, 9}, s.watched)
}

func TestOnlyTheLastConfigurationCounts(t *testing.T) {
	s := &script{lists: []Page{{}}, watches: []func() (Page, error){func() (Page, error) {
		return Page{Events: []Event{configEvent(), configEvent(), {RemovedLeaf: "x"}, configEvent()}}, nil
	}}}
	f, r := follower(s)
	f.step(context.Background())
	f.step(context.Background())
	require.Equal(t, []string{"listed", "gone x", "config"}, r.told)
}

// Symptom: a leaf whose entry turned unreadable while the store was away is used on.
// Sequence: the listing after the outage has its key, with a value that cannot be
// decoded. Cause: it was taken for one that lapsed with the outage.
func TestUnreadableLeafIsToldApartFromOneThatIsGone(t *testing.T) {
	s := &script{
		lists: []Page{{Events: []Event{leafEvent("a"), {UnreadableLeaf: "b"}}, Unreadable: 1}},
		watches: []func() (Page, error){func() (Page, error) {
			return Page{Events: []Event{{UnreadableLeaf: "a"}, {}}, Unreadable: 2, At: at(15)}, nil
		}},
	}
	f, r := follower(s)
	f.step(context.Background())
	require.Equal(t, pauseAfterChanges, f.step(context.Background()))
	require.Equal(t, []string{"leaf a", "unreadable b", "listed", "unreadable a"}, r.told)
	require.Equal(t, at(15), f.Position(), "goes on behind what cannot be decoded")
	require.EqualValues(t, 3, f.Unreadable())
}
