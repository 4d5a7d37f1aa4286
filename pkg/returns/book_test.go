package returns

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(10000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// admitting returns a book for whose route "q" n requests per second were admitted in the second
// before at(1000).
func admitting(n int) *Book {
	b := NewBook()
	for i := range n {
		b.RecordAdmission("q", epoch.Add(time.Duration(i)*time.Second/time.Duration(n)))
	}
	return b
}

const patient = time.Hour

// Guards against returns that come faster than 0.15 of the admissions, together, or before the
// queues have drained.
func TestPromisesAreEvenlySpacedAtTheReservedRate(t *testing.T) {
	b := admitting(167)
	for i := range 10 {
		hint, promised := b.Promise("q", patient, at(1000))
		require.True(t, promised)
		require.InDelta(t, float64(100+40*i), hint.Seconds()*1000, 0.25*float64(100+40*i), "promise %d", i)
	}
	hint, _ := b.Promise("q", patient, at(1000))
	next, _ := b.Promise("q", patient, at(1000))
	require.InDelta(t, 40, (next-hint).Seconds()*1000, 5)
	require.EqualValues(t, 12, b.Counts().Made.Load())
}

// Guards against callers that are told to return although no capacity will come within the time for
// which they wait: they must be told at once, and must not use up a place.
func TestCallerWithoutSlotGetsItsWholeRemainingTime(t *testing.T) {
	b := admitting(167)
	promises := 0
	for range 100 {
		hint, promised := b.Promise("q", 1200*time.Millisecond, at(1000))
		if promised {
			promises++
			require.LessOrEqual(t, hint, 400*time.Millisecond)
			continue
		}
		require.Equal(t, 1200*time.Millisecond, hint)
	}
	require.InDelta(t, 8, promises, 1) // 25 per second from 100 to 400 ms.
	require.EqualValues(t, 100-promises, b.Counts().NoSlot.Load())
	_, promised := b.Promise("q", 1200*time.Millisecond, at(1200))
	require.True(t, promised, "there are free slots again")
}

// Guards against promises on a route that admits nothing, and against negative hints.
func TestNoPromisesWithoutAdmissionsOrTime(t *testing.T) {
	b := admitting(50)
	hint, promised := b.Promise("other", time.Second, at(1000))
	require.False(t, promised)
	require.Equal(t, time.Second, hint)
	hint, promised = b.Promise("q", -time.Second, at(1000))
	require.False(t, promised)
	require.Zero(t, hint)
	_, promised = b.Promise("q", patient, at(2500))
	require.False(t, promised, "nothing was admitted in the last second")
}

// Guards against callers that are admitted first before their time, long after it, twice, or
// without a promise.
func TestPromiseIsClaimedOnceAroundItsTime(t *testing.T) {
	for _, tc := range []struct {
		afterDueMs int
		want       bool
	}{{-60, false}, {-50, true}, {0, true}, {500, true}, {501, false}} {
		b := admitting(50)
		require.False(t, b.Claim("q", at(1000)), "nothing is promised")
		hint, _ := b.Promise("q", patient, at(1000))
		now := at(1000 + tc.afterDueMs).Add(hint)
		require.Equal(t, tc.want, b.Due("q", now), "due %d ms after", tc.afterDueMs)
		require.Equal(t, tc.want, b.Claim("q", now), "claimed %d ms after", tc.afterDueMs)
		require.False(t, b.Claim("q", now), "claimed twice")
		require.False(t, b.Due("q", now))
		require.Equal(t, tc.want, b.Counts().Kept.Load() == 1)
	}
	require.False(t, NewBook().Claim("unknown", epoch))
	require.False(t, NewBook().Due("unknown", epoch))
}

// Guards against a caller that retries at once and uses up the promise of one that waits.
func TestCallerThatRetriesAtOnceMayNotClaim(t *testing.T) {
	require.False(t, MayClaim(0))
	require.False(t, MayClaim(50*time.Millisecond))
	require.True(t, MayClaim(minDelay-time.Millisecond), "timeouts are stated in whole milliseconds")
	require.True(t, MayClaim(minDelay))
}

// Guards against places that stay reserved for callers that do not return.
func TestUnclaimedPromisesExpire(t *testing.T) {
	b := admitting(50)
	for range 5 {
		b.Promise("q", patient, at(1000))
	}
	b.Sweep(at(3000))
	require.EqualValues(t, 5, b.Counts().Missed.Load())
	require.Zero(t, b.Counts().Kept.Load())
	require.False(t, b.Claim("q", at(3000)))
}

// Guards against a book that depends on the date, or that stalls or grows when times arrive out of
// order: callers read the clock before they wait for the lock.
func TestDecisionsDependOnElapsedTimeOnly(t *testing.T) {
	run := func(start time.Time, jitter time.Duration) (hints []time.Duration, claims int) {
		b := NewBook()
		for i := range 3000 {
			now := start.Add(time.Duration(i) * time.Millisecond).Add(-time.Duration(i%3) * jitter)
			if i%20 == 0 {
				b.RecordAdmission("q", now)
			}
			if i%30 == 0 {
				hint, _ := b.Promise("q", time.Second, now)
				hints = append(hints, hint)
			}
			if i%40 == 0 && b.Claim("q", now) {
				claims++
			}
		}
		return hints, claims
	}
	hints, claims := run(epoch, 0)
	laterHints, laterClaims := run(epoch.AddDate(250, 0, 0), 0)
	require.Equal(t, hints, laterHints)
	require.Equal(t, claims, laterClaims)
	_, jittered := run(epoch, 5*time.Millisecond)
	require.InDelta(t, claims, jittered, 3)
}

// Guards against memory that grows with the number of refused callers or of routes.
func TestMemoryIsBounded(t *testing.T) {
	b := NewBook()
	for i := range 100_000 {
		b.RecordAdmission("q", epoch.Add(time.Duration(i)*10*time.Microsecond))
	}
	for range 5000 {
		b.Promise("q", patient, at(1000))
	}
	require.Equal(t, maxPromises, b.Dump(at(1000))[0].Promised)
	require.EqualValues(t, maxPromises, b.Counts().Made.Load())
	for i := range 1000 {
		b.RecordAdmission(fmt.Sprint("route", i), at(1000))
	}
	b.Sweep(at(30_000))
	require.Len(t, b.routes, 1001)
	b.Sweep(at(61_100))
	require.Empty(t, b.routes)
}

// The state dump shows the rate and the promises of each route by name.
func TestDump(t *testing.T) {
	b := admitting(167)
	b.RecordAdmission("a", at(900))
	for range 3 {
		b.Promise("q", patient, at(1000))
	}
	d := b.Dump(at(1060))
	require.Equal(t, []string{"a", "q"}, []string{d[0].Route, d[1].Route})
	require.Equal(t, 3, d[1].Promised)
	require.Equal(t, 1, d[1].Due)
	require.InDelta(t, 167, d[1].AdmittedPerSecond, 17)
	require.InDelta(t, 120, d[1].LastDueMs, 15)
}

// Guards against a rate that is far off right after the first admissions.
func TestRateAfterFirstAdmissions(t *testing.T) {
	var w rateWindow
	require.Zero(t, w.perSecond(epoch))
	w.add(epoch)
	require.InDelta(t, 4, w.perSecond(at(1)), 0.1)
	for i := 1; i < 50; i++ {
		w.add(at(10 * i))
	}
	require.InDelta(t, 100, w.perSecond(at(500)), 5)
	require.Zero(t, w.perSecond(at(60_000)))
	w.add(at(60_000))
	require.InDelta(t, 1, w.perSecond(at(60_050)), 0.2)
}

// BenchmarkPromiseAndClaim measures one admission, one promise and one claim. The limit is 2 µs for
// each, without allocation.
func BenchmarkPromiseAndClaim(b *testing.B) {
	book := admitting(1000)
	now := at(1000)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		book.RecordAdmission("q", now)
		book.RecordAdmission("q", now)
		book.Promise("q", time.Second, now)
		book.Claim("q", now)
	}
	if book.Counts().Kept.Load() == 0 && b.N > 1000 {
		b.Fatal("no promise was kept")
	}
}

// BenchmarkPromiseWithoutSlot measures the promise to a caller for which there is no slot, which is
// the common case in a long overload.
func BenchmarkPromiseWithoutSlot(b *testing.B) {
	book := admitting(1000)
	now := at(1000)
	for range maxPromises {
		book.Promise("q", patient, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		book.Promise("q", time.Second, now)
	}
}

// Guards against allocations on the path of each refused or returning caller.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b, now := admitting(1000), at(1000)
	step := func() {
		now = now.Add(time.Millisecond)
		b.RecordAdmission("q", now)
		b.Promise("q", time.Second, now)
		b.Claim("q", now)
		b.Due("q", now)
	}
	for range 2000 {
		step()
	}
	require.Zero(t, testing.AllocsPerRun(1000, step))
}
