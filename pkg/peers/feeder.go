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

// Store is what an instance knows of the platform's store.
type Store interface {
	// ChangesSince is what has changed after a position, and Known whether there is anything.
	ChangesSince(after feed.Position) feed.Update
	HasSnapshot() bool
	Position() feed.Position
	// ProvenAt is when the store last answered, this instance or one that feeds it.
	ConfirmedAt() time.Time
	// MarkCurrent notes that all is known which the store had published by a time, as a peer was told,
	// and Confirmed the same as the store has told the peer itself.
	MarkCurrent(at time.Time)
	MarkConfirmed(at time.Time)
	// AnsweredAt is when it last answered this instance itself.
	AnsweredAt() time.Time
	// ApplyPage takes over what another instance has sent.
	ApplyPage(p feed.Update) error
	// ResetIfContradicted takes over where the store was when it answered another
	// instance at a time, and reports whether what was known has been dropped for it.
	ResetIfContradicted(store feed.Position, at time.Time) bool
	// SetReading says whether this instance is to read the store itself, and what it knows of the
	// others that do.
	SetReading(reading bool, group longpoll.PeerGroup)
}

// listen asks a peer for what the store publishes after a position.
type listen struct {
	_     struct{} `cbor:",toarray"`
	After feed.Position
	// Stop: no more is wanted.
	Stop bool
}

// news says how far the peer's knowledge of the store reaches.
type news struct {
	_  struct{} `cbor:",toarray"`
	At feed.Position
	// AgeMs is how long ago the store last answered the peer or one that it listens to, and
	// OwnAgeMs the peer itself; unproven if it has not.
	AgeMs, OwnAgeMs uint32
	// Isolated: the peer is cut off from leafs so that its callers are better served by
	// another zone.
	Isolated bool
}

// age is how long ago a time was, for news.
func age(at time.Time) uint32 {
	if at.IsZero() {
		return unproven
	}
	return uint32(min(max(time.Since(at).Milliseconds(), 0), unproven-1))
}

// ago is the inverse of age.
func ago(ms uint32, now time.Time) time.Time {
	if ms == unproven {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// unproven stands for "never".
const unproven = 1<<32 - 1

// newsEvery is how often a peer says how far it is: three in a second, so that one that has
// fallen silent is noticed in about a second.
const newsEvery = 300 * time.Millisecond

// newsMissed is how long one that is listened to may say nothing.
const newsMissed = time.Second

// pageMost bounds a page when it is unpacked, in bytes: 20 configurations of the largest
// size that the store takes.
const pageMost = 20 << 20

// feeder is the part of a server that feeds others.
type feeder struct {
	store    Store
	isolated func() bool

	mu    sync.Mutex
	wakes map[*serverConn]chan struct{}
	// packed is the last page that was packed: many listeners are equally far.
	packed               []byte
	packedFrom, packedTo feed.Position
	packedFull           bool
}

// PublishFeed lets the server feed its peers, and tell them whether this instance is isolated. It is
// called before Run.
func (s *Server) PublishFeed(store Store, isolated func() bool) {
	s.feeder = &feeder{store: store, isolated: isolated, wakes: make(map[*serverConn]chan struct{})}
}

// NotifySubscribers tells those that are fed that there is something new.
func (s *Server) NotifySubscribers() {
	if s.feeder == nil {
		return
	}
	s.feeder.mu.Lock()
	defer s.feeder.mu.Unlock()
	for _, wake := range s.feeder.wakes {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// listen starts or stops feeding the peer.
func (c *serverConn) listen(l listen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopFeeding != nil {
		c.stopFeeding()
		c.stopFeeding = nil
	}
	if l.Stop || c.s.feeder == nil {
		return
	}
	ctx, stop := context.WithCancel(c.ctx)
	c.stopFeeding = stop
	go c.s.feeder.run(ctx, c, l.After)
}

// run feeds one peer until ctx ends.
func (f *feeder) run(ctx context.Context, c *serverConn, sent feed.Position) {
	wake := make(chan struct{}, 1)
	f.mu.Lock()
	f.wakes[c] = wake
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.wakes[c] == wake {
			delete(f.wakes, c)
		}
	}()
	ticker := time.NewTicker(newsEvery)
	defer ticker.Stop()
	for {
		next, err := f.send(c, sent)
		if err != nil {
			return // The connection has ended.
		}
		sent = next
		select {
		case <-wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// send sends what has changed after a position and how far this instance is. It returns the
// position up to which the peer has been told.
func (f *feeder) send(c *serverConn, sent feed.Position) (feed.Position, error) {
	if f.store.HasSnapshot() && f.store.Position().After(sent) {
		page := f.store.ChangesSince(sent)
		raw, err := f.pack(page)
		if err != nil {
			return sent, err
		}
		if err := c.write(kindPage, raw); err != nil {
			return sent, err
		}
		sent = page.To
	}
	// The times first: the position is then at least that of the answers.
	n := news{AgeMs: age(f.store.ConfirmedAt()), OwnAgeMs: age(f.store.AnsweredAt())}
	if !f.store.HasSnapshot() {
		n.AgeMs = unproven
	}
	n.At = f.store.Position()
	n.Isolated = f.isolated()
	return sent, c.write(kindNews, n)
}

// pack encodes and compresses a page: entries are texts that resemble each other.
func (f *feeder) pack(p feed.Update) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packed != nil && f.packedFrom == p.From && f.packedTo == p.To && f.packedFull == p.Full && p.RecoveredMsAgo == 0 {
		return f.packed, nil
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
		f.packed, f.packedFrom, f.packedTo, f.packedFull = out.Bytes(), p.From, p.To, p.Full
	}
	return out.Bytes(), nil
}

// unpack is the inverse of pack.
func unpack(raw []byte) (feed.Update, error) {
	var p feed.Update
	r := flate.NewReader(bytes.NewReader(raw))
	all, err := io.ReadAll(io.LimitReader(r, pageMost))
	if err != nil {
		return p, err
	}
	return p, cbor.Unmarshal(all, &p)
}
