package entry

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// Hedging bounds.
const (
	// hedgeWindow is the span over which the percentage holds, and
	// hedgeBurst what may be sent beyond it: half a search over 20 shards,
	// before there is any traffic to take a percentage of.
	hedgeWindow = 10 * time.Second
	hedgeBurst  = 10
	// hedgeRank is the rank, among a window of sorted latencies, of how long
	// the first request may take before a hedge is sent: the 90th percentile
	// ("The Tail at Scale", Dean and Barroso, 2013). A mean-plus-deviations
	// delay, tried first, sat above the stragglers themselves on bimodal
	// latencies and cut nothing (docs/BENCH.md).
	hedgeRank = (latencyWindow - 1) * 9 / 10
)

// newHedgeBudget keeps hedges within pct percent of the leaf requests of the
// last ten seconds, and hedgeBurst more. Without a budget, a backend server that
// turns slow for everyone would double its own load exactly when it can least
// take it.
func newHedgeBudget(pct int) *replica.Budget {
	opts := replica.BudgetOptions{Ratio: float64(pct) / 100, Window: hedgeWindow}
	if pct > 0 {
		opts.Burst = hedgeBurst
	}
	return replica.NewBudget(opts)
}

// hedgeDelay is how long to wait for the first leaf before asking a second:
// the 90th percentile of its recent latencies, at least hedge_min_ms (and
// exactly that until a window of samples is in).
func (e *Entry) hedgeDelay(c candidate) time.Duration {
	floor := settings.Duration(e.set.HedgeMinMs)
	return max(fromMs(e.backends.hedgeAt(c.row)), floor)
}
