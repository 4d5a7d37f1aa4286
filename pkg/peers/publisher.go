package peers

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
)

// Store is this instance's replica of the platform's store.
type Store interface {
	// ChangesSince returns the changes after a position.
	ChangesSince(after feed.Position) feed.Update
	// Synced reports whether the store was read completely, directly or from a peer.
	Synced() bool
	// Position is the position of the latest known change.
	Position() feed.Position
	// ConfirmedAt is when the store last answered this instance or a peer that reported its
	// own answer; zero before the first time.
	ConfirmedAt() time.Time
	// MarkCurrent records that all changes up to a time are known, according to a peer.
	// MarkConfirmed records the same for a time at which the store answered the peer itself.
	MarkCurrent(at time.Time)
	MarkConfirmed(at time.Time)
	// AnsweredAt is when the store last answered this instance itself.
	AnsweredAt() time.Time
	// ApplyUpdate applies an update that a peer has sent.
	ApplyUpdate(u feed.Update) error
	// ResetIfContradicted compares the known position with the position of the store when it
	// answered a peer at a time. It discards the known state if the two cannot both be right,
	// and reports whether it did.
	ResetIfContradicted(store feed.Position, at time.Time) bool
	// SetReading sets whether this instance reads the store itself, and describes the other
	// instances that do.
	SetReading(reading bool, group longpoll.PeerGroup)
}

// subscribeRequest asks a peer for all changes of the store after a position.
type subscribeRequest struct {
	_     struct{} `cbor:",toarray"`
	After feed.Position
	// Stop ends the subscription.
	Stop bool
}

// feedStatus describes how current the peer's replica of the store is.
type feedStatus struct {
	_  struct{} `cbor:",toarray"`
	At feed.Position
	// AgeMs is the age of the last answer of the store to the peer or to a member that reported
	// it to the peer, OwnAgeMs of the last answer to the peer itself; ageUnknown if there is none.
	AgeMs, OwnAgeMs uint32
	// Isolated means that the peer cannot reach enough leafs, so that its callers are better
	// served by another zone.
	Isolated bool
}

// ageMs returns the age of a time in milliseconds, for feedStatus.
func ageMs(at time.Time) uint32 {
	if at.IsZero() {
		return ageUnknown
	}
	return uint32(min(max(time.Since(at).Milliseconds(), 0), ageUnknown-1))
}

// timeOfAge is the inverse of ageMs.
func timeOfAge(ms uint32, now time.Time) time.Time {
	if ms == ageUnknown {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// ageUnknown is the age of an event that has not happened.
const ageUnknown = 1<<32 - 1

// feedStatusInterval is how often a publisher sends its status: three times a second, so that the
// failure of a publisher is detected within about a second.
const feedStatusInterval = 300 * time.Millisecond

// feedStatusTimeout is the maximum age of a usable status.
const feedStatusTimeout = time.Second

// maxUpdateBytes is the maximum size of a decompressed update: 20 configurations of the largest
// size that the store accepts.
const maxUpdateBytes = 20 << 20

// publisher is the part of a Server that sends changes of the store to subscribers.
type publisher struct {
	store    Store
	isolated func() bool

	mu      sync.Mutex
	wakeups map[*serverConn]chan struct{}
	// cachedUpdate is the last encoded update, from cachedFrom to cachedTo: many subscribers have
	// the same position.
	cachedUpdate         []byte
	cachedFrom, cachedTo feed.Position
	cachedFull           bool
}

// PublishFeed makes the server publish the changes of store to its peers, and whether this instance
// is isolated. It must be called before Run.
func (s *Server) PublishFeed(store Store, isolated func() bool) {
	s.publisher = &publisher{store: store, isolated: isolated, wakeups: make(map[*serverConn]chan struct{})}
}

// NotifySubscribers wakes the publishers after a change of the store.
func (s *Server) NotifySubscribers() {
	if s.publisher == nil {
		return
	}
	s.publisher.mu.Lock()
	defer s.publisher.mu.Unlock()
	for _, wake := range s.publisher.wakeups {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// handleSubscribe starts or ends publishing to the peer.
func (c *serverConn) handleSubscribe(l subscribeRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopPublishing != nil {
		c.stopPublishing()
		c.stopPublishing = nil
	}
	if l.Stop || c.s.publisher == nil {
		return
	}
	ctx, stop := context.WithCancel(c.ctx)
	c.stopPublishing = stop
	go c.s.publisher.run(ctx, c, l.After)
}

// run publishes to one peer until ctx ends.
func (f *publisher) run(ctx context.Context, c *serverConn, position feed.Position) {
	wake := make(chan struct{}, 1)
	f.mu.Lock()
	f.wakeups[c] = wake
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.wakeups[c] == wake {
			delete(f.wakeups, c)
		}
	}()
	ticker := time.NewTicker(feedStatusInterval)
	defer ticker.Stop()
	for {
		next, err := f.sendUpdates(c, position)
		if err != nil {
			return // The connection is closed.
		}
		position = next
		select {
		case <-wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendUpdates sends the changes after sent and the status. It returns the position up to which the
// peer has received the changes.
func (f *publisher) sendUpdates(c *serverConn, sent feed.Position) (feed.Position, error) {
	if f.store.Synced() && f.store.Position().After(sent) {
		update := f.store.ChangesSince(sent)
		raw, err := f.encodeUpdate(update)
		if err != nil {
			return sent, err
		}
		if err := c.write(kindUpdate, raw); err != nil {
			return sent, err
		}
		sent = update.To
	}
	// The ages are read first, so that the position is not older than the answers.
	status := feedStatus{AgeMs: ageMs(f.store.ConfirmedAt()), OwnAgeMs: ageMs(f.store.AnsweredAt())}
	if !f.store.Synced() {
		status.AgeMs = ageUnknown
	}
	status.At = f.store.Position()
	status.Isolated = f.isolated()
	return sent, c.write(kindFeedStatus, status)
}

// encodeUpdate encodes and compresses an update. Entries resemble each other and compress well.
func (f *publisher) encodeUpdate(p feed.Update) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cachedUpdate != nil && f.cachedFrom == p.From && f.cachedTo == p.To && f.cachedFull == p.Full && p.RecoveredMsAgo == 0 {
		return f.cachedUpdate, nil
	}
	raw, err := cbor.Marshal(p)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if p.RecoveredMsAgo == 0 {
		f.cachedUpdate, f.cachedFrom, f.cachedTo, f.cachedFull = out.Bytes(), p.From, p.To, p.Full
	}
	return out.Bytes(), nil
}

// decodeUpdate is the inverse of encodeUpdate.
func decodeUpdate(raw []byte) (feed.Update, error) {
	var p feed.Update
	r := flate.NewReader(bytes.NewReader(raw))
	all, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes))
	if err != nil {
		return p, err
	}
	return p, cbor.Unmarshal(all, &p)
}
