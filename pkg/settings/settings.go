// Package settings owns the YAML settings of each indigoyoke process: the
// entry instance, the backend server stand-in and the platform stand-in.
// Load reads a file, refuses unknown fields, fills defaults and checks every
// value; a bad value is an error carrying errcode.SettingsInvalid that names
// the field, so a process never starts half-configured.
package settings

import (
	"bytes"
	"os"
	"strconv"

	"gopkg.in/yaml.v3"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// Entry holds an entry instance's settings. Durations are in milliseconds.
type Entry struct {
	Name             string `yaml:"name"`
	Zone             string `yaml:"zone"`
	Listen           string `yaml:"listen"`
	Platform         string `yaml:"platform"`
	Workers          int    `yaml:"workers"`
	MaxInFlight      int    `yaml:"max_in_flight"`
	ConnsPerBackend  int    `yaml:"conns_per_backend"`
	EntryInstances   int    `yaml:"entry_instances"`
	DefaultTimeoutMs int    `yaml:"default_timeout_ms"`
	MaxTimeoutMs     int    `yaml:"max_timeout_ms"`
	MinTimeoutMs     int    `yaml:"min_timeout_ms"`
	TickMs           int    `yaml:"tick_ms"`
	DrainGraceMs     int    `yaml:"drain_grace_ms"`
	RetryAfterMs     int    `yaml:"retry_after_ms"`
	LeavingHoldMs    int    `yaml:"leaving_hold_ms"`
	PauseLimitMs     int    `yaml:"pause_limit_ms"`
	Policy           string `yaml:"policy"`
	HedgeBudgetPct   int    `yaml:"hedge_budget_percent"`
	HedgeMinMs       int    `yaml:"hedge_min_ms"`
	// MaxQuarantineMs bounds how long a request that ends backend servers is sent to none.
	MaxQuarantineMs int `yaml:"quarantine_most_ms"`
	// RelayListen, when set, is where peers ask for the configuration (UDP);
	// Peers are their relay addresses and RelaySecret what all share.
	RelayListen     string   `yaml:"relay_listen"`
	RelayIntervalMs int      `yaml:"relay_interval_ms"`
	RelaySecret     string   `yaml:"relay_secret"`
	Peers           []string `yaml:"peers"`
	// ZonePenaltyMs is what a leaf call to another zone is taken to cost
	// beyond its measured latency.
	ZonePenaltyMs float64 `yaml:"zone_penalty_ms"`
}

// Fan-out policies of an entry instance.
const (
	// PolicyHedged picks replicas by measured latency and sends a hedged
	// request to a second replica when the first is slow, within a budget.
	PolicyHedged = "hedged"
	// PolicyNaive is the baseline: own zone first, wait for every shard
	// until the deadline, no hedging.
	PolicyNaive = "naive"
)

// Backend holds a backend server stand-in's settings.
type Backend struct {
	Name        string            `yaml:"name"`
	Zone        string            `yaml:"zone"`
	Listen      string            `yaml:"listen"`
	Platform    string            `yaml:"platform"`
	Slots       int               `yaml:"slots"`
	MaxConns    int               `yaml:"max_conns"`
	ColdStartMs int               `yaml:"cold_start_ms"`
	HealthLagMs int               `yaml:"health_lag_ms"`
	DrainMs     int               `yaml:"drain_ms"`
	Leafs       []BackendLeafSpec `yaml:"leafs"`
}

// BackendLeafSpec lists the shards of one index that a backend server holds,
// the snapshot versions it holds for them and the data set it fakes.
type BackendLeafSpec struct {
	Index     string   `yaml:"index"`
	Shards    []string `yaml:"shards"`
	Snapshots []int64  `yaml:"snapshots"`
	Dataset   string   `yaml:"dataset"`
}

// Platform holds the platform stand-in's settings and the initial deployment
// configuration it publishes.
type Platform struct {
	Listen         string          `yaml:"listen"`
	ReadsPerSecond int             `yaml:"reads_per_second"`
	InstanceLagMs  int             `yaml:"instance_lag_ms"`
	WatchTimeoutMs int             `yaml:"watch_timeout_ms"`
	Configuration  topology.Config `yaml:"configuration"`
}

// Defaults for fields left out.
const (
	defaultWorkers       = 2048
	defaultMaxInFlight   = 512
	defaultConns         = 16
	defaultEntries       = 8
	defaultTimeoutMs     = 200
	defaultMaxTimeoutMs  = 30000
	defaultMinTimeoutMs  = 5
	defaultTickMs        = 100
	defaultDrainGraceMs  = 500
	defaultRetryAfterMs  = 250
	defaultLeavingHoldMs = 2000
	defaultPauseLimitMs  = 2000
	defaultHedgeBudget   = 10
	defaultHedgeMinMs    = 5
	defaultZonePenaltyMs = 2.0
	defaultRelayInterval = 1000
	// defaultQuarantineMost is a day, in ms.
	defaultQuarantineMost = 24 * 60 * 60 * 1000
	minRelaySecret        = 16
	defaultSlots          = 2
	defaultMaxConns       = 25
	defaultReadsPerSec    = 2000
	defaultWatchTimeout   = 5000
)

// Datasets a backend server stand-in can fake.
const (
	DatasetParts = "parts"
	DatasetBeds  = "beds"
)

// checked is a settings type whose Check fills defaults and validates.
type checked[T any] interface {
	*T
	Check() error
}

// load reads path into a new T and checks it.
func load[T any, P checked[T]](path string) (*T, error) {
	var s T
	if err := decode(path, &s); err != nil {
		return nil, err
	}
	return &s, P(&s).Check()
}

// LoadEntry reads and checks an entry instance's settings file.
func LoadEntry(path string) (*Entry, error) { return load[Entry](path) }

// LoadBackend reads and checks a backend server stand-in's settings file.
func LoadBackend(path string) (*Backend, error) { return load[Backend](path) }

// LoadPlatform reads and checks the platform stand-in's settings file.
func LoadPlatform(path string) (*Platform, error) { return load[Platform](path) }

func decode(path string, out any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errcode.New(errcode.SettingsInvalid, "read %s: %v", path, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(out); err != nil {
		return errcode.New(errcode.SettingsInvalid, "%s: %v", path, err)
	}
	return nil
}

// Check fills defaults and validates every field.
func (s *Entry) Check() error {
	fillInt(&s.Workers, defaultWorkers)
	fillInt(&s.MaxInFlight, defaultMaxInFlight)
	fillInt(&s.ConnsPerBackend, defaultConns)
	fillInt(&s.EntryInstances, defaultEntries)
	fillInt(&s.DefaultTimeoutMs, defaultTimeoutMs)
	fillInt(&s.MaxTimeoutMs, defaultMaxTimeoutMs)
	fillInt(&s.MinTimeoutMs, defaultMinTimeoutMs)
	fillInt(&s.TickMs, defaultTickMs)
	fillInt(&s.DrainGraceMs, defaultDrainGraceMs)
	fillInt(&s.RetryAfterMs, defaultRetryAfterMs)
	fillInt(&s.LeavingHoldMs, defaultLeavingHoldMs)
	fillInt(&s.PauseLimitMs, defaultPauseLimitMs)
	fillInt(&s.HedgeBudgetPct, defaultHedgeBudget)
	fillInt(&s.HedgeMinMs, defaultHedgeMinMs)
	fillInt(&s.RelayIntervalMs, defaultRelayInterval)
	fillInt(&s.MaxQuarantineMs, defaultQuarantineMost)
	if s.ZonePenaltyMs == 0 {
		s.ZonePenaltyMs = defaultZonePenaltyMs
	}
	if s.Policy == "" {
		s.Policy = PolicyHedged
	}
	return firstErr(
		oneOf("policy", s.Policy, PolicyHedged, PolicyNaive),
		between("hedge_budget_percent", s.HedgeBudgetPct, 0, 100),
		positive("hedge_min_ms", s.HedgeMinMs),
		positive("quarantine_most_ms", s.MaxQuarantineMs),
		positive("zone_penalty_ms", s.ZonePenaltyMs),
		s.checkRelay(),
		required("name", s.Name),
		required("zone", s.Zone),
		hostPort("listen", s.Listen),
		hostPort("platform", s.Platform),
		positive("workers", s.Workers),
		positive("max_in_flight", s.MaxInFlight),
		positive("conns_per_backend", s.ConnsPerBackend),
		positive("entry_instances", s.EntryInstances),
		positive("default_timeout_ms", s.DefaultTimeoutMs),
		atLeast("max_timeout_ms", s.MaxTimeoutMs, s.DefaultTimeoutMs),
		atMost("min_timeout_ms", s.MinTimeoutMs, s.DefaultTimeoutMs),
		positive("tick_ms", s.TickMs),
		atLeast("pause_limit_ms", s.PauseLimitMs, 2*s.TickMs),
	)
}

// checkRelay checks the relay's fields, which go together.
func (s *Entry) checkRelay() error {
	if s.RelayListen == "" {
		if len(s.Peers) > 0 {
			return invalid("relay_listen", "is required with peers")
		}
		return nil
	}
	errs := []error{
		hostPort("relay_listen", s.RelayListen),
		positive("relay_interval_ms", s.RelayIntervalMs),
		atLeast("relay_secret length", len(s.RelaySecret), minRelaySecret),
	}
	for i, p := range s.Peers {
		errs = append(errs, hostPort("peers["+strconv.Itoa(i)+"]", p))
	}
	return firstErr(errs...)
}

// Check fills defaults and validates every field.
func (s *Backend) Check() error {
	fillInt(&s.Slots, defaultSlots)
	fillInt(&s.MaxConns, defaultMaxConns)
	errs := []error{
		required("name", s.Name),
		required("zone", s.Zone),
		hostPort("listen", s.Listen),
		positive("slots", s.Slots),
		positive("max_conns", s.MaxConns),
		nonNegative("cold_start_ms", s.ColdStartMs),
		nonNegative("health_lag_ms", s.HealthLagMs),
	}
	if s.Platform != "" {
		errs = append(errs, hostPort("platform", s.Platform))
	}
	for i, l := range s.Leafs {
		errs = append(errs, l.check(i))
	}
	return firstErr(errs...)
}

func (l BackendLeafSpec) check(i int) error {
	field := func(name string) string { return "leafs[" + strconv.Itoa(i) + "]." + name }
	if l.Dataset != DatasetParts && l.Dataset != DatasetBeds {
		return invalid(field("dataset"), "must be %q or %q, got %q", DatasetParts, DatasetBeds, l.Dataset)
	}
	if len(l.Shards) == 0 {
		return invalid(field("shards"), "must list at least one shard")
	}
	if len(l.Snapshots) == 0 {
		return invalid(field("snapshots"), "must list at least one snapshot version")
	}
	return required(field("index"), l.Index)
}

// Check fills defaults and validates every field, including the initial
// deployment configuration.
func (s *Platform) Check() error {
	fillInt(&s.ReadsPerSecond, defaultReadsPerSec)
	fillInt(&s.WatchTimeoutMs, defaultWatchTimeout)
	if err := firstErr(
		hostPort("listen", s.Listen),
		positive("reads_per_second", s.ReadsPerSecond),
		nonNegative("instance_lag_ms", s.InstanceLagMs),
	); err != nil {
		return err
	}
	if err := s.Configuration.Validate(); err != nil {
		return invalid("configuration", "%v", err)
	}
	return nil
}
