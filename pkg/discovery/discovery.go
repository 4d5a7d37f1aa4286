// Package discovery follows what the platform's store publishes: the configuration and the list
// of leafs. It decides when to list and when to watch, how long to back off after a failure, and
// when the store counts as unavailable. A Source does the I/O.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/feed"
	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// ErrCompacted means that the store no longer has the history that a watch needs.
var ErrCompacted = errors.New("store history is no longer available")

// Options control the pace of calls, each of which is billed, and the handling of outages.
type Options struct {
	LongPoll longpoll.Options
	// OutageThreshold is how long calls must fail before leafs that are missing afterwards count
	// as expired because of the outage.
	OutageThreshold time.Duration
	// LostEntryGrace is how long entries that a restored store has lost stay in use, so that
	// their writers can write them again.
	LostEntryGrace time.Duration
}

// Follower keeps a Sink up to date with the store.
type Follower struct {
	source Source
	sink   Sink
	opts   Options
	log    *oplog.Log

	// reading is whether this instance reads the store. readingChanged is signalled on a change.
	reading        atomic.Bool
	readingChanged chan struct{}
	// onChange is called when there are changes or an answer of the store to report to peers.
	onChange func()
	// onCurrent receives, each time currentAsOf advances, by how much it does.
	onCurrent func(time.Duration)

	// mu guards the cache, and the order of the calls to the sink.
	mu    sync.Mutex
	cache *feed.Cache
	// position is that of the cache; positionRaisedAt is when it last rose.
	position         atomic.Pointer[feed.Position]
	positionRaisedAt time.Time
	// newestConfig is the newest configuration of all eras.
	newestConfig Event

	// needsListing makes the next call a listing, because changes may have been missed.
	needsListing atomic.Bool
	// cancelWatch cancels the watch in flight; nil if there is none.
	cancelWatch atomic.Pointer[context.CancelCauseFunc]

	pacer *longpoll.Pacer
	// readers describes the other instances that read the store.
	readers atomic.Pointer[longpoll.PeerGroup]
	// lastSuccess is when a call last succeeded, failingSince when the first one failed after it.
	lastSuccess  time.Time
	failingSince time.Time

	calls      atomic.Int64
	failures   atomic.Int64
	unreadable atomic.Int64
	restores   atomic.Int64
	// currentAsOf is the time up to which all that the store published is known.
	currentAsOf atomic.Pointer[time.Time]
	// answeredAt is when the store last answered this instance itself; confirmedAt is when it
	// last answered this one or an instance to which it subscribes.
	answeredAt, confirmedAt atomic.Pointer[time.Time]
}

// Calls returns the number of calls made to the store.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// Failures returns the number of calls that failed.
func (f *Follower) Failures() int64 { return f.failures.Load() }

// Unreadable returns the number of entries that could not be decoded.
func (f *Follower) Unreadable() int64 { return f.unreadable.Load() }

// Restores returns how many times the store was restored, that is, came back in a later era.
func (f *Follower) Restores() int64 { return f.restores.Load() }

// Age returns the staleness of the data, that is the time since it was last known to be up to
// date. It is 0 before anything is known.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.currentAsOf.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// NewFollower returns a follower that has not read anything yet.
func NewFollower(source Source, sink Sink, opts Options, log *oplog.Log) *Follower {
	f := &Follower{
		pacer:  longpoll.New(opts.LongPoll, rand.Float64),
		source: source, sink: sink, opts: opts, log: log,
		cache: feed.NewCache(), readingChanged: make(chan struct{}, 1), onChange: func() {}, onCurrent: func(time.Duration) {},
	}
	f.reading.Store(true)
	f.position.Store(&feed.Position{})
	f.readers.Store(&longpoll.PeerGroup{RelativeRank: 1})
	return f
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.reading.Load() {
			f.waitUntilReading(ctx)
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

// Causes for cancelling a watch in flight.
var (
	// errStale means that the data has become too old.
	errStale = errors.New("watch cancelled: the data is too old")
	// errEraEnded means that a peer reported a later era, whose changes the watch cannot return.
	errEraEnded = errors.New("watch cancelled: the store was restored")
)

// step makes the next call or listing and returns how long to pause afterwards.
func (f *Follower) step(ctx context.Context) time.Duration {
	began := time.Now()
	if f.needsListing.Load() || !f.Synced() {
		if err := f.list(ctx); err != nil {
			return f.recordFailure(ctx, call{kind: "list", began: began}, err)
		}
		return f.pacer.RecordAnswer(true, false)
	}
	next := f.pacer.NextCall(f.Age(began), *f.readers.Load())
	from := f.Position()
	page, err := f.watch(ctx, from, next)
	c := call{kind: "watch", began: began, wait: next.Wait}
	if page.At.Era > from.Era {
		f.noteStoreRestored(page.At)
	}
	switch {
	case errors.Is(err, ErrCompacted):
		f.noteHistoryGone(from)
		return 0
	case errors.Is(err, errStale), errors.Is(err, errEraEnded):
		f.recordAbandoned(c)
		return 0
	case err != nil:
		return f.recordFailure(ctx, c, err)
	}
	f.recordSuccess()
	f.unreadable.Add(int64(page.Unreadable))
	switch {
	case page.At.Before(from):
		f.noteStoreBehind(from, page.At)
		return 0
	case page.At.Era != from.Era || !f.applyAnswer(feed.Update{From: from, To: page.At}, page.Events):
		return 0
	}
	f.noteAnswer()
	return f.pacer.RecordAnswer(len(page.Events) > 0, page.Full)
}

// watch makes one watch call. It is cancelled when the data becomes too old or its era has ended.
func (f *Follower) watch(ctx context.Context, after feed.Position, next longpoll.Call) (Page, error) {
	ctx, cancelWatch := context.WithCancelCause(ctx)
	defer cancelWatch(nil)
	f.cancelWatch.Store(&cancelWatch)
	defer f.cancelWatch.Store(nil)
	if f.Position().Era != after.Era {
		cancelWatch(errEraEnded)
	}
	if next.MaxAge > 0 {
		go f.cancelWhenStale(ctx, next.MaxAge, cancelWatch)
	}
	callCtx, cancel := context.WithTimeout(ctx, next.Wait+next.Timeout)
	defer cancel()
	page, err := f.source.Watch(callCtx, after, next.Wait)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errStale) || errors.Is(cause, errEraEnded)) {
		err = cause
	}
	return page, err
}

