package feed

import "time"

// Options are the parameters of a Planner.
type Options struct {
	// MaxAge is how old the store's last answer to a source may be before another source is
	// sought.
	MaxAge time.Duration
	// StartWait is how long an instance that knows nothing waits for its peers before it reads
	// the store.
	StartWait time.Duration
}

const (
	// ReadersPerZone is how many instances of a zone read the store: one, and a second one for
	// when it fails.
	ReadersPerZone = 2
	// MinMembers is the minimum size of a zone in which a few instances read for all. In smaller
	// zones each instance reads for itself.
	MinMembers = 2*ReadersPerZone + 1
	// newSourceGrace is how long a new source may take to deliver fresh data. This covers a new
	// connection, and a call to a slow store (0.4 s).
	newSourceGrace = 700 * time.Millisecond
	// maxSourcesAhead and maxSourcesBehind are the maximum numbers of instances ahead of and
	// behind an instance to which it subscribes while none of them has fresh data. exhaustedWait
	// is how long an instance with maxSourcesAhead stale sources waits before it reads the store
	// itself; it waits newSourceGrace longer for every 2 further instances ahead of it.
	maxSourcesAhead  = 8
	maxSourcesBehind = 4
	exhaustedWait    = 3 * time.Second
)

// Planner decides to which instances this one subscribes, and whether it reads the store.
//
// All instances of a zone have the same order. Each subscribes to the first 2 instances ahead of it
// whose data from the store is fresh, and the first 2 of all read the store. A reader may be
// killed, freeze, be partitioned off, or be refused by the store while others are not; its
// subscribers notice that its data becomes stale. Then the next ones in the order take its place, 2
// at a time, so that an outage of the store does not bring all instances to it at once. An
// instance that reads without getting an answer subscribes to those behind it. Data is as old as
// the store's answer that it stems from, so that two instances that subscribe to each other do not
// mistake each other's cached data for fresh.
type Planner struct {
	opts    Options
	started time.Time
	// listeningSince is when each current source ahead of this instance was added.
	listeningSince map[string]time.Time
	// readingSince is when this instance began to read the store; zero while it does not.
	readingSince time.Time
	// exhaustedSince is when this instance first had too few usable sources with at least
	// maxSourcesAhead instances ahead of it; zero while it does not.
	exhaustedSince time.Time
}

// NewPlanner returns the planner of an instance that starts now.
func NewPlanner(opts Options, now time.Time) *Planner {
	return &Planner{opts: opts, started: now, listeningSince: make(map[string]time.Time)}
}

// View is what one instance knows when it decides.
type View struct {
	// Ahead and Behind are the reachable instances before and after this one in the order.
	Ahead, Behind []string
	// LastAnswered returns when the store last answered the named instance itself, as far as this
	// one has heard; zero if nothing was heard of late. Answers that the named instance got
	// through its peers do not count: a reader that the store refuses, and that the next instance
	// in the order feeds, would otherwise seem healthy to that instance, which would stop
	// reading.
	LastAnswered func(name string) time.Time
	// OwnAnswered is when the store last answered this instance itself.
	OwnAnswered time.Time
	// Synced means that this instance has what the store publishes, from any source.
	Synced bool
}

// Decide returns the instances to subscribe to, and whether to read the store.
func (p *Planner) Decide(v View, now time.Time) (sources []string, read bool) {
	usable := 0
	listeningSince := make(map[string]time.Time)
	for _, name := range v.Ahead {
		if usable == ReadersPerZone || len(sources) == maxSourcesAhead {
			break
		}
		since, ok := p.listeningSince[name]
		if !ok {
			since = now
		}
		sources = append(sources, name)
		listeningSince[name] = since
		if now.Sub(v.LastAnswered(name)) <= p.opts.MaxAge || now.Sub(since) < newSourceGrace {
			usable++
		}
	}
	p.listeningSince = listeningSince
	read = p.shouldRead(usable, len(v.Ahead), v.Synced, now)
	if p.readsInVain(read, v.OwnAnswered, now) {
		sources = append(sources, v.Behind[:min(len(v.Behind), maxSourcesBehind)]...)
	}
	return sources, read
}

// readsInVain reports whether this instance has read the store for longer than MaxAge without a
// recent answer. It also tracks when reading began.
func (p *Planner) readsInVain(read bool, ownAnswered, now time.Time) bool {
	switch {
	case !read:
		p.readingSince = time.Time{}
	case p.readingSince.IsZero():
		p.readingSince = now
	}
	return read && now.Sub(p.readingSince) > p.opts.MaxAge && now.Sub(ownAnswered) > p.opts.MaxAge
}

// shouldRead reports whether this instance reads the store, given the number of usable sources
// among the instances ahead of it.
func (p *Planner) shouldRead(usable, ahead int, synced bool, now time.Time) bool {
	if usable >= ReadersPerZone {
		p.exhaustedSince = time.Time{}
		return false
	}
	if !synced && now.Sub(p.started) < p.opts.StartWait {
		return false
	}
	if ahead < maxSourcesAhead {
		p.exhaustedSince = time.Time{}
		return true
	}
	if p.exhaustedSince.IsZero() {
		p.exhaustedSince = now
	}
	return now.Sub(p.exhaustedSince) >=
		exhaustedWait+newSourceGrace*time.Duration((ahead-maxSourcesAhead)/ReadersPerZone)
}
