package succession

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

const window = 10 * time.Second

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// counts returns the counts of n services.
func counts(n int) []replica.SentCounts {
	out := make([]replica.SentCounts, n)
	for i := range out {
		out[i] = replica.SentCounts{Service: fmt.Sprintf("service-%03d", i), Buckets: []uint32{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}}
	}
	return out
}

// deliver passes all parts of a report to the keeper except those for which lost returns true.
func deliver(k *Keeper, processID uint64, r Report, now time.Time, lost func(part int) bool) {
	for i, part := range r.Split() {
		if !lost(i) {
			k.Receive("x", processID, part, now)
		}
	}
}

func never(int) bool { return false }

// answer passes the answer of a keeper to a successor and returns what it learned.
func answer(t *testing.T, k *Keeper, s *Successor, now time.Time, lost func(part int) bool) (services map[string]replica.SentCounts, complete bool) {
	services = make(map[string]replica.SentCounts)
	r, known := k.Predecessor("x", 2, now)
	require.True(t, known)
	for i, part := range r.Split() {
		if lost(i) {
			continue
		}
		learned, done := s.Receive("k", part, now)
		complete = complete || done
		for _, c := range learned {
			services[c.Service] = c
		}
	}
	return services, complete
}

// Guards against a process that takes part of what its predecessor has sent for all of it.
func TestSuccessorWaitsForAllParts(t *testing.T) {
	all := Report{Services: counts(200), Full: true}
	require.Greater(t, len(all.Split()), 4)
	for name, tc := range map[string]struct {
		lostReport, lostAnswer func(int) bool
		silence                time.Duration
		final, complete        bool
	}{
		"all received":             {never, never, 0, false, true},
		"part of the report lost":  {func(i int) bool { return i == 2 }, never, 0, false, false},
		"first part lost":          {func(i int) bool { return i == 0 }, never, 0, false, false},
		"part of the answer lost":  {never, func(i int) bool { return i == 2 }, 0, false, false},
		"cut off before its end":   {never, never, maxSilence + time.Millisecond, false, false},
		"stopped some seconds ago": {never, never, 3 * time.Second, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			k := NewKeeper(window)
			r := all
			r.Final = tc.final
			deliver(k, 1, r, start, tc.lostReport)
			s := NewSuccessor(true, window, start)
			now := start.Add(tc.silence)
			_, complete := answer(t, k, s, now, tc.lostAnswer)
			require.Equal(t, tc.complete, complete)
			require.Equal(t, !tc.complete, s.Waiting(now))
			// The next answer arrives whole.
			answer(t, k, s, now.Add(askInterval), never)
			require.Equal(t, !tc.complete && name != "part of the answer lost", s.Waiting(now.Add(askInterval)))
		})
	}
}

// Guards against counts that are taken for newer or older than they are.
func TestCountsKeepTheirAge(t *testing.T) {
	k := NewKeeper(window)
	deliver(k, 1, Report{Services: counts(2), Full: true}, at(0), never)
	deliver(k, 1, Report{Services: counts(1)}, at(700), never)
	s := NewSuccessor(true, window, at(1000))
	services, complete := answer(t, k, s, at(1200), never)
	require.True(t, complete)
	require.Equal(t, uint64(500), services["service-000"].AgeMs)
	require.Equal(t, uint64(1200), services["service-001"].AgeMs)
}

// Guards against a process that gets back its own reports as those of its predecessor, and against
// records that are kept for good.
func TestKeeperKeepsOneProcessForSomeTime(t *testing.T) {
	k := NewKeeper(window)
	deliver(k, 1, Report{Services: counts(1), Full: true}, at(0), never)
	_, known := k.Predecessor("x", 1, at(0))
	require.False(t, known)
	_, known = k.Predecessor("y", 1, at(0))
	require.False(t, known)
	deliver(k, 2, Report{Full: true}, at(100), never)
	r, known := k.Predecessor("x", 3, at(100))
	require.True(t, known)
	require.Empty(t, r.Services, "the process before the last one is not the predecessor")
	k.Receive("y", 1, Report{Full: true, Parts: 1}, at(30000))
	require.Len(t, k.records, 1)
}

// Guards against reports of a peer that exhaust the memory or make the instance panic.
func TestInvalidReportsAreIgnored(t *testing.T) {
	for name, r := range map[string]Report{
		"no parts":          {},
		"too many parts":    {Parts: maxParts + 1},
		"part out of range": {Part: 3, Parts: 3},
		"negative part":     {Part: -1, Parts: 2},
		"no service name":   {Parts: 1, Services: []replica.SentCounts{{Buckets: []uint32{1}}}},
		"too many buckets":  {Parts: 1, Services: []replica.SentCounts{{Service: "s", Buckets: make([]uint32, maxBuckets+1)}}},
		"negative zone":     {Parts: 1, Zone: ZoneSize{Members: -1}},
	} {
		t.Run(name, func(t *testing.T) {
			k := NewKeeper(window)
			r.Full = true
			k.Receive("x", 1, r, start)
			require.Empty(t, k.records)
			_, complete := NewSuccessor(true, window, start).Receive("k", r, start)
			require.False(t, complete)
		})
	}
	k := NewKeeper(window)
	for i := range maxRecords + 10 {
		k.Receive(fmt.Sprint(i), 1, Report{Parts: 1}, start)
	}
	require.Len(t, k.records, maxRecords)
}

// Guards against reports in each tick of an instance that sends nothing, and against changes that are
// sent once only.
func TestChangesAreReportedTwice(t *testing.T) {
	var r Reporter
	fulls, deltas := 0, 0
	for ms := 0; ms < 10_000; ms += 20 {
		since, full, due := r.Due(at(ms))
		switch {
		case full:
			fulls++
		case due:
			deltas++
			require.Equal(t, 2*changeInterval, at(ms).Sub(since))
		}
	}
	require.Equal(t, 11, fulls) // The second report is full, too: the first one may be lost.
	require.Equal(t, 89, deltas)
}
