package entry

import (
	"context"
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Hedging bounds.
const (
	// budgetCap bounds the hedges saved up in quiet times, so a burst of
	// slowness cannot spend more than this at once.
	budgetCap = 20
	// hedgeQuantile of a leaf's recent latencies is how long the first
	// request may take before a hedge is sent ("The Tail at Scale", Dean
	// and Barroso, 2013). A mean-plus-deviations delay, tried first, sat
	// above the stragglers themselves on bimodal latencies and cut nothing
	// (docs/BENCH.md).
	hedgeQuantile = 0.9
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
	floor := time.Duration(e.set.HedgeMinMs) * time.Millisecond
	ms, ok := e.backends.quantile(c.row, hedgeQuantile)
	if !ok {
		return floor
	}
	return max(time.Duration(ms*float64(time.Millisecond)), floor)
}

// hedged sends a search to the first candidate and, if it has not answered
// within the hedge delay and the budget allows, to the next one too; the
// first good reply wins. A failed reply moves on at once, as callShard does.
func (e *Entry) hedged(ctx context.Context, leaf wire.LeafRequest, cands []candidate) shardResult {
	replies := make(chan shardResult, min(len(cands), maxAttempts))
	sent, pending := 0, 0
	launch := func() bool {
		c := cands[sent]
		if err := e.pool.Submit(func() { replies <- e.send(ctx, c, leaf) }); err != nil {
			return false
		}
		sent++
		pending++
		return true
	}
	e.budget.deposit()
	if !launch() {
		return shardResult{shard: leaf.Shard, code: errcode.EntryOverloaded, msg: "worker pool full: not run"}
	}
	timer := time.NewTimer(e.hedgeDelay(cands[0]))
	defer timer.Stop()
	last := shardResult{shard: leaf.Shard, code: errcode.ShardTimeout, msg: "deadline passed"}
	more := func() bool { return sent < len(cands) && sent < maxAttempts }
	for pending > 0 {
		select {
		case r := <-replies:
			pending--
			last = r
			if r.code == errcode.OK {
				return r
			}
			if retryable(leaf.Kind, r.code) && more() && launch() {
				e.stats.retries.Inc()
			}
		case <-timer.C:
			if more() && e.budget.take() && launch() {
				e.stats.hedges.Inc()
			}
		case <-ctx.Done():
			return shardResult{shard: leaf.Shard, code: errcode.ShardTimeout, msg: "deadline passed"}
		}
	}
	return last
}
