package entry

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// Second requests.
const (
	// secondWindow is the span over which the percentage holds, and
	// secondBurst what may be sent to a shard beyond it, before there is any
	// traffic to take a percentage of.
	secondWindow = 10 * time.Second
	secondBurst  = 2
	// hedgeAtTypical is when a second request is due, in multiples of the
	// median reply time: about the 90th percentile of reply times that are
	// spread exponentially around it ("The Tail at Scale", Dean and Barroso,
	// 2013).
	hedgeAtTypical = 3
)

// replyMargin is kept back from the caller's deadline to gather and write the
// answer.
const replyMargin = 3 * time.Millisecond

// secondBudget keeps second requests to a shard, hedges and repeats alike, within
// pct percent of its requests.
func secondBudget(pct int) replica.BudgetOptions {
	opts := replica.BudgetOptions{Ratio: float64(pct) / 100, Window: secondWindow}
	if pct > 0 {
		opts.Burst = secondBurst
	}
	return opts
}

// gatewayOptions are the settings that shape how requests are run. Answers wait
// for every shard until the caller's deadline: a caller of this interface says
// how long it waits, and reads from the answer what is missing.
func gatewayOptions(s *settings.Entry) gateway.Options {
	f := fanout.Options{AnswerMargin: replyMargin, MinHedgeDelay: settings.Duration(s.HedgeMinMs)}
	if s.Policy == settings.PolicyHedged {
		f.HedgeTypicalFactor = hedgeAtTypical
	}
	return gateway.Options{
		Fanout: f, MaxInFlight: s.MaxInFlight, Workers: s.Workers, CancelLosingCalls: true,
		DefaultTimeout: settings.Duration(s.DefaultTimeoutMs), AnswerMargin: replyMargin,
		RetryAfter: settings.Duration(s.RetryAfterMs),
	}
}
