// Package membership tracks which other instances of a deployment are alive and in which
// availability zone they run. It implements a SWIM-style failure detector with gossip: in each
// probe interval an instance pings one other member, asks other members to ping it when it does
// not answer, and piggybacks what it has heard on the messages that it sends anyway. Nothing is
// written to a shared store and there is no leader. The package does no I/O and takes the time as
// an argument, so that schedules of joins, freezes, partitions and losses can be replayed.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Status is the state that this instance believes a member to be in.
type Status uint8

const (
	// Alive means that the member answers, or that other members report that it does.
	Alive Status = iota
	// Suspect means that it answered neither a direct nor an indirect ping.
	Suspect
	// Dead means that it was suspected until the suspicion timeout without refuting it.
	Dead
	// Left means that the member announced its own departure.
	Left
)

// String returns the name of the status as it appears in logs.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// Member describes one instance of the deployment.
//
// Fields are encoded by number, so that an instance of another version can read those that it
// knows.
type Member struct {
	Name string `cbor:"1,keyasint"`
	// Addr is the address at which its peers reach it (host:port).
	Addr string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// Incarnation is raised by the member each time it refutes a statement about itself. Of two
	// statements about a member, the higher incarnation wins, and then the higher status.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	Status      Status `cbor:"5,keyasint,omitempty"`
	// Capacity is how much work the member can take, in hundredths of a processor.
	Capacity uint32 `cbor:"6,keyasint,omitempty"`
}

// Usable reports whether work may be assigned to the member.
func (m Member) Usable() bool { return m.Status == Alive }

// Options are the parameters of the protocol.
type Options struct {
	// ProbeInterval is the time between pings. ProbeTimeout is how long a direct answer may take
	// before other members are asked to ping.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// IndirectProbes is how many other members are asked to ping one that does not answer.
	IndirectProbes int
	// SuspicionTimeout is how long a suspect has to refute before it counts as dead, in a fleet
	// of up to 7. It grows with the logarithm of the fleet's size, because gossip takes longer.
	SuspicionTimeout time.Duration
	// JoinInterval is how often a seed, or a member believed dead, is contacted, so that the two
	// sides of a partition find each other again.
	JoinInterval time.Duration
	// DeadRetention is how long a member that is dead or has left is remembered.
	DeadRetention time.Duration
	// MaxUpdates is the maximum number of updates piggybacked on one message. PageSize is the
	// maximum number of members in one datagram that answers a join. With the defaults a datagram
	// stays below 1,200 bytes.
	MaxUpdates, PageSize int
}

// DefaultOptions returns the default parameters. With them, the bandwidth that a member uses does
// not grow with the number of members.
func DefaultOptions() Options {
	return Options{
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3,
		SuspicionTimeout: 3 * time.Second, JoinInterval: 2 * time.Second, DeadRetention: time.Minute,
		MaxUpdates: 8, PageSize: 16,
	}
}

// member is this instance's record of another one.
type member struct {
	Member
	// statusSince is when the current status was adopted.
	statusSince time.Time
}

// queuedUpdate is a statement about a member that is still being gossiped.
type queuedUpdate struct {
	member Member
	sends  int
}

