package membership

import (
	"time"
)

// forgive drops the ping under way after a pause of this process.
//
// A process that stood still finds its ping unanswered for seconds. Taken at face
// value it would suspect a member that is well, each time it wakes.
func (s *State) forgive(now time.Time) {
	if now.Sub(s.tickedAt) > s.opts.ProbeTimeout {
		s.probe = nil
		for _, m := range s.members {
			if m.Status == Suspect {
				m.since = now
			}
		}
	}
	s.tickedAt = now
}

// startProbe pings the next member of the round.
func (s *State) startProbe(now time.Time) []Envelope {
	s.probedAt = now
	target := s.nextTarget()
	if target == nil {
		return nil
	}
	s.probe = &probe{target: target.Name, seq: s.next(), sentAt: now}
	return []Envelope{s.envelope(target.Addr, Message{Kind: Ping, Seq: s.probe.seq})}
}

// nextTarget is the next member in use, in a shuffled round: each is pinged once a
// round, so that no dead one is missed for long.
func (s *State) nextTarget() *member {
	for range 2 {
		for len(s.order) > 0 {
			name := s.order[len(s.order)-1]
			s.order = s.order[:len(s.order)-1]
			if m := s.members[name]; m != nil && (m.Status == Alive || m.Status == Suspect) {
				return m
			}
		}
		for _, m := range s.pick(len(s.members), "", Alive, Suspect) {
			s.order = append(s.order, m.Name)
		}
	}
	return nil
}

// checkProbe asks others, and then suspects, a member that does not answer.
func (s *State) checkProbe(now time.Time) []Envelope {
	if s.probe == nil {
		return nil
	}
	target := s.members[s.probe.target]
	waited := now.Sub(s.probe.sentAt)
	switch {
	case target == nil:
		s.probe = nil
	case waited >= s.opts.ProbeInterval-s.opts.ProbeTimeout/2:
		s.probe = nil
		if target.Status == Alive {
			m := target.Member
			m.Status = Suspect
			s.take(m, now)
		}
	case waited >= s.opts.ProbeTimeout && !s.probe.indirect:
		s.probe.indirect = true
		var out []Envelope
		for _, helper := range s.pick(s.opts.IndirectProbes, target.Name, Alive) {
			out = append(out, s.envelope(helper.Addr, Message{Kind: PingReq, Seq: s.probe.seq, Target: target.Addr}))
		}
		return out
	}
	return nil
}

// age turns suspects into dead members, and forgets those that are gone for long.
func (s *State) age(now time.Time) {
	wait := s.opts.SuspicionTimeout * time.Duration(max(s.doublings(), 3)) / 3
	for name, m := range s.members {
		gone := now.Sub(m.since)
		switch {
		case m.Status == Suspect && gone >= wait:
			dead := m.Member
			dead.Status = Dead
			s.take(dead, now)
		case (m.Status == Dead || m.Status == Left) && gone >= s.opts.DeadRetention:
			delete(s.members, name)
		}
	}
	for seq, h := range s.helping {
		if now.Sub(h.at) > 2*s.opts.ProbeInterval {
			delete(s.helping, seq)
		}
	}
}
