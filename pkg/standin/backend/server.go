// Package backend owns the backend server stand-in: a small HTTP server that
// holds leafs of a few indexes at several snapshot versions, runs leaf
// requests in a fixed number of slots behind a connection limit, sheds load,
// drains, starts cold, honours deadlines, and takes faults (slow, freeze,
// refuse, kill) from its control endpoint. It is a stand-in at the
// interface, not a simulator of a cluster.
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

// PathControl takes faults from tests and operators of the stand-in.
const PathControl = "/control"

// shedWait is how long a leaf request waits for a slot before the backend
// server sheds it unrun.
const shedWait = 20 * time.Millisecond

// leaf is what the backend server holds of one index.
type leaf struct {
	dataset   string
	shards    map[string]bool
	snapshots map[int64]bool
}

// Server is one backend server stand-in.
type Server struct {
	set     *settings.Backend
	srv     *service.Server
	ln      *limitListener
	log     *logrus.Entry
	metrics *metrics.Set
	slots   chan struct{}
	waiting atomic.Int64
	started time.Time
	report  func(wire.Instance)
	onKill  func()

	mu       sync.Mutex
	leafs    map[string]*leaf
	faults   Faults
	thawed   chan struct{}
	draining bool
	dead     bool
	holds    map[string]holdRecord
	beds     map[string]int
	health   []healthAt
	// lastReply feeds the cross_replies fault.
	lastReply *wire.LeafResponse
	// searches holds the searches at work, each with what ends it early.
	searches map[searchKey]context.CancelFunc
	// refusedDraining holds the IDs of the requests refused while draining.
	refusedDraining map[string]bool

	received *metrics.Counter
	executed *metrics.Counter
	shed     *metrics.Counter
	holdsRun *metrics.Counter
	replayed *metrics.Counter
	late     *metrics.Counter
	stopped  *metrics.Counter
}

type healthAt struct {
	at    time.Time
	state string
}

// New builds a backend server from checked settings. report, when not nil,
// tells the platform stand-in of the server's state, as the platform would
// learn of it itself.
func New(s *settings.Backend, log *logrus.Entry, report func(wire.Instance)) (*Server, error) {
	b := &Server{
		set:     s,
		log:     log,
		metrics: metrics.NewSet(),
		slots:   make(chan struct{}, s.Slots),
		leafs:   map[string]*leaf{},
		holds:   map[string]holdRecord{},
		beds:    map[string]int{},
		thawed:  closedChan(),
		report:  report,

		searches:        map[searchKey]context.CancelFunc{},
		refusedDraining: map[string]bool{},
	}
	for _, l := range s.Leafs {
		b.leafs[l.Index] = newLeaf(l)
	}
	b.received = b.metrics.NewCounter("backend_leaf_requests_total")
	b.executed = b.metrics.NewCounter("backend_leaf_executed_total")
	b.shed = b.metrics.NewCounter("backend_leaf_shed_total")
	b.holdsRun = b.metrics.NewCounter("backend_holds_executed_total")
	b.replayed = b.metrics.NewCounter("backend_holds_replayed_total")
	b.late = b.metrics.NewCounter("backend_leaf_past_deadline_total")
	b.stopped = b.metrics.NewCounter("backend_leaf_cancelled_total")
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

func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Start serves in the background and reports the server live.
func (b *Server) Start() {
	b.started = time.Now()
	b.srv.Start()
	b.setHealth("live")
	b.announce(wire.InstanceLive)
}

// Addr is the bound address.
func (b *Server) Addr() string { return b.srv.Addr() }

// Name is the backend server's name.
func (b *Server) Name() string { return b.set.Name }

// Executed counts leaf requests that ran; HoldsExecuted counts holds that
// changed state.
func (b *Server) Executed() uint64      { return b.executed.Get() }
func (b *Server) HoldsExecuted() uint64 { return b.holdsRun.Get() }

// Received counts leaf requests that reached the handler.
func (b *Server) Received() uint64 { return b.received.Get() }

// RefusedWhileDraining lists the IDs of the requests of which at least one
// leaf request was refused because the server is draining. A request that
// asks several of its shards counts once.
func (b *Server) RefusedWhileDraining() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.refusedDraining))
}

// Stop drains and stops gracefully: new leaf requests are refused unrun
// while requests in flight finish.
func (b *Server) Stop(ctx context.Context) error {
	b.Drain()
	for len(b.slots) > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return b.srv.StopIdle(ctx)
}

func (b *Server) announce(state wire.InstanceState) {
	if b.report != nil {
		b.report(wire.Instance{Name: b.set.Name, Zone: b.set.Zone, Addr: b.Addr(), State: state})
	}
}

func (b *Server) setHealth(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health = append(b.health, healthAt{at: time.Now(), state: state})
}

// laggedHealth is what the health endpoint says: the state as it was
// health_lag_ms ago, as real health endpoints lag.
func (b *Server) laggedHealth() string {
	asOf := time.Now().Add(-settings.Duration(b.set.HealthLagMs))
	b.mu.Lock()
	defer b.mu.Unlock()
	state := "starting"
	for _, h := range b.health {
		if h.at.After(asOf) {
			break
		}
		state = h.state
	}
	return state
}

func (b *Server) handleHealth(_ context.Context, c *app.RequestContext) {
	b.waitThawed()
	c.JSON(200, wire.Health{Name: b.set.Name, State: b.laggedHealth(), InFlight: int64(len(b.slots))})
}

// State is the dump served at /debug/state.
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
		Name: b.set.Name, Zone: b.set.Zone, Faults: b.faults, Draining: b.draining,
		Snapshots: idx, Holds: len(b.holds), SlotsBusy: len(b.slots),
		ConnsOpen: b.ln.open.Load(), ConnsRefused: b.ln.refused.Load(),
		Received: b.received.Get(), Executed: b.executed.Get(), Shed: b.shed.Get(),
	}
}

// State is the backend server stand-in's state dump.
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
