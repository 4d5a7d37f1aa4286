package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restart replaces an instance by one that has to learn what the others know.
func (s *sim) restart(i int) {
	s.tables[i], s.started[i] = newSharingTable(), s.now
}

// injectFaults restarts instances and partitions the network at random.
func (s *sim) injectFaults() {
	switch s.rng.IntN(3000) {
	case 0:
		s.restart(s.rng.IntN(len(s.tables)))
	case 1:
		if s.now.After(s.partitionedUntil) {
			s.partitionSize = 1 + s.rng.IntN(len(s.tables))
			s.partitionedUntil = s.now.Add(time.Duration(s.rng.IntN(8000)) * time.Millisecond)
		}
	}
}

// run simulates simDuration, in which a crashing request arrives every few tenths of a second at
// random instances, beside a harmless request at the same rate. Its refused callers come back.
func (s *sim) run() {
	s.shards = 1 + s.rng.IntN(20)
	for elapsed := time.Duration(0); elapsed < simDuration; elapsed += simStep {
		s.now = epoch.Add(elapsed)
		s.injectFaults()
		s.gossip(elapsed)
		s.confirmClaims()
		s.completeDue(requestKey(true), requestKey(false))
		for _, crashing := range []bool{true, false} {
			if s.rng.IntN(60) == 0 {
				s.submit(s.rng.IntN(len(s.tables)), crashing)
			}
		}
		s.submitReturns()
	}
}

// submitReturns submits the attempts of the callers that come back now.
func (s *sim) submitReturns() {
	due := 0
	s.returns = slices.DeleteFunc(s.returns, func(at time.Time) bool {
		if at.After(s.now) {
			return false
		}
		due++
		return true
	})
	for range due {
		s.submit(s.rng.IntN(len(s.tables)), true)
	}
}

// Guards against a crashing request that arrives at one instance after the other, each of which
// lets it crash leafs until it has seen this itself. Instances that exchange reports, over a
// network that loses a fifth of the datagrams, with restarts and partitions, send it to leafs
// three more times at most. A harmless request in flight at the same leafs is served.
func TestFleetLimitsRetriesOfCrashingRequest(t *testing.T) {
	served, refused, crashed, maxRetries := 0, 0, 0, 0
	for seed := range uint64(300) {
		s := newSim(t, seed)
		s.run()
		require.LessOrEqual(t, s.lateRetries, 3,
			"seed %d: retries with %d instances; %d leafs ended", seed, len(s.tables), s.leafsCrashed)
		require.Greater(t, s.served, 3*s.refused,
			"seed %d: the harmless request is served all day except during one quarantine", seed)
		served, refused, crashed, maxRetries =
			served+s.served, refused+s.refused, crashed+s.leafsCrashed, max(maxRetries, s.lateRetries)
	}
	require.Less(t, 100*refused, served, "over all days, less than one in a hundred harmless requests is refused")
	t.Logf("harmless requests: %d served, %d refused; %d leafs ended in 300 days, at most %d retries",
		served, refused, crashed, maxRetries)
}
