package peers

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
)

// at is a revision of the first era.
func at(revision int64) feed.Position { return feed.Position{Revision: revision} }

// memory is a Store that is a book and no more.
type memory struct {
	mu        sync.Mutex
	book      *feed.Cache
	proven    time.Time
	answered  time.Time
	confirmed time.Time
	group     longpoll.PeerGroup
	reading   bool
	refused   int
	// contradicted is how many peers have said where the store was.
	contradicted int
}

func newMemory() *memory { return &memory{book: feed.NewCache()} }

// locked runs f under the lock and returns what it does.
func locked[T any](m *memory, f func() T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f()
}

func (m *memory) ChangesSince(after feed.Position) feed.Update {
	return locked(m, func() feed.Update { return m.book.Since(after, time.Now()) })
}
func (m *memory) HasSnapshot() bool        { return locked(m, m.book.Synced) }
func (m *memory) Position() feed.Position  { return locked(m, m.book.Position) }
func (m *memory) ConfirmedAt() time.Time   { return locked(m, func() time.Time { return m.proven }) }
func (m *memory) AnsweredAt() time.Time    { return locked(m, func() time.Time { return m.answered }) }
func (m *memory) MarkCurrent(at time.Time) { locked(m, func() bool { m.proven = at; return true }) }
func (m *memory) MarkConfirmed(at time.Time) {
	locked(m, func() bool { m.confirmed = at; return true })
}
func (m *memory) SetReading(r bool, group longpoll.PeerGroup) {
	locked(m, func() bool { m.reading, m.group = r, group; return true })
}
func (m *memory) ResetIfContradicted(feed.Position, time.Time) bool {
	return locked(m, func() bool { m.contradicted++; return false })
}

func (m *memory) ApplyPage(p feed.Update) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := errors.Join(p.Validate(), m.book.CheckApplicable(p)); err != nil {
		m.refused++
		return err
	}
	m.book.Apply(p)
	return nil
}

// isReading reports whether it was told to read.
func (m *memory) isReading() bool { return locked(m, func() bool { return m.reading }) }

// feedBench is an instance that a peer can feed.
type feedBench struct {
	*bench
	agent      *Peers
	here, peer *memory
	isolated   atomic.Bool
}

func newFeedBench(t *testing.T) *feedBench {
	b := &feedBench{bench: newBench(t, nil), here: newMemory(), peer: newMemory()}
	b.server.PublishFeed(b.peer, b.isolated.Load)
	b.agent = &Peers{log: quietLog(), conns: map[string]*clientConn{}, avoid: map[string]time.Time{}}
	b.agent.SubscribeToFeeds(b.here, feed.Options{MaxAge: 2 * time.Second}, false)
	b.attach(b.conn)
	return b
}

// attach lets the agent use a connection to the peer.
func (b *feedBench) attach(c *clientConn) {
	b.agent.mu.Lock()
	defer b.agent.mu.Unlock()
	c.news, c.page = b.agent.heardNews, b.agent.heardPage
	b.agent.conns["peer"] = c
}

// listenTo asks the peer for what it knows.
func (b *feedBench) listenTo() {
	b.agent.mu.Lock()
	defer b.agent.mu.Unlock()
	b.agent.subscribe(map[string]bool{"peer": true})
}

// tell lets the peer know an entry.
func (b *feedBench) tell(key string, revision int64) {
	locked(b.peer, func() bool {
		b.peer.book.Apply(feed.Update{Full: !b.peer.book.Synced(), To: at(revision), Items: []feed.Item{{Key: key, At: at(revision), Raw: []byte(key)}}})
		b.peer.proven, b.peer.answered = time.Now(), time.Now()
		return true
	})
	b.server.NotifySubscribers()
}

func (b *feedBench) eventually(cond func() bool) {
	b.t.Helper()
	require.Eventually(b.t, cond, 10*time.Second, time.Millisecond)
}

// What the peer learns is known here at once, and with it how old it is.
func TestPeerIsFed(t *testing.T) {
	b := newFeedBench(t)
	b.tell("a", 4)
	b.listenTo()
	b.eventually(func() bool { return b.here.HasSnapshot() && b.here.Position() == at(4) })
	for revision := int64(5); revision < 20; revision++ {
		b.tell("b", revision)
		b.eventually(func() bool { return b.here.Position() == at(revision) })
	}
	b.eventually(func() bool { return !b.here.ConfirmedAt().IsZero() })
	b.eventually(func() bool { return !locked(b.here, func() time.Time { return b.here.confirmed }).IsZero() })
	require.WithinDuration(t, time.Now(), b.here.ConfirmedAt(), 5*time.Second)
	b.agent.mu.Lock()
	require.False(t, b.agent.feeds.answered("peer", time.Now()).IsZero())
	require.True(t, b.agent.feeds.answered("peer", time.Now().Add(2*newsMissed)).IsZero(), "silence is no news")
	b.agent.subscribe(nil)
	b.agent.mu.Unlock()
	b.eventually(func() bool {
		b.server.feeder.mu.Lock()
		defer b.server.feeder.mu.Unlock()
		return len(b.server.feeder.wakes) == 0
	})
}

