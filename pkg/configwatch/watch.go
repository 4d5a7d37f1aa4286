// Package configwatch is an entry instance's side of the configuration service
// and the instance list in an installation of the project's own: long-poll
// watches, versions that only go forward.
package configwatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/indigoyoke/indigoyoke/pkg/longpoll"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// pace is how the service is followed. Calls are not billed one by one, but each is work for it. A
// change is known within the 14 s that are allowed at any phase of a call that is never answered.
var pace = longpoll.Options{
	Wait: 5 * time.Second, ProbeWait: time.Millisecond,
	Timeout: time.Second, RetryTimeout: time.Second,
	MinBackoff: 100 * time.Millisecond, MaxBackoff: 2 * time.Second,
}

// follow calls until ctx ends: call makes one, and reports whether it brought changes.
func follow(ctx context.Context, log *logrus.Entry, call func(longpoll.Call) (changes bool, err error)) {
	pacer := longpoll.New(pace, rand.Float64)
	for ctx.Err() == nil {
		began := time.Now()
		changes, err := call(pacer.NextCall(0, longpoll.PeerGroup{RelativeRank: 1}))
		if err == nil {
			pacer.RecordAnswer(changes, false)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		pause := pacer.RecordFailure(time.Since(began))
		log.WithFields(logrus.Fields{"error": err.Error(), "attempt": pacer.ConsecutiveFailures(), "retry_in_ms": pause.Milliseconds()}).Warn("watch failed")
		service.Sleep(ctx, pause)
	}
}

// Watcher keeps the newest deployment configuration an entry instance has
// seen, by a long-poll watch against the configuration service. It writes
// nothing to the service.
type Watcher struct {
	addr   string
	zone   string
	client *service.Client
	log    *logrus.Entry
	// offering makes comparing and replacing current one step.
	offering sync.Mutex
	current  atomic.Pointer[topology.Config]
	onApply  func(*topology.Config)
	applied  *metrics.Counter
	ignored  *metrics.Counter
	failed   *metrics.Counter
	// patchedCount counts versions reached by applying patches.
	patchedCount *metrics.Counter
}

// NewWatcher builds a watcher of the configuration service at addr for a
// reader in availability zone zone.
func NewWatcher(addr, zone string, set *metrics.Set, log *logrus.Entry) (*Watcher, error) {
	c, err := service.NewClient(2, time.Second)
	if err != nil {
		return nil, err
	}
	return &Watcher{
		addr:         addr,
		zone:         zone,
		client:       c,
		log:          log,
		applied:      set.NewCounter("config_versions_applied_total"),
		ignored:      set.NewCounter("config_versions_ignored_total"),
		failed:       set.NewCounter("config_watch_failures_total"),
		patchedCount: set.NewCounter("config_versions_patched_total"),
	}, nil
}

// OnApply sets a function called with each new configuration before it is
// put in force, so tables derived from it are ready when the first request
// pins it.
func (w *Watcher) OnApply(f func(*topology.Config)) { w.onApply = f }

// Current is the configuration in force, or nil before the first read.
func (w *Watcher) Current() *topology.Config { return w.current.Load() }

// Version is the version in force, 0 before the first read.
func (w *Watcher) Version() int64 {
	if c := w.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	follow(ctx, w.log.WithField("watch", "configuration"), func(c longpoll.Call) (bool, error) {
		cfg, err := w.watch(ctx, w.Version(), c)
		if err != nil {
			w.failed.Inc()
			return false, err
		}
		return cfg != nil && w.ApplyIfNewer(cfg), nil
	})
}

// ApplyIfNewer puts cfg in force if it is newer than the one in force, and reports
// whether it did. A stale replica of the configuration service, or one
// restored from an old state, answers with an older version; putting that
// in force would revert an accepted change, so versions only go forward
// and older ones are counted in config_versions_ignored_total. The watch and
// Refresh may offer at the same moment; without the lock both could pass the
// comparison and the older one be stored last.
func (w *Watcher) ApplyIfNewer(cfg *topology.Config) bool {
	w.offering.Lock()
	defer w.offering.Unlock()
	old := w.current.Load()
	if old != nil && cfg.Version <= old.Version {
		w.ignored.Inc()
		return false
	}
	if w.onApply != nil {
		w.onApply(cfg)
	}
	w.current.Store(cfg)
	w.applied.Inc()
	w.log.WithField("version", cfg.Version).Info("configuration in force")
	return true
}

// Refresh asks the configuration service once, without waiting for a
// change, and puts what it has in force if that is newer. It returns an
// error when the service could not be asked.
func (w *Watcher) Refresh(ctx context.Context) error {
	cfg, err := w.watch(ctx, w.Version(), longpoll.Call{Wait: pace.ProbeWait, Timeout: pace.RetryTimeout})
	if err == nil && cfg != nil {
		w.ApplyIfNewer(cfg)
	}
	return err
}

// watch long-polls for a version newer than after; a nil configuration with no
// error means the watch ended with nothing newer.
func (w *Watcher) watch(ctx context.Context, after int64, c longpoll.Call) (*topology.Config, error) {
	url := fmt.Sprintf("http://%s%s?after=%d&timeout_ms=%d&zone=%s", w.addr, wire.PathConfigWatch, after, c.Wait.Milliseconds(), w.zone)
	end := time.Now().Add(c.Wait + c.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	var reply wire.ConfigReply
	status, err := w.client.Do(ctx, "GET", url, nil, nil, &reply, end)
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("watch: status %d", status)
	}
	if len(reply.Patches) > 0 {
		return w.patched(ctx, reply)
	}
	return reply.Config, nil
}

// patched applies patches to the configuration in force. Apply is the
// service's own function, so the result is the version the service holds;
// if a patch does not apply, or leads to another configuration (the reader's
// version is not the one the service assumed), the whole configuration is
// read instead.
func (w *Watcher) patched(ctx context.Context, reply wire.ConfigReply) (*topology.Config, error) {
	cfg := w.current.Load()
	for _, p := range reply.Patches {
		if cfg == nil {
			return w.read(ctx)
		}
		next, err := cfg.Apply(p)
		if err != nil {
			return w.read(ctx)
		}
		cfg = next
	}
	if cfg.Digest() != reply.Digest {
		w.log.WithField("version", cfg.Version).Warn("patches lead to another configuration than the service has; it is read whole")
		return w.read(ctx)
	}
	w.patchedCount.Inc()
	return cfg, nil
}

// read fetches the whole configuration.
func (w *Watcher) read(ctx context.Context) (*topology.Config, error) {
	var reply wire.ConfigReply
	url := fmt.Sprintf("http://%s%s?zone=%s", w.addr, wire.PathConfig, w.zone)
	status, err := w.client.Do(ctx, "GET", url, nil, nil, &reply, time.Now().Add(time.Second))
	if err != nil {
		return nil, err
	}
	if status != 200 || reply.Config == nil {
		return nil, fmt.Errorf("read: status %d", status)
	}
	return reply.Config, nil
}

// WatchInstances follows the platform's instance list by a long-poll watch
// of changed rows and hands each row to apply, until ctx ends. Reading the
// whole list on a timer would cost every node the whole list each period
// (docs/CAPACITY.md); the watch costs one call per change or timeout.
func WatchInstances(ctx context.Context, c *service.Client, addr, zone string, log *logrus.Entry, apply func(wire.Instance)) {
	var version int64
	follow(ctx, log.WithField("watch", "instances"), func(call longpoll.Call) (bool, error) {
		var d wire.InstanceDelta
		url := fmt.Sprintf("http://%s%s?after=%d&timeout_ms=%d&zone=%s", addr, wire.PathInstanceWatch, version, call.Wait.Milliseconds(), zone)
		status, err := c.Do(ctx, "GET", url, nil, nil, &d, time.Now().Add(call.Wait+call.Timeout))
		if err == nil && status != 200 {
			err = fmt.Errorf("instance watch: status %d", status)
		}
		if err != nil {
			return false, err
		}
		for _, row := range d.Rows {
			apply(row)
		}
		version = d.Version
		return len(d.Rows) > 0, nil
	})
}
