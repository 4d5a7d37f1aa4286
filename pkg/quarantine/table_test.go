package quarantine

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// key returns the n-th key.
func key(n int) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(n)+1)
	return k
}

// tableWithSuspect returns a table with one suspected request, of service s.
func tableWithSuspect() (*Table, Key) {
	t, k := NewTable(), key(0)
	for _, leaf := range []string{"a", "b"} {
		t.RecordLeafCrash(k, "first", leaf, "s", epoch, at(10*time.Millisecond))
	}
	return t, k
}

// A request during which leafs crashed is tried at one leaf, and quarantined if that leaf crashes,
// too.
func TestRequestThatCrashesLeafsIsQuarantined(t *testing.T) {
	table, k := NewTable(), key(0)
	require.Equal(t, Sound, table.Admit(k, epoch).Verdict)
	require.False(t, table.RecordLeafCrash(k, "r1", "a", "s", epoch, at(time.Millisecond)).Changed())
	require.Equal(t, Sound, table.Verdict(k, at(time.Millisecond)), "a single leaf may have ended for another reason")
	change := table.RecordLeafCrash(k, "r1", "b", "s2", epoch, at(2*time.Millisecond))
	require.Equal(t, Suspect, change.To)
	admission := table.Admit(k, at(time.Second))
	require.Equal(t, Suspect, admission.Verdict)
	require.Equal(t, "s2", admission.Service)
	require.Equal(t, Quarantined, table.Admit(k, at(time.Second)).Verdict, "only one trial at a time")
	table.RecordLeafCrash(k, "r2", "c", "s", at(time.Second), at(1010*time.Millisecond))
	change = table.RecordTrial(k, LeafCrashed, at(1010*time.Millisecond))
	require.Equal(t, Quarantined, change.To)
	require.Equal(t, 10*time.Second, change.QuarantinedFor)
	require.Equal(t, 5*time.Second, table.Admit(k, at(6010*time.Millisecond)).RetryAfter)
	require.Equal(t, Sound, table.Admit(key(1), at(2*time.Second)).Verdict, "other requests are not affected")
	require.Equal(t, Sound, table.Admit(Key{}, at(2*time.Second)).Verdict, "a request without a key is not affected")
}

// A request that was in flight by chance when leafs crashed is cleared when a leaf answers it.
func TestAnsweredTrialClearsSuspect(t *testing.T) {
	table, k := tableWithSuspect()
	require.Equal(t, Suspect, table.Admit(k, at(time.Second)).Verdict)
	change := table.RecordTrial(k, Answered, at(1020*time.Millisecond))
	require.True(t, change.Changed())
	require.Equal(t, Sound, change.To)
	require.Equal(t, Sound, table.Admit(k, at(2*time.Second)).Verdict)
	require.Zero(t, table.Count(Suspect, at(2*time.Second)))
}

// A request that always crashes its leaf is sent to at most three leafs in a day, however often
// it arrives.
func TestTrialsPerDayAreLimited(t *testing.T) {
	table, k := tableWithSuspect()
	trials := 0
	for now := at(time.Second); now.Before(at(24 * time.Hour)); now = now.Add(500 * time.Millisecond) {
		table.Sweep(now)
		if table.Admit(k, now).Verdict != Suspect {
			continue
		}
		trials++
		table.RecordLeafCrash(k, "again", now.String(), "s", now, now.Add(10*time.Millisecond))
		table.RecordTrial(k, LeafCrashed, now.Add(10*time.Millisecond))
	}
	require.Equal(t, 3, trials)
}

// A trial without a result is not repeated at once, and the request stays suspected. A trial that
// no leaf received may be repeated at once.
func TestUnresolvedTrialsBackOff(t *testing.T) {
	table, k := tableWithSuspect()
	now := at(time.Second)
	for _, wait := range []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute} {
		require.Equal(t, Suspect, table.Admit(k, now).Verdict)
		require.Equal(t, wait, table.RecordTrial(k, Unresolved, now).QuarantinedFor)
		now = now.Add(wait)
	}
	require.Equal(t, Suspect, table.Admit(k, now).Verdict)
	require.False(t, table.RecordTrial(k, Unsent, now).Changed())
	require.Equal(t, Suspect, table.Admit(k, now).Verdict)
}

// Several attempts of one request that a leaf had when it crashed count as one crash.
func TestAttemptsAtOneLeafCountAsOneCrash(t *testing.T) {
	table, k := NewTable(), key(0)
	for _, attempt := range []string{"r1", "r2", "r3"} {
		table.RecordLeafCrash(k, attempt, "a", "s", epoch, at(10*time.Millisecond))
	}
	require.Equal(t, Sound, table.Verdict(k, at(time.Second)))
	table.RecordLeafCrash(k, "r4", "a", "s", at(time.Second), at(1010*time.Millisecond))
	require.Equal(t, Suspect, table.Verdict(k, at(2*time.Second)),
		"a server that restarted under the same name counts again")
}

