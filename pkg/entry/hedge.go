package entry

import (
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// Hedging bounds.
const (
	// budgetCap bounds the hedges saved up in quiet times, so a burst of
	// slowness cannot spend more than this at once.
	budgetCap = 20
	// hedgeRank is the rank, among a window of sorted latencies, of how long
	// the first request may take before a hedge is sent: the 90th percentile
	// ("The Tail at Scale", Dean and Barroso, 2013). A mean-plus-deviations
	// delay, tried first, sat above the stragglers themselves on bimodal
	// latencies and cut nothing (docs/BENCH.md).
	hedgeRank = (latencyWindow - 1) * 9 / 10
)

// hedgeBudget is a token bucket: each first leaf request earns pct/100 of
// a token and each hedge spends one, so hedges stay within pct percent of
// leaf requests. Without a budget, a backend server that turns slow for
// everyone would double its own load exactly when it can least take it.
type hedgeBudget struct {
	mu     sync.Mutex
	tokens float64
	earn   float64
}

func newHedgeBudget(pct int) *hedgeBudget {
	return &hedgeBudget{earn: float64(pct) / 100, tokens: budgetCap / 2}
}

func (b *hedgeBudget) deposit() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.earn, budgetCap)
	b.mu.Unlock()
}

func (b *hedgeBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// hedgeDelay is how long to wait for the first leaf before asking a second:
// the 90th percentile of its recent latencies, at least hedge_min_ms (and
// exactly that until a window of samples is in).
func (e *Entry) hedgeDelay(c candidate) time.Duration {
	floor := settings.Duration(e.set.HedgeMinMs)
	return max(fromMs(e.backends.hedgeAt(c.row)), floor)
}
