// Package discovery follows what the platform publishes: the configuration and
// the list of leafs. It decides when to list, when to watch, how long to wait
// after a failure, and when the store counts as away; a Source does the
// talking.
package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// ErrCompacted says that the store no longer has the history asked for.
var ErrCompacted = errors.New("store history is no longer available")

// Options pace the calls, each of which is billed.
type Options struct {
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration
	// Coalesce is the pause after a watch that brought changes, so that
	// changes in quick succession are fetched together.
	Coalesce time.Duration
	// AfterPause is how long the watch after such a pause waits, where others are fed by
	// this instance and must know that its news are not old; zero: as any other.
	AfterPause time.Duration
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

	// reading: the store is read by this instance; woken is sent to when that changes.
	reading atomic.Bool
	woken   chan struct{}
	// changed is called when there is something new for those that are fed.
	changed func()
	// proofGap is told how far the proofs are apart that what is known is up to date.
	proofGap func(time.Duration)

	// mu guards the book, and the order of what the sink is told.
	mu   sync.Mutex
	book *feed.Book
	// revision is that of the book; risenAt is when it last rose.
	revision atomic.Int64
	risenAt  time.Time

	// paused: the last watch was followed by a pause.
	paused bool
	// lastGood is the last successful call, failingSince the first failed
	// one after it.
	lastGood     time.Time
	failingSince time.Time
	retry        time.Duration
	// inRow is how many calls have failed since the last successful one.
	inRow int

	calls      atomic.Int64
	failures   atomic.Int64
	unreadable atomic.Int64
	// goodAt is when the store last answered, this instance or one that feeds it.
	goodAt atomic.Pointer[time.Time]
	// answeredAt is when it last answered this instance itself.
	answeredAt atomic.Pointer[time.Time]
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
	f := &Follower{
		source: source, sink: sink, opts: opts, log: log,
		book: feed.NewBook(), woken: make(chan struct{}, 1), changed: func() {}, proofGap: func(time.Duration) {},
	}
	f.reading.Store(true)
	return f
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.reading.Load() {
			f.idle(ctx)
			continue
		}
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
	began := time.Now()
	if !f.Known() {
		if err := f.list(ctx); err != nil {
			return f.failed(ctx, call{kind: "list", began: began}, err)
		}
		f.paused = true
		return f.opts.Coalesce
	}
	wait := f.opts.WatchWait
	if f.paused && f.opts.AfterPause > 0 {
		wait = min(wait, f.opts.AfterPause)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+f.opts.CallTimeout)
	defer cancel()
	revision := f.revision.Load()
	page, err := f.source.Watch(callCtx, revision, wait)
	if errors.Is(err, ErrCompacted) || (err == nil && page.Revision < revision) {
		f.startAnew(page.Revision, err)
		return 0
	}
	if err != nil {
		return f.failed(ctx, call{kind: "watch", began: began, wait: wait}, err)
	}
	f.succeeded()
	f.unreadable.Add(int64(page.Unreadable))
	f.take(feed.Page{From: revision, To: page.Revision}, page.Events)
	f.answered()
	pause := f.pause(page)
	f.paused = pause > 0
	return pause
}

// startAnew forgets what is known of the store, so that all is listed.
//
// The store drops its history at times. And a revision that another instance told may be
// one that the store has not reached: watching on from it would hear nothing for good.
func (f *Follower) startAnew(store int64, err error) {
	event := "store_history_gone"
	if err == nil {
		event = "store_behind_feed"
	}
	f.log.State(event, oplog.Fields{"revision": f.revision.Load(), "store_revision": store})
	f.forget()
}

// pause is how long to wait after a watch.
//
// After an outage of some seconds more may have changed than one reply holds. With
// the usual pause after each of them an instance reads an old state of the fleet for
// as long again; one notices new routes answered as unknown, and requests sent to
// leafs that left, although the store is well.
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
	listing := newListing()
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
			listing.add(e)
		}
		if page.Next == "" {
			break
		}
		next = page.Next
	}
	f.take(feed.Page{Full: true, To: revision}, events)
	f.addLater(listing, revision)
	f.sink.Listed(listing)
	f.answered()
	f.log.State("store_listed", oplog.Fields{"revision": revision, "leafs": len(listing.Leafs), "evacuated_zones": len(listing.Evacuated)})
	return nil
}

// apply hands the events to the sink. Of several configurations only the last
// one counts, and it comes after the leafs, so that its routes have some.
func (f *Follower) apply(events []Event, origin Origin) {
	var config *routing.Config
	for _, e := range events {
		switch {
		case e.Leaf != nil:
			f.sink.LeafSeen(*e.Leaf)
		case e.GoneLeaf != "":
			f.sink.LeafGone(e.GoneLeaf)
		case e.UnreadableLeaf != "":
			f.sink.LeafUnreadable(e.UnreadableLeaf)
		case e.Evacuated != "":
			f.sink.ZoneEvacuated(e.Evacuated, true)
		case e.Readmitted != "":
			f.sink.ZoneEvacuated(e.Readmitted, false)
		case e.Config != nil:
			config = e.Config
		}
	}
	if config != nil {
		f.sink.ConfigSeen(config, origin)
	}
}

// succeeded notes a call that was answered.
func (f *Follower) succeeded() {
	now := time.Now()
	f.calls.Add(1)
	if !f.failingSince.IsZero() {
		away := now.Sub(f.failingSince)
		f.failingSince = time.Time{}
		f.log.State("store_regained", oplog.Fields{"away_ms": away.Milliseconds(), "attempts": f.inRow, "revision": f.revision.Load()})
		if now.Sub(f.lastGood) >= f.opts.AwayAfter {
			f.returned(now)
		}
	}
	f.lastGood = now
	f.retry, f.inRow = 0, 0
}

// call is one call to the store as the log tells it.
type call struct {
	kind  string
	began time.Time
	// wait is how long a watch was to wait for a change.
	wait time.Duration
}

// failed notes a call that failed and returns how long to wait.
func (f *Follower) failed(ctx context.Context, c call, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	now := time.Now()
	f.calls.Add(1)
	f.failures.Add(1)
	f.inRow++
	if f.failingSince.IsZero() {
		f.failingSince = now
		f.log.State("store_lost", oplog.Fields{"call": c.kind, "error": err.Error(), "revision": f.revision.Load()})
	}
	f.retry = min(max(2*f.retry, f.opts.RetryFirst), f.opts.RetryMost)
	f.log.Decision("store_call_failed", oplog.Fields{
		"call": c.kind, "attempt": f.inRow, "wait_ms": c.wait.Milliseconds(), "took_ms": now.Sub(c.began).Milliseconds(),
		"retry_in_ms": f.retry.Milliseconds(), "age_ms": f.Age(now).Milliseconds(), "error": err.Error(),
	})
	return f.retry
}
