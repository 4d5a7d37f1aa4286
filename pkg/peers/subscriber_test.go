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

// pos returns the position of a revision in the first era.
func pos(revision int64) feed.Position { return feed.Position{Revision: revision} }

// memStore is a Store that keeps a feed.Cache in memory.
type memStore struct {
	mu              sync.Mutex
	book            *feed.Cache
	asOf            time.Time
	answeredAt      time.Time
	confirmedAt     time.Time
	group           longpoll.PeerGroup
	reading         bool
	rejectedUpdates int
	// positionChecks is the number of calls of ResetIfContradicted.
	positionChecks int
}

func newMemStore() *memStore { return &memStore{book: feed.NewCache()} }

// locked runs f under the lock and returns its result.
func locked[T any](m *memStore, f func() T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f()
}

func (m *memStore) ChangesSince(after feed.Position) feed.Update {
	return locked(m, func() feed.Update { return m.book.Since(after, time.Now()) })
}
func (m *memStore) Synced() bool             { return locked(m, m.book.Synced) }
func (m *memStore) Position() feed.Position  { return locked(m, m.book.Position) }
func (m *memStore) ConfirmedAt() time.Time   { return locked(m, func() time.Time { return m.asOf }) }
func (m *memStore) AnsweredAt() time.Time    { return locked(m, func() time.Time { return m.answeredAt }) }
func (m *memStore) MarkCurrent(at time.Time) { locked(m, func() bool { m.asOf = at; return true }) }
func (m *memStore) MarkConfirmed(at time.Time) {
	locked(m, func() bool { m.confirmedAt = at; return true })
}
func (m *memStore) SetReading(r bool, group longpoll.PeerGroup) {
	locked(m, func() bool { m.reading, m.group = r, group; return true })
}
func (m *memStore) ResetIfContradicted(feed.Position, time.Time) bool {
	return locked(m, func() bool { m.positionChecks++; return false })
}

func (m *memStore) ApplyUpdate(p feed.Update) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := errors.Join(p.Validate(), m.book.CheckApplicable(p)); err != nil {
		m.rejectedUpdates++
		return err
	}
	m.book.Apply(p)
	return nil
}

// isReading returns the last value that was set by SetReading.
func (m *memStore) isReading() bool { return locked(m, func() bool { return m.reading }) }

// feedFixture is an agent that can subscribe to the feed of a peer.
type feedFixture struct {
	*serverFixture
	agent         *Peers
	local, remote *memStore
	isolated      atomic.Bool
}

func newFeedFixture(t *testing.T) *feedFixture {
	b := &feedFixture{serverFixture: newServerFixture(t, nil), local: newMemStore(), remote: newMemStore()}
	b.server.PublishFeed(b.remote, b.isolated.Load)
	b.agent = &Peers{log: discardLog(), conns: map[string]*clientConn{}, avoidUntil: map[string]time.Time{}}
	b.agent.SubscribeToFeeds(b.local, feed.Options{MaxAge: 2 * time.Second}, false)
	b.attach(b.conn)
	return b
}

// attach makes the agent use a connection to the peer.
func (b *feedFixture) attach(c *clientConn) {
	b.agent.mu.Lock()
	defer b.agent.mu.Unlock()
	c.onFeedStatus, c.onUpdate = b.agent.handleFeedStatus, b.agent.handleUpdate
	b.agent.conns["peer"] = c
}

// subscribe subscribes the agent to the feed of the peer.
func (b *feedFixture) subscribe() {
	b.agent.mu.Lock()
	defer b.agent.mu.Unlock()
	b.agent.updateSubscriptions(map[string]bool{"peer": true})
}

// publishEntry adds an entry to the store of the peer.
func (b *feedFixture) publishEntry(key string, revision int64) {
	locked(b.remote, func() bool {
		b.remote.book.Apply(feed.Update{Full: !b.remote.book.Synced(), To: pos(revision), Items: []feed.Item{{Key: key, At: pos(revision), Raw: []byte(key)}}})
		b.remote.asOf, b.remote.answeredAt = time.Now(), time.Now()
		return true
	})
	b.server.NotifySubscribers()
}

