package membership

import (
	"slices"
	"time"
)

// Kind is what a message is for.
type Kind uint8

const (
	// Ping asks for an Ack.
	Ping Kind = iota
	// Ack answers a Ping.
	Ack
	// PingReq asks the receiver to ping Target for the sender.
	PingReq
	// Join asks for the members that the receiver knows.
	Join
	// MemberList answers a Join with a part of them.
	MemberList
	// Gossip asks for nothing: it brings what comes with it.
	Gossip
)

// Message is what instances send each other.
type Message struct {
	Kind Kind   `cbor:"1,keyasint,omitempty"`
	Seq  uint64 `cbor:"2,keyasint,omitempty"`
	From Member `cbor:"3,keyasint"`
	// Target is the address to be pinged for the sender (PingFor).
	Target string `cbor:"4,keyasint,omitempty"`
	// MemberCount is how many members the sender knows, itself included.
	MemberCount int `cbor:"5,keyasint,omitempty"`
	// Updates is news, or a part of a list.
	Updates []Member `cbor:"6,keyasint,omitempty"`
	// After is the name after which a list is to go on (Join), or goes on (List); "" at
	// its start and after its end.
	After string `cbor:"7,keyasint,omitempty"`
	// KnownInZone is how many members of its own zone the sender of a Join knows.
	KnownInZone int `cbor:"8,keyasint,omitempty"`
}

// Envelope is a message on its way to an address.
type Envelope struct {
	To      string
	Message Message
}

// envelope completes a message.
func (s *State) envelope(to string, m Message) Envelope {
	m.From = s.self
	m.MemberCount = s.alive() + 1
	if m.Kind != MemberList {
		m.Updates = s.updates()
	}
	return Envelope{To: to, Message: m}
}

// GossipToAll are messages to all other members that are in use, for what is sent with them.
func (s *State) GossipToAll() []Envelope {
	var out []Envelope
	for _, m := range s.Members() {
		if m.Usable() {
			out = append(out, s.envelope(m.Addr, Message{Kind: Gossip}))
		}
	}
	return out
}

// alive is how many other members are in use.
func (s *State) alive() int {
	n := 0
	for _, m := range s.members {
		if m.Status == Alive || m.Status == Suspect {
			n++
		}
	}
	return n
}

// Receive takes over a message and returns what to send.
func (s *State) Receive(m Message, now time.Time) []Envelope {
	s.take(m.From, now)
	s.contradict(m.From)
	for _, u := range m.Updates {
		s.take(u, now)
	}
	s.expected = max(s.expected, m.MemberCount)
	switch m.Kind {
	case Ping:
		return []Envelope{s.envelope(m.From.Addr, Message{Kind: Ack, Seq: m.Seq})}
	case Ack:
		return s.acked(m, now)
	case PingReq:
		seq := s.next()
		s.helping[seq] = helped{origin: m.From.Addr, seq: m.Seq, at: now}
		return []Envelope{s.envelope(m.Target, Message{Kind: Ping, Seq: seq})}
	case Join:
		return s.list(m.From, m.After, m.KnownInZone)
	case MemberList:
		if m.After != "" || len(m.Updates) > 0 {
			s.cursor = m.After
		}
	}
	return nil
}

// contradict tells a member that is heard from, but believed gone, what is believed of
// it, so that it objects. The news of its death may have been passed on for the last
// time while it was cut off.
func (s *State) contradict(from Member) {
	have := s.members[from.Name]
	if have != nil && have.Status != Alive && from.Status == Alive {
		s.spread(have.Member)
	}
}

// acked takes over an answer to a ping, of this instance or of one that it helps.
func (s *State) acked(m Message, now time.Time) []Envelope {
	if s.probe != nil && s.probe.seq == m.Seq {
		s.probe = nil
		return nil
	}
	if h, ok := s.helping[m.Seq]; ok {
		delete(s.helping, m.Seq)
		return []Envelope{s.envelope(h.origin, Message{Kind: Ack, Seq: h.seq})}
	}
	return nil
}

// listPages bounds the datagrams that answer one join with members of other zones than
// the joiner's.
const listPages = 4

