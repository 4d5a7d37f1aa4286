// Package membership knows which other instances of a deployment are alive and in which
// availability zone. It is a SWIM-style failure detector with gossip: each instance
// pings one other a period, asks others to ping it when it does not answer, and passes
// on what it heard on the messages that it sends anyway. Nothing is written to a shared
// store and nobody leads. The package does no I/O; time is an argument, so that
// schedules of joins, freezes, cuts and losses can be replayed.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Status is what is believed of a member.
type Status uint8

const (
	// Alive: it answers, or others say so.
	Alive Status = iota
	// Suspect: it did not answer a ping, neither directly nor through others.
	Suspect
	// Dead: suspected for too long without an objection.
	Dead
	// Left: it said so itself.
	Left
)

// String names the status in logs.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// Member is one instance.
//
// Fields are numbered, so that an instance of another version reads those that it knows.
type Member struct {
	Name string `cbor:"1,keyasint"`
	// Addr is where its peers reach it (host:port).
	Addr string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// Incarnation grows each time the member objects to what is said of it. Of two
	// statements the one with the higher incarnation holds.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	Status      Status `cbor:"5,keyasint,omitempty"`
	// Capacity is how much work the member can take, in hundredths of a processor.
	Capacity uint32 `cbor:"6,keyasint,omitempty"`
}

// Usable reports whether work may be given to the member.
func (m Member) Usable() bool { return m.Status == Alive }

// Options are the figures of the protocol.
type Options struct {
	// ProbeInterval is the period of pings; ProbeTimeout how long a direct answer may
	// take before others are asked.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// IndirectProbes is how many others are asked to ping a member that does not answer.
	IndirectProbes int
	// SuspicionTimeout is how long a member may object before it counts as dead, with ten
	// members; it grows with the logarithm of their number, as news takes longer.
	SuspicionTimeout time.Duration
	// JoinInterval is how often a seed, or a member believed dead, is asked for its
	// list, so that parts that were cut off from each other find together again.
	JoinInterval time.Duration
	// DeadRetention is how long a dead member is remembered.
	DeadRetention time.Duration
	// MaxUpdates is how many news items go on one message, and Page how many members on
	// one reply to a join: a datagram stays below 1,200 bytes.
	MaxUpdates, PageSize int
}

// DefaultOptions are the figures used where nothing else is set. What a member sends in a second does
// not grow with the number of members.
func DefaultOptions() Options {
	return Options{
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3,
		SuspicionTimeout: 3 * time.Second, JoinInterval: 2 * time.Second, DeadRetention: time.Minute,
		MaxUpdates: 8, PageSize: 16,
	}
}

// member is the row of one other instance.
type member struct {
	Member
	// since is when its status was taken over.
	since time.Time
}

// news is a statement that is still being passed on.
type news struct {
	member Member
	sent   int
}