// A flood of other requests uses a bounded amount of memory and does not evict quarantined
// requests.
func TestMemoryIsBounded(t *testing.T) {
	table, k := tableWithSuspect()
	table.Admit(k, at(time.Second))
	table.RecordTrial(k, LeafCrashed, at(time.Second))
	for n := range 3 * maxRecords {
		now := at(time.Second + time.Duration(n)*time.Millisecond/2)
		table.RecordLeafCrash(key(n+1), "r", "a", "s", now, now)
		table.Merge(Report{Key: key(-n - 10), CrashIDs: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}, now)
	}
	require.LessOrEqual(t, len(table.records), maxRecords)
	require.LessOrEqual(t, len(table.pending), maxPendingReports)
	require.Equal(t, Quarantined, table.Verdict(k, at(10*time.Second)), "a quarantined request is not evicted")
	for _, r := range table.records {
		require.LessOrEqual(t, len(r.crashIDs), maxCrashIDs)
	}
	table.Sweep(at(time.Hour))
	require.Zero(t, len(table.records))
	require.Zero(t, table.recordCount.Load())
}

// The crashes that two instances have seen are added up, and the verdict of one instance reaches
// the other.
func TestInstancesMergeReports(t *testing.T) {
	a, b, k := NewTable(), NewTable(), key(0)
	a.RecordLeafCrash(k, "r1", "x", "s", epoch, epoch)
	b.RecordLeafCrash(k, "r2", "y", "s", epoch, epoch)
	share := func(from, to *Table, now time.Time) {
		for _, n := range from.PendingReports(10, now) {
			to.Merge(n, now)
		}
	}
	share(a, b, at(time.Second))
	require.Equal(t, Suspect, b.Verdict(k, at(time.Second)))
	require.Equal(t, Suspect, b.Admit(k, at(time.Second)).Verdict)
	b.RecordTrial(k, LeafCrashed, at(time.Second))
	share(b, a, at(2*time.Second))
	require.Equal(t, 9*time.Second, a.Remaining(k, at(2*time.Second)))
	for now := at(2 * time.Second); now.Before(at(5 * time.Second)); now = now.Add(time.Second) {
		share(a, b, now)
		share(b, a, now)
	}
	require.Empty(t, a.PendingReports(10, at(5*time.Second)), "each change is sent a few times only")
	c := NewTable()
	for _, n := range a.AntiEntropyReports(10, at(6*time.Second)) {
		c.Merge(n, at(6*time.Second))
	}
	require.Equal(t, 5*time.Second, c.Remaining(k, at(6*time.Second)), "an instance that has just started")
	require.Equal(t, Suspect, b.Admit(k, at(2*time.Minute)).Verdict)
	b.RecordTrial(k, Answered, at(2*time.Minute))
	share(b, a, at(2*time.Minute))
	require.Equal(t, Sound, a.Verdict(k, at(2*time.Minute)))
}

// AntiEntropyReports continues where it stopped, so that all of many quarantined requests are
// reported.
func TestAntiEntropyReportsRotate(t *testing.T) {
	table := NewTable()
	for n := range 10 {
		for _, leaf := range []string{"a", "b"} {
			table.RecordLeafCrash(key(n), "r", leaf, "s", epoch, epoch)
		}
	}
	table.RecordLeafCrash(key(99), "r", "a", "s", epoch, epoch)
	seen := map[Key]bool{}
	for range 3 {
		reports := table.AntiEntropyReports(4, epoch)
		require.Len(t, reports, 4)
		for _, n := range reports {
			seen[n.Key] = true
		}
	}
	require.Len(t, seen, 10, "sound requests are not reported")
}

// Values in a peer's report are bounded: a peer cannot quarantine a request for longer than this
// instance would.
func TestReportedValuesAreBounded(t *testing.T) {
	table := NewTable()
	table.Merge(Report{Key: key(0), CrashIDs: []uint64{1, 2}, RemainingMs: 1<<32 - 1, Trials: 255,
		Service: string(make([]byte, 1<<16))}, epoch)
	require.LessOrEqual(t, table.Remaining(key(0), epoch), 24*time.Hour)
	require.LessOrEqual(t, len(table.records[key(0)].service), maxServiceBytes)
	require.False(t, table.Merge(Report{CrashIDs: []uint64{1, 2}}, epoch).Changed())
	require.False(t, table.Merge(Report{Key: key(1), CrashIDs: []uint64{1, 2}, AgeMs: 1<<32 - 1}, epoch).Changed(),
		"a report that is too old is ignored")
}

