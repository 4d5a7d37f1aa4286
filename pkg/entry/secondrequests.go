package entry

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// Limits of second requests, which are hedged requests and retries.
const (
	// budgetWindow is the time window over which the budget's percentage applies.
	// budgetBurst is the number of second requests to a shard that are allowed beyond
	// the percentage; without it none could be sent before there is any traffic.
	budgetWindow = 10 * time.Second
	budgetBurst  = 2
	// hedgeMedianFactor is the delay of a hedged request in multiples of the median
	// reply time. For exponentially distributed reply times, 3 medians are about the
	// 90th percentile ("The Tail at Scale", Dean and Barroso, 2013).
	hedgeMedianFactor = 3
)

// answerMargin is the part of the caller's timeout that is reserved to gather and write
// the answer.
const answerMargin = 3 * time.Millisecond

// secondRequestBudget returns the budget that limits the second requests to a shard,
// hedged requests and retries alike, to pct percent of its requests; 0 allows none.
func secondRequestBudget(pct int) replica.BudgetOptions {
	opts := replica.BudgetOptions{Ratio: float64(pct) / 100, Window: budgetWindow}
	if pct > 0 {
		opts.Burst = budgetBurst
	}
	return opts
}

// gatewayOptions returns the gateway's options for the given settings. An answer waits
// for every shard until the caller's deadline, because a caller of this API states its
// timeout and learns from the answer which shards are missing.
func gatewayOptions(s *settings.Entry) gateway.Options {
	fanoutOptions := fanout.Options{AnswerMargin: answerMargin, MinHedgeDelay: settings.Duration(s.MinHedgeDelayMs)}
	if s.Policy == settings.PolicyHedged {
		fanoutOptions.HedgeTypicalFactor = hedgeMedianFactor
	}
	return gateway.Options{
		Fanout: fanoutOptions, MaxInFlight: s.MaxInFlight, Workers: s.Workers, CancelLosingCalls: true,
		DefaultTimeout: settings.Duration(s.DefaultTimeoutMs), AnswerMargin: answerMargin,
		RetryAfter: settings.Duration(s.RetryAfterMs),
	}
}