// cancelWhenStale cancels a call once the age of the data reaches limit, unless ctx ends first.
func (f *Follower) cancelWhenStale(ctx context.Context, limit time.Duration, cancelWatch context.CancelCauseFunc) {
	for {
		remaining := limit - f.Age(time.Now())
		if remaining <= 0 {
			cancelWatch(errStale)
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// recordAbandoned records an abandoned call. The next one shows whether the store is available.
func (f *Follower) recordAbandoned(c call) {
	now := time.Now()
	f.calls.Add(1)
	f.pacer.RecordAbandoned()
	f.log.Decision("store_call_given_up", oplog.Fields{
		"wait_ms": c.wait.Milliseconds(), "took_ms": now.Sub(c.began).Milliseconds(),
		"age_ms": f.Age(now).Milliseconds(), "heard": f.readers.Load().Reporting,
	})
}

// noteStoreRestored records that the store answered in a later era. A watch from the known
// position would miss what the store wrote below it in that era, so everything is listed again.
// Until then the known entries stay in use.
func (f *Follower) noteStoreRestored(at feed.Position) {
	f.needsListing.Store(true)
	f.log.State("store_restored", oplog.Fields{"era": f.Position().Era, "revision": f.Position().Revision, "store_era": at.Era})
}

// noteHistoryGone requests a listing after the store has dropped its history.
func (f *Follower) noteHistoryGone(from feed.Position) {
	f.needsListing.Store(true)
	f.log.State("store_history_gone", oplog.Fields{"era": from.Era, "revision": from.Revision})
}

// noteStoreBehind discards what is known. A peer has reported a position that the store has not
// reached; a watch from there would never return anything.
func (f *Follower) noteStoreBehind(known, store feed.Position) {
	f.log.State("store_behind_feed", oplog.Fields{
		"era": known.Era, "revision": known.Revision, "store_era": store.Era, "store_revision": store.Revision,
	})
	f.reset()
}

// applyEvents passes events to the sink. Of several configurations only the last one counts. It
// comes after the leafs, so that its routes have some.
func (f *Follower) applyEvents(events []Event, origin Origin) {
	var config Event
	for _, e := range events {
		switch {
		case e.Leaf != nil:
			f.sink.LeafUpdated(*e.Leaf)
		case e.RemovedLeaf != "":
			f.sink.LeafRemoved(e.RemovedLeaf)
		case e.UnreadableLeaf != "":
			f.sink.LeafUnreadable(e.UnreadableLeaf)
		case e.Evacuated != "":
			f.sink.ZoneEvacuationChanged(e.Evacuated, true)
		case e.Readmitted != "":
			f.sink.ZoneEvacuationChanged(e.Readmitted, false)
		case e.Config != nil:
			config = e
		}
	}
	if config.Config != nil {
		f.keepNewestConfig(config)
		f.sink.ConfigUpdated(config.Config, origin)
	}
}

// keepNewestConfig keeps the newest configuration in the cache. A restored store may publish an
// older one for a while, which an instance that starts then would adopt. mu must be held.
func (f *Follower) keepNewestConfig(e Event) {
	if f.newestConfig.Config == nil || e.Config.Version >= f.newestConfig.Config.Version {
		f.newestConfig = e
		return
	}
	f.cache.ReplaceContent(e.Item.Key, f.newestConfig.Item.Raw)
}

// recordSuccess records an answered call.
func (f *Follower) recordSuccess() {
	now := time.Now()
	f.calls.Add(1)
	if !f.failingSince.IsZero() {
		outage := now.Sub(f.failingSince)
		f.failingSince = time.Time{}
		f.log.State("store_regained", oplog.Fields{"away_ms": outage.Milliseconds(), "attempts": f.pacer.ConsecutiveFailures(), "revision": f.Position().Revision})
		if now.Sub(f.lastSuccess) >= f.opts.OutageThreshold {
			f.noteRecovery(now)
		}
	}
	f.lastSuccess = now
}

// call describes one call to the store in log entries.
type call struct {
	kind  string
	began time.Time
	// wait is how long a watch was to wait for a change; zero for a listing.
	wait time.Duration
}

// recordFailure records a failed call and returns how long to wait before the next one.
func (f *Follower) recordFailure(ctx context.Context, c call, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	now := time.Now()
	f.calls.Add(1)
	f.failures.Add(1)
	took := now.Sub(c.began)
	pause := f.pacer.RecordFailure(took)
	if f.failingSince.IsZero() {
		f.failingSince = now
		f.log.State("store_lost", oplog.Fields{"call": c.kind, "error": err.Error(), "revision": f.Position().Revision})
	}
	f.log.Decision("store_call_failed", oplog.Fields{
		"call": c.kind, "attempt": f.pacer.ConsecutiveFailures(), "wait_ms": c.wait.Milliseconds(), "took_ms": took.Milliseconds(),
		"retry_in_ms": pause.Milliseconds(), "age_ms": f.Age(now).Milliseconds(), "error": err.Error(),
	})
	return pause
}