// Guards against: an instance that hears of no change until the revisions pass the one up to which a
// peer remembers to have told it, when both have begun anew at an earlier one.
func TestChangesAreHeardAfterRevisionsGoBack(t *testing.T) {
	b := newFeedBench(t)
	b.tell("a", 9)
	b.listenTo()
	b.eventually(func() bool { return b.here.Position() == at(9) })
	for _, m := range []*memory{b.peer, b.here} {
		locked(m, func() bool { m.book = feed.NewCache(); return true })
		locked(m, func() []feed.Item { return m.book.Apply(feed.Update{Full: true, To: at(5)}) })
	}
	b.tell("b", 6)
	b.tell("c", 7)
	b.eventually(func() bool { return b.here.Position() == at(7) })
	require.Len(t, b.here.ChangesSince(at(0)).Items, 2)
}

// A peer that knows nothing itself says so, and is no source.
func TestPeerThatKnowsNothingIsNoSource(t *testing.T) {
	b := newFeedBench(t)
	b.listenTo()
	b.eventually(func() bool {
		b.agent.mu.Lock()
		defer b.agent.mu.Unlock()
		return !b.agent.feeds.heard["peer"].at.IsZero()
	})
	require.False(t, b.here.HasSnapshot())
	require.Zero(t, b.here.ConfirmedAt())
	require.True(t, b.agent.feeds.answered("peer", time.Now()).IsZero())
}

// Symptom: one instance with a fault takes the others down with it. Sequence: it claims a
// revision that cannot be, sends what cannot be unpacked or a frame of another kind. Cause
// it guards against: believing or choking on it. Its good pages still count, and a frame
// that is too large ends the connection.
func TestBadPagesAreDropped(t *testing.T) {
	b := newFeedBench(t)
	packed := func(p feed.Update) []byte {
		raw, err := (&feeder{}).pack(p)
		require.NoError(t, err)
		return raw
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	frames := make(chan []byte)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		w := bufio.NewWriter(conn)
		for raw := range frames {
			_ = writeFrame(w, kindPage, raw)
		}
		_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 9)) // The size of a frame beyond the limit.
		_, _ = conn.Write([]byte{0x01})
	}()
	c := b.dial(ln.Addr().String())
	b.attach(c)
	frames <- packed(feed.Update{Full: true, To: at(1 << 60)})
	frames <- []byte("no such thing")
	frames <- packed(feed.Update{From: at(3), To: at(9), Items: []feed.Item{{Key: "x", At: at(12)}}})
	frames <- packed(feed.Update{Full: true, To: at(9), Items: []feed.Item{{Key: "x", At: at(9)}}})
	b.eventually(func() bool { return b.here.Position() == at(9) })
	require.Equal(t, 2, b.here.refused)
	close(frames)
	require.ErrorIs(t, <-b.ended, errFrameSize)
}

// Symptom: callers of a zone that is cut off are refused by it, although other zones could
// serve them. Sequence: those that run the zone's queries notice, the others ask no leafs and
// go on saying that they are ready. Cause it guards against: each looking at itself only.
func TestIsolationIsHeardOf(t *testing.T) {
	b := newFeedBench(t)
	b.listenTo()
	b.agent.mu.Lock()
	b.agent.roles.gatherers = []membership.Member{{Name: "peer"}}
	b.agent.mu.Unlock()
	b.isolated.Store(true)
	require.Never(t, func() bool { return b.agent.GatherersIsolated(time.Now()) }, 2*newsEvery, newsEvery/4, "another zone's isolation is no sign of this one's")
	b.agent.mu.Lock()
	b.agent.self.Zone = b.conn.peer.Zone
	b.agent.mu.Unlock()
	b.eventually(func() bool { return b.agent.GatherersIsolated(time.Now()) })
	require.False(t, b.agent.GatherersIsolated(time.Now().Add(2*newsMissed)), "what is not said again does not hold")
	b.isolated.Store(false)
	b.eventually(func() bool { return !b.agent.GatherersIsolated(time.Now()) })
	b.agent.mu.Lock()
	b.agent.roles.gatherers = nil
	b.agent.mu.Unlock()
	b.isolated.Store(true)
	require.Never(t, func() bool { return b.agent.GatherersIsolated(time.Now()) }, 2*newsEvery, newsEvery/4, "one that runs queries looks for itself")
}

// In a zone of few each reads the store for itself; in one of many those after the first two
// are fed.
func TestWhoReadsTheStore(t *testing.T) {
	for name, tc := range map[string]struct {
		near, ahead int
		read        bool
	}{
		"few, last":   {3, 3, true},
		"many, first": {9, 0, true},
		"many, next":  {9, 1, true},
		"many, third": {9, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFeedBench(t)
			locked(b.here, func() bool { b.here.book.Apply(feed.Update{Full: true, To: at(1)}); return true })
			now := time.Now()
			b.agent.mu.Lock()
			defer b.agent.mu.Unlock()
			b.agent.roles = roles{near: tc.near, ahead: members("z", make([]uint32, tc.ahead)...)}
			for _, m := range b.agent.roles.ahead {
				b.agent.feeds.heard[m.Name] = heard{answeredAt: now, at: now}
			}
			listen := b.agent.follow(now)
			require.Equal(t, tc.read, b.here.isReading())
			if tc.near >= feed.MinMembers {
				require.Len(t, listen, tc.ahead)
			}
			b.agent.avoid["z-a"] = now.Add(time.Minute)
			b.agent.follow(now)
			require.True(t, b.here.isReading(), "one of two that it listens to is gone")
		})
	}
}