func (b *feedFixture) eventually(cond func() bool) {
	b.t.Helper()
	require.Eventually(b.t, cond, 10*time.Second, time.Millisecond)
}

// Changes at the peer reach the subscriber at once, together with their age.
func TestSubscriberReceivesPublishedChanges(t *testing.T) {
	b := newFeedFixture(t)
	b.publishEntry("a", 4)
	b.subscribe()
	b.eventually(func() bool { return b.local.Synced() && b.local.Position() == pos(4) })
	for revision := int64(5); revision < 20; revision++ {
		b.publishEntry("b", revision)
		b.eventually(func() bool { return b.local.Position() == pos(revision) })
	}
	b.eventually(func() bool { return !b.local.ConfirmedAt().IsZero() })
	b.eventually(func() bool { return !locked(b.local, func() time.Time { return b.local.confirmedAt }).IsZero() })
	require.WithinDuration(t, time.Now(), b.local.ConfirmedAt(), 5*time.Second)
	b.agent.mu.Lock()
	require.False(t, b.agent.subscriber.lastAnswer("peer", time.Now()).IsZero())
	require.True(t, b.agent.subscriber.lastAnswer("peer", time.Now().Add(2*feedStatusTimeout)).IsZero(), "a status that is too old must not count")
	b.agent.updateSubscriptions(nil)
	b.agent.mu.Unlock()
	b.eventually(func() bool {
		b.server.publisher.mu.Lock()
		defer b.server.publisher.mu.Unlock()
		return len(b.server.publisher.wakeups) == 0
	})
}

// Guards against a subscriber that receives no changes after both stores were reset to an earlier
// revision, until the revisions exceed the last one that the publisher remembers to have sent.
func TestChangesAreReceivedAfterRevisionsGoBack(t *testing.T) {
	b := newFeedFixture(t)
	b.publishEntry("a", 9)
	b.subscribe()
	b.eventually(func() bool { return b.local.Position() == pos(9) })
	for _, m := range []*memStore{b.remote, b.local} {
		locked(m, func() bool { m.book = feed.NewCache(); return true })
		locked(m, func() []feed.Item { return m.book.Apply(feed.Update{Full: true, To: pos(5)}) })
	}
	b.publishEntry("b", 6)
	b.publishEntry("c", 7)
	b.eventually(func() bool { return b.local.Position() == pos(7) })
	require.Len(t, b.local.ChangesSince(pos(0)).Items, 2)
}

// Guards against using a peer without a snapshot as a source. Its status must say that it has none.
func TestPeerWithoutSnapshotIsNotASource(t *testing.T) {
	b := newFeedFixture(t)
	b.subscribe()
	b.eventually(func() bool {
		b.agent.mu.Lock()
		defer b.agent.mu.Unlock()
		return !b.agent.subscriber.statuses["peer"].receivedAt.IsZero()
	})
	require.False(t, b.local.Synced())
	require.Zero(t, b.local.ConfirmedAt())
	require.True(t, b.agent.subscriber.lastAnswer("peer", time.Now()).IsZero())
}

// Guards against one faulty instance taking down others: it claims an impossible revision, or sends
// an update that cannot be decompressed or has inconsistent positions. Such updates are dropped,
// valid updates of the same peer are still applied, and a frame that is too large closes the
// connection.
func TestInvalidUpdatesAreDropped(t *testing.T) {
	b := newFeedFixture(t)
	packed := func(p feed.Update) []byte {
		raw, err := (&publisher{}).encodeUpdate(p)
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
			_ = writeFrame(w, kindUpdate, raw)
		}
		_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 9)) // A frame size that exceeds the limit.
		_, _ = conn.Write([]byte{0x01})
	}()
	c := b.dial(ln.Addr().String())
	b.attach(c)
	frames <- packed(feed.Update{Full: true, To: pos(1 << 60)})
	frames <- []byte("no such thing")
	frames <- packed(feed.Update{From: pos(3), To: pos(9), Items: []feed.Item{{Key: "x", At: pos(12)}}})
	frames <- packed(feed.Update{Full: true, To: pos(9), Items: []feed.Item{{Key: "x", At: pos(9)}}})
	b.eventually(func() bool { return b.local.Position() == pos(9) })
	require.Equal(t, 2, b.local.rejectedUpdates)
	close(frames)
	require.ErrorIs(t, <-b.ended, errFrameSize)
}

