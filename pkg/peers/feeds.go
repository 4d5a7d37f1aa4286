package peers

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// feeds is the part of an agent that listens to peers.
type feeds struct {
	store Store
	plan  *feed.Planner
	// fresh is how old the last answer of the store is at most at one that reads it well.
	fresh time.Duration
	// firstStart: all instances start for the first time, and know few of each other yet.
	firstStart bool
	// heard is what each one that is listened to has said last, and subscriptions say whether changes
	// that it sent are missing.
	heard         map[string]heard
	subscriptions map[string]*feed.Subscription
}

// heard is what one that is listened to has said: when the store last answered it itself,
// whether it is isolated, and when it said so.
type heard struct {
	answeredAt, at time.Time
	isolated       bool
}

// SubscribeToFeeds lets the agent be fed by its peers; firstStart: all instances start for the first
// time. It is called before Run.
func (p *Peers) SubscribeToFeeds(store Store, opts feed.Options, firstStart bool) {
	p.feeds = &feeds{store: store, firstStart: firstStart, fresh: opts.MaxAge, plan: feed.NewPlanner(opts, time.Now()), heard: make(map[string]heard), subscriptions: make(map[string]*feed.Subscription)}
}

// follow decides to whom this instance listens and whether it reads the store, and returns
// the first; mu is held.
func (p *Peers) follow(now time.Time) []string {
	if p.feeds == nil {
		return nil
	}
	store := p.feeds.store
	if p.roles.near+1 < feed.MinMembers && (store.HasSnapshot() || !p.feeds.firstStart && p.roles.others > 0) {
		next := append(p.names(p.roles.behind, now), p.names(p.roles.ahead, now)...)
		listen := append(next[:min(len(next), feed.ReadersPerZone)], p.farReaders(now)...)
		store.SetReading(true, p.group(listen, now))
		return listen
	}
	listen, read := p.feeds.plan.Decide(feed.View{
		Ahead: p.names(p.roles.ahead, now), Behind: p.names(p.roles.behind, now),
		LastAnswered: func(name string) time.Time { return p.feeds.answered(name, now) },
		OwnAnswered:  store.AnsweredAt(), Synced: store.HasSnapshot(),
	}, now)
	if read {
		listen = append(listen, p.farReaders(now)...)
	}
	store.SetReading(read, p.group(listen, now))
	return listen
}

// farReaders are the peers of other zones that this instance listens to while it reads the store:
// a zone that the store does not answer hears of it through them. An instance that knows nothing
// yet is fed by its own zone, if it can be; mu is held.
func (p *Peers) farReaders(now time.Time) []string {
	if !p.feeds.store.HasSnapshot() && p.roles.near > 0 {
		return nil
	}
	return p.names(p.roles.far, now)
}

// group is what this instance knows of the others that read the store, given to whom it listens;
// mu is held.
func (p *Peers) group(listened []string, now time.Time) longpoll.PeerGroup {
	g := longpoll.PeerGroup{RelativeRank: p.roles.place}
	for _, name := range listened {
		if now.Sub(p.feeds.answered(name, now)) <= p.feeds.fresh {
			g.Reporting++
		}
	}
	return g
}

// GatherersIsolated reports whether those that run this instance's queries are isolated.
//
// An instance that hands its queries on asks no leafs, and does not notice that its zone is
// cut off from them. If it goes on to say that it is ready the balancer sends it callers that
// its zone can only refuse, while other zones could serve them.
func (p *Peers) GatherersIsolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.feeds == nil || len(p.roles.gatherers) == 0 {
		return false
	}
	said := false
	for name, c := range p.conns {
		h := p.feeds.heard[name]
		if !c.listening || c.peer.Zone != p.self.Zone || now.Sub(h.at) > newsMissed {
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

// listenAgain is how long one that was asked for news may say nothing until it is asked again:
// two requests may have overtaken each other.
const listenAgain = 3 * newsMissed

// subscribe starts listening to some peers and stops with the others; mu is held.
func (p *Peers) subscribe(names map[string]bool) {
	if p.feeds == nil {
		return
	}
	now := time.Now()
	for name, c := range p.conns {
		// One that says nothing although it was asked is asked again.
		unheard := c.listening && now.Sub(p.feeds.heard[name].at) > listenAgain && now.Sub(c.listenedAt) > listenAgain
		if names[name] != c.listening || (names[name] && unheard) {
			c.listening, c.listenedAt = names[name], now
			reason := "chosen"
			switch {
			case !names[name]:
				reason = "not needed"
			case unheard:
				reason = "silent"
			}
			p.ask(c, listen{After: p.feeds.store.Position(), Stop: !names[name]}, reason)
		}
	}
}

// ask asks a peer to tell this instance of changes, or no longer; mu is held.
func (p *Peers) ask(c *clientConn, l listen, reason string) {
	subscription := p.feeds.subscriptions[c.peer.Name]
	if subscription == nil {
		subscription = &feed.Subscription{}
		p.feeds.subscriptions[c.peer.Name] = subscription
	}
	subscription.Renew(time.Now())
	p.log.Decision("feed_asked", oplog.Fields{"peer": c.peer.Name, "after_era": l.After.Era, "after": l.After.Revision, "stop": l.Stop, "reason": reason})
	go c.listen(l)
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
	proven, answered := ago(n.AgeMs, now), ago(n.OwnAgeMs, now)
	store := p.feeds.store
	contradicted := !proven.IsZero() && store.ResetIfContradicted(n.At, proven)
	known := store.Position()
	p.heardFrom(c, n, known, contradicted)
	if contradicted || proven.IsZero() || n.At.Era != known.Era || n.At.After(known) {
		return
	}
	store.MarkCurrent(proven)
	if !answered.IsZero() {
		store.MarkConfirmed(answered)
	}
}

// heardFrom notes what a peer has said, given the position that is known, and asks it anew where
// changes are missing.
func (p *Peers) heardFrom(c *clientConn, n news, known feed.Position, contradicted bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.feeds.heard[c.peer.Name] = heard{answeredAt: ago(n.OwnAgeMs, now), at: now, isolated: n.Isolated}
	subscription := p.feeds.subscriptions[c.peer.Name]
	switch {
	case !c.listening || subscription == nil:
	case contradicted:
		p.ask(c, listen{}, "contradicted")
	case subscription.Observe(n.At, known, now):
		p.ask(c, listen{After: known}, "missed")
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
		err = p.feeds.store.ApplyPage(page)
	}
	if err != nil {
		p.log.Decision("feed_page_refused", oplog.Fields{
			"peer": c.peer.Name, "from": page.From.Revision, "era": page.To.Era, "to": page.To.Revision, "entries": len(page.Items), "error": err.Error(),
		})
	}
	return nil
}
