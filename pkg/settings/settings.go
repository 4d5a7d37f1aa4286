// Package settings defines the YAML settings of each indigoyoke process: the
// entry instance, the backend server stand-in and the platform stand-in. The
// stand-ins simulate those services for tests and benchmarks. The Load
// functions read a file, refuse unknown fields, fill in defaults and check
// every value. An invalid value is reported as an error with the code
// errcode.SettingsInvalid that names the field, so that no process starts with
// an incomplete configuration.
package settings

import (
	"bytes"
	"os"
	"strconv"

	"gopkg.in/yaml.v3"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// Entry holds the settings of an entry instance. Fields whose names end in Ms
// are in milliseconds.
type Entry struct {
	Name            string `yaml:"name"`
	Zone            string `yaml:"zone"`
	Listen          string `yaml:"listen"`
	Platform        string `yaml:"platform"`
	Workers         int    `yaml:"workers"`
	MaxInFlight     int    `yaml:"max_in_flight"`
	ConnsPerBackend int    `yaml:"conns_per_backend"`
	// EntryInstances is the number of entry instances that share a backend
	// server's connections.
	EntryInstances   int `yaml:"entry_instances"`
	DefaultTimeoutMs int `yaml:"default_timeout_ms"`
	MaxTimeoutMs     int `yaml:"max_timeout_ms"`
	MinTimeoutMs     int `yaml:"min_timeout_ms"`
	// TickMs is the interval of periodic maintenance.
	TickMs int `yaml:"tick_ms"`
	// LameDuckMs is how long requests are still served after the stop signal,
	// so that the load balancer can stop sending them.
	LameDuckMs   int `yaml:"drain_grace_ms"`
	RetryAfterMs int `yaml:"retry_after_ms"`
	// LeavingHoldMs is the minimum time for which a backend server that
	// announced its stop counts as draining, whatever the instance list says.
	LeavingHoldMs int `yaml:"leaving_hold_ms"`
	// PauseLimitMs is the gap between two ticks from which the process is
	// taken to have been paused.
	PauseLimitMs int `yaml:"pause_limit_ms"`
	// Policy is one of the fan-out policies below.
	Policy string `yaml:"policy"`
	// SecondRequestPercent limits second requests to this percentage of requests.
	SecondRequestPercent int `yaml:"hedge_budget_percent"`
	// MinHedgeDelayMs is the minimum delay before a hedged request.
	MinHedgeDelayMs int `yaml:"hedge_min_ms"`
	// MaxQuarantineMs is the maximum time for which a request that crashes
	// backend servers is quarantined, that is, sent to no server.
	MaxQuarantineMs int `yaml:"quarantine_most_ms"`
	// ProbationMs is how long after its start the instance sends requests that no
	// backend server has answered to few servers first, unless its peers know
	// longer which requests crash them.
	ProbationMs int `yaml:"probation_ms"`
	// RelayListen is the UDP address at which peers ask for the configuration;
	// "" disables the relay. Peers lists the relay addresses of the peers, and
	// RelaySecret is the secret that all share.
	RelayListen     string   `yaml:"relay_listen"`
	RelayIntervalMs int      `yaml:"relay_interval_ms"`
	RelaySecret     string   `yaml:"relay_secret"`
	Peers           []string `yaml:"peers"`
	// ZonePenaltyMs is the cost of a leaf call to another zone that is added
	// to its measured latency.
	ZonePenaltyMs float64 `yaml:"zone_penalty_ms"`
}

// Fan-out policies of an entry instance.
const (
	// PolicyHedged selects replicas by measured latency and, within a budget,
	// sends a hedged request to a second replica when the first is slow.
	PolicyHedged = "hedged"
	// PolicyNaive is the baseline: it prefers the instance's own zone, waits
	// for every shard until the deadline and does not hedge.
	PolicyNaive = "naive"
)

// Backend holds the settings of a backend server stand-in.
type Backend struct {
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Listen string `yaml:"listen"`
	// Platform is the address (host:port) to which the server reports its
	// state; "" for none.
	Platform string `yaml:"platform"`
	Slots    int    `yaml:"slots"`
	MaxConns int    `yaml:"max_conns"`
	// ColdStartMs is the duration of the simulated cold start; zero for none.
	ColdStartMs int `yaml:"cold_start_ms"`
	// HealthLagMs is the age of the state that a health check reports.
	HealthLagMs int `yaml:"health_lag_ms"`
	// DrainMs is the wait for requests in flight when the server stops.
	DrainMs int               `yaml:"drain_ms"`
	Leafs   []BackendLeafSpec `yaml:"leafs"`
}

// BackendLeafSpec lists the shards of one index that a backend server holds,
// their snapshot versions and the data set that it simulates.
type BackendLeafSpec struct {
	Index     string   `yaml:"index"`
	Shards    []string `yaml:"shards"`
	Snapshots []int64  `yaml:"snapshots"`
	Dataset   string   `yaml:"dataset"`
}

// Platform holds the settings of the platform stand-in and the initial
// deployment configuration that it publishes.
type Platform struct {
	Listen         string `yaml:"listen"`
	ReadsPerSecond int    `yaml:"reads_per_second"`
	// InstanceLagMs is the delay after which the instance list shows a change.
	InstanceLagMs  int             `yaml:"instance_lag_ms"`
	WatchTimeoutMs int             `yaml:"watch_timeout_ms"`
	Configuration  topology.Config `yaml:"configuration"`
}

// Defaults of omitted fields.
const (
	defaultWorkers              = 2048
	defaultMaxInFlight          = 512
	defaultConnsPerBackend      = 16
	defaultEntryInstances       = 8
	defaultTimeoutMs            = 200
	defaultMaxTimeoutMs         = 30000
	defaultMinTimeoutMs         = 5
	defaultTickMs               = 100
	defaultLameDuckMs           = 500
	defaultRetryAfterMs         = 250
	defaultLeavingHoldMs        = 2000
	defaultPauseLimitMs         = 2000
	defaultSecondRequestPercent = 10
	defaultMinHedgeDelayMs      = 5
	defaultZonePenaltyMs        = 2.0
	defaultRelayIntervalMs      = 1000
	// defaultMaxQuarantineMs is one day.
	defaultMaxQuarantineMs = 24 * 60 * 60 * 1000
	// defaultProbationMs: callers that a restart of all instances has refused
	// come back within seconds.
	defaultProbationMs    = 10 * 1000
	minRelaySecretLength  = 16
	defaultSlots          = 2
	defaultMaxConns       = 25
	defaultReadsPerSecond = 2000
	defaultWatchTimeoutMs = 5000
)

// Data sets that a backend server stand-in can simulate.
const (
	DatasetParts = "parts"
	DatasetBeds  = "beds"
)

// checkable is a settings type with a Check method that fills in defaults and
// validates.
type checkable[T any] interface {
	*T
	Check() error
}

// load reads path into a new T and checks it.
func load[T any, P checkable[T]](path string) (*T, error) {
	var s T
	if err := decode(path, &s); err != nil {
		return nil, err
	}
	return &s, P(&s).Check()
}

// LoadEntry reads and checks the settings file of an entry instance.
func LoadEntry(path string) (*Entry, error) { return load[Entry](path) }

// LoadBackend reads and checks the settings file of a backend server stand-in.
func LoadBackend(path string) (*Backend, error) { return load[Backend](path) }

// LoadPlatform reads and checks the settings file of the platform stand-in.
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

// Check fills in defaults and validates every field.
func (s *Entry) Check() error {
	setDefault(&s.Workers, defaultWorkers)
	setDefault(&s.MaxInFlight, defaultMaxInFlight)
	setDefault(&s.ConnsPerBackend, defaultConnsPerBackend)
	setDefault(&s.EntryInstances, defaultEntryInstances)
	setDefault(&s.DefaultTimeoutMs, defaultTimeoutMs)
	setDefault(&s.MaxTimeoutMs, defaultMaxTimeoutMs)
	setDefault(&s.MinTimeoutMs, defaultMinTimeoutMs)
	setDefault(&s.TickMs, defaultTickMs)
	setDefault(&s.LameDuckMs, defaultLameDuckMs)
	setDefault(&s.RetryAfterMs, defaultRetryAfterMs)
	setDefault(&s.LeavingHoldMs, defaultLeavingHoldMs)
	setDefault(&s.PauseLimitMs, defaultPauseLimitMs)
	setDefault(&s.SecondRequestPercent, defaultSecondRequestPercent)
	setDefault(&s.MinHedgeDelayMs, defaultMinHedgeDelayMs)
	setDefault(&s.RelayIntervalMs, defaultRelayIntervalMs)
	setDefault(&s.MaxQuarantineMs, defaultMaxQuarantineMs)
	setDefault(&s.ProbationMs, defaultProbationMs)
	if s.ZonePenaltyMs == 0 {
		s.ZonePenaltyMs = defaultZonePenaltyMs
	}
	if s.Policy == "" {
		s.Policy = PolicyHedged
	}
	return firstErr(
		oneOf("policy", s.Policy, PolicyHedged, PolicyNaive),
		between("hedge_budget_percent", s.SecondRequestPercent, 0, 100),
		positive("hedge_min_ms", s.MinHedgeDelayMs),
		positive("quarantine_most_ms", s.MaxQuarantineMs),
		positive("probation_ms", s.ProbationMs),
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

// checkRelay checks the settings of the relay, which depend on each other.
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
		atLeast("relay_secret length", len(s.RelaySecret), minRelaySecretLength),
	}
	for i, p := range s.Peers {
		errs = append(errs, hostPort("peers["+strconv.Itoa(i)+"]", p))
	}
	return firstErr(errs...)
}

// Check fills in defaults and validates every field.
func (s *Backend) Check() error {
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.MaxConns, defaultMaxConns)
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

// Check fills in defaults and validates every field, including the initial
// deployment configuration.
func (s *Platform) Check() error {
	setDefault(&s.ReadsPerSecond, defaultReadsPerSecond)
	setDefault(&s.WatchTimeoutMs, defaultWatchTimeoutMs)
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