// Guards against refusing callers that other zones could serve: when a zone is cut off from the
// leafs, only its gatherers notice. Other instances call no leafs and would keep reporting that
// they are ready if they did not use the status of the gatherers.
func TestGatherersReportIsolation(t *testing.T) {
	b := newFeedFixture(t)
	b.subscribe()
	b.agent.mu.Lock()
	b.agent.roles.gatherers = []membership.Member{{Name: "peer"}}
	b.agent.mu.Unlock()
	b.isolated.Store(true)
	require.Never(t, func() bool { return b.agent.GatherersIsolated(time.Now()) }, 2*feedStatusInterval, feedStatusInterval/4, "isolation of a peer in another zone must not count")
	b.agent.mu.Lock()
	b.agent.self.Zone = b.conn.peer.Zone
	b.agent.mu.Unlock()
	b.eventually(func() bool { return b.agent.GatherersIsolated(time.Now()) })
	require.False(t, b.agent.GatherersIsolated(time.Now().Add(2*feedStatusTimeout)), "isolation must not outlast the status")
	b.isolated.Store(false)
	b.eventually(func() bool { return !b.agent.GatherersIsolated(time.Now()) })
	b.agent.mu.Lock()
	b.agent.roles.gatherers = nil
	b.agent.mu.Unlock()
	b.isolated.Store(true)
	require.Never(t, func() bool { return b.agent.GatherersIsolated(time.Now()) }, 2*feedStatusInterval, feedStatusInterval/4, "a gatherer must not use the status of others")
}

// In a small zone each member reads the store itself. In a larger one the first two members read it
// and the others subscribe to them.
func TestOnlyFirstMembersOfLargeZoneReadStore(t *testing.T) {
	for name, tc := range map[string]struct {
		localPeers, ahead int
		read              bool
	}{
		"few, last":   {3, 3, true},
		"many, first": {9, 0, true},
		"many, next":  {9, 1, true},
		"many, third": {9, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFeedFixture(t)
			locked(b.local, func() bool { b.local.book.Apply(feed.Update{Full: true, To: pos(1)}); return true })
			now := time.Now()
			b.agent.mu.Lock()
			defer b.agent.mu.Unlock()
			b.agent.roles = roles{localPeers: tc.localPeers, ahead: newMembers("z", make([]uint32, tc.ahead)...)}
			for _, m := range b.agent.roles.ahead {
				b.agent.subscriber.statuses[m.Name] = publisherStatus{answeredAt: now, receivedAt: now}
			}
			publishers := b.agent.chooseFeeds(now)
			require.Equal(t, tc.read, b.local.isReading())
			if tc.localPeers >= feed.MinMembers {
				require.Len(t, publishers, tc.ahead)
			}
			b.agent.avoidUntil["z-a"] = now.Add(time.Minute)
			b.agent.chooseFeeds(now)
			require.True(t, b.local.isReading(), "one of its two publishers is avoided")
		})
	}
}

