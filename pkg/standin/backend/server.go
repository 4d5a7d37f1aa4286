// Package backend implements a test double of a backend server: a small HTTP server that
// hosts leafs of a few indexes at several snapshot versions. It runs leaf requests in a
// fixed number of slots behind a connection limit, sheds load, drains, has a cold start,
// honours deadlines and cancel requests, and injects faults (such as slow, freeze, refuse
// and kill) on request at its control endpoint. It replaces the real server only at its
// HTTP interface and does not simulate a cluster.
package backend

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/sirupsen/logrus"

	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// PathControl is the path at which tests and operators inject faults.
const PathControl = "/control"

// maxSlotWait is the maximum time that a leaf request waits for a slot. After that, the
// server sheds it without running it.
const maxSlotWait = 20 * time.Millisecond

// leaf is the part of one index that the backend server hosts.
type leaf struct {
	dataset   string
	shards    map[string]bool
	snapshots map[int64]bool
}

// Server is a test double of a backend server.
type Server struct {
	settings *settings.Backend
	srv      *service.Server
	ln       *limitListener
	log      *logrus.Entry
	metrics  *metrics.Set
	// slots holds one element for each running leaf request.
	slots chan struct{}
	// waitingForSlot is the number of leaf requests that wait for a slot.
	waitingForSlot atomic.Int64
	started        time.Time
	// report sends the server's state to the platform stand-in; it may be nil.
	report func(wire.Instance)
	onKill func()

	mu sync.Mutex
	// leafs holds the hosted leafs by index.
	leafs  map[string]*leaf
	faults Faults
	// thawed is closed unless the server is frozen.
	thawed   chan struct{}
	draining bool
	killed   bool
	// holdRecords holds the executed holds by idempotency key.
	holdRecords map[string]holdRecord
	// bedsLeft holds the number of free beds by item; a missing item has bedsPerItem.
	bedsLeft map[string]int
	// healthChanges holds the states so far, oldest first.
	healthChanges []healthChange
	// lastReply is the previous reply, for the cross_replies fault.
	lastReply *wire.LeafResponse
	// activeSearches holds the cancel functions of the running searches.
	activeSearches map[searchKey]context.CancelFunc
	// refusedWhileDraining holds the IDs of the requests refused while draining.
	refusedWhileDraining map[string]bool

	received      *metrics.Counter
	executed      *metrics.Counter
	shed          *metrics.Counter
	holdsExecuted *metrics.Counter
	holdsReplayed *metrics.Counter
	pastDeadline  *metrics.Counter
	cancelled     *metrics.Counter
}

// healthChange is the state that the server has had since a point in time.
type healthChange struct {
	at    time.Time
	state string
}

// New returns a backend server that listens but does not serve yet. The settings must be
// valid. If report is not nil, the server calls it with each change of its state, in place
// of the platform's own monitoring of instances.
func New(s *settings.Backend, log *logrus.Entry, report func(wire.Instance)) (*Server, error) {
	b := &Server{
		settings:    s,
		log:         log,
		metrics:     metrics.NewSet(),
		slots:       make(chan struct{}, s.Slots),
		leafs:       map[string]*leaf{},
		holdRecords: map[string]holdRecord{},
		bedsLeft:    map[string]int{},
		thawed:      closedChan(),
		report:      report,

		activeSearches:       map[searchKey]context.CancelFunc{},
		refusedWhileDraining: map[string]bool{},
	}
	for _, l := range s.Leafs {
		b.leafs[l.Index] = newLeaf(l)
	}
	b.received = b.metrics.NewCounter("backend_leaf_requests_total")
	b.executed = b.metrics.NewCounter("backend_leaf_executed_total")
	b.shed = b.metrics.NewCounter("backend_leaf_shed_total")
	b.holdsExecuted = b.metrics.NewCounter("backend_holds_executed_total")
	b.holdsReplayed = b.metrics.NewCounter("backend_holds_replayed_total")
	b.pastDeadline = b.metrics.NewCounter("backend_leaf_past_deadline_total")
	b.cancelled = b.metrics.NewCounter("backend_leaf_cancelled_total")
	wrap := func(ln net.Listener) net.Listener {
		b.ln = newLimitListener(ln, s.MaxConns)
		return b.ln
	}
	srv, err := service.Listen(s.Listen, settings.Duration(s.DrainMs)+time.Second, b.metrics, b.State, wrap)
	if err != nil {
		return nil, err
	}
	b.srv = srv
	b.metrics.NewGauge("backend_conns_open", func() float64 { return float64(b.ln.open.Load()) })
	b.metrics.NewGauge("backend_conns_refused", func() float64 { return float64(b.ln.refused.Load()) })
	srv.Hertz.POST(wire.PathLeaf, b.handleLeaf)
	srv.Hertz.POST(wire.PathLeafCancel, b.handleCancel)
	srv.Hertz.POST(PathControl, b.handleControl)
	srv.Hertz.GET(service.PathHealth, b.handleHealth)
	return b, nil
}

