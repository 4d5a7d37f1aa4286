package membership

import (
	"time"
)

// resetAfterPause drops the outstanding ping after a pause of this process, and restarts the
// timeouts of suspected members.
//
// A process that was paused finds its ping unanswered for seconds. Without the reset it would
// suspect a healthy member each time it resumes.
func (s *State) resetAfterPause(now time.Time) {
	if now.Sub(s.lastTickAt) > s.opts.ProbeTimeout {
		s.probe = nil
		for _, m := range s.members {
			if m.Status == Suspect {
				m.statusSince = now
			}
		}
	}
	s.lastTickAt = now
}

// startProbe pings the next member of the round.
func (s *State) startProbe(now time.Time) []Envelope {
	s.lastProbeAt = now
	target := s.nextTarget()
	if target == nil {
		return nil
	}
	s.probe = &probe{target: target.Name, seq: s.nextSeq(), sentAt: now}
	return []Envelope{s.envelope(target.Addr, Message{Kind: Ping, Seq: s.probe.seq})}
}

// nextTarget returns the next active member in a shuffled round. Each member is pinged once per
// round, which bounds how long a dead one stays undetected.
func (s *State) nextTarget() *member {
	for range 2 {
		for len(s.probeOrder) > 0 {
			name := s.probeOrder[len(s.probeOrder)-1]
			s.probeOrder = s.probeOrder[:len(s.probeOrder)-1]
			if m := s.members[name]; m != nil && (m.Status == Alive || m.Status == Suspect) {
				return m
			}
		}
		for _, m := range s.pickRandom(len(s.members), "", Alive, Suspect) {
			s.probeOrder = append(s.probeOrder, m.Name)
		}
	}
	return nil
}

// checkProbe first requests indirect pings for a member that does not answer, and then suspects
// it.
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
			s.apply(m, now)
		}
	case waited >= s.opts.ProbeTimeout && !s.probe.indirect:
		s.probe.indirect = true
		var out []Envelope
		for _, helper := range s.pickRandom(s.opts.IndirectProbes, target.Name, Alive) {
			out = append(out, s.envelope(helper.Addr, Message{Kind: PingReq, Seq: s.probe.seq, Target: target.Addr}))
		}
		return out
	}
	return nil
}

// expireMembers declares suspects dead after the suspicion timeout, and forgets members that have
// been dead or left for DeadRetention.
func (s *State) expireMembers(now time.Time) {
	timeout := s.opts.SuspicionTimeout * time.Duration(max(s.log2Members(), 3)) / 3
	for name, m := range s.members {
		elapsed := now.Sub(m.statusSince)
		switch {
		case m.Status == Suspect && elapsed >= timeout:
			dead := m.Member
			dead.Status = Dead
			s.apply(dead, now)
		case (m.Status == Dead || m.Status == Left) && elapsed >= s.opts.DeadRetention:
			delete(s.members, name)
		}
	}
	for seq, h := range s.relayedProbes {
		if now.Sub(h.sentAt) > 2*s.opts.ProbeInterval {
			delete(s.relayedProbes, seq)
		}
	}
}
