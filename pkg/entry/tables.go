package entry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// Backend health bookkeeping.
const (
	downAfterFailures = 2
	downCooldown      = time.Second
	// A leaf call that runs into its caller's deadline counts against the
	// backend server only after silentMin and silentFactor times the
	// server's expected latency.
	silentMin    = 100 * time.Millisecond
	silentFactor = 4
)

// outcome is what one leaf call says about its backend server.
type outcome int

const (
	// answered: a reply came, whatever it said.
	answered outcome = iota
	// failed: the connection was refused or lost.
	failed
	// silent: no reply before the caller's deadline.
	silent
	// cancelled: the reply says the work was cancelled, so the call took
	// less than it would have.
	cancelled
)

// backendRow is the entry instance's view of one backend server.
type backendRow struct {
	name         string
	zone         string
	addr         string
	leaving      bool
	leavingSince time.Time
	failures     int
	downUntil    time.Time
	inFlight     atomic.Int64
	latency      latency
	share        int
	permits      permits
}

// BackendState is a backendRow in the state dump. Latencies are in ms.
type BackendState struct {
	Name         string    `json:"name"`
	Zone         string    `json:"zone"`
	Addr         string    `json:"addr"`
	Leaving      bool      `json:"leaving"`
	LeavingSince time.Time `json:"leaving_since,omitzero"`
	Failures     int       `json:"failures"`
	DownUntil    time.Time `json:"down_until,omitzero"`
	ExpectedMs   float64   `json:"expected_ms"`
	HedgeAtMs    float64   `json:"hedge_at_ms"`
	InFlight     int64     `json:"in_flight"`
	ConnShare    int       `json:"conn_share"`
}

// backendTable holds one row per backend server of the configuration in
// force. Systems in tick.go refresh it; the fan-out reads it.
type backendTable struct {
	mu      sync.Mutex
	rows    map[string]*backendRow
	version int64
	// share is how many connections this entry instance may open to a
	// backend server.
	share func(topology.BackendServer) int
}

func newBackendTable(share func(topology.BackendServer) int) *backendTable {
	return &backendTable{rows: map[string]*backendRow{}, share: share}
}

// sync makes the rows match the backend servers of cfg, keeping what is
// known of servers that stay.
func (t *backendTable) sync(cfg *topology.Config) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cfg == nil || cfg.Version == t.version {
		return false
	}
	t.version = cfg.Version
	keep := map[string]bool{}
	for _, b := range cfg.Backends {
		keep[b.Name] = true
		row, ok := t.rows[b.Name]
		if !ok {
			row = &backendRow{name: b.Name}
			t.rows[b.Name] = row
		}
		row.zone, row.addr = b.Zone, b.Addr
		if n := t.share(b); n != row.share {
			row.share, row.permits = n, newPermits(n)
		}
	}
	for name := range t.rows {
		if !keep[name] {
			delete(t.rows, name)
		}
	}
	return true
}

// observe records the outcome of one call to a backend server and reports
// whether the reply showed for the first time that the server is leaving.
func (t *backendTable) observe(row *backendRow, took time.Duration, what outcome, leaving bool, now time.Time) (becameLeaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case what == answered:
		row.answeredIn(ms(took))
	case what == cancelled:
		row.answeredIn(max(ms(took), row.latency.expected))
	case what == failed || row.tooSilent(took):
		row.failures++
		if row.failures >= downAfterFailures {
			row.downUntil = now.Add(downCooldown)
		}
	}
	if leaving && !row.leaving {
		row.leaving, row.leavingSince = true, now
		return true
	}
	return false
}

// answeredIn records one reply's latency in ms.
func (r *backendRow) answeredIn(took float64) {
	r.failures = 0
	r.downUntil = time.Time{}
	r.latency.add(took)
}

// tooSilent reports whether a wait that ended at the caller's deadline says
// something about the server. A caller may give less time than the server
// ever takes; if that counted, a few searches with a 10 ms deadline would
// mark every backend server down and all other callers would find every
// shard missing (IY3002) although nothing is wrong.
func (r *backendRow) tooSilent(waited time.Duration) bool {
	return waited >= max(silentMin, silentFactor*fromMs(r.latency.expected))
}

// hedgeAt returns the row's hedge quantile in ms, 0 while it has fewer than
// a window of samples.
func (t *backendTable) hedgeAt(row *backendRow) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return row.latency.hedgeAt
}

// refreshLatency recomputes every row's derived latency figures.
func (t *backendTable) refreshLatency() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		r.latency.refresh()
	}
}

// markLeaving records what the platform's instance list says. The list
// lags: a server that told us itself that it is leaving would be shown live
// again by an old row, so a leaving mark is cleared only once it is older
// than hold.
func (t *backendTable) markLeaving(name string, leaving bool, now time.Time, hold time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[name]
	if !ok || row.leaving == leaving {
		return false
	}
	if !leaving && now.Sub(row.leavingSince) < hold {
		return false
	}
	row.leaving = leaving
	row.leavingSince = now
	return true
}

// revive clears down marks that have expired and returns those servers.
func (t *backendTable) revive(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, r := range t.rows {
		if !r.downUntil.IsZero() && !now.Before(r.downUntil) {
			r.downUntil = time.Time{}
			out = append(out, r.name)
		}
	}
	return out
}

// dump copies the rows, by name, for the state dump.
func (t *backendTable) dump() []BackendState {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]BackendState, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, BackendState{
			Name: r.name, Zone: r.zone, Addr: r.addr, Leaving: r.leaving, LeavingSince: r.leavingSince,
			Failures: r.failures, DownUntil: r.downUntil, ExpectedMs: r.latency.expected, HedgeAtMs: r.latency.hedgeAt,
			InFlight: r.inFlight.Load(), ConnShare: r.share,
		})
	}
	slices.SortFunc(out, func(a, b BackendState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