func newLeaf(spec settings.BackendLeafSpec) *leaf {
	l := &leaf{dataset: spec.Dataset, shards: map[string]bool{}, snapshots: map[int64]bool{}}
	for _, s := range spec.Shards {
		l.shards[s] = true
	}
	for _, v := range spec.Snapshots {
		l.snapshots[v] = true
	}
	return l
}

// closedChan returns a closed channel.
func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Start serves in the background and reports the server as live.
func (b *Server) Start() {
	b.started = time.Now()
	b.srv.Start()
	b.recordHealth("live")
	b.reportState(wire.InstanceLive)
}

// Addr returns the address that the server listens on.
func (b *Server) Addr() string { return b.srv.Addr() }

// Name returns the name of the backend server.
func (b *Server) Name() string { return b.settings.Name }

// Executed returns the number of leaf requests that ran.
func (b *Server) Executed() uint64 { return b.executed.Get() }

// HoldsExecuted returns the number of holds that ran, without those answered from the
// record of an earlier one.
func (b *Server) HoldsExecuted() uint64 { return b.holdsExecuted.Get() }

// Received returns the number of leaf requests that arrived, whether they ran or not.
func (b *Server) Received() uint64 { return b.received.Get() }

// RefusedWhileDraining returns the IDs of the requests of which at least one leaf request
// was refused because the server is draining. A request to several shards of the server
// counts once.
func (b *Server) RefusedWhileDraining() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.refusedWhileDraining))
}

// Stop shuts down gracefully: it drains the server, so that new leaf requests are refused
// without running, and waits until the requests in flight have finished.
func (b *Server) Stop(ctx context.Context) error {
	b.Drain()
	for len(b.slots) > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return b.srv.StopIdle(ctx)
}

// reportState reports the server to the platform stand-in in the given state.
func (b *Server) reportState(state wire.InstanceState) {
	if b.report != nil {
		b.report(wire.Instance{Name: b.settings.Name, Zone: b.settings.Zone, Addr: b.Addr(), State: state})
	}
}

// recordHealth records a change of the state shown by the health endpoint.
func (b *Server) recordHealth(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthChanges = append(b.healthChanges, healthChange{at: time.Now(), state: state})
}

// laggedHealth returns the state shown by the health endpoint. It is the state as of
// health_lag_ms ago, because real health endpoints lag too.
func (b *Server) laggedHealth() string {
	asOf := time.Now().Add(-settings.Duration(b.settings.HealthLagMs))
	b.mu.Lock()
	defer b.mu.Unlock()
	state := "starting"
	for _, h := range b.healthChanges {
		if h.at.After(asOf) {
			break
		}
		state = h.state
	}
	return state
}

func (b *Server) handleHealth(_ context.Context, c *app.RequestContext) {
	b.waitUntilThawed()
	c.JSON(200, wire.Health{Name: b.settings.Name, State: b.laggedHealth(), InFlight: int64(len(b.slots))})
}

// State returns the state dump served at /debug/state.
func (b *Server) State() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	idx := map[string][]int64{}
	for name, l := range b.leafs {
		for v := range l.snapshots {
			idx[name] = append(idx[name], v)
		}
	}
	return State{
		Name: b.settings.Name, Zone: b.settings.Zone, Faults: b.faults, Draining: b.draining,
		Snapshots: idx, Holds: len(b.holdRecords), SlotsBusy: len(b.slots),
		ConnsOpen: b.ln.open.Load(), ConnsRefused: b.ln.refused.Load(),
		Received: b.received.Get(), Executed: b.executed.Get(), Shed: b.shed.Get(),
	}
}

// State is the state dump of a backend server.
type State struct {
	Name         string             `json:"name"`
	Zone         string             `json:"zone"`
	Faults       Faults             `json:"faults"`
	Draining     bool               `json:"draining"`
	Snapshots    map[string][]int64 `json:"snapshots"`
	Holds        int                `json:"holds"`
	SlotsBusy    int                `json:"slots_busy"`
	ConnsOpen    int64              `json:"conns_open"`
	ConnsRefused int64              `json:"conns_refused"`
	Received     uint64             `json:"received"`
	Executed     uint64             `json:"executed"`
	Shed         uint64             `json:"shed"`
}
