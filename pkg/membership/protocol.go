package membership

import (
	"slices"
	"time"
)

// Kind is the type of a message.
type Kind uint8

const (
	// Ping asks for an Ack.
	Ping Kind = iota
	// Ack answers a Ping.
	Ack
	// PingReq asks the receiver to ping Target on behalf of the sender.
	PingReq
	// Join asks for the members that the receiver knows.
	Join
	// MemberList answers a Join with a part of these members.
	MemberList
	// Gossip expects no answer; it only carries updates and attachments.
	Gossip
)

// Message is one datagram of the protocol.
type Message struct {
	Kind Kind   `cbor:"1,keyasint,omitempty"`
	Seq  uint64 `cbor:"2,keyasint,omitempty"`
	From Member `cbor:"3,keyasint"`
	// Target is the address to be pinged on behalf of the sender (PingReq).
	Target string `cbor:"4,keyasint,omitempty"`
	// MemberCount is how many active members the sender knows, including itself.
	MemberCount int `cbor:"5,keyasint,omitempty"`
	// Updates are gossiped statements, or a part of a member list.
	Updates []Member `cbor:"6,keyasint,omitempty"`
	// After is a member name: in a Join, the name after which the list is to continue; in a
	// MemberList, the name after which the next part starts. It is empty at the start and at the
	// end of the list.
	After string `cbor:"7,keyasint,omitempty"`
	// KnownInZone is how many usable members of its own zone the sender of a Join knows.
	KnownInZone int `cbor:"8,keyasint,omitempty"`
}

// Envelope is a message with its destination address.
type Envelope struct {
	To      string
	Message Message
}

// envelope addresses a message and fills in the sender, the member count and the updates.
func (s *State) envelope(to string, m Message) Envelope {
	m.From = s.self
	m.MemberCount = s.activeCount() + 1
	if m.Kind != MemberList {
		m.Updates = s.nextUpdates()
	}
	return Envelope{To: to, Message: m}
}

// GossipToAll returns a Gossip message to every usable member. The caller attaches the content.
func (s *State) GossipToAll() []Envelope {
	var out []Envelope
	for _, m := range s.Members() {
		if m.Usable() {
			out = append(out, s.GossipTo(m.Addr))
		}
	}
	return out
}

// GossipTo returns a Gossip message to an address. The caller attaches the content.
func (s *State) GossipTo(addr string) Envelope { return s.envelope(addr, Message{Kind: Gossip}) }

// activeCount returns how many other members are alive or suspected.
func (s *State) activeCount() int {
	n := 0
	for _, m := range s.members {
		if m.Status == Alive || m.Status == Suspect {
			n++
		}
	}
	return n
}

// Receive processes a message and returns the messages to send in response.
func (s *State) Receive(m Message, now time.Time) []Envelope {
	s.apply(m.From, now)
	s.promptRefutation(m.From)
	for _, u := range m.Updates {
		s.apply(u, now)
	}
	s.largestCount = max(s.largestCount, m.MemberCount)
	switch m.Kind {
	case Ping:
		return []Envelope{s.envelope(m.From.Addr, Message{Kind: Ack, Seq: m.Seq})}
	case Ack:
		return s.handleAck(m, now)
	case PingReq:
		seq := s.nextSeq()
		s.relayedProbes[seq] = relayedProbe{origin: m.From.Addr, seq: m.Seq, sentAt: now}
		return []Envelope{s.envelope(m.Target, Message{Kind: Ping, Seq: seq})}
	case Join:
		return s.memberList(m.From, m.After, m.KnownInZone)
	case MemberList:
		if m.After != "" || len(m.Updates) > 0 {
			s.listCursor = m.After
		}
	}
	return nil
}

// promptRefutation queues the known status of a member that sends messages although it is not
// believed alive, so that the member receives that statement and refutes it. The gossip of its
// death may have ended while the member was partitioned off.
func (s *State) promptRefutation(from Member) {
	known := s.members[from.Name]
	if known != nil && known.Status != Alive && from.Status == Alive {
		s.enqueue(known.Member)
	}
}

// handleAck processes the answer to a ping sent by this instance or relayed for another one.
func (s *State) handleAck(m Message, now time.Time) []Envelope {
	if s.probe != nil && s.probe.seq == m.Seq {
		s.probe = nil
		return nil
	}
	if h, ok := s.relayedProbes[m.Seq]; ok {
		delete(s.relayedProbes, m.Seq)
		return []Envelope{s.envelope(h.origin, Message{Kind: Ack, Seq: h.seq})}
	}
	return nil
}

// maxListPages is the maximum number of datagrams, in answer to one join, that hold members of
// zones other than the joiner's.
const maxListPages = 4

