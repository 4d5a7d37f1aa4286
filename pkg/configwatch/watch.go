// Package configwatch lets an entry instance follow this project's own configuration
// service and instance list. It watches both by long polling, and it never replaces a
// configuration by an older version.
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

// longPollOptions are the waits and timeouts of the long polls. A long poll waits for seconds,
// because every call costs the service work, although calls are not billed individually. Even if
// the service never answers one call, a change made at any point of that call is known within the
// allowed 14 s.
var longPollOptions = longpoll.Options{
	Wait: 5 * time.Second, ProbeWait: time.Millisecond,
	Timeout: time.Second, RetryTimeout: time.Second,
	MinBackoff: 100 * time.Millisecond, MaxBackoff: 2 * time.Second,
}

// pollUntilDone repeats call until ctx ends, and backs off after failures. call makes one long poll
// and reports whether its answer contained changes.
func pollUntilDone(ctx context.Context, log *logrus.Entry, call func(longpoll.Call) (changes bool, err error)) {
	pacer := longpoll.New(longPollOptions, rand.Float64)
	for ctx.Err() == nil {
		start := time.Now()
		changes, err := call(pacer.NextCall(0, longpoll.PeerGroup{RelativeRank: 1}))
		if err == nil {
			pacer.RecordAnswer(changes, false)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		backoff := pacer.RecordFailure(time.Since(start))
		log.WithFields(logrus.Fields{"error": err.Error(), "attempt": pacer.ConsecutiveFailures(), "retry_in_ms": backoff.Milliseconds()}).Warn("watch failed")
		service.Sleep(ctx, backoff)
	}
}

// Watcher holds the newest deployment configuration that an entry instance has seen.
// It long-polls the configuration service and writes nothing to it.
type Watcher struct {
	addr   string
	zone   string
	client *service.Client
	log    *logrus.Entry
	// applyMu makes comparing and replacing current atomic.
	applyMu sync.Mutex
	// current is the configuration in force, nil before the first one.
	current atomic.Pointer[topology.Config]
	// onApply is called before a configuration is put in force; nil: nothing is called.
	onApply func(*topology.Config)
	// applied counts the configurations that were put in force, and ignored those
	// that were not newer.
	applied *metrics.Counter
	ignored *metrics.Counter
	// failed counts the long polls that failed.
	failed *metrics.Counter
	// patched counts the versions that were reached by applying patches.
	patched *metrics.Counter
}

// NewWatcher returns a watcher of the configuration service at addr for an instance
// in the given availability zone.
func NewWatcher(addr, zone string, set *metrics.Set, log *logrus.Entry) (*Watcher, error) {
	c, err := service.NewClient(2, time.Second)
	if err != nil {
		return nil, err
	}
	return &Watcher{
		addr:    addr,
		zone:    zone,
		client:  c,
		log:     log,
		applied: set.NewCounter("config_versions_applied_total"),
		ignored: set.NewCounter("config_versions_ignored_total"),
		failed:  set.NewCounter("config_watch_failures_total"),
		patched: set.NewCounter("config_versions_patched_total"),
	}, nil
}

// OnApply sets a function that is called with each new configuration before it is put
// in force, so that the tables derived from it are ready when the first request pins
// it. OnApply must be called before Run.
func (w *Watcher) OnApply(f func(*topology.Config)) { w.onApply = f }

// Current returns the configuration in force, or nil before the first one.
func (w *Watcher) Current() *topology.Config { return w.current.Load() }

// Version returns the version of the configuration in force, or 0 before the first one.
func (w *Watcher) Version() int64 {
	if c := w.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Run watches the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	pollUntilDone(ctx, w.log.WithField("watch", "configuration"), func(call longpoll.Call) (bool, error) {
		cfg, err := w.pollConfig(ctx, w.Version(), call)
		if err != nil {
			w.failed.Inc()
			return false, err
		}
		return cfg != nil && w.ApplyIfNewer(cfg), nil
	})
}

// ApplyIfNewer puts cfg in force if it is newer than the configuration in force, and
// reports whether it did. A stale replica of the configuration service, or one that was
// restored from an old state, answers with an older version. Putting that in force would
// revert an accepted change, so versions that are not newer are only counted in
// config_versions_ignored_total. Run, Refresh and the relay may call ApplyIfNewer
// concurrently; without the lock two calls could both pass the comparison, and the older
// version could be stored last.
func (w *Watcher) ApplyIfNewer(cfg *topology.Config) bool {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
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

// Refresh polls the configuration service once, without waiting for a change, and puts
// its configuration in force if that is newer. It returns an error if the poll failed.
func (w *Watcher) Refresh(ctx context.Context) error {
	cfg, err := w.pollConfig(ctx, w.Version(), longpoll.Call{Wait: longPollOptions.ProbeWait, Timeout: longPollOptions.RetryTimeout})
	if err == nil && cfg != nil {
		w.ApplyIfNewer(cfg)
	}
	return err
}

// pollConfig long-polls for a version newer than after. A nil configuration without an
// error means that the long poll ended without a newer version.
func (w *Watcher) pollConfig(ctx context.Context, after int64, call longpoll.Call) (*topology.Config, error) {
	url := fmt.Sprintf("http://%s%s?after=%d&timeout_ms=%d&zone=%s", w.addr, wire.PathConfigWatch, after, call.Wait.Milliseconds(), w.zone)
	deadline := time.Now().Add(call.Wait + call.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	var reply wire.ConfigReply
	status, err := w.client.Do(ctx, "GET", url, nil, nil, &reply, deadline)
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("configuration watch: unexpected status %d", status)
	}
	if len(reply.Patches) > 0 {
		return w.applyPatches(ctx, reply)
	}
	return reply.Config, nil
}

// applyPatches applies the patches of a reply to the configuration in force and returns
// the result. The service uses the same Apply function, so the result is the version that
// the service holds. If a patch cannot be applied, or the result has another digest
// because the configuration in force is not the one that the service assumed, the whole
// configuration is fetched instead.
func (w *Watcher) applyPatches(ctx context.Context, reply wire.ConfigReply) (*topology.Config, error) {
	cfg := w.current.Load()
	for _, p := range reply.Patches {
		if cfg == nil {
			return w.fetchConfig(ctx)
		}
		next, err := cfg.Apply(p)
		if err != nil {
			return w.fetchConfig(ctx)
		}
		cfg = next
	}
	if cfg.Digest() != reply.Digest {
		w.log.WithField("version", cfg.Version).Warn("digest mismatch after applying patches; fetching the whole configuration")
		return w.fetchConfig(ctx)
	}
	w.patched.Inc()
	return cfg, nil
}

// fetchConfig reads the whole configuration from the service.
func (w *Watcher) fetchConfig(ctx context.Context) (*topology.Config, error) {
	var reply wire.ConfigReply
	url := fmt.Sprintf("http://%s%s?zone=%s", w.addr, wire.PathConfig, w.zone)
	status, err := w.client.Do(ctx, "GET", url, nil, nil, &reply, time.Now().Add(time.Second))
	if err != nil {
		return nil, err
	}
	if status != 200 || reply.Config == nil {
		return nil, fmt.Errorf("configuration read failed: status %d", status)
	}
	return reply.Config, nil
}

// WatchInstances long-polls the platform's instance list for changed rows and calls
// apply with each of them, until ctx ends. Reading the list on a timer would transfer
// the whole list to every node in each period (docs/CAPACITY.md); the watch costs one
// call per change or timeout.
func WatchInstances(ctx context.Context, c *service.Client, addr, zone string, log *logrus.Entry, apply func(wire.Instance)) {
	var version int64
	pollUntilDone(ctx, log.WithField("watch", "instances"), func(call longpoll.Call) (bool, error) {
		var delta wire.InstanceDelta
		url := fmt.Sprintf("http://%s%s?after=%d&timeout_ms=%d&zone=%s", addr, wire.PathInstanceWatch, version, call.Wait.Milliseconds(), zone)
		status, err := c.Do(ctx, "GET", url, nil, nil, &delta, time.Now().Add(call.Wait+call.Timeout))
		if err == nil && status != 200 {
			err = fmt.Errorf("instance watch: unexpected status %d", status)
		}
		if err != nil {
			return false, err
		}
		for _, row := range delta.Rows {
			apply(row)
		}
		version = delta.Version
		return len(delta.Rows) > 0, nil
	})
}
