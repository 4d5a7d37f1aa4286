// Package replica keeps track of the leafs of every service and chooses the leaf for each
// request. It combines two sources, neither of which is sufficient: the published list is
// delayed and loses leafs while the store is unavailable, and this instance's own requests show
// changes of a leaf at once, but are only a part of the leaf's load. The package does no I/O,
// and time is passed as an argument, so that recorded load can be replayed.
package replica

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Leaf is a leaf as published.
type Leaf struct {
	// ID identifies the leaf. A restarted leaf may keep its ID; StartedAt then distinguishes the
	// incarnations.
	ID string
	// StartedAt is the start time of this incarnation by the leaf's own clock. Zero means that
	// it is not published.
	StartedAt time.Time
	// Services are the services of the leaf: a single service on the users' platform, or, in an
	// installation of this project's own backend servers, every shard that the backend server
	// holds.
	Services []string
	Addr     string
	Zone     string
	// Slots is the number of requests that the leaf runs at the same time. Zero means that it is
	// not published.
	Slots int
	// MaxConns is the maximum number of connections that this leaf accepts from all callers
	// together. Zero means that the limit published for its services applies.
	MaxConns int
	// Draining means that the leaf finishes its current requests and takes no new ones.
	Draining bool
	// ColdRemaining is how much longer the leaf will be slow after its start.
	ColdRemaining time.Duration
	// Sequence increases with every report of an incarnation.
	Sequence int64
}

// Options are the parameters of placement.
type Options struct {
	// Zone is the availability zone of this instance.
	Zone string
	// Regions maps availability zones to their regions.
	Regions map[string]string
	// LapseGrace is how long leafs that vanished from the list stay in use after the store has
	// recovered from an outage.
	LapseGrace time.Duration
	// ConnsPerLeaf is the maximum number of connections of this instance to one leaf.
	ConnsPerLeaf int
	// Instances is the number of entry instances that share a leaf's connection limit.
	Instances int
	// ReservedConns is the number of connections per leaf that this instance sets aside, out of
	// its limit, for messages other than requests.
	ReservedConns int
	// OtherZoneFactor (at least 1) multiplies the cost of a leaf in another zone than this
	// instance's. OtherZonePenalty is added to that cost.
	OtherZoneFactor  float64
	OtherZonePenalty time.Duration
	// NearestFirst selects the first usable leaf of this instance's zone, or of any other zone if
	// there is none, regardless of its load. It is the baseline against which placement by
	// expected latency is measured.
	NearestFirst bool
	// Budget limits the second requests to each service.
	Budget BudgetOptions
	// TieBreaker returns numbers from 0 to 1 that decide between leafs of nearly equal cost. Nil
	// means random numbers. Replays set it to be reproducible.
	TieBreaker func() float64
}

// drawTie returns the next number of the tie breaker.
func (o *Options) drawTie() float64 {
	if o.TieBreaker == nil {
		return rand.Float64()
	}
	return o.TieBreaker()
}

// Table holds the state of all leafs, services, request classes and zones. It is safe for
// concurrent use.
type Table struct {
	mu    sync.Mutex
	opts  Options
	leafs map[string]*leafRecord
	// lastRecord is the number of the latest leaf record.
	lastRecord uint64
	services   map[string]*service
	classes    map[string]*class
	zones      map[string]*zoneState
	// evacuated are the zones whose leafs get no new requests.
	evacuated map[string]bool
	// departed holds the newest report of each leaf that was removed recently, by ID, so that a
	// delayed older report does not add the leaf again.
	departed map[string]departedLeaf
	// lapseGraceUntil is the time until which leafs that vanish from the list after a store
	// outage are kept.
	lapseGraceUntil time.Time
	// maxConns are the published connection limits, by service name.
	maxConns map[string]int
	// burstLimits is this instance's share of the second requests in excess of the ratio. Zero
	// means that opts.Budget.Burst applies. shards are the services that are used only as shards
	// of gather queries.
	burstLimits BurstLimits
	shards      map[string]bool
	// secondRequestsHeldUntil is the time until which no second requests are sent.
	secondRequestsHeldUntil time.Time
	// allowedRegions are the regions whose leafs may get the requests of a class. A class
	// without regions may use all of them.
	allowedRegions map[string][]string
	// coldLimits are the limits for cold leafs of each service, and warmUp says which instances
	// may use them.
	coldLimits map[string]ColdLimit
	warmUp     WarmUpAssignment
}

// departedLeaf is the last report of a leaf that was removed from the table.
type departedLeaf struct {
	startedAt time.Time
	sequence  int64
	draining  bool
	removedAt time.Time
}

// service is the state of one service.
type service struct {
	leafs  []*leafRecord
	budget *Budget
	// requestGap is the moving average of the time between requests of this instance to the
	// service. lastRequestAt is the time of the latest one.
	requestGap    time.Duration
	lastRequestAt time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts:      opts,
		leafs:     make(map[string]*leafRecord),
		services:  make(map[string]*service),
		classes:   make(map[string]*class),
		zones:     make(map[string]*zoneState),
		evacuated: make(map[string]bool),
		departed:  make(map[string]departedLeaf),
		maxConns:  make(map[string]int),
	}
}

// SetOptions replaces the options.
func (t *Table) SetOptions(opts Options) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opts = opts
	t.applyBudgetOptions()
}

// SetMaxConns sets the published connection limits, by service name.
func (t *Table) SetMaxConns(limits map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = limits
}

// service returns the state of a service and creates it on first use. The caller holds mu.
func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{budget: NewBudget(t.budgetOptions(name))}
		t.services[name] = s
	}
	return s
}

// connLimit returns the maximum number of requests that this instance may have in flight at a
// leaf, each on a connection of its own. It is the smallest of ConnsPerLeaf, the leaf's slots and
// this instance's share of the published connection limit, less ReservedConns, but at least 1.
//
// A leaf resets connections beyond its limit, which every instance would take for a crash of
// the leaf. Also, the requests of all instances queue at a leaf that pauses.
func (t *Table) connLimit(leaf *Leaf) int {
	limit := t.opts.ConnsPerLeaf
	if leaf.Slots > 0 {
		limit = min(limit, leaf.Slots)
	}
	if published := t.publishedConnLimit(leaf); published > 0 {
		share := (published + t.opts.Instances - 1) / t.opts.Instances
		limit = min(limit, share)
	}
	return max(limit-t.opts.ReservedConns, 1)
}

// atConnLimit reports whether this instance has as many requests in flight at a leaf as it may.
func (t *Table) atConnLimit(r *leafRecord, now time.Time) bool {
	return len(r.inFlightStarts) >= r.limitNow(t.connLimit(&r.Leaf), now)
}

// publishedConnLimit returns the connection limit published for a leaf, or 0 if there is none.
func (t *Table) publishedConnLimit(leaf *Leaf) int {
	if leaf.MaxConns > 0 {
		return leaf.MaxConns
	}
	lowest := 0
	for _, name := range leaf.Services {
		if n := t.maxConns[name]; n > 0 && (lowest == 0 || n < lowest) {
			lowest = n
		}
	}
	return lowest
}
