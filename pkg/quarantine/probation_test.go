package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testProbation = 10 * time.Second

// Guards against requests whose quarantine was lost with all instances: until the knowledge of an
// instance reaches back far enough, requests that no leaf has answered are unproven.
func TestRequestsAreUnprovenAfterStart(t *testing.T) {
	table := NewTable()
	require.False(t, table.Admit(key(1), epoch).Unproven, "a table without probation")
	table.StartProbation(testProbation, epoch)
	require.True(t, table.Admit(key(1), at(time.Second)).Unproven)
	require.False(t, table.Admit(Key{}, at(time.Second)).Unproven, "a request without a key")
	table.RecordAnswered(key(1), at(time.Second))
	require.False(t, table.Admit(key(1), at(time.Second)).Unproven)
	require.True(t, table.Admit(key(2), at(time.Second)).Unproven)
	require.Equal(t, testProbation-time.Second, table.ProbationLeft(at(time.Second)))
	require.Zero(t, table.ProbationLeft(at(time.Hour)))
	require.False(t, table.Admit(key(2), at(testProbation)).Unproven, "the probation has ended")
	for n := range 2 * maxProven {
		table.RecordAnswered(key(n), at(time.Second))
	}
	require.Len(t, table.probation.proven, maxProven)
}

// The first crash of a leaf that runs an unproven request quarantines it: the callers of a request
// whose quarantine was lost crash one leaf, not three. A proven one is suspected as usual.
func TestCrashUnderUnprovenRequestIsATrial(t *testing.T) {
	table := NewTable()
	table.StartProbation(testProbation, epoch)
	now := at(time.Second)
	change := table.RecordLeafCrash(key(1), "r1", "a", "s", epoch, now)
	require.Equal(t, Quarantined, change.To)
	require.Equal(t, 30*time.Second, change.QuarantinedFor)
	table.RecordLeafCrash(key(1), "r2", "b", "s", epoch, now)
	require.Equal(t, 30*time.Second, table.Remaining(key(1), now), "a crash under an attempt that was in flight as well")
	require.Equal(t, Suspect, table.Admit(key(1), at(31*time.Second)).Verdict)
	table.RecordAnswered(key(2), now)
	require.Equal(t, Sound, table.RecordLeafCrash(key(2), "r3", "b", "s", epoch, now).To)
}

// An instance that has received all that an older one knows needs no probation. A message that does
// not hold all of it, or comes from an instance that has just started as well, does not end it.
func TestHistoryOfOlderInstanceEndsProbation(t *testing.T) {
	old, k := tableWithSuspect()
	old.StartProbation(testProbation, epoch)
	started := NewTable()
	started.StartProbation(testProbation, at(time.Hour))
	now := at(time.Hour + time.Second)
	require.Zero(t, old.History(0, now), "one suspect is missing")
	require.Equal(t, time.Second, started.History(0, now))
	started.MergeHistory(time.Second, now)
	require.True(t, started.Admit(k, now).Unproven)
	for _, report := range old.AntiEntropyReports(4, now) {
		started.Merge(report, now)
	}
	started.MergeHistory(old.History(1, now), now)
	require.Equal(t, Suspect, started.Admit(k, now).Verdict)
	require.False(t, started.Admit(key(1), now).Unproven)
	require.Greater(t, started.History(1, now), testProbation, "it can pass the knowledge on")
}