// The order in which a zone reads the store is the same for all its members.
func TestOrderOfAZoneIsTheSameForAll(t *testing.T) {
	all := members("z", 19, 80, 19, 80, 19, 19)
	var want []string
	for name, r := range drawAll(all) {
		var got []string
		for _, m := range append(append(append([]membership.Member{}, r.ahead...), membership.Member{Name: name}), r.behind...) {
			got = append(got, m.Name)
		}
		if want == nil {
			want = got
		}
		require.Equal(t, want, got)
	}
	require.ElementsMatch(t, []string{"z-b", "z-d"}, want[:2])
}

// Guards against: a zone that the store does not answer, and that hears of no other zone.
func TestReadersListenToReadersOfOtherZones(t *testing.T) {
	all := append(append(members("x", 19, 80, 19, 80, 19, 19), members("y", 19, 19)...), members("z", 19)...)
	reading := map[string]bool{"x-b": true, "x-d": true, "y-a": true, "y-b": true, "z-a": true}
	for name, r := range drawAll(all) {
		zones := map[string]bool{}
		for _, m := range r.far {
			require.True(t, reading[m.Name], "%s listens to %s", name, m.Name)
			require.NotEqual(t, name[:1], m.Zone)
			zones[m.Zone] = true
		}
		require.Len(t, zones, 2, name)
	}
	avoided := func(m membership.Member) bool { return m.Name == "z-a" || m.Name == "x-b" }
	r := drawRoles(all[6], append(append([]membership.Member{}, all[:6]...), all[7:]...), avoided)
	require.Equal(t, "x-d", r.far[0].Name)
	require.Len(t, r.far, 1)
}

// Guards against: instances of which several ask the store at the same moment, and none for long.
func TestReadersHavePlacesOfTheirOwn(t *testing.T) {
	all := append(members("x", 19, 80, 19, 80, 19, 19), members("y", 19, 19)...)
	drawn := drawAll(all)
	for name, want := range map[string]float64{"x-b": 0.25, "x-d": 0.5, "y-a": 0.75, "y-b": 1} {
		require.Equal(t, want, drawn[name].place, name)
	}
	require.Equal(t, 1.0, drawRoles(all[0], nil, never).place)
}

// An instance that reads the store listens to two of its zone and to other zones, and counts those
// that the store has lately answered. One that knows nothing yet is fed by its own zone.
func TestSmallZonesListenToEachOther(t *testing.T) {
	b := newFeedBench(t)
	now := time.Now()
	b.agent.mu.Lock()
	defer b.agent.mu.Unlock()
	b.agent.roles = roles{near: 3, others: 5, place: 0.5, ahead: members("a", 1), behind: members("b", 1, 1), far: members("far", 1, 1)}
	require.Equal(t, []string{"b-a", "b-b"}, b.agent.follow(now))
	locked(b.here, func() bool { b.here.book.Apply(feed.Update{Full: true, To: at(1)}); return true })
	require.Equal(t, []string{"b-a", "b-b", "far-a", "far-b"}, b.agent.follow(now))
	require.Equal(t, longpoll.PeerGroup{RelativeRank: 0.5}, b.here.group)
	b.agent.feeds.heard["b-a"] = heard{answeredAt: now, at: now}
	b.agent.feeds.heard["far-b"] = heard{answeredAt: now, at: now}
	b.agent.feeds.heard["far-a"] = heard{answeredAt: now.Add(-time.Minute), at: now}
	b.agent.follow(now)
	require.Equal(t, longpoll.PeerGroup{Reporting: 2, RelativeRank: 0.5}, b.here.group)
	b.agent.roles.behind = nil
	require.Equal(t, "a-a", b.agent.follow(now)[0], "the last one goes on with the first")
}

// Guards against: an instance that has dropped what it knew of the store and makes others drop it too.
func TestPeerThatKnowsNothingContradictsNobody(t *testing.T) {
	b := newFeedBench(t)
	locked(b.peer, func() bool { b.peer.proven, b.peer.answered = time.Now(), time.Now(); return true })
	b.listenTo()
	heard := func() heard {
		b.agent.mu.Lock()
		defer b.agent.mu.Unlock()
		return b.agent.feeds.heard["peer"]
	}
	b.eventually(func() bool { return !heard().at.IsZero() })
	require.False(t, heard().answeredAt.IsZero(), "the store answers it")
	require.Zero(t, locked(b.here, func() int { return b.here.contradicted }))
}
