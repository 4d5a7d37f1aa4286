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
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// Store is what an instance knows of the platform's store.
type Store interface {
	// Since is what has changed after a revision, and Known whether there is anything.
	Since(revision int64) feed.Page
	Known() bool
	Revision() int64
	// ProvenAt is when the store last answered, this instance or one that feeds it.
	ProvenAt() time.Time
	Proven(at time.Time)
	// AnsweredAt is when it last answered this instance itself.
	AnsweredAt() time.Time
	// TakeFed takes over what another instance has sent.
	TakeFed(p feed.Page) error
	// Contradicted takes over what revision the store had when it answered another
	// instance at a time, and reports whether what was known has been dropped for it.
	Contradicted(revision int64, at time.Time) bool
	// SetReading says whether this instance is to read the store itself.
	SetReading(reading bool)
}

// listen asks a peer for what the store publishes after a revision.
type listen struct {
	_     struct{} `cbor:",toarray"`
	After int64
	// Stop: no more is wanted.
	Stop bool
}

// news says how far the peer's knowledge of the store reaches.
type news struct {
	_        struct{} `cbor:",toarray"`
	Revision int64
	// AgeMs is how long ago the store last answered the peer or one that feeds it, and
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
	packedFrom, packedTo int64
	packedFull           bool
}

// Feed lets the server feed its peers, and tell them whether this instance is isolated. It is
// called before Run.
func (s *Server) Feed(store Store, isolated func() bool) {
	s.feeder = &feeder{store: store, isolated: isolated, wakes: make(map[*serverConn]chan struct{})}
}

