package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated fleet consists of instances that exchange reports as real ones do, over a network
// that loses, delays and duplicates datagrams and is partitioned at times.
const (
	simStep = 5 * time.Millisecond
	// simAntiEntropyInterval is the interval at which each instance exchanges a membership
	// message with one other.
	simAntiEntropyInterval = time.Second
	// simConvergenceTime is how long an instance must have been running and connected to the
	// others before its requests count as retries.
	simConvergenceTime = 4 * time.Second
	simLossRate        = 0.2
	// simMaxDelay is the maximum delay of a datagram.
	simMaxDelay = 20 * time.Millisecond
	simDuration = 90 * time.Second
	// simShards and simReplicas give the number of leafs. A request goes to one leaf of each of
	// its shards.
	simShards, simReplicas = 20, 2
)

// datagram is a datagram in transit.
type datagram struct {
	to      int
	arrival time.Time
	reports []Report
}

// simRequest is a request at the leafs of one instance.
type simRequest struct {
	instance int
	began    time.Time
	doneAt   time.Time
	crashing bool
	attempt  int
	trial    bool
	// unresolved reports that the trial ends without a result.
	unresolved bool
	// leafs are the leafs that have the request.
	leafs []int
}

// simClaim is the claim of an instance to a trial that is confirmed at a time.
type simClaim struct {
	instance  int
	confirmAt time.Time
	id        uint64
	crashing  bool
}

// sim is the state of one simulation run of simDuration, which the test's messages call a day.
type sim struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	tables  []*Table
	started []time.Time
	// repeatAt is when each instance sends its queued changes again.
	repeatAt []time.Time
	// shards is the number of shards of the requests.
	shards int
	claims []simClaim
	// returns are the times at which callers of the crashing request come back.
	returns []time.Time
	// partitionedUntil is the time at which the network partition ends. The first partitionSize
	// instances are on one side of it.
	partitionedUntil time.Time
	partitionSize    int
	inTransit        []datagram
	inFlight         []simRequest
	attempts         int
	// incarnations is how often each leaf has crashed, and crashedAt when it last did.
	incarnations [simShards * simReplicas]int
	crashedAt    [simShards * simReplicas]time.Time
	// thirdCrashAt is when the third leaf crashed. lateRetries counts the retries that converged
	// instances sent to leafs more than simConvergenceTime after it.
	thirdCrashAt time.Time
	leafsCrashed int
	lateRetries  int
	// served and refused count the attempts of the harmless request, which arrives at the same
	// rate.
	served, refused int
}

func newSim(t *testing.T, seed uint64) *sim {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &sim{t: t, rng: rng, now: epoch}
	n := 3 + rng.IntN(20)
	s.tables, s.repeatAt = make([]*Table, n), make([]time.Time, n)
	s.started = slices.Repeat([]time.Time{epoch.Add(-time.Hour)}, n)
	for i := range n {
		s.tables[i] = newSharingTable()
	}
	return s
}

// newSharingTable returns the table of an instance that exchanges reports with others.
func newSharingTable() *Table {
	table := NewTable()
	table.EnableSharing()
	return table
}

// partitioned reports whether two instances are on different sides of a network partition.
func (s *sim) partitioned(a, b int) bool {
	return s.now.Before(s.partitionedUntil) && (a < s.partitionSize) != (b < s.partitionSize)
}

func (s *sim) send(from, to int, reports []Report) {
	if len(reports) == 0 || s.partitioned(from, to) {
		return
	}
	for range 1 + s.rng.IntN(2)*s.rng.IntN(2) {
		if s.rng.Float64() >= simLossRate {
			s.inTransit = append(s.inTransit, datagram{
				to: to, arrival: s.now.Add(time.Duration(s.rng.Int64N(int64(simMaxDelay)))), reports: reports,
			})
		}
	}
}

// changesDue reports whether an instance sends its queued changes now: at once, and again after
// RepeatDelay.
func (s *sim) changesDue(i int) bool {
	select {
	case <-s.tables[i].Changed():
	default:
		if s.now.Before(s.repeatAt[i]) {
			return false
		}
	}
	s.repeatAt[i] = s.now.Add(RepeatDelay)
	return true
}

// gossip makes instances exchange reports.
func (s *sim) gossip(elapsed time.Duration) {
	for i, table := range s.tables {
		if s.changesDue(i) {
			reports := table.PendingReports(12, s.now)
			for j := range s.tables {
				if j != i {
					s.send(i, j, reports)
				}
			}
		}
		if elapsed%simAntiEntropyInterval == 0 {
			j := s.rng.IntN(len(s.tables))
			s.send(i, j, table.AntiEntropyReports(4, s.now))
			s.send(j, i, s.tables[j].AntiEntropyReports(4, s.now))
		}
	}
	s.inTransit = slices.DeleteFunc(s.inTransit, func(p datagram) bool {
		if p.arrival.After(s.now) {
			return false
		}
		for _, n := range p.reports {
			s.tables[p.to].Merge(n, s.now)
		}
		return true
	})
}