// probe is a ping that has not been answered yet.
type probe struct {
	target   string
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// State is one instance's view of the membership. It is not safe for concurrent use.
type State struct {
	opts  Options
	self  Member
	seeds []string
	rng   *rand.Rand

	members map[string]*member
	// probeOrder lists the members still to be pinged in the current round, the next one last.
	// New members are inserted at a random position.
	probeOrder    []string
	gossip        []queuedUpdate
	probe         *probe
	seq           uint64
	relayedProbes map[uint64]relayedProbe

	startedAt, lastProbeAt, lastJoinAt, lastTickAt time.Time
	// largestCount is the largest number of members that a peer has claimed since the last join.
	// listCursor is the name after which the list of members being read continues.
	largestCount int
	listCursor   string
	leaving      bool
	changes      []Member
	// newMemberLimiter limits the rate at which new members are added.
	newMemberLimiter *rate.Limiter
}

// relayedProbe is a ping sent on behalf of another member.
type relayedProbe struct {
	origin string
	seq    uint64
	sentAt time.Time
}

// New returns the view of an instance that knows only its seeds, some of which may be outdated.
func New(self Member, seeds []string, opts Options, rng *rand.Rand, now time.Time) *State {
	s := &State{
		opts: opts, self: self, seeds: seeds, rng: rng,
		members: make(map[string]*member), relayedProbes: make(map[uint64]relayedProbe),
		newMemberLimiter: rate.NewLimiter(maxNewPerSecond, maxNewBurst),
	}
	s.startedAt, s.lastProbeAt, s.lastTickAt = now, now, now
	s.enqueue(s.self)
	return s
}

// Members returns the other known instances, sorted by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// UsableIn returns the usable members of a zone, sorted by name, so that random draws from them
// are the same each time a schedule is replayed.
func (s *State) UsableIn(zone string) []Member {
	return slices.DeleteFunc(s.Members(), func(m Member) bool { return m.Zone != zone || !m.Usable() })
}

// Self returns this instance's own description of itself.
func (s *State) Self() Member { return s.self }

// Changes returns the members that are new or whose status changed since the last call.
func (s *State) Changes() []Member {
	out := s.changes
	s.changes = nil
	return out
}

// leaveFanout is the maximum number of members that a leaving instance notifies directly. Gossip
// reaches the others.
const leaveFanout = 64

// Leave announces that this instance is leaving and returns the messages to send.
func (s *State) Leave(now time.Time) []Envelope {
	s.leaving = true
	s.self.Status = Left
	s.self.Incarnation++
	s.enqueue(s.self)
	var out []Envelope
	for _, m := range s.pickRandom(leaveFanout, "", Alive, Suspect) {
		out = append(out, s.envelope(m.Addr, Message{Kind: Ping, Seq: s.nextSeq()}))
	}
	return out
}

// apply adopts a statement about a member and reports whether it was new.
func (s *State) apply(m Member, now time.Time) bool {
	if m.Name == "" || m.Status > Left {
		return false
	}
	if m.Name == s.self.Name {
		s.refute(m)
		return false
	}
	known := s.members[m.Name]
	if known != nil && !supersedes(m, known.Member) {
		return false
	}
	if known == nil && (m.Status != Alive || !s.mayAddMember(now)) {
		return false // Members that are not yet known are added only when alive and within the limits.
	}
	if known == nil {
		known = &member{}
		s.members[m.Name] = known
		s.probeOrder = slices.Insert(s.probeOrder, s.rng.IntN(len(s.probeOrder)+1), m.Name)
	}
	changed := known.Member.Name == "" || known.Status != m.Status
	known.Member = m
	if changed {
		known.statusSince = now
		s.changes = append(s.changes, m)
	}
	s.enqueue(m)
	return true
}

const (
	// maxMembers bounds the list: more than 3 times the largest planned fleet of 1,200.
	maxMembers = 4096
	// maxNewPerSecond and maxNewBurst limit how fast the list grows. A fleet of 1,200 is known
	// within a few seconds.
	maxNewPerSecond = 400
	maxNewBurst     = 800
)

// mayAddMember reports whether one more member may be added.
//
// One sender can name any number of members that do not exist. Without a bound the list would
// exhaust the instance's memory, and maintaining it would use up its processor.
func (s *State) mayAddMember(now time.Time) bool {
	return len(s.members) < maxMembers && s.newMemberLimiter.AllowN(now, 1)
}

// supersedes reports whether statement a takes precedence over statement b.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Status > b.Status
}

// refute answers a wrong statement about this instance with a higher incarnation.
//
// A process that was frozen, or that restarts under its old name, is believed dead by its peers,
// by statements newer than its own. Without a refutation it is never used again: it serves its
// callers, but no peer talks to it.
func (s *State) refute(m Member) {
	if m.Incarnation < s.self.Incarnation || (m.Incarnation == s.self.Incarnation && m.Status == s.self.Status) {
		return
	}
	s.self.Incarnation = m.Incarnation + 1
	s.enqueue(s.self)
}

// retransmitFactor is how often an update is gossiped per doubling of the number of members. At
// this rate it reaches all members with high probability.
const retransmitFactor = 3

// enqueue queues a statement for gossip, replacing an older one about the same member.
func (s *State) enqueue(m Member) {
	s.gossip = slices.DeleteFunc(s.gossip, func(u queuedUpdate) bool { return u.member.Name == m.Name })
	s.gossip = append(s.gossip, queuedUpdate{member: m})
}

// nextUpdates returns the updates for the next message: those sent least often so far.
func (s *State) nextUpdates() []Member {
	slices.SortStableFunc(s.gossip, func(a, b queuedUpdate) int { return cmp.Compare(a.sends, b.sends) })
	n := min(len(s.gossip), s.opts.MaxUpdates)
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, s.gossip[i].member)
		s.gossip[i].sends++
	}
	limit := retransmitFactor * s.log2Members()
	s.gossip = slices.DeleteFunc(s.gossip, func(u queuedUpdate) bool { return u.sends >= limit })
	return out
}

// log2Members returns the logarithm of the number of members, rounded up.
func (s *State) log2Members() int {
	return int(math.Ceil(math.Log2(float64(len(s.members) + 2))))
}

// pickRandom draws up to n members with one of the given statuses, excluding one by name.
func (s *State) pickRandom(n int, excluded string, statuses ...Status) []Member {
	var matches []Member
	for _, m := range s.members {
		if m.Name != excluded && slices.Contains(statuses, m.Status) {
			matches = append(matches, m.Member)
		}
	}
	slices.SortFunc(matches, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	s.rng.Shuffle(len(matches), func(i, j int) { matches[i], matches[j] = matches[j], matches[i] })
	return matches[:min(n, len(matches))]
}

// nextSeq returns the next sequence number for messages.
func (s *State) nextSeq() uint64 {
	s.seq++
	return s.seq
}
