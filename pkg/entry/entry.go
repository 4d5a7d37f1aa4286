// Package entry owns the entry instance: it authenticates client
// applications against their brand deployment, pins one index snapshot
// version per query, fans the query out to one leaf of every shard on the
// backend servers within the caller's deadline, gathers the replies and
// answers with hits and the shards covered and missing. State lives in
// tables (backend servers, requests in flight); systems in tick.go run over
// them each tick.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"github.com/indigoyoke/indigoyoke/pkg/configwatch"
	"github.com/indigoyoke/indigoyoke/pkg/relay"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// Paths callers use.
const (
	PathSearch = "/v1/search"
	PathHold   = "/v1/hold"
)

// Lifecycle states of an entry instance.
const (
	stateServing  int32 = 0
	stateLeaving  int32 = 1
	stateStopping int32 = 2
)

// dialTimeout bounds a new connection to a backend server.
const dialTimeout = 200 * time.Millisecond

// Entry is one entry instance.
type Entry struct {
	set          *settings.Entry
	log          *logrus.Entry
	metrics      *metrics.Set
	srv          *service.Server
	watcher      *configwatch.Watcher
	relay        *relay.Relay
	backends     *backendTable
	budget       *replica.Budget
	pool         *ants.Pool
	client       *service.Client
	platformHTTP *service.Client
	pause        *pauseGuard
	state        atomic.Int32
	inFlight     atomic.Int64
	seq          atomic.Uint64
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	stats        entryMetrics
}

// New builds an entry instance from checked settings.
func New(s *settings.Entry, log *logrus.Entry) (*Entry, error) {
	connShare := func(b topology.BackendServer) int { return share(b, s.EntryInstances, s.ConnsPerBackend) }
	e := &Entry{set: s, log: log, metrics: metrics.NewSet(), backends: newBackendTable(connShare), budget: newHedgeBudget(s.HedgeBudgetPct)}
	e.pause = newPauseGuard(settings.Duration(s.PauseLimitMs))
	var err error
	if e.pool, err = ants.NewPool(s.Workers, ants.WithNonblocking(true)); err != nil {
		return nil, err
	}
	if e.client, err = service.NewClient(s.ConnsPerBackend, dialTimeout); err != nil {
		return nil, err
	}
	if e.platformHTTP, err = service.NewClient(2, time.Second); err != nil {
		return nil, err
	}
	if e.watcher, err = configwatch.NewWatcher(s.Platform, s.Zone, e.metrics, log); err != nil {
		return nil, err
	}
	e.watcher.OnApply(e.followConfig)
	if s.RelayListen != "" {
		o := relay.Options{Listen: s.RelayListen, Peers: s.Peers, Secret: s.RelaySecret, Interval: settings.Duration(s.RelayIntervalMs)}
		if e.relay, err = relay.New(o, e.watcher, e.metrics, log); err != nil {
			return nil, err
		}
	}
	e.stats = newEntryMetrics(e.metrics)
	e.metrics.NewGauge("entry_requests_in_flight", func() float64 { return float64(e.inFlight.Load()) })
	e.metrics.NewGauge("entry_config_version", func() float64 { return float64(e.watcher.Version()) })
	if e.srv, err = service.Listen(s.Listen, settings.Duration(s.MaxTimeoutMs), e.metrics, e.State, nil); err != nil {
		return nil, err
	}
	e.routes()
	return e, nil
}

// Start begins watching the configuration, running the tick systems and
// serving callers.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.pause.start()
	// The watches are not waited for at stop: they write nothing, and
	// their long polls end by themselves within the watch timeout.
	go e.watcher.Run(ctx)
	go configwatch.WatchInstances(ctx, e.platformHTTP, e.set.Platform, e.set.Zone, e.followInstance)
	e.wg.Add(1)
	go func() { defer e.wg.Done(); e.runTicks(ctx) }()
	if e.relay != nil {
		e.wg.Add(1)
		go func() { defer e.wg.Done(); e.relay.Run(ctx) }()
	}
	e.srv.Start()
	e.log.WithField("addr", e.Addr()).Info("serving")
}

// Addr is the bound address.
func (e *Entry) Addr() string { return e.srv.Addr() }

// Name is the entry instance's name.
func (e *Entry) Name() string { return e.set.Name }

// RelayAddr is the relay's bound address, "" without a relay.
func (e *Entry) RelayAddr() string {
	if e.relay == nil {
		return ""
	}
	return e.relay.Addr()
}

// SetPeers replaces the peers the relay asks.
func (e *Entry) SetPeers(peers []string) {
	if e.relay != nil {
		e.relay.SetPeers(peers)
	}
}

// Zone is the entry instance's availability zone.
func (e *Entry) Zone() string { return e.set.Zone }

// Watcher exposes the configuration watch, for tests and the state dump.
func (e *Entry) Watcher() *configwatch.Watcher { return e.watcher }

// Stop is the graceful stop. The health endpoint says leaving at once so
// the balancer stops sending; requests keep being served for the drain
// grace, then new ones are refused unrun with a retry hint, and Stop waits
// for every request in flight to finish before it closes the listener.
func (e *Entry) Stop(ctx context.Context) error {
	e.state.Store(stateLeaving)
	e.log.Info("leaving")
	service.Sleep(ctx, settings.Duration(e.set.DrainGraceMs))
	e.state.Store(stateStopping)
	for e.inFlight.Load() > 0 && ctx.Err() == nil {
		service.Sleep(ctx, 5*time.Millisecond)
	}
	err := e.srv.StopIdle(ctx)
	e.cancel()
	e.wg.Wait()
	e.pool.Release()
	e.log.Info("stopped")
	return err
}

// State is the dump served at /debug/state.
func (e *Entry) State() any {
	return State{
		Name:          e.set.Name,
		Zone:          e.set.Zone,
		Lifecycle:     [...]string{"serving", "leaving", "stopping"}[e.state.Load()],
		Settling:      e.pause.check(),
		ConfigVersion: e.watcher.Version(),
		InFlight:      e.inFlight.Load(),
		PoolRunning:   e.pool.Running(),
		Backends:      e.backends.dump(),
	}
}

// State is the entry instance's state dump.
type State struct {
	Name          string         `json:"name"`
	Zone          string         `json:"zone"`
	Lifecycle     string         `json:"lifecycle"`
	Settling      bool           `json:"settling_after_pause"`
	ConfigVersion int64          `json:"config_version"`
	InFlight      int64          `json:"in_flight"`
	PoolRunning   int            `json:"pool_running"`
	Backends      []BackendState `json:"backends"`
}
