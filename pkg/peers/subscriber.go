package peers

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// feedSubscriber is the part of an agent that follows the store through its peers.
type feedSubscriber struct {
	store Store
	plan  *feed.Planner
	// maxAge is how long ago the store may have answered a peer for the peer to count as a
	// working reader.
	maxAge time.Duration
	// firstStart means that all instances of the deployment start for the first time, and know
	// few of each other yet.
	firstStart bool
	// statuses holds the last status of each publisher, and subscriptions tracks whether changes
	// that it sent are missing. Both are keyed by member name.
	statuses      map[string]publisherStatus
	subscriptions map[string]*feed.Subscription
}

// publisherStatus is the last status of a publisher: when the store last answered it, when the
// status arrived, and whether the publisher is isolated.
type publisherStatus struct {
	answeredAt, receivedAt time.Time
	isolated               bool
}

// SubscribeToFeeds makes the agent follow the store through its peers. firstStart means that all
// instances start for the first time. It must be called before Run.
func (p *Peers) SubscribeToFeeds(store Store, opts feed.Options, firstStart bool) {
	p.subscriber = &feedSubscriber{
		store: store, firstStart: firstStart, maxAge: opts.MaxAge, plan: feed.NewPlanner(opts, time.Now()),
		statuses: make(map[string]publisherStatus), subscriptions: make(map[string]*feed.Subscription),
	}
}

// chooseFeeds decides to which peers this instance subscribes and whether it reads the store
// itself. In a zone with fewer than feed.MinMembers members each instance reads it. chooseFeeds
// returns the names of the peers. mu must be held.
func (p *Peers) chooseFeeds(now time.Time) []string {
	if p.subscriber == nil {
		return nil
	}
	store := p.subscriber.store
	if p.roles.localPeers+1 < feed.MinMembers && (store.Synced() || !p.subscriber.firstStart && p.roles.usablePeers > 0) {
		local := append(p.availableNames(p.roles.behind, now), p.availableNames(p.roles.ahead, now)...)
		publishers := append(local[:min(len(local), feed.ReadersPerZone)], p.remoteReaders(now)...)
		store.SetReading(true, p.readerGroup(publishers, now))
		return publishers
	}
	publishers, read := p.subscriber.plan.Decide(feed.View{
		Ahead: p.availableNames(p.roles.ahead, now), Behind: p.availableNames(p.roles.behind, now),
		LastAnswered: func(name string) time.Time { return p.subscriber.lastAnswer(name, now) },
		OwnAnswered:  store.AnsweredAt(), Synced: store.Synced(),
	}, now)
	if read {
		publishers = append(publishers, p.remoteReaders(now)...)
	}
	store.SetReading(read, p.readerGroup(publishers, now))
	return publishers
}

// remoteReaders returns the peers of other zones to which this instance subscribes while it reads
// the store: through them a zone that gets no answers from the store still learns of changes. An
// instance without a snapshot gets it from its own zone where possible. mu must be held.
func (p *Peers) remoteReaders(now time.Time) []string {
	if !p.subscriber.store.Synced() && p.roles.localPeers > 0 {
		return nil
	}
	return p.availableNames(p.roles.remoteReaders, now)
}

// readerGroup describes the other instances that read the store, given the peers to which this
// instance subscribes. mu must be held.
func (p *Peers) readerGroup(publishers []string, now time.Time) longpoll.PeerGroup {
	g := longpoll.PeerGroup{RelativeRank: p.roles.readerRank}
	for _, name := range publishers {
		if now.Sub(p.subscriber.lastAnswer(name, now)) <= p.subscriber.maxAge {
			g.Reporting++
		}
	}
	return g
}

// GatherersIsolated reports whether the instances that run this instance's queries are isolated.
//
// An instance that hands its queries off calls no leafs and does not notice when its zone is cut
// off from them. If it kept reporting itself ready, the load balancer would send it callers that
// its zone can only refuse while other zones could serve them.
func (p *Peers) GatherersIsolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.subscriber == nil || len(p.roles.gatherers) == 0 {
		return false
	}
	found := false
	for name, c := range p.conns {
		status := p.subscriber.statuses[name]
		if !c.subscribed || c.peer.Zone != p.self.Zone || now.Sub(status.receivedAt) > feedStatusTimeout {
			continue
		}
		if !status.isolated {
			return false
		}
		found = true
	}
	return found
}

// availableNames returns the names of the members that are not avoided. mu must be held.
func (p *Peers) availableNames(members []membership.Member, now time.Time) []string {
	var out []string
	for _, m := range members {
		if !now.Before(p.avoidUntil[m.Name]) {
			out = append(out, m.Name)
		}
	}
	return out
}

