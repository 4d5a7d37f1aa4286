// Package entry owns the entry instance of an installation of the project's
// own: it authenticates client applications against their brand deployment, pins
// one index snapshot version per query, and answers with hits and the shards
// covered and missing. The gateway runs the requests; this package translates
// between it, callers, backend servers and the deployment configuration.
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

// logDrain is how long buffered log lines may take to be written at the end.
const logDrain = 100 * time.Millisecond

// decisionLog bounds the lines about decisions: a storm of failures writes a few
// lines a second of each kind, with the number of those left out.
var decisionLog = oplog.Options{LinesPerSecond: 5, Burst: 20, Buffer: 512}

// Entry is one entry instance.
type Entry struct {
	set          *settings.Entry
	log          *logrus.Entry
	metrics      *metrics.Set
	srv          *service.Server
	watcher      *configwatch.Watcher
	relay        *relay.Relay
	table        *replica.Table
	gateway      *gateway.Gateway
	decisions    *oplog.Log
	plan         atomic.Pointer[plan]
	marks        *leavingMarks
	platformHTTP *service.Client
	pause        *pauseGuard
	state        atomic.Int32
	seq          atomic.Uint64
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	stats        *entryMetrics
}

// New builds an entry instance from checked settings.
func New(s *settings.Entry, log *logrus.Entry) (*Entry, error) {
	e := &Entry{set: s, log: log, metrics: metrics.NewSet(), table: replica.NewTable(tableOptions(s)), marks: newLeavingMarks()}
	e.stats = newEntryMetrics(e.metrics)
	e.pause = newPauseGuard(settings.Duration(s.PauseLimitMs))
	e.decisions = oplog.New(log.Logger.Out, log.Data, decisionLog)
	client, err := service.NewClient(s.ConnsPerBackend, dialTimeout)
	if err != nil {
		return nil, err
	}
	l := &leafs{client: client, stats: e.stats, leaving: e.backendLeaves, cancels: make(map[string]chan struct{})}
	if e.gateway, err = gateway.New(gatewayOptions(s), e.table, l, e.decisions, gateway.NewStats(e.metrics)); err != nil {
		return nil, err
	}
	e.gateway.Quarantine().SetMaxDuration(settings.Duration(s.MaxQuarantineMs), time.Now())
	if e.platformHTTP, err = service.NewClient(2, time.Second); err != nil {
		return nil, err
	}
	if e.watcher, err = configwatch.NewWatcher(s.Platform, s.Zone, e.metrics, log); err != nil {
		return nil, err
	}
	e.watcher.OnApply(e.followConfig)
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

// Start begins watching the configuration, running the tick systems and
// serving callers.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.pause.start()
	// The watches are not waited for at stop: they write nothing, and
	// their long polls end by themselves within the watch timeout.
	go e.watcher.Run(ctx)
	go configwatch.WatchInstances(ctx, e.platformHTTP, e.set.Platform, e.set.Zone, e.log, e.followInstance)
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
	for e.gateway.InFlight() > 0 && ctx.Err() == nil {
		service.Sleep(ctx, 5*time.Millisecond)
	}
	err := e.srv.StopIdle(ctx)
	e.cancel()
	e.wg.Wait()
	e.gateway.Close()
	e.log.Info("stopped")
	e.decisions.Close(logDrain)
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
		InFlight:      e.gateway.InFlight(),
		Backends:      e.table.Dump(time.Now()),
		Evacuated:     e.table.EvacuatedZones(),
		Quarantine:    e.gateway.Quarantine().Dump(time.Now()),
	}
}

// State is the entry instance's state dump.
type State struct {
	Name          string              `json:"name"`
	Zone          string              `json:"zone"`
	Lifecycle     string              `json:"lifecycle"`
	Settling      bool                `json:"settling_after_pause"`
	ConfigVersion int64               `json:"config_version"`
	InFlight      int64               `json:"in_flight"`
	Backends      []replica.LeafState `json:"backends"`
	// Evacuated are the availability zones whose backend servers are to get nothing.
	Evacuated []string `json:"evacuated"`
	// Quarantine lists the requests that are suspected of ending backend servers, or known to.
	Quarantine []quarantine.State `json:"quarantine"`
}