// list sends the members of the joiner's zone, if it knows fewer, and a part of the others
// by name.
//
// An instance needs those of its own zone first: they run its queries. Parts drawn at
// random show the last members of a large fleet late.
func (s *State) list(to Member, after string, knows int) []Envelope {
	var near, far []Member
	for _, m := range s.Members() {
		switch {
		case m.Name == to.Name || (m.Status != Alive && m.Status != Suspect):
		case m.Zone == to.Zone:
			near = append(near, m)
		case m.Name > after:
			far = append(far, m)
		}
	}
	next := ""
	if most := listPages * s.opts.PageSize; len(far) > most {
		far = far[:most]
		next = far[most-1].Name
	}
	if len(near) <= knows {
		near = nil
	}
	out := []Envelope{s.envelope(to.Addr, Message{Kind: MemberList, Updates: s.updates()})}
	for page := range slices.Chunk(append(near, far...), s.opts.PageSize) {
		out = append(out, s.envelope(to.Addr, Message{Kind: MemberList, Updates: page, After: next}))
	}
	return out
}

// Tick runs the timers and returns what to send. It is called every 100 ms or so.
func (s *State) Tick(now time.Time) []Envelope {
	s.forgive(now)
	out := s.join(now)
	out = append(out, s.checkProbe(now)...)
	s.age(now)
	if s.leaving || now.Sub(s.probedAt) < s.opts.ProbeInterval {
		return out
	}
	return append(out, s.startProbe(now)...)
}

const (
	// joinFast is how often an instance that knows fewer members than others asks again.
	joinFast = 200 * time.Millisecond
	// joinSettle is for how long after its start an instance asks that often in any case:
	// of a fleet that starts at once the first answers know few.
	joinSettle = 1500 * time.Millisecond
)

// join looks for members that this instance does not know: it asks one for its list as
// long as others know more, and greets a seed or a member believed dead now and then, so
// that parts that were cut off from each other find together again.
func (s *State) join(now time.Time) []Envelope {
	short := s.alive() == 0 || s.alive()+1 < s.expected || now.Sub(s.startedAt) < joinSettle
	every := s.opts.JoinInterval
	if short {
		every = joinFast
	}
	if s.leaving || (!s.joinedAt.IsZero() && now.Sub(s.joinedAt) < every) {
		return nil
	}
	s.joinedAt = now
	s.expected = 0
	if s.alive() == 0 {
		return s.greet(s.seedAddrs(), Join)
	}
	if short {
		return s.greet(s.contact(true), Join)
	}
	return s.greet(s.contact(false), Ping)
}

// greet sends a message of a kind to some addresses.
func (s *State) greet(addrs []string, kind Kind) []Envelope {
	out := make([]Envelope, 0, len(addrs))
	for _, to := range addrs {
		m := Message{Kind: kind, Seq: s.next()}
		if kind == Join {
			m.After = s.cursor
			m.KnownInZone = len(s.UsableIn(s.self.Zone))
		}
		out = append(out, s.envelope(to, m))
	}
	return out
}

// seedAddrs are the seeds but this instance itself.
func (s *State) seedAddrs() []string {
	return slices.DeleteFunc(slices.Clone(s.seeds), func(addr string) bool { return addr == s.self.Addr })
}

// contact draws whom to ask: a seed or a member that is believed dead; for a list
// rather a member in use, so that the seeds are not asked by all.
func (s *State) contact(list bool) []string {
	if near := s.UsableIn(s.self.Zone); list && len(near) > 0 && s.rng.IntN(2) > 0 {
		return []string{near[s.rng.IntN(len(near))].Addr}
	}
	if known := s.pick(1, "", Alive); list && len(known) > 0 && s.rng.IntN(2) > 0 {
		return []string{known[0].Addr}
	}
	addrs := s.seedAddrs()
	for _, m := range s.pick(1, "", Dead) {
		addrs = append(addrs, m.Addr)
		s.spread(m)
	}
	if len(addrs) == 0 {
		return nil
	}
	return []string{addrs[s.rng.IntN(len(addrs))]}
}