// memberList returns the members of the joiner's zone, if the joiner knows fewer, and the next
// part of the other members, ordered by name.
//
// An instance needs the members of its own zone first, because they run its queries. If the parts
// were drawn at random, the last members of a large fleet would be learned late.
func (s *State) memberList(to Member, after string, knownInZone int) []Envelope {
	var sameZone, otherZones []Member
	for _, m := range s.Members() {
		switch {
		case m.Name == to.Name || (m.Status != Alive && m.Status != Suspect):
		case m.Zone == to.Zone:
			sameZone = append(sameZone, m)
		case m.Name > after:
			otherZones = append(otherZones, m)
		}
	}
	nextCursor := ""
	if limit := maxListPages * s.opts.PageSize; len(otherZones) > limit {
		otherZones = otherZones[:limit]
		nextCursor = otherZones[limit-1].Name
	}
	if len(sameZone) <= knownInZone {
		sameZone = nil
	}
	out := []Envelope{s.envelope(to.Addr, Message{Kind: MemberList, Updates: s.nextUpdates()})}
	for page := range slices.Chunk(append(sameZone, otherZones...), s.opts.PageSize) {
		out = append(out, s.envelope(to.Addr, Message{Kind: MemberList, Updates: page, After: nextCursor}))
	}
	return out
}

// Tick runs the timers and returns the messages to send. It is called about every 100 ms.
func (s *State) Tick(now time.Time) []Envelope {
	s.resetAfterPause(now)
	out := s.join(now)
	out = append(out, s.checkProbe(now)...)
	s.expireMembers(now)
	if s.leaving || now.Sub(s.lastProbeAt) < s.opts.ProbeInterval {
		return out
	}
	return append(out, s.startProbe(now)...)
}

const (
	// fastJoinInterval is the time between joins while an instance knows fewer members than
	// others do.
	fastJoinInterval = 200 * time.Millisecond
	// startupJoinPeriod is how long after its start an instance uses fastJoinInterval in any
	// case: when a whole fleet starts at once, the first answers list few members.
	startupJoinPeriod = 1500 * time.Millisecond
)

// join looks for unknown members. It requests lists during startupJoinPeriod and as long as other
// instances know more members; otherwise it occasionally pings a seed or a member believed dead, so
// that the two sides of a partition find each other again.
func (s *State) join(now time.Time) []Envelope {
	incomplete := s.activeCount() == 0 || s.activeCount()+1 < s.largestCount ||
		now.Sub(s.startedAt) < startupJoinPeriod
	interval := s.opts.JoinInterval
	if incomplete {
		interval = fastJoinInterval
	}
	if s.leaving || (!s.lastJoinAt.IsZero() && now.Sub(s.lastJoinAt) < interval) {
		return nil
	}
	s.lastJoinAt = now
	s.largestCount = 0
	if s.activeCount() == 0 {
		return s.messagesTo(s.seedAddrs(), Join)
	}
	if incomplete {
		return s.messagesTo(s.pickContact(true), Join)
	}
	return s.messagesTo(s.pickContact(false), Ping)
}

// messagesTo returns a message of the given kind for each address.
func (s *State) messagesTo(addrs []string, kind Kind) []Envelope {
	out := make([]Envelope, 0, len(addrs))
	for _, to := range addrs {
		m := Message{Kind: kind, Seq: s.nextSeq()}
		if kind == Join {
			m.After = s.listCursor
			m.KnownInZone = len(s.UsableIn(s.self.Zone))
		}
		out = append(out, s.envelope(to, m))
	}
	return out
}

// seedAddrs returns the addresses of the seeds, except this instance's own.
func (s *State) seedAddrs() []string {
	return slices.DeleteFunc(slices.Clone(s.seeds), func(addr string) bool { return addr == s.self.Addr })
}

// pickContact draws the address to contact: a seed or a member believed dead. For a list it
// usually draws an active member instead, so that not all instances ask the seeds.
func (s *State) pickContact(forList bool) []string {
	if sameZone := s.UsableIn(s.self.Zone); forList && len(sameZone) > 0 && s.rng.IntN(2) > 0 {
		return []string{sameZone[s.rng.IntN(len(sameZone))].Addr}
	}
	if active := s.pickRandom(1, "", Alive); forList && len(active) > 0 && s.rng.IntN(2) > 0 {
		return []string{active[0].Addr}
	}
	addrs := s.seedAddrs()
	for _, m := range s.pickRandom(1, "", Dead) {
		addrs = append(addrs, m.Addr)
		s.enqueue(m)
	}
	if len(addrs) == 0 {
		return nil
	}
	return []string{addrs[s.rng.IntN(len(addrs))]}
}
