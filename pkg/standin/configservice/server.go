// Package configservice owns the stand-in for the services that an installation
// of the project's own only reads: the versioned configuration service (read and
// watch, capped at a read rate, able to go down or stale) and the list of
// live and leaving instances, which lags behind reality. Operators' patches
// reach the configuration service here; entry instances never write to it.
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

// PathControl takes faults from tests and operators of the stand-in.
const PathControl = "/control"

// Mode is the configuration service's fault mode.
type Mode string

// Fault modes a test can set through the control endpoint.
const (
	ModeNormal Mode = "normal"
	ModeDown   Mode = "down"
	ModeStale  Mode = "stale"
)

// Control is the body of a control request. StaleVersion, with ModeStale,
// is the version served; 0 freezes the version current at the switch.
// CutZones lists availability zones whose readers the service cannot reach
// (a partition); it is kept across mode changes until set again.
type Control struct {
	Mode             Mode     `json:"mode"`
	StaleVersion     int64    `json:"stale_version,omitempty"`
	PartitionedZones []string `json:"cut_zones,omitempty"`
}

// Server is the platform stand-in.
type Server struct {
	set     *settings.Platform
	srv     *service.Server
	metrics *metrics.Set
	limiter *rate.Limiter
	mu      sync.Mutex
	history []*topology.Config
	patches []topology.Patch
	mode    Mode
	cut     []string
	stale   *topology.Config
	changed chan struct{}
	events  []instanceEvent
	// waiting counts the open watches of the instance list by the version they know.
	waiting       map[int]int
	calls         *metrics.Counter
	instanceCalls *metrics.Counter
	refused       *metrics.Counter
	accepted      *metrics.Counter
	conflict      *metrics.Counter
}

type instanceEvent struct {
	at   time.Time
	inst wire.Instance
}

// New builds the stand-in from checked settings.
func New(s *settings.Platform) (*Server, error) {
	p := &Server{
		set:     s,
		metrics: metrics.NewSet(),
		limiter: rate.NewLimiter(rate.Limit(s.ReadsPerSecond), s.ReadsPerSecond/10+1),
		mode:    ModeNormal,
		changed: make(chan struct{}),
		waiting: make(map[int]int),
	}
	initial := s.Configuration.Clone()
	if initial.Version == 0 {
		initial.Version = 1
	}
	p.history = []*topology.Config{initial}
	p.calls = p.metrics.NewCounter("platform_calls_total")
	p.instanceCalls = p.metrics.NewCounter("platform_instance_calls_total")
	p.refused = p.metrics.NewCounter("platform_reads_refused_total")
	p.accepted = p.metrics.NewCounter(`platform_patches_total{result="accepted"}`)
	p.conflict = p.metrics.NewCounter(`platform_patches_total{result="refused"}`)
	srv, err := service.Listen(s.Listen, time.Second, p.metrics, p.State, nil)
	if err != nil {
		return nil, err
	}
	p.srv = srv
	p.routes()
	return p, nil
}

func (p *Server) routes() {
	h := p.srv.H
	h.GET(wire.PathConfig, p.handleRead)
	h.GET(wire.PathWatch, p.handleWatch)
	h.POST(wire.PathPatch, p.handlePatch)
	h.GET(wire.PathInstances, p.handleInstances)
	h.GET(wire.PathInstanceWatch, p.handleInstanceWatch)
	h.POST(wire.PathReport, p.handleReport)
	h.POST(PathControl, p.handleControl)
}

// Start serves in the background.
func (p *Server) Start() { p.srv.Start() }

// Addr is the bound address.
func (p *Server) Addr() string { return p.srv.Addr() }

// Stop stops serving.
func (p *Server) Stop(ctx context.Context) error { return p.srv.Stop(ctx) }

// Calls is the number of calls counted so far; a waiting watch counts once.
func (p *Server) Calls() uint64 { return p.calls.Get() }

// InstanceCalls is the part of Calls made to the instance list.
func (p *Server) InstanceCalls() uint64 { return p.instanceCalls.Get() }

// Current returns the newest accepted configuration.
func (p *Server) Current() *topology.Config {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history[len(p.history)-1]
}

// SetMode switches the fault mode.
func (p *Server) SetMode(c Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = c.Mode
	p.cut = c.PartitionedZones
	p.stale = nil
	if c.Mode == ModeStale {
		p.stale = p.versionLocked(c.StaleVersion)
	}
}

func (p *Server) versionLocked(v int64) *topology.Config {
	for _, c := range p.history {
		if c.Version == v {
			return c
		}
	}
	return p.history[len(p.history)-1]
}

// served returns what a reader sees now, or a result code when the service
// refuses the read.
func (p *Server) served() (*topology.Config, <-chan struct{}, errcode.Code) {
	p.calls.Inc()
	if !p.limiter.Allow() {
		p.refused.Inc()
		return nil, nil, errcode.PlatformRateLimited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.mode {
	case ModeDown:
		return nil, nil, errcode.PlatformUnavailable
	case ModeStale:
		return p.stale, nil, errcode.OK
	}
	return p.history[len(p.history)-1], p.changed, errcode.OK
}

// partitioned holds a reader of a cut-off zone for the watch timeout and
// refuses it, as a reader behind a partition sees nothing come back.
func (p *Server) partitioned(ctx context.Context, c *app.RequestContext) bool {
	zone := string(c.Query("zone"))
	p.mu.Lock()
	cut := zone != "" && slices.Contains(p.cut, zone)
	p.mu.Unlock()
	if cut {
		service.Sleep(ctx, settings.Duration(p.set.WatchTimeoutMs))
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
		p.conflict.Inc()
		code := errcode.Of(err)
		c.JSON(code.HTTPStatus(), wire.PatchResult{Code: code, Message: err.Error(), Version: p.Current().Version})
		return
	}
	p.accepted.Inc()
	c.JSON(200, wire.PatchResult{Code: errcode.OK, Version: next.Version})
}

// apply is the only writer of history. The compare of BaseVersion and the
// append happen under one lock, so of two patches racing against the same
// version exactly one is accepted and the other gets PatchConflict.
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

// State is the dump served at /debug/state.
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
		Refused:   p.refused.Get(),
		Instances: p.instancesLocked(time.Now()),
	}
}

// State is the platform stand-in's state dump.
type State struct {
	Mode      Mode              `json:"mode"`
	Versions  []int64           `json:"versions"`
	Calls     uint64            `json:"calls"`
	Refused   uint64            `json:"refused"`
	Instances wire.InstanceList `json:"instances"`
}

// Submit applies an operator's patch as the patch endpoint does.
func (p *Server) Submit(patch topology.Patch) (*topology.Config, error) {
	next, err := p.apply(patch)
	if err != nil {
		p.conflict.Inc()
		return nil, err
	}
	p.accepted.Inc()
	return next, nil
}
