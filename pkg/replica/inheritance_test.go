package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two processes of an instance that together send more than one may, and against counts that are added again with each copy that arrives.
func TestSuccessorContinuesTheBudgetOfItsPredecessor(t *testing.T) {
	opts := Options{Budget: BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Burst: 5}}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		first, second := NewTable(opts), NewTable(opts)
		now := time.Unix(1000, 0)
		restart := now.Add(time.Duration(3+rng.IntN(9)) * time.Second)
		current, restarted := first, false
		var requests, secondRequests []time.Time
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			if !restarted && now.After(restart) {
				counts := first.SentSecondRequests(time.Time{}, now)
				age := time.Duration(rng.IntN(2000)) * time.Millisecond
				now = now.Add(age)
				for i := range counts {
					counts[i].AgeMs = uint64(age.Milliseconds())
				}
				for range 2 {
					second.InheritSecondRequests(counts, now)
				}
				current, restarted = second, true
			}
			current.CountRequest("s", now)
			requests = append(requests, now)
			if rng.IntN(2) > 0 && current.TakeSecondRequestBudget("s", now) {
				secondRequests = append(secondRequests, now)
				allowed := 5 + 0.2*float64(countSince(requests, now.Add(-10*time.Second)))
				require.LessOrEqual(t, float64(countSince(secondRequests, now.Add(-10*time.Second))), allowed, "seed %d", seed)
			}
		}
		require.True(t, restarted)
	}
}

// countSince returns how many times are after from.
func countSince(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}

// Guards against a hold that never ends, or that does not apply.
func TestHeldSecondRequests(t *testing.T) {
	table, now := NewTable(Options{Budget: BudgetOptions{Window: 10 * time.Second, Burst: 5}}), time.Unix(1000, 0)
	table.HoldSecondRequests(now.Add(time.Second))
	require.False(t, table.HasSecondRequestBudget("s", now))
	require.False(t, table.TakeSecondRequestBudget("s", now))
	require.True(t, table.SecondRequestsHeld(now))
	require.True(t, table.TakeSecondRequestBudget("s", now.Add(time.Second)))
	table.HoldSecondRequests(now.Add(time.Minute))
	table.HoldSecondRequests(time.Time{})
	require.True(t, table.HasSecondRequestBudget("s", now.Add(time.Second)))
}

// Guards against counts from another process that exceed the ring of buckets or overflow.
func TestInheritedCountsAreBounded(t *testing.T) {
	table, now := NewTable(Options{Budget: BudgetOptions{Window: 10 * time.Second, Burst: 5}}), time.Unix(1000, 0)
	for _, age := range []uint64{0, 999, 1000, 10_999, 11_000, 1 << 40, 1<<64 - 1} {
		table.InheritSecondRequests([]SentCounts{{Service: "s", Buckets: []uint32{1<<32 - 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, AgeMs: age}}, now)
	}
	require.False(t, table.TakeSecondRequestBudget("s", now))
	require.True(t, table.TakeSecondRequestBudget("s", now.Add(12*time.Second)))
}
