// Package entry implements the entry instance that is used with this project's own
// backend servers and configuration service. It authenticates client applications
// against their brand deployment, pins one index snapshot version per query, and
// answers with the hits and with the lists of covered and missing shards. Package
// gateway runs the requests; this package translates between the gateway, callers,
// backend servers and the deployment configuration.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/indigoyoke/indigoyoke/pkg/configwatch"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/relay"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// Paths of the API for callers.
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

// dialTimeout is the maximum time to open a connection to a backend server.
const dialTimeout = 200 * time.Millisecond

// logFlushTimeout is the maximum time Stop spends writing buffered log lines.
const logFlushTimeout = 100 * time.Millisecond

// decisionLogOptions limits the rate of log lines about the gateway's decisions. When
// many requests fail, a few lines of each kind are written per second, together with
// the number of suppressed lines.
var decisionLogOptions = oplog.Options{LinesPerSecond: 5, Burst: 20, Buffer: 512}

// Entry is one entry instance.
type Entry struct {
	settings *settings.Entry
	log      *logrus.Entry
	metrics  *metrics.Set
	srv      *service.Server
	watcher  *configwatch.Watcher
	// relay exchanges configurations with other entry instances; nil if it is not configured.
	relay   *relay.Relay
	table   *replica.Table
	gateway *gateway.Gateway
	// decisions is the rate-limited log of the gateway's decisions.
	decisions *oplog.Log
	// plan is the routing plan of the configuration in force; nil before the first one.
	plan           atomic.Pointer[routingPlan]
	drainTimes     *drainTimes
	platformClient *service.Client
	pauseDetector  *pauseDetector
	// state is the lifecycle state: stateServing, stateLeaving or stateStopping.
	state atomic.Int32
	// seq is the number of request IDs issued so far.
	seq    atomic.Uint64
	cancel context.CancelFunc
	wg     sync.WaitGroup
	stats  *entryMetrics
}

// New builds an entry instance from validated settings and binds its addresses.
func New(s *settings.Entry, log *logrus.Entry) (*Entry, error) {
	e := &Entry{settings: s, log: log, metrics: metrics.NewSet(), table: replica.NewTable(tableOptions(s)), drainTimes: newDrainTimes()}
	e.stats = newEntryMetrics(e.metrics)
	e.pauseDetector = newPauseDetector(settings.Duration(s.PauseLimitMs))
	e.decisions = oplog.New(log.Logger.Out, log.Data, decisionLogOptions)
	client, err := service.NewClient(s.ConnsPerBackend, dialTimeout)
	if err != nil {
		return nil, err
	}
	leafs := &leafClient{client: client, stats: e.stats, onDraining: e.markDraining, cancelPermits: make(map[string]chan struct{})}
	if e.gateway, err = gateway.New(gatewayOptions(s), e.table, leafs, e.decisions, gateway.NewStats(e.metrics)); err != nil {
		return nil, err
	}
	e.gateway.Quarantine().StartProbation(settings.Duration(s.ProbationMs), time.Now())
	e.gateway.Quarantine().SetMaxDuration(settings.Duration(s.MaxQuarantineMs), time.Now())
	if e.platformClient, err = service.NewClient(2, time.Second); err != nil {
		return nil, err
	}
	if e.watcher, err = configwatch.NewWatcher(s.Platform, s.Zone, e.metrics, log); err != nil {
		return nil, err
	}
	e.watcher.OnApply(e.applyConfig)
	if s.RelayListen != "" {
		o := relay.Options{Listen: s.RelayListen, Peers: s.Peers, Secret: s.RelaySecret, Interval: settings.Duration(s.RelayIntervalMs)}
		if e.relay, err = relay.New(o, e.watcher, e.gateway.Quarantine(), e.metrics, log); err != nil {
			return nil, err
		}
	}
	e.metrics.NewGauge("entry_requests_in_flight", func() float64 { return float64(e.gateway.InFlight()) })
	e.metrics.NewGauge("entry_config_version", func() float64 { return float64(e.watcher.Version()) })
	if e.srv, err = service.Listen(s.Listen, settings.Duration(s.MaxTimeoutMs), e.metrics, e.State, nil); err != nil {
		return nil, err
	}
	e.routes()
	return e, nil
}