// lastAnswer returns when the store last answered a publisher itself, or zero if the publisher has
// sent no status within feedStatusTimeout.
func (f *feedSubscriber) lastAnswer(name string, now time.Time) time.Time {
	status := f.statuses[name]
	if now.Sub(status.receivedAt) > feedStatusTimeout {
		return time.Time{}
	}
	return status.answeredAt
}

// resubscribeInterval is how long a publisher may send no status before the subscription is
// renewed: requests are sent concurrently, so an end may have arrived after a later start.
const resubscribeInterval = 3 * feedStatusTimeout

// updateSubscriptions subscribes to the peers in names and unsubscribes from the others. mu must be
// held.
func (p *Peers) updateSubscriptions(names map[string]bool) {
	if p.subscriber == nil {
		return
	}
	now := time.Now()
	for name, c := range p.conns {
		// A subscription without a recent status is renewed.
		silent := c.subscribed && now.Sub(p.subscriber.statuses[name].receivedAt) > resubscribeInterval &&
			now.Sub(c.subscribedAt) > resubscribeInterval
		if names[name] != c.subscribed || (names[name] && silent) {
			c.subscribed, c.subscribedAt = names[name], now
			reason := "chosen"
			switch {
			case !names[name]:
				reason = "not needed"
			case silent:
				reason = "silent"
			}
			p.requestFeed(c, subscribeRequest{After: p.subscriber.store.Position(), Stop: !names[name]}, reason)
		}
	}
}

// requestFeed starts, renews or ends the subscription to a peer. mu must be held.
func (p *Peers) requestFeed(c *clientConn, request subscribeRequest, reason string) {
	subscription := p.subscriber.subscriptions[c.peer.Name]
	if subscription == nil {
		subscription = &feed.Subscription{}
		p.subscriber.subscriptions[c.peer.Name] = subscription
	}
	subscription.Renew(time.Now())
	p.log.Decision("feed_asked", oplog.Fields{
		"peer": c.peer.Name, "after_era": request.After.Era, "after": request.After.Revision, "stop": request.Stop, "reason": reason,
	})
	go c.sendSubscribe(request)
}

// sendSubscribe sends a subscription request.
func (c *clientConn) sendSubscribe(request subscribeRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if err := c.writeLocked(kindSubscribe, request); err != nil {
		go c.closeWithError(err)
	}
}

// handleFeedStatus handles the status of a publisher.
func (p *Peers) handleFeedStatus(c *clientConn, status feedStatus) {
	now := time.Now()
	currentAsOf, confirmedAt := timeOfAge(status.AgeMs, now), timeOfAge(status.OwnAgeMs, now)
	store := p.subscriber.store
	contradicted := !currentAsOf.IsZero() && store.ResetIfContradicted(status.At, currentAsOf)
	known := store.Position()
	p.recordFeedStatus(c, status, known, contradicted)
	if contradicted || currentAsOf.IsZero() || status.At.Era != known.Era || status.At.After(known) {
		return
	}
	store.MarkCurrent(currentAsOf)
	if !confirmedAt.IsZero() {
		store.MarkConfirmed(confirmedAt)
	}
}

// recordFeedStatus records the status of a publisher, given the known position, and renews the
// subscription if changes are missing.
func (p *Peers) recordFeedStatus(c *clientConn, status feedStatus, known feed.Position, contradicted bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscriber.statuses[c.peer.Name] = publisherStatus{answeredAt: timeOfAge(status.OwnAgeMs, now), receivedAt: now, isolated: status.Isolated}
	subscription := p.subscriber.subscriptions[c.peer.Name]
	switch {
	case !c.subscribed || subscription == nil:
	case contradicted:
		p.requestFeed(c, subscribeRequest{}, "contradicted")
	case subscription.Observe(status.At, known, now):
		p.requestFeed(c, subscribeRequest{After: known}, "missed")
	}
}

// handleUpdate applies an update that a publisher has sent. Invalid updates are dropped.
func (p *Peers) handleUpdate(c *clientConn, raw []byte) error {
	encoded, err := decode[[]byte](raw)
	if err != nil {
		return err
	}
	update, err := decodeUpdate(encoded)
	if err == nil {
		err = p.subscriber.store.ApplyUpdate(update)
	}
	if err != nil {
		p.log.Decision("feed_page_refused", oplog.Fields{
			"peer": c.peer.Name, "from": update.From.Revision, "era": update.To.Era, "to": update.To.Revision, "entries": len(update.Items), "error": err.Error(),
		})
	}
	return nil
}