// probe is a ping that waits for its answer.
type probe struct {
	target   string
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// State is one instance's view. It is not safe for concurrent use.
type State struct {
	opts  Options
	self  Member
	seeds []string
	rng   *rand.Rand

	members map[string]*member
	// order is the round of pings that is under way, newest members anywhere in it.
	order   []string
	news    []news
	probe   *probe
	seq     uint64
	helping map[uint64]helped

	startedAt, probedAt, joinedAt, tickedAt time.Time
	// expected is how many members the largest list that was heard of has, and cursor
	// where the list that is being read goes on.
	expected int
	cursor   string
	leaving  bool
	changes  []Member
	// newcomers bounds how many members are taken in.
	newcomers *rate.Limiter
}

// helped is a ping sent for another member.
type helped struct {
	origin string
	seq    uint64
	at     time.Time
}

// New returns the view of an instance that knows only its seeds, which may be stale.
func New(self Member, seeds []string, opts Options, rng *rand.Rand, now time.Time) *State {
	s := &State{
		opts: opts, self: self, seeds: seeds, rng: rng,
		members: make(map[string]*member), helping: make(map[uint64]helped),
		newcomers: rate.NewLimiter(newPerSecond, newAtOnce),
	}
	s.startedAt, s.probedAt, s.tickedAt = now, now, now
	s.spread(s.self)
	return s
}

// Members lists the other instances that are known, by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// UsableIn lists the members of a zone that work may be given to, by name: what is drawn from
// them is the same each time that a schedule is replayed.
func (s *State) UsableIn(zone string) []Member {
	return slices.DeleteFunc(s.Members(), func(m Member) bool { return m.Zone != zone || !m.Usable() })
}

// Self is this instance as it describes itself.
func (s *State) Self() Member { return s.self }

// Changes returns the members whose status changed since the last call.
func (s *State) Changes() []Member {
	out := s.changes
	s.changes = nil
	return out
}

// leaveTold is how many members a leaving one tells itself; the others hear of it from those.
const leaveTold = 64

// Leave makes this instance say that it leaves.
func (s *State) Leave(now time.Time) []Envelope {
	s.leaving = true
	s.self.Status = Left
	s.self.Incarnation++
	s.spread(s.self)
	var out []Envelope
	for _, m := range s.pick(leaveTold, "", Alive, Suspect) {
		out = append(out, s.envelope(m.Addr, Message{Kind: Ping, Seq: s.next()}))
	}
	return out
}

// take takes over a statement about a member. It reports whether it was new.
func (s *State) take(m Member, now time.Time) bool {
	if m.Name == "" || m.Status > Left {
		return false
	}
	if m.Name == s.self.Name {
		s.object(m)
		return false
	}
	have := s.members[m.Name]
	if have != nil && !supersedes(m, have.Member) {
		return false
	}
	if have == nil && (m.Status != Alive || !s.roomFor(now)) {
		return false // Never met, and not to be met.
	}
	if have == nil {
		have = &member{}
		s.members[m.Name] = have
		s.order = slices.Insert(s.order, s.rng.IntN(len(s.order)+1), m.Name)
	}
	changed := have.Member.Name == "" || have.Status != m.Status
	have.Member = m
	if changed {
		have.since = now
		s.changes = append(s.changes, m)
	}
	s.spread(m)
	return true
}

const (
	// membersMost bounds the list: three times the largest fleet that is planned for.
	membersMost = 4096
	// newPerSecond and newAtOnce bound how fast it grows: a fleet of 1,200 is known within
	// some seconds.
	newPerSecond = 400
	newAtOnce    = 800
)

// roomFor reports whether one more member may be taken in.
//
// One sender can name any number of members that do not exist. Without a bound the list takes
// the instance's memory, and looking after it its processor.
func (s *State) roomFor(now time.Time) bool {
	return len(s.members) < membersMost && s.newcomers.AllowN(now, 1)
}

// supersedes reports whether statement a holds against b.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Status > b.Status
}

// object answers a wrong statement about this instance with a higher incarnation.
//
// A process that was frozen, or starts again under its name, finds itself believed
// dead, by statements newer than its own. Without an objection it is never used again;
// one notices an instance that serves its callers but that no peer talks to.
func (s *State) object(m Member) {
	if m.Incarnation < s.self.Incarnation || (m.Incarnation == s.self.Incarnation && m.Status == s.self.Status) {
		return
	}
	s.self.Incarnation = m.Incarnation + 1
	s.spread(s.self)
}

// retransmits is how often news is passed on for each doubling of the members: so often
// that all hear of it with high probability, each from somebody.
const retransmits = 3

// spread puts a statement among the news, in the place of an older one.
func (s *State) spread(m Member) {
	s.news = slices.DeleteFunc(s.news, func(n news) bool { return n.member.Name == m.Name })
	s.news = append(s.news, news{member: m})
}

// updates are the news that go on the next message: those least often sent.
func (s *State) updates() []Member {
	slices.SortStableFunc(s.news, func(a, b news) int { return cmp.Compare(a.sent, b.sent) })
	n := min(len(s.news), s.opts.MaxUpdates)
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, s.news[i].member)
		s.news[i].sent++
	}
	limit := retransmits * s.doublings()
	s.news = slices.DeleteFunc(s.news, func(n news) bool { return n.sent >= limit })
	return out
}

// doublings is the logarithm of the number of members.
func (s *State) doublings() int {
	return int(math.Ceil(math.Log2(float64(len(s.members) + 2))))
}

// pick draws up to n members with one of the given statuses, leaving one out.
func (s *State) pick(n int, except string, statuses ...Status) []Member {
	var fit []Member
	for _, m := range s.members {
		if m.Name != except && slices.Contains(statuses, m.Status) {
			fit = append(fit, m.Member)
		}
	}
	slices.SortFunc(fit, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	s.rng.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	return fit[:min(n, len(fit))]
}

// next numbers a message.
func (s *State) next() uint64 {
	s.seq++
	return s.seq
}
