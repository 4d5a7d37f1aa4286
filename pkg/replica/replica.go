// Package replica knows the leafs of every service and decides which one a
// request goes to. It combines two sources that both mislead: the published
// list, which lags and forgets leafs while the store is away, and this
// instance's own requests, which see a leaf at once but only a part of its
// load. Nothing here does I/O; time is an argument, so that recorded loads can
// be replayed.
package replica

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Leaf is a published leaf.
type Leaf struct {
	// ID names the leaf. One that starts again may keep it: Born tells the
	// incarnations apart.
	ID string
	// StartedAt is when this incarnation started, by the leaf's own clock; zero: not
	// published.
	StartedAt time.Time
	// Services are what the leaf serves: one service on the users' platform,
	// each shard that a backend server holds in an installation of the
	// project's own.
	Services []string
	Addr     string
	Zone     string
	Slots    int
	// MaxConns is how many connections this leaf accepts from all callers
	// together; zero: what is published of its services applies.
	MaxConns int
	// Draining leafs finish what they have and take nothing new.
	Draining bool
	// ColdRemaining is how much longer the leaf is slow after its start.
	ColdRemaining time.Duration
	// Sequence grows with every report of one incarnation.
	Sequence int64
}

// Options are the figures that shape placement.
type Options struct {
	// Zone is this instance's own availability zone.
	Zone string
	// Regions are those of the availability zones.
	Regions map[string]string
	// LapseGrace is how long after the store's return a leaf that vanished
	// from the list is still used.
	LapseGrace time.Duration
	// ConnsPerLeaf caps the connections to one leaf.
	ConnsPerLeaf int
	// Instances is how many entry instances share a leaf's connections.
	Instances int
	// ReservedConns of this instance's part of them are kept for messages
	// that are no requests.
	ReservedConns int
	// OtherZoneFactor (1 or more) multiplies, and OtherZonePenalty raises, the
	// cost of a leaf in another zone than the instance's.
	OtherZoneFactor  float64
	OtherZonePenalty time.Duration
	// NearestFirst takes the first listed leaf of the own zone whatever its
	// load. It is the baseline that placement by expected time is measured
	// against.
	NearestFirst bool
	// Budget bounds second requests per service.
	Budget BudgetOptions
	// TieBreaker draws numbers from 0 to 1 that decide between equal leafs; nil: at
	// random. Replays set it, so that they repeat exactly.
	TieBreaker func() float64
}

// tie draws the next number.
func (o *Options) tie() float64 {
	if o.TieBreaker == nil {
		return rand.Float64()
	}
	return o.TieBreaker()
}

// Table holds one row per leaf and one per service. It is safe for concurrent
// use.
type Table struct {
	mu       sync.Mutex
	opts     Options
	leafs    map[string]*row
	services map[string]*service
	classes  map[string]*class
	zones    map[string]*zoneState
	// evacuated are the zones whose leafs are to get nothing.
	evacuated map[string]bool
	// sequences remembers the newest report of leafs that left, so that a
	// delayed older report does not bring them back.
	sequences map[string]departed
	// lapseUntil is when leafs that vanished around a store outage count as
	// gone.
	lapseUntil time.Time
	maxConns   map[string]int
	// bursts are this instance's part of the second requests beyond the ratio; zero: as
	// the options say. shards are the services that are shards of queries only.
	bursts BurstLimits
	shards map[string]bool
	// homes are the regions whose leafs the requests of a class may go to; none: all.
	homes map[string][]string
	// coldLimits are what cold leafs of each service may get, and warmers say from whom.
	coldLimits map[string]ColdLimit
	warmers    WarmUpAssignment
}

// departed is what is kept of a leaf that left the list.
type departed struct {
	born     time.Time
	sequence int64
	draining bool
	at       time.Time
}

// service is the row of one service.
type service struct {
	leafs  []*row
	budget *Budget
	// every is the smoothed time between this instance's requests, and last
	// the latest one.
	every time.Duration
	last  time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts:      opts,
		leafs:     make(map[string]*row),
		services:  make(map[string]*service),
		classes:   make(map[string]*class),
		zones:     make(map[string]*zoneState),
		evacuated: make(map[string]bool),
		sequences: make(map[string]departed),
		maxConns:  make(map[string]int),
	}
}

// SetOptions puts other options in force.
func (t *Table) SetOptions(opts Options) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opts = opts
	t.setBudgets()
}

// SetMaxConns takes over the published connection limits of all services.
func (t *Table) SetMaxConns(limits map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = limits
}

// service returns the row of a service, made on first use.
func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{budget: NewBudget(t.budgetOptions(name))}
		t.services[name] = s
	}
	return s
}

// connLimit is how many requests this instance may have at a leaf at once, each
// on a connection of its own: as many as the leaf has slots, within this
// instance's part of the published connection limit.
//
// A leaf resets connections beyond its limit, which looks like a crashed leaf to
// every instance. And the requests of all instances queue at a leaf that pauses.
func (t *Table) connLimit(leaf *Leaf) int {
	limit := t.opts.ConnsPerLeaf
	if leaf.Slots > 0 {
		limit = min(limit, leaf.Slots)
	}
	if published := t.published(leaf); published > 0 {
		share := (published + t.opts.Instances - 1) / t.opts.Instances
		limit = min(limit, share)
	}
	return max(limit-t.opts.ReservedConns, 1)
}

// full reports whether this instance has as many requests at a leaf as it may.
func (t *Table) full(r *row, now time.Time) bool {
	return len(r.starts) >= r.roomNow(t.connLimit(&r.Leaf), now)
}

// published is the connection limit published for a leaf, 0 for none.
func (t *Table) published(leaf *Leaf) int {
	if leaf.MaxConns > 0 {
		return leaf.MaxConns
	}
	least := 0
	for _, name := range leaf.Services {
		if n := t.maxConns[name]; n > 0 && (least == 0 || n < least) {
			least = n
		}
	}
	return least
}