// All members of a zone compute the same order of store readers.
func TestReaderOrderIsTheSameOnAllMembers(t *testing.T) {
	all := newMembers("z", 19, 80, 19, 80, 19, 19)
	var want []string
	for name, r := range assignAll(all) {
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

// Guards against a zone without answers from the store that learns of no changes from other zones.
func TestReadersSubscribeToReadersOfOtherZones(t *testing.T) {
	all := append(append(newMembers("x", 19, 80, 19, 80, 19, 19), newMembers("y", 19, 19)...), newMembers("z", 19)...)
	reading := map[string]bool{"x-b": true, "x-d": true, "y-a": true, "y-b": true, "z-a": true}
	for name, r := range assignAll(all) {
		zones := map[string]bool{}
		for _, m := range r.remoteReaders {
			require.True(t, reading[m.Name], "%s subscribes to %s, which is not a reader", name, m.Name)
			require.NotEqual(t, name[:1], m.Zone)
			zones[m.Zone] = true
		}
		require.Len(t, zones, 2, name)
	}
	avoided := func(m membership.Member) bool { return m.Name == "z-a" || m.Name == "x-b" }
	r := assignRoles(all[6], append(append([]membership.Member{}, all[:6]...), all[7:]...), avoided)
	require.Equal(t, "x-d", r.remoteReaders[0].Name)
	require.Len(t, r.remoteReaders, 1)
}

// Guards against several instances reading the store at once and none for long afterwards.
func TestReadersHaveDistinctPositions(t *testing.T) {
	all := append(newMembers("x", 19, 80, 19, 80, 19, 19), newMembers("y", 19, 19)...)
	drawn := assignAll(all)
	for name, want := range map[string]float64{"x-b": 0.25, "x-d": 0.5, "y-a": 0.75, "y-b": 1} {
		require.Equal(t, want, drawn[name].readerRank, name)
	}
	require.Equal(t, 1.0, assignRoles(all[0], nil, neverAvoided).readerRank)
}

// An instance that reads the store subscribes to two members of its zone and to readers of other
// zones, and counts those that the store answered recently. Without a snapshot its own zone is
// first.
func TestMembersOfSmallZoneSubscribeToEachOther(t *testing.T) {
	b := newFeedFixture(t)
	now := time.Now()
	b.agent.mu.Lock()
	defer b.agent.mu.Unlock()
	b.agent.roles = roles{localPeers: 3, usablePeers: 5, readerRank: 0.5, ahead: newMembers("a", 1), behind: newMembers("b", 1, 1), remoteReaders: newMembers("far", 1, 1)}
	require.Equal(t, []string{"b-a", "b-b"}, b.agent.chooseFeeds(now))
	locked(b.local, func() bool { b.local.book.Apply(feed.Update{Full: true, To: pos(1)}); return true })
	require.Equal(t, []string{"b-a", "b-b", "far-a", "far-b"}, b.agent.chooseFeeds(now))
	require.Equal(t, longpoll.PeerGroup{RelativeRank: 0.5}, b.local.group)
	b.agent.subscriber.statuses["b-a"] = publisherStatus{answeredAt: now, receivedAt: now}
	b.agent.subscriber.statuses["far-b"] = publisherStatus{answeredAt: now, receivedAt: now}
	b.agent.subscriber.statuses["far-a"] = publisherStatus{answeredAt: now.Add(-time.Minute), receivedAt: now}
	b.agent.chooseFeeds(now)
	require.Equal(t, longpoll.PeerGroup{Reporting: 2, RelativeRank: 0.5}, b.local.group)
	b.agent.roles.behind = nil
	require.Equal(t, "a-a", b.agent.chooseFeeds(now)[0], "the order wraps around after the last member")
}

// Guards against an instance that has discarded its state and makes its subscribers do the same.
func TestPeerWithoutSnapshotDoesNotResetOthers(t *testing.T) {
	b := newFeedFixture(t)
	locked(b.remote, func() bool { b.remote.asOf, b.remote.answeredAt = time.Now(), time.Now(); return true })
	b.subscribe()
	status := func() publisherStatus {
		b.agent.mu.Lock()
		defer b.agent.mu.Unlock()
		return b.agent.subscriber.statuses["peer"]
	}
	b.eventually(func() bool { return !status().receivedAt.IsZero() })
	require.False(t, status().answeredAt.IsZero(), "the store answers the peer")
	require.Zero(t, locked(b.local, func() int { return b.local.positionChecks }))
}
