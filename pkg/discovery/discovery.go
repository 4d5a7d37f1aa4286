// Package discovery follows what the platform publishes: the configuration and
// the list of leafs. It decides when to list, when to watch, how long to wait
// after a failure, and when the store counts as away; a Source does the
// talking.
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

// ErrCompacted says that the store no longer has the history asked for.
var ErrCompacted = errors.New("store history is no longer available")

// Options pace the calls, each of which is billed.
type Options struct {
	Pace longpoll.Options
	// OutageThreshold is how long calls must fail before leafs that vanish count
	// as lapsed with the outage.
	OutageThreshold time.Duration
	// LostEntryGrace is how long entries hold that the store has lost, for their writers to write them again.
	LostEntryGrace time.Duration
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
	book *feed.Cache
	// position is that of the book; risenAt is when it last rose.
	position atomic.Pointer[feed.Position]
	risenAt  time.Time
	// config is the newest configuration of all eras.
	config Event

	// relist: the store is listed next, since changes may have been missed.
	relist atomic.Bool
	// open ends the call that waits for changes.
	open atomic.Pointer[context.CancelCauseFunc]

	pacer *longpoll.Pacer
	// group is what is known of the other instances that read the store.
	group atomic.Pointer[longpoll.PeerGroup]
	// lastGood is the last successful call, failingSince the first failed
	// one after it.
	lastGood     time.Time
	failingSince time.Time

	calls      atomic.Int64
	failures   atomic.Int64
	unreadable atomic.Int64
	restores   atomic.Int64
	// provenAt is up to when all is known that the store published.
	provenAt atomic.Pointer[time.Time]
	// answeredAt is when the store last answered this instance itself, confirmedAt this one or
	// another that it listens to.
	answeredAt, confirmedAt atomic.Pointer[time.Time]
}

// Calls is how many calls were made, Failures how many of them failed.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// Failures is how many calls failed.
func (f *Follower) Failures() int64 { return f.failures.Load() }

// Unreadable is how many entries could not be decoded.
func (f *Follower) Unreadable() int64 { return f.unreadable.Load() }

// Restores is how many times the store has come back in another era.
func (f *Follower) Restores() int64 { return f.restores.Load() }

// Age is how old what is known is: for how long the store may have published something else. It is
// 0 before anything is known.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.provenAt.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(source Source, sink Sink, opts Options, log *oplog.Log) *Follower {
	f := &Follower{
		pacer:  longpoll.New(opts.Pace, rand.Float64),
		source: source, sink: sink, opts: opts, log: log,
		book: feed.NewCache(), woken: make(chan struct{}, 1), changed: func() {}, proofGap: func(time.Duration) {},
	}
	f.reading.Store(true)
	f.position.Store(&feed.Position{})
	f.group.Store(&longpoll.PeerGroup{RelativeRank: 1})
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

// Reasons to end a call that is still open.
var (
	// errStale: what is known has become too old.
	errStale = errors.New("given up: what is known is too old")
	// errEraEnded: another instance has told of a later era, and the call would not bring its changes.
	errEraEnded = errors.New("given up: the store was restored")
)

// step makes the next call or listing and returns how long to pause.
func (f *Follower) step(ctx context.Context) time.Duration {
	began := time.Now()
	if f.relist.Load() || !f.HasSnapshot() {
		if err := f.list(ctx); err != nil {
			return f.failed(ctx, call{kind: "list", began: began}, err)
		}
		return f.pacer.RecordAnswer(true, false)
	}
	next := f.pacer.NextCall(f.Age(began), *f.group.Load())
	asked := f.Position()
	page, err := f.watch(ctx, asked, next)
	c := call{kind: "watch", began: began, wait: next.Wait}
	if page.At.Era > asked.Era {
		f.storeRestored(page.At)
	}
	switch {
	case errors.Is(err, ErrCompacted):
		f.historyGone(asked)
		return 0
	case errors.Is(err, errStale), errors.Is(err, errEraEnded):
		f.gaveUp(c)
		return 0
	case err != nil:
		return f.failed(ctx, c, err)
	}
	f.succeeded()
	f.unreadable.Add(int64(page.Unreadable))
	switch {
	case page.At.Before(asked):
		f.storeBehind(asked, page.At)
		return 0
	case page.At.Era != asked.Era || !f.take(feed.Update{From: asked, To: page.At}, page.Events):
		return 0
	}
	f.answered()
	return f.pacer.RecordAnswer(len(page.Events) > 0, page.Full)
}

