// Package configservice implements a test double of the platform services that an
// installation only reads from. These are the versioned configuration service, with reads
// and watches up to a maximum rate and with the fault modes down and stale, and the list of
// live and leaving instances, which lags behind their real state. Operators submit patches
// to the configuration service here; entry instances never write to it.
package configservice

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/time/rate"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// PathControl is the path at which tests and operators set the fault mode.
const PathControl = "/control"

// Mode is a fault mode of the configuration service.
type Mode string

// Fault modes.
const (
	ModeNormal Mode = "normal"
	// ModeDown refuses every read and patch.
	ModeDown Mode = "down"
	// ModeStale serves an old configuration, like a lagging replica.
	ModeStale Mode = "stale"
)

// Control is the body of a control request. It replaces the fault mode and the list of
// partitioned zones.
type Control struct {
	Mode Mode `json:"mode"`
	// StaleVersion is the version served in ModeStale; 0 means the newest version at the
	// time of the request.
	StaleVersion int64 `json:"stale_version,omitempty"`
	// PartitionedZones lists the availability zones that a network partition separates from
	// the service: their reads and watches get no answer, in any mode. The plain read of the
	// instance list is not affected.
	PartitionedZones []string `json:"cut_zones,omitempty"`
}

// Server is a test double of the platform services.
type Server struct {
	settings *settings.Platform
	srv      *service.Server
	metrics  *metrics.Set
	// limiter enforces the read rate.
	limiter *rate.Limiter
	mu      sync.Mutex
	// history holds the accepted configurations, oldest first, with consecutive versions.
	history []*topology.Config
	// patches holds the patches between the elements of history; patches[i] leads from
	// history[i] to history[i+1].
	patches          []topology.Patch
	mode             Mode
	partitionedZones []string
	// staleConfig is the configuration served in ModeStale, and nil in other modes.
	staleConfig *topology.Config
	// changed is closed and replaced when a patch is accepted.
	changed chan struct{}
	// instanceReports holds the reports of instance states, oldest first.
	instanceReports []instanceReport
	// waitingWatches holds the number of open watches of the instance list by the version
	// that their readers have.
	waitingWatches  map[int]int
	calls           *metrics.Counter
	instanceCalls   *metrics.Counter
	readsRefused    *metrics.Counter
	patchesAccepted *metrics.Counter
	patchesRefused  *metrics.Counter
}

// instanceReport is the state that an instance reported at a point in time.
type instanceReport struct {
	at   time.Time
	inst wire.Instance
}

// New returns a server that listens but does not serve yet. The settings must be valid.
func New(s *settings.Platform) (*Server, error) {
	p := &Server{
		settings:       s,
		metrics:        metrics.NewSet(),
		limiter:        rate.NewLimiter(rate.Limit(s.ReadsPerSecond), s.ReadsPerSecond/10+1),
		mode:           ModeNormal,
		changed:        make(chan struct{}),
		waitingWatches: make(map[int]int),
	}
	initial := s.Configuration.Clone()
	if initial.Version == 0 {
		initial.Version = 1
	}
	p.history = []*topology.Config{initial}
	p.calls = p.metrics.NewCounter("platform_calls_total")
	p.instanceCalls = p.metrics.NewCounter("platform_instance_calls_total")
	p.readsRefused = p.metrics.NewCounter("platform_reads_refused_total")
	p.patchesAccepted = p.metrics.NewCounter(`platform_patches_total{result="accepted"}`)
	p.patchesRefused = p.metrics.NewCounter(`platform_patches_total{result="refused"}`)
	srv, err := service.Listen(s.Listen, time.Second, p.metrics, p.State, nil)
	if err != nil {
		return nil, err
	}
	p.srv = srv
	p.routes()
	return p, nil
}

func (p *Server) routes() {
	h := p.srv.Hertz
	h.GET(wire.PathConfig, p.handleRead)
	h.GET(wire.PathConfigWatch, p.handleWatch)
	h.POST(wire.PathConfigPatch, p.handlePatch)
	h.GET(wire.PathInstances, p.handleInstances)
	h.GET(wire.PathInstanceWatch, p.handleInstanceWatch)
	h.POST(wire.PathInstanceReport, p.handleReport)
	h.POST(PathControl, p.handleControl)
}

// Start serves in the background.
func (p *Server) Start() { p.srv.Start() }

// Addr returns the address that the server listens on.
func (p *Server) Addr() string { return p.srv.Addr() }

// Stop stops serving.
func (p *Server) Stop(ctx context.Context) error { return p.srv.Stop(ctx) }

// Calls returns the number of reads and watches so far, without those from partitioned zones. A
// watch counts once, however long it waits.
func (p *Server) Calls() uint64 { return p.calls.Get() }

// InstanceCalls returns the number of calls so far that read or watch the instance list.
func (p *Server) InstanceCalls() uint64 { return p.instanceCalls.Get() }