// Guards against long quarantines after a bad release, when leafs crash on any request. Each
// request that arrives again would be quarantined for minutes and then for a day, even after the
// release has been rolled back.
func TestQuarantineIsShortIfAllRequestsCrashLeafs(t *testing.T) {
	table := NewTable()
	now := epoch
	for round := range 4 {
		for n := range 3 * massQuarantineThreshold {
			for range 2 {
				table.RecordLeafCrash(key(n), fmt.Sprint(round), fmt.Sprint(n, round), "s", now, now)
			}
			table.RecordLeafCrash(key(n), fmt.Sprint(round), fmt.Sprint("b", n, round), "s", now, now)
			table.Admit(key(n), now)
			table.RecordTrial(key(n), LeafCrashed, now)
		}
		now = now.Add(11 * time.Second)
	}
	released := 0
	for n := range 3 * massQuarantineThreshold {
		if table.Verdict(key(n), now) != Quarantined {
			released++
		}
	}
	require.GreaterOrEqual(t, released, 2*massQuarantineThreshold, "most requests may be tried again")
}

// The configured maximum applies to requests that are quarantined already and to peers' reports.
func TestMaxDurationAppliesToExistingAndReportedQuarantines(t *testing.T) {
	table, k := tableWithSuspect()
	table.Admit(k, at(time.Second))
	table.RecordTrial(k, LeafCrashed, at(time.Second))
	table.SetMaxDuration(time.Second, at(2*time.Second))
	require.Equal(t, time.Second, table.Remaining(k, at(2*time.Second)))
	table.Merge(Report{Key: k, CrashIDs: []uint64{1, 2}, RemainingMs: 60000}, at(2*time.Second))
	require.Equal(t, time.Second, table.Remaining(k, at(2*time.Second)))
	require.Equal(t, Suspect, table.Admit(k, at(4*time.Second)).Verdict)
	require.Equal(t, time.Second, table.RecordTrial(k, LeafCrashed, at(4*time.Second)).QuarantinedFor)
}

// Guards against changes that wait for a timer before other instances learn of them, and against a
// message for each of the many crashes after a bad release. The first messages are sent at once,
// further ones at ten per second, and no change is lost.
func TestChangesAreSignalledAtOnceAndSentAtLimitedRate(t *testing.T) {
	table := NewTable()
	pacer := NewReportPacer(table)
	sent, reports := 0, 0
	for i := range 100 {
		table.RecordLeafCrash(key(i), "a", "l", "s", epoch, epoch)
		require.Len(t, table.Changed(), 1, "change %d was not signalled", i)
		<-table.Changed()
		if r := pacer.Due(12, epoch); len(r) > 0 {
			sent++
			reports += len(r)
		}
	}
	require.Equal(t, ReportBurst, sent)
	now := epoch
	for range 20 {
		now = now.Add(MeanInterval)
		reports += len(pacer.Due(12, now))
		require.Empty(t, pacer.Due(12, now), "a second message in the same interval")
	}
	require.Equal(t, 100*sendsPerReport, reports)
}

// Guards against a request that is tried every five seconds, at another instance each time. A trial
// without a result was counted by the instance that made it, so each instance began with the
// shortest pause.
func TestUnresolvedTrialsBackOffAcrossInstances(t *testing.T) {
	tables := make([]*Table, 8)
	first, k := tableWithSuspect()
	tables[0] = first
	for i := range tables[1:] {
		tables[i+1] = NewTable()
		for _, report := range first.AntiEntropyReports(4, at(time.Second)) {
			tables[i+1].Merge(report, at(time.Second))
		}
	}
	trials := 0
	for now := at(time.Second); now.Before(at(61 * time.Second)); now = now.Add(100 * time.Millisecond) {
		table := tables[int(now.Sub(epoch)/(100*time.Millisecond))%len(tables)]
		if table.Admit(k, now).Verdict != Suspect {
			continue
		}
		trials++
		table.RecordTrial(k, Unresolved, now)
		for _, other := range tables {
			if other == table {
				continue
			}
			for _, report := range table.AntiEntropyReports(4, now) {
				other.Merge(report, now)
			}
		}
	}
	require.LessOrEqual(t, trials, 3, "trials in a minute")
}

// Guards against two requests that are tried at leafs of one service together, and are both quarantined
// when one of them crashes its leaf; and against trials of many requests one after the other where the
// leafs crash on any of them.
func TestOneTrialAtATimeForAService(t *testing.T) {
	table := NewTable()
	suspect := func(n int) {
		for _, leaf := range []string{"a", "b"} {
			table.RecordLeafCrash(key(n), "r", leaf, "s", epoch, at(10*time.Millisecond))
		}
	}
	suspect(0)
	suspect(1)
	now := at(time.Second)
	require.Equal(t, Suspect, table.Admit(key(0), now).Verdict)
	require.Equal(t, Admission{Verdict: Quarantined, RetryAfter: TrialRetryAfter}, table.Admit(key(1), now))
	table.RecordTrial(key(0), Answered, now)
	require.Equal(t, Suspect, table.Admit(key(1), now).Verdict)
	for n := range massQuarantineThreshold {
		suspect(2 + n)
	}
	require.Equal(t, Suspect, table.Admit(key(2), now).Verdict)
	require.Equal(t, Quarantined, table.Admit(key(2), now).Verdict, "it is being tried itself")
}