// watch makes one call. It ends early where what is known becomes too old meanwhile, or of an era that is over.
func (f *Follower) watch(ctx context.Context, after feed.Position, next longpoll.Call) (Page, error) {
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	f.open.Store(&giveUp)
	defer f.open.Store(nil)
	if f.Position().Era != after.Era {
		giveUp(errEraEnded)
	}
	if next.MaxAge > 0 {
		go f.untilStale(ctx, next.MaxAge, giveUp)
	}
	callCtx, cancel := context.WithTimeout(ctx, next.Wait+next.Timeout)
	defer cancel()
	page, err := f.source.Watch(callCtx, after, next.Wait)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errStale) || errors.Is(cause, errEraEnded)) {
		err = cause
	}
	return page, err
}

// untilStale gives a call up when what is known is older than a limit, unless the call ends before.
func (f *Follower) untilStale(ctx context.Context, limit time.Duration, giveUp context.CancelCauseFunc) {
	for {
		left := limit - f.Age(time.Now())
		if left <= 0 {
			giveUp(errStale)
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// gaveUp notes a call that was given up; the next one tells whether the store is away.
func (f *Follower) gaveUp(c call) {
	now := time.Now()
	f.calls.Add(1)
	f.pacer.RecordAbandoned()
	f.log.Decision("store_call_given_up", oplog.Fields{
		"wait_ms": c.wait.Milliseconds(), "took_ms": now.Sub(c.began).Milliseconds(),
		"age_ms": f.Age(now).Milliseconds(), "heard": f.group.Load().Reporting,
	})
}

// storeRestored notes that the store has answered in a later era. What it wrote there below the position that
// is known would be missed by watching on, so all is listed; until then what is known holds.
func (f *Follower) storeRestored(at feed.Position) {
	f.relist.Store(true)
	f.log.State("store_restored", oplog.Fields{"era": f.Position().Era, "revision": f.Position().Revision, "store_era": at.Era})
}

// historyGone lets all be listed: the store drops its history at times.
func (f *Follower) historyGone(asked feed.Position) {
	f.relist.Store(true)
	f.log.State("store_history_gone", oplog.Fields{"era": asked.Era, "revision": asked.Revision})
}

// storeBehind forgets what is known. Another instance has told a position that the store has not
// reached: watching on from it would hear nothing for good.
func (f *Follower) storeBehind(known, store feed.Position) {
	f.log.State("store_behind_feed", oplog.Fields{
		"era": known.Era, "revision": known.Revision, "store_era": store.Era, "store_revision": store.Revision,
	})
	f.forget()
}

// apply hands the events to the sink. Of several configurations only the last
// one counts, and it comes after the leafs, so that its routes have some.
func (f *Follower) apply(events []Event, origin Origin) {
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
		f.keepNewest(config)
		f.sink.ConfigUpdated(config.Config, origin)
	}
}

// keepNewest lets the book hold the newest configuration: a store that was restored may publish an
// older one for a while, by which an instance that starts then would serve. mu is held.
func (f *Follower) keepNewest(e Event) {
	if f.config.Config == nil || e.Config.Version >= f.config.Config.Version {
		f.config = e
		return
	}
	f.book.ReplaceContent(e.Item.Key, f.config.Item.Raw)
}

// succeeded notes a call that was answered.
func (f *Follower) succeeded() {
	now := time.Now()
	f.calls.Add(1)
	if !f.failingSince.IsZero() {
		away := now.Sub(f.failingSince)
		f.failingSince = time.Time{}
		f.log.State("store_regained", oplog.Fields{"away_ms": away.Milliseconds(), "attempts": f.pacer.ConsecutiveFailures(), "revision": f.Position().Revision})
		if now.Sub(f.lastGood) >= f.opts.OutageThreshold {
			f.returned(now)
		}
	}
	f.lastGood = now
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
