package feed

import "time"

// Options are the figures of a Plan.
type Options struct {
	// MaxAge is how old the last answer of the store may be, at the instance that is
	// listened to, until another source is looked for.
	MaxAge time.Duration
	// StartWait is how long an instance that knows nothing waits for its peers before it
	// reads the store.
	StartWait time.Duration
}

const (
	// ReadersPerZone is how many instances of a zone read the store: one, and another for when it
	// fails.
	ReadersPerZone = 2
	// MinMembers is how many instances a zone has at least for a few to read for all. In
	// smaller ones each reads for itself.
	MinMembers = 2*ReadersPerZone + 1
	// grace is how long one that is newly listened to may take to have news of the store: a
	// connection, and a call to a slow store (0.4 s).
	grace = 700 * time.Millisecond
	// listenMost bounds to how many before it an instance listens while none of them has
	// news, and behindMost to how many after it. lastWait is how long it waits when all of
	// those before it are listened to in vain, and grace longer for each two of them that
	// are not.
	listenMost = 8
	behindMost = 4
	lastWait   = 3 * time.Second
)

// Planner decides to whom one instance listens, and whether it reads the store.
//
// All instances of a zone have the same order. Each listens to the first two before it that
// have news of the store, and the first two of all read it. A reader may be killed, stand
// still, be cut off, or be turned away by the store while others are not; one notices that
// its news get old. Then those next in the order take its place, two at a time, so that an
// outage of the store does not bring all instances to it at once; one that reads in vain
// listens to those after it. News are as old as the store's answer that they come from, so
// that two instances that listen to each other do not take their memory for news.
type Planner struct {
	opts    Options
	started time.Time
	// since is when each one that is listened to was added.
	since map[string]time.Time
	// readSince is since when this instance reads; zero: it does not.
	readSince time.Time
	// exhaustedAt is when as many are listened to as may be, in vain.
	exhaustedAt time.Time
}

// NewPlanner returns the plan of an instance that starts now.
func NewPlanner(opts Options, now time.Time) *Planner {
	return &Planner{opts: opts, started: now, since: make(map[string]time.Time)}
}

// View is what one instance sees when it decides.
type View struct {
	// Ahead and Behind are the instances before and after it in the order that are in use.
	Ahead, Behind []string
	// LastAnswered is when the store last answered an instance itself, as far as this one has
	// heard; zero: nothing was heard of it of late. What others have told it does not
	// count: a reader that is turned away and fed by the next one in line would seem well
	// to that one, which would stop.
	LastAnswered func(name string) time.Time
	// OwnAnswered is when the store last answered this instance itself.
	OwnAnswered time.Time
	// Synced: it has what the store publishes, from some source.
	Synced bool
}

// Decide decides anew.
func (p *Planner) Decide(v View, now time.Time) (listen []string, read bool) {
	good := 0
	kept := make(map[string]time.Time)
	for _, name := range v.Ahead {
		if good == ReadersPerZone || len(listen) == listenMost {
			break
		}
		since, ok := p.since[name]
		if !ok {
			since = now
		}
		listen = append(listen, name)
		kept[name] = since
		if now.Sub(v.LastAnswered(name)) <= p.opts.MaxAge || now.Sub(since) < grace {
			good++
		}
	}
	p.since = kept
	read = p.reads(good, len(v.Ahead), v.Synced, now)
	if p.inVain(read, v.OwnAnswered, now) {
		listen = append(listen, v.Behind[:min(len(v.Behind), behindMost)]...)
	}
	return listen, read
}

// inVain reports whether this instance has read the store without an answer for long.
func (p *Planner) inVain(read bool, own, now time.Time) bool {
	switch {
	case !read:
		p.readSince = time.Time{}
	case p.readSince.IsZero():
		p.readSince = now
	}
	return read && now.Sub(p.readSince) > p.opts.MaxAge && now.Sub(own) > p.opts.MaxAge
}

// reads reports whether this instance reads the store, given how many of those before it
// that it listens to are good.
func (p *Planner) reads(good, ahead int, knows bool, now time.Time) bool {
	if good >= ReadersPerZone {
		p.exhaustedAt = time.Time{}
		return false
	}
	if !knows && now.Sub(p.started) < p.opts.StartWait {
		return false
	}
	if ahead < listenMost {
		p.exhaustedAt = time.Time{}
		return true
	}
	if p.exhaustedAt.IsZero() {
		p.exhaustedAt = now
	}
	return now.Sub(p.exhaustedAt) >= lastWait+grace*time.Duration((ahead-listenMost)/ReadersPerZone)
}
