package gateway

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/priority"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/returns"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Stats holds the gateway's counters and latency histograms (docs/METRICS.md). Label values
// come from small fixed sets: neither routes nor leafs are labels.
type Stats struct {
	set *metrics.Set
}

// NewStats returns the gateway's metrics, each of which is registered in set by its first use.
func NewStats(set *metrics.Set) *Stats { return &Stats{set: set} }

// registerQuarantine registers the gauges of the quarantine table.
func (s *Stats) registerQuarantine(table *quarantine.Table) {
	gauge := func(name string, f func() float64) { s.set.NewGauge(name, f) }
	gauge("gateway_requests_suspect", func() float64 { return float64(table.Count(quarantine.Suspect, time.Now())) })
	gauge("gateway_requests_quarantined", func() float64 { return float64(table.Count(quarantine.Quarantined, time.Now())) })
	gauge("gateway_probation_left_seconds", func() float64 { return table.ProbationLeft(time.Now()).Seconds() })
	counts := table.Counts()
	gauge("gateway_leafs_ended", func() float64 { return float64(counts.LeafsCrashed.Load()) })
	gauge("gateway_request_trials", func() float64 { return float64(counts.Trials.Load()) })
	gauge("gateway_requests_cleared", func() float64 { return float64(counts.Cleared.Load()) })
}

// trialEnded counts a trial by its result.
func (s *Stats) trialEnded(result quarantine.TrialOutcome) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`gateway_trials_ended_total{result=%q}`, result.String())).Inc()
}

// claimLost counts a trial that was not made because another instance claimed it.
func (s *Stats) claimLost() { s.set.GetOrCreateCounter(`gateway_trial_claims_lost_total`).Inc() }

// registerReturns registers the gauges of the planned returns.
func (s *Stats) registerReturns(counts *returns.Counts) {
	gauge := func(name string, count *atomic.Int64) {
		s.set.NewGauge(name, func() float64 { return float64(count.Load()) })
	}
	gauge("gateway_returns_promised", &counts.Made)
	gauge("gateway_returns_kept", &counts.Kept)
	gauge("gateway_returns_missed", &counts.Missed)
	gauge("gateway_returns_without_slot", &counts.NoSlot)
}

// brokenPromise counts a caller that returned when it was promised a place and was refused.
func (s *Stats) brokenPromise() { s.set.GetOrCreateCounter(`gateway_returns_broken_total`).Inc() }

func (s *Stats) answered(route *routing.Route, code errcode.Code, took time.Duration) {
	kind := route.Kind.String()
	s.set.GetOrCreateCounter(fmt.Sprintf(`gateway_answers_total{kind=%q,code=%q}`, kind, code.String())).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`gateway_answer_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

func (s *Stats) refused(code errcode.Code) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`gateway_refusals_total{code=%q}`, code.String())).Inc()
}

// maxRankLabel is the highest rank with a label of its own; higher ones share a label.
const maxRankLabel = 7

// rankLabel returns the label value of a rank.
func rankLabel(rank int) string {
	if rank > maxRankLabel {
		return fmt.Sprintf("%d+", maxRankLabel+1)
	}
	return strconv.Itoa(rank)
}

// admittedByRank counts an admission decision on a query of a controlled group.
func (s *Stats) admittedByRank(rank int, admitted bool) {
	decision := "refused"
	if admitted {
		decision = "admitted"
	}
	s.set.GetOrCreateCounter(fmt.Sprintf(`gateway_rank_decisions_total{rank=%q,decision=%q}`, rankLabel(rank), decision)).Inc()
}

// registerShares registers a gauge of the smallest admitted share for each controlled rank.
func (s *Stats) registerShares(c *priority.Controller) {
	for _, rank := range c.Ranks() {
		label := rankLabel(rank)
		s.set.GetOrCreateGauge(fmt.Sprintf(`gateway_rank_admitted_share{rank=%q}`, label), func() float64 {
			return c.MinShare(func(r int) bool { return rankLabel(r) == label })
		})
	}
}

func (s *Stats) refusedForBacklog(rank int) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`gateway_backlog_refusals_total{rank=%q}`, rankLabel(rank))).Inc()
}

func (s *Stats) partialAnswer() {
	s.set.GetOrCreateCounter(`gateway_partial_answers_total`).Inc()
}

func (s *Stats) secondRequest(why string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`gateway_second_requests_total{why=%q}`, why)).Inc()
}

func (s *Stats) overAttempts(shards int) {
	if shards > 0 {
		s.set.GetOrCreateCounter(`gateway_shards_over_attempts_total`).Add(shards)
	}
}

func (s *Stats) malformedLoad() {
	s.set.GetOrCreateCounter(`gateway_leaf_loads_malformed_total`).Inc()
}

// zoneEmptied records the time from the start of a zone's evacuation to the end of its last
// request.
func (s *Stats) zoneEmptied(took time.Duration) {
	s.set.GetOrCreateHistogram(`gateway_evacuation_seconds`).Update(took.Seconds())
}

func (s *Stats) callerDisconnected() { s.set.GetOrCreateCounter(`gateway_callers_left_total`).Inc() }

func (s *Stats) leafCall(outcome replica.Outcome, took time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`gateway_leaf_calls_total{outcome=%q}`, outcome.String())).Inc()
	if outcome == replica.Answered {
		s.set.GetOrCreateHistogram(`gateway_leaf_reply_seconds`).Update(took.Seconds())
	}
}