// Changed tells those that are fed that there is something new.
func (s *Server) Changed() {
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
func (f *feeder) run(ctx context.Context, c *serverConn, sent int64) {
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

// send sends what has changed after a revision and how far this instance is. It returns the
// revision up to which the peer has been told.
func (f *feeder) send(c *serverConn, sent int64) (int64, error) {
	revision := f.store.Revision()
	if f.store.Known() && revision > sent {
		page := f.store.Since(sent)
		raw, err := f.pack(page)
		if err != nil {
			return sent, err
		}
		if err := c.write(kindPage, raw); err != nil {
			return sent, err
		}
		sent = page.To
	}
	// The times first: the revision is then at least that of the answers.
	n := news{AgeMs: age(f.store.ProvenAt()), OwnAgeMs: age(f.store.AnsweredAt())}
	n.Revision = f.store.Revision()
	n.Isolated = f.isolated()
	return sent, c.write(kindNews, n)
}

// pack encodes and compresses a page. Entries are texts that resemble each other: a
// configuration of 36 KB takes 6.
func (f *feeder) pack(p feed.Page) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packed != nil && f.packedFrom == p.From && f.packedTo == p.To && f.packedFull == p.Full && p.ReturnedMs == 0 {
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
	f.packed, f.packedFrom, f.packedTo, f.packedFull = out.Bytes(), p.From, p.To, p.Full
	return f.packed, nil
}

// unpack is the inverse of pack.
func unpack(raw []byte) (feed.Page, error) {
	var p feed.Page
	r := flate.NewReader(bytes.NewReader(raw))
	all, err := io.ReadAll(io.LimitReader(r, pageMost))
	if err != nil {
		return p, err
	}
	return p, cbor.Unmarshal(all, &p)
}

// feeds is the part of an agent that listens to peers.
type feeds struct {
	store Store
	plan  *feed.Plan
	// firstStart: all instances start for the first time, and know few of each other yet.
	firstStart bool
	// heard is what each one that is listened to has said last.
	heard map[string]heard
}

// heard is what one that is listened to has said: when the store last answered it itself,
// whether it is isolated, and when it said so.
type heard struct {
	answeredAt, at time.Time
	isolated       bool
}

// Listen lets the agent be fed by its peers; firstStart: all instances start for the first
// time. It is called before Run.
func (p *Peers) Listen(store Store, opts feed.Options, firstStart bool) {
	p.feeds = &feeds{store: store, firstStart: firstStart, plan: feed.NewPlan(opts, time.Now()), heard: make(map[string]heard)}
}

// follow decides to whom this instance listens and whether it reads the store, and returns
// the first; mu is held.
func (p *Peers) follow(now time.Time) []string {
	if p.feeds == nil {
		return nil
	}
	if p.roles.near+1 < feed.LeastMembers && (p.feeds.store.Known() || !p.feeds.firstStart && p.roles.others > 0) {
		p.feeds.store.SetReading(true)
		ahead := p.names(p.roles.ahead, now)
		return ahead[:min(len(ahead), feed.Readers)]
	}
	listen, read := p.feeds.plan.Step(feed.View{
		Ahead: p.names(p.roles.ahead, now), Behind: p.names(p.roles.behind, now),
		Answered: func(name string) time.Time { return p.feeds.answered(name, now) },
		Own:      p.feeds.store.AnsweredAt(), Knows: p.feeds.store.Known(),
	}, now)
	p.feeds.store.SetReading(read)
	return listen
}

// Isolated reports whether those that run this instance's queries are isolated.
//
// An instance that hands its queries on asks no leafs, and does not notice that its zone is
// cut off from them. If it goes on to say that it is ready the balancer sends it callers that
// its zone can only refuse, while other zones could serve them.
func (p *Peers) Isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.feeds == nil || len(p.roles.gatherers) == 0 {
		return false
	}
	said := false
	for name, c := range p.conns {
		h := p.feeds.heard[name]
		if !c.listening || now.Sub(h.at) > newsMissed {
			continue
		}
		if !h.isolated {
			return false
		}
		said = true
	}
	return said
}

// names are those of members that are not avoided; mu is held.
func (p *Peers) names(members []membership.Member, now time.Time) []string {
	var out []string
	for _, m := range members {
		if !now.Before(p.avoid[m.Name]) {
			out = append(out, m.Name)
		}
	}
	return out
}

// answered is when the store last answered one that is listened to; zero if that has said
// nothing of late.
func (f *feeds) answered(name string, now time.Time) time.Time {
	said := f.heard[name]
	if now.Sub(said.at) > newsMissed {
		return time.Time{}
	}
	return said.answeredAt
}

// subscribe starts listening to some peers and stops with the others; mu is held.
func (p *Peers) subscribe(names map[string]bool) {
	if p.feeds == nil {
		return
	}
	for name, c := range p.conns {
		if names[name] != c.listening {
			c.listening = names[name]
			go c.listen(listen{After: p.feeds.store.Revision(), Stop: !names[name]})
		}
	}
}

// listen tells the peer what is wanted of it.
func (c *clientConn) listen(l listen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if err := c.writeLocked(kindListen, l); err != nil {
		go c.end(err)
	}
}

// heardNews takes over how far a peer is.
func (p *Peers) heardNews(c *clientConn, n news) {
	now := time.Now()
	p.mu.Lock()
	p.feeds.heard[c.peer.Name] = heard{answeredAt: ago(n.OwnAgeMs, now), at: now, isolated: n.Isolated}
	p.mu.Unlock()
	proven := ago(n.AgeMs, now)
	switch {
	case proven.IsZero():
	case p.feeds.store.Contradicted(n.Revision, proven):
		go c.listen(listen{})
	case n.Revision <= p.feeds.store.Revision():
		p.feeds.store.Proven(proven)
	}
}

// heardPage takes over changes that a peer sends. One that cannot be right is dropped.
func (p *Peers) heardPage(c *clientConn, raw []byte) error {
	packed, err := decode[[]byte](raw)
	if err != nil {
		return err
	}
	page, err := unpack(packed)
	if err == nil {
		err = p.feeds.store.TakeFed(page)
	}
	if err != nil {
		p.log.Decision("feed_page_refused", oplog.Fields{
			"peer": c.peer.Name, "from": page.From, "to": page.To, "entries": len(page.Items), "error": err.Error(),
		})
	}
	return nil
}
