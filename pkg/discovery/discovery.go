// Package discovery follows what the platform publishes: the configuration and
// the list of leafs. It decides when to list, when to watch, how long to wait
// after a failure, and when the store counts as away; a Source does the
// talking.
package discovery

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// ErrCompacted says that the store no longer has the history asked for.
var ErrCompacted = errors.New("store history is no longer available")

// Event is one published change. Exactly one of its fields is set; an event about
// anything else, or one that cannot be decoded, has none.
type Event struct {
	Leaf     *replica.Leaf
	Config   *routing.Config
	GoneLeaf string
	// UnreadableLeaf is a leaf whose entry cannot be decoded: there is no leaf to
	// use under this ID.
	UnreadableLeaf string
}

// Page is what one call to the store brought.
type Page struct {
	Events []Event
	// Revision is the store's revision as of the call.
	Revision int64
	// Next continues a listing; "" when it is complete.
	Next string
	// Full: a watch brought as much as fits into one reply, so that there may
	// be more already.
	Full bool
	// Unreadable is how many of the events could not be decoded.
	Unreadable int
}

// Source reads the store.
type Source interface {
	// List returns one page of all that is published, from the start or from
	// where an earlier page ended.
	List(ctx context.Context, next string) (Page, error)
	// Watch returns what changed after revision, as soon as there is
	// something, or an empty page after wait.
	Watch(ctx context.Context, revision int64, wait time.Duration) (Page, error)
}

// Sink takes over what is published.
type Sink interface {
	LeafSeen(leaf replica.Leaf)
	LeafGone(id string)
	// LeafUnreadable is told a leaf whose entry cannot be decoded.
	LeafUnreadable(id string)
	// Listed is told all leafs of a complete listing.
	Listed(ids map[string]bool)
	ConfigSeen(c *routing.Config)
	// StoreReturned is told before the first events after an outage.
	StoreReturned()
}

// Options pace the calls, each of which is billed.
type Options struct {
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration
	// Coalesce is the pause after a watch that brought changes, so that
	// changes in quick succession are fetched together.
	Coalesce time.Duration
	// CallTimeout bounds a call beyond its wait.
	CallTimeout time.Duration
	// RetryFirst and RetryMost bound the growing pause after failures.
	RetryFirst time.Duration
	RetryMost  time.Duration
	// AwayAfter is how long calls must fail before leafs that vanish count
	// as lapsed with the outage.
	AwayAfter time.Duration
}

// Follower keeps a Sink up to date.
type Follower struct {
	source Source
	sink   Sink
	opts   Options
	log    *oplog.Log

	revision int64
	listed   bool
	// lastGood is the last successful call, failingSince the first failed
	// one after it.
	lastGood     time.Time
	failingSince time.Time
	retry        time.Duration

	calls      atomic.Int64
	failures   atomic.Int64
	unreadable atomic.Int64
	goodAt     atomic.Pointer[time.Time]
}

// Calls is how many calls were made, Failures how many of them failed.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// Failures is how many calls failed.
func (f *Follower) Failures() int64 { return f.failures.Load() }

// Unreadable is how many entries could not be decoded.
func (f *Follower) Unreadable() int64 { return f.unreadable.Load() }

// Age is how old the last answer of the store is; 0 before the first.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.goodAt.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(source Source, sink Sink, opts Options, log *oplog.Log) *Follower {
	return &Follower{source: source, sink: sink, opts: opts, log: log}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.step(ctx)
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// step makes the next call or listing and returns how long to pause.
func (f *Follower) step(ctx context.Context) time.Duration {
	if !f.listed {
		if err := f.list(ctx); err != nil {
			return f.failed(ctx, "list", err)
		}
		f.listed = true
		return f.opts.Coalesce
	}
	callCtx, cancel := context.WithTimeout(ctx, f.opts.WatchWait+f.opts.CallTimeout)
	defer cancel()
	page, err := f.source.Watch(callCtx, f.revision, f.opts.WatchWait)
	if errors.Is(err, ErrCompacted) {
		f.log.State("store_history_gone", oplog.Fields{"revision": f.revision})
		f.listed = false
		return 0
	}
	if err != nil {
		return f.failed(ctx, "watch", err)
	}
	f.succeeded()
	f.unreadable.Add(int64(page.Unreadable))
	f.apply(page.Events)
	f.revision = max(f.revision, page.Revision)
	return f.pause(page)
}

// pause is how long to wait after a watch.
//
// After an outage of some seconds more may have changed than one reply holds. With
// the usual pause after each of them an instance reads an old state of the fleet for
// as long again; one notices new routes answered as unknown, and requests sent to
// leafs that left, although the store is well (3,500 changes in replies of 500, 2 s
// apart: 12 s).
func (f *Follower) pause(page Page) time.Duration {
	if len(page.Events) == 0 || page.Full {
		return 0
	}
	return f.opts.Coalesce
}

// list reads all that is published. Pages are no snapshot: a leaf may leave
// between two of them. Watching on from the first page's revision replays what
// was missed.
func (f *Follower) list(ctx context.Context) error {
	ids := make(map[string]bool)
	var events []Event
	next := ""
	revision := int64(-1)
	for {
		callCtx, cancel := context.WithTimeout(ctx, f.opts.CallTimeout)
		page, err := f.source.List(callCtx, next)
		cancel()
		if err != nil {
			return err
		}
		f.succeeded()
		f.unreadable.Add(int64(page.Unreadable))
		if revision < 0 {
			revision = page.Revision
		}
		events = append(events, page.Events...)
		for _, e := range page.Events {
			if e.Leaf != nil {
				ids[e.Leaf.ID] = true
			}
		}
		if page.Next == "" {
			break
		}
		next = page.Next
	}
	f.revision = revision
	f.apply(events)
	f.sink.Listed(ids)
	f.log.State("store_listed", oplog.Fields{"revision": revision, "leafs": len(ids)})
	return nil
}

// apply hands the events to the sink. Of several configurations only the last
// one counts, and it comes after the leafs, so that its routes have some.
func (f *Follower) apply(events []Event) {
	var config *routing.Config
	for _, e := range events {
		switch {
		case e.Leaf != nil:
			f.sink.LeafSeen(*e.Leaf)
		case e.GoneLeaf != "":
			f.sink.LeafGone(e.GoneLeaf)
		case e.UnreadableLeaf != "":
			f.sink.LeafUnreadable(e.UnreadableLeaf)
		case e.Config != nil:
			config = e.Config
		}
	}
	if config != nil {
		f.sink.ConfigSeen(config)
	}
}

// succeeded notes a call that was answered.
func (f *Follower) succeeded() {
	now := time.Now()
	f.calls.Add(1)
	f.goodAt.Store(&now)
	if !f.failingSince.IsZero() {
		away := now.Sub(f.failingSince)
		f.failingSince = time.Time{}
		f.log.State("store_regained", oplog.Fields{"away_ms": away.Milliseconds(), "revision": f.revision})
		if now.Sub(f.lastGood) >= f.opts.AwayAfter {
			f.sink.StoreReturned()
		}
	}
	f.lastGood = now
	f.retry = 0
}

// failed notes a call that failed and returns how long to wait.
func (f *Follower) failed(ctx context.Context, call string, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	f.calls.Add(1)
	f.failures.Add(1)
	if f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.log.State("store_lost", oplog.Fields{"call": call, "error": err.Error(), "revision": f.revision})
	}
	f.retry = min(max(2*f.retry, f.opts.RetryFirst), f.opts.RetryMost)
	return f.retry
}