// converged reports whether an instance has been running, and connected to the others, for long
// enough.
func (s *sim) converged(i int) bool {
	return s.now.Sub(s.started[i]) > simConvergenceTime && s.now.Sub(s.partitionedUntil) > simConvergenceTime
}

// requestKey returns the key of the crashing or of the harmless request.
func requestKey(crashing bool) Key {
	if crashing {
		return key(0)
	}
	return key(1)
}

// submit submits one attempt of a request through an instance.
func (s *sim) submit(i int, crashing bool) {
	admission := s.tables[i].Admit(requestKey(crashing), s.now)
	switch admission.Verdict {
	case Quarantined:
		s.refuse(crashing, admission.RetryAfter)
	case Suspect:
		s.claims = append(s.claims, simClaim{instance: i, confirmAt: s.now.Add(admission.SettleTime), id: admission.ClaimID, crashing: crashing})
	case Sound:
		s.sendToLeafs(i, crashing, false)
	}
}

// refuse refuses an attempt. Most callers of the crashing request come back when they may.
func (s *sim) refuse(crashing bool, retryAfter time.Duration) {
	switch {
	case !crashing:
		s.refused++
	case s.rng.IntN(4) > 0 && len(s.returns) < 40:
		s.returns = append(s.returns, s.now.Add(retryAfter))
	}
}

// confirmClaims tries the requests whose claims have settled.
func (s *sim) confirmClaims() {
	s.claims = slices.DeleteFunc(s.claims, func(c simClaim) bool {
		if c.confirmAt.After(s.now) {
			return false
		}
		if s.started[c.instance].After(c.confirmAt.Add(-claimSettleTime)) {
			return true // The instance was restarted.
		}
		if s.tables[c.instance].ConfirmTrial(requestKey(c.crashing), c.id, s.now.Add(time.Second), s.now) {
			s.sendToLeafs(c.instance, c.crashing, true)
		} else {
			s.refuse(c.crashing, TrialRetryAfter)
		}
		return true
	})
}

// sendToLeafs sends one attempt to a leaf of each shard, or of one if it is a trial.
func (s *sim) sendToLeafs(i int, crashing, trial bool) {
	first, last := 0, s.shards
	if trial {
		first = s.rng.IntN(s.shards)
		last = first + 1
	}
	var at []int
	for shard := first; shard < last; shard++ {
		at = append(at, shard*simReplicas+s.rng.IntN(simReplicas))
	}
	s.attempts++
	if crashing && s.leafsCrashed >= 3 && s.now.Sub(s.thirdCrashAt) > simConvergenceTime && s.converged(i) {
		s.lateRetries++
	}
	s.inFlight = append(s.inFlight, simRequest{
		instance: i, began: s.now,
		doneAt:   s.now.Add(time.Duration(5+s.rng.IntN(80)) * time.Millisecond),
		crashing: crashing, trial: trial, leafs: at, attempt: s.attempts,
		unresolved: crashing && trial && s.rng.IntN(3) == 0,
	})
}

// completeDue records the outcome of the requests that are due. A crashing request crashes its
// leafs; harmless requests that are in flight there fail.
func (s *sim) completeDue(crashing, harmless Key) {
	var left []simRequest
	for _, r := range s.inFlight {
		if r.doneAt.After(s.now) {
			left = append(left, r)
			continue
		}
		if !r.crashing {
			s.completeHarmless(r, harmless)
			continue
		}
		if r.unresolved {
			s.tables[r.instance].RecordTrial(crashing, Unresolved, s.now)
			continue
		}
		for _, leaf := range r.leafs {
			s.incarnations[leaf]++
			s.crashedAt[leaf] = s.now
			s.leafsCrashed++
			s.recordLeafCrash(r, crashing, leaf)
		}
		if s.leafsCrashed >= 3 && s.thirdCrashAt.IsZero() {
			s.thirdCrashAt = s.now
		}
		if r.trial {
			s.tables[r.instance].RecordTrial(crashing, LeafCrashed, s.now)
		}
	}
	s.inFlight = left
}

// recordLeafCrash makes an instance record that a leaf crashed.
func (s *sim) recordLeafCrash(r simRequest, k Key, leaf int) {
	name := fmt.Sprint(leaf, "/", s.incarnations[leaf])
	s.tables[r.instance].RecordLeafCrash(k, fmt.Sprint(r.attempt), name, "s", r.began, s.now)
}

// completeHarmless records the outcome of the harmless request.
func (s *sim) completeHarmless(r simRequest, k Key) {
	trial := Answered
	for _, leaf := range r.leafs {
		if s.crashedAt[leaf].After(r.began) {
			trial = LeafCrashed
			s.recordLeafCrash(r, k, leaf)
		}
	}
	if trial == Answered {
		s.served++
	}
	if r.trial {
		s.tables[r.instance].RecordTrial(k, trial, s.now)
	}
}