// Start begins to watch the configuration, run the periodic tasks and serve callers.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.pauseDetector.resetTick()
	// Stop does not wait for the watches: they write nothing, and their
	// long polls end within the watch timeout.
	go e.watcher.Run(ctx)
	go configwatch.WatchInstances(ctx, e.platformClient, e.settings.Platform, e.settings.Zone, e.log, e.handleInstanceUpdate)
	e.wg.Add(1)
	go func() { defer e.wg.Done(); e.runTicks(ctx) }()
	if e.relay != nil {
		e.wg.Add(1)
		go func() { defer e.wg.Done(); e.relay.Run(ctx) }()
	}
	e.srv.Start()
	e.log.WithField("addr", e.Addr()).Info("serving")
}

// Addr returns the address on which callers are served.
func (e *Entry) Addr() string { return e.srv.Addr() }

// Name returns the entry instance's name.
func (e *Entry) Name() string { return e.settings.Name }

// RelayAddr returns the address on which the relay listens, or "" without a relay.
func (e *Entry) RelayAddr() string {
	if e.relay == nil {
		return ""
	}
	return e.relay.Addr()
}

// SetPeers replaces the peers that the relay queries.
func (e *Entry) SetPeers(peers []string) {
	if e.relay != nil {
		e.relay.SetPeers(peers)
	}
}

// Zone returns the entry instance's availability zone.
func (e *Entry) Zone() string { return e.settings.Zone }

// Watcher returns the configuration watcher, for tests and the state dump.
func (e *Entry) Watcher() *configwatch.Watcher { return e.watcher }

// Stop shuts the entry instance down gracefully. The health endpoint reports
// "leaving" at once so that the load balancer stops sending requests. Requests are
// still served for the lame-duck period; after it, new requests are refused
// without being run and with a retry hint. Stop waits for every request in flight
// to finish before it closes the listener.
func (e *Entry) Stop(ctx context.Context) error {
	e.state.Store(stateLeaving)
	e.log.Info("leaving")
	service.Sleep(ctx, settings.Duration(e.settings.LameDuckMs))
	e.state.Store(stateStopping)
	for e.gateway.InFlight() > 0 && ctx.Err() == nil {
		service.Sleep(ctx, 5*time.Millisecond)
	}
	err := e.srv.StopIdle(ctx)
	e.cancel()
	e.wg.Wait()
	e.gateway.Close()
	e.log.Info("stopped")
	e.decisions.Close(logFlushTimeout)
	return err
}

// State returns the state dump served at /debug/state.
func (e *Entry) State() any {
	return State{
		Name:           e.settings.Name,
		Zone:           e.settings.Zone,
		Lifecycle:      [...]string{"serving", "leaving", "stopping"}[e.state.Load()],
		Settling:       e.pauseDetector.isSettling(),
		ConfigVersion:  e.watcher.Version(),
		InFlight:       e.gateway.InFlight(),
		Backends:       e.table.Dump(time.Now()),
		EvacuatedZones: e.table.EvacuatedZones(),
		Quarantine:     e.gateway.Quarantine().Dump(time.Now()),
	}
}

// State is the entry instance's state dump.
type State struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Lifecycle is "serving", "leaving" or "stopping".
	Lifecycle string `json:"lifecycle"`
	// Settling reports whether requests are refused after a pause of the process.
	Settling      bool                `json:"settling_after_pause"`
	ConfigVersion int64               `json:"config_version"`
	InFlight      int64               `json:"in_flight"`
	Backends      []replica.LeafState `json:"backends"`
	// EvacuatedZones lists the availability zones whose backend servers get no new requests.
	EvacuatedZones []string `json:"evacuated"`
	// Quarantine lists the requests that are suspected or known to crash backend servers.
	Quarantine []quarantine.State `json:"quarantine"`
}