// Current returns the newest accepted configuration.
func (p *Server) Current() *topology.Config {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history[len(p.history)-1]
}

// SetMode replaces the fault mode and the list of partitioned zones.
func (p *Server) SetMode(c Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = c.Mode
	p.partitionedZones = c.PartitionedZones
	p.staleConfig = nil
	if c.Mode == ModeStale {
		p.staleConfig = p.configAtLocked(c.StaleVersion)
	}
}

// configAtLocked returns the configuration with version v, or the newest one if there is
// none. p.mu must be held.
func (p *Server) configAtLocked(v int64) *topology.Config {
	for _, c := range p.history {
		if c.Version == v {
			return c
		}
	}
	return p.history[len(p.history)-1]
}

// readConfig counts a call and returns the configuration that a reader gets now and a
// channel that is closed at the next change, which is nil in ModeStale. If the service
// refuses the read, it returns the code of the refusal.
func (p *Server) readConfig() (*topology.Config, <-chan struct{}, errcode.Code) {
	p.calls.Inc()
	if !p.limiter.Allow() {
		p.readsRefused.Inc()
		return nil, nil, errcode.PlatformRateLimited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.mode {
	case ModeDown:
		return nil, nil, errcode.PlatformUnavailable
	case ModeStale:
		return p.staleConfig, nil, errcode.OK
	}
	return p.history[len(p.history)-1], p.changed, errcode.OK
}

// refuseIfPartitioned reports whether the reader is in a partitioned zone. It lets such a
// reader wait for the watch timeout, as no reply crosses a partition, and then refuses the
// call.
func (p *Server) refuseIfPartitioned(ctx context.Context, c *app.RequestContext) bool {
	zone := string(c.Query("zone"))
	p.mu.Lock()
	cut := zone != "" && slices.Contains(p.partitionedZones, zone)
	p.mu.Unlock()
	if cut {
		service.Sleep(ctx, settings.Duration(p.settings.WatchTimeoutMs))
		refuse(c, errcode.PlatformUnavailable)
	}
	return cut
}

func (p *Server) handlePatch(_ context.Context, c *app.RequestContext) {
	var patch topology.Patch
	if err := service.DecodeBody(c, &patch); err != nil {
		refuse(c, errcode.BadRequest)
		return
	}
	next, err := p.apply(patch)
	if err != nil {
		p.patchesRefused.Inc()
		code := errcode.Of(err)
		c.JSON(code.HTTPStatus(), wire.PatchResult{Code: code, Message: err.Error(), Version: p.Current().Version})
		return
	}
	p.patchesAccepted.Inc()
	c.JSON(200, wire.PatchResult{Code: errcode.OK, Version: next.Version})
}

// apply accepts a patch and returns the new configuration. It is the only writer of
// history. It compares BaseVersion and appends under one lock, so that of two concurrent
// patches to the same version exactly one is accepted and the other gets PatchConflict.
func (p *Server) apply(patch topology.Patch) (*topology.Config, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeDown {
		return nil, errcode.New(errcode.PlatformUnavailable, "configuration service is down")
	}
	next, err := p.history[len(p.history)-1].Apply(patch)
	if err != nil {
		return nil, err
	}
	p.history = append(p.history, next)
	p.patches = append(p.patches, patch)
	close(p.changed)
	p.changed = make(chan struct{})
	return next, nil
}

// refuse answers a call with the result code of its refusal.
func refuse(c *app.RequestContext, code errcode.Code) {
	c.JSON(code.HTTPStatus(), wire.PatchResult{Code: code, Message: code.Name()})
}

func (p *Server) handleControl(_ context.Context, c *app.RequestContext) {
	var ctl Control
	if err := service.DecodeBody(c, &ctl); err != nil {
		refuse(c, errcode.BadRequest)
		return
	}
	p.SetMode(ctl)
	c.JSON(200, p.State())
}

// State returns the state dump served at /debug/state.
func (p *Server) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := make([]int64, 0, len(p.history))
	for _, c := range p.history {
		versions = append(versions, c.Version)
	}
	return State{
		Mode:      p.mode,
		Versions:  versions,
		Calls:     p.calls.Get(),
		Refused:   p.readsRefused.Get(),
		Instances: p.instancesLocked(time.Now()),
	}
}

// State is the state dump of the server.
type State struct {
	Mode      Mode              `json:"mode"`
	Versions  []int64           `json:"versions"`
	Calls     uint64            `json:"calls"`
	Refused   uint64            `json:"refused"`
	Instances wire.InstanceList `json:"instances"`
}

// Submit applies an operator's patch in the same way as the patch endpoint.
func (p *Server) Submit(patch topology.Patch) (*topology.Config, error) {
	next, err := p.apply(patch)
	if err != nil {
		p.patchesRefused.Inc()
		return nil, err
	}
	p.patchesAccepted.Inc()
	return next, nil
}
