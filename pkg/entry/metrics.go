package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

type entryMetrics struct {
	set           *metrics.Set
	leafCalls     *metrics.Counter
	cancels       *metrics.Counter
	cancelsFailed *metrics.Counter
	callersLeft   *metrics.Counter
	pauses        *metrics.Counter
	mismatched    *metrics.Counter
	shed          *metrics.Counter
	latency       *metrics.Histogram
}

func newEntryMetrics(set *metrics.Set) *entryMetrics {
	return &entryMetrics{
		set:           set,
		leafCalls:     set.NewCounter("entry_leaf_calls_total"),
		pauses:        set.NewCounter("entry_pauses_total"),
		mismatched:    set.NewCounter("entry_leaf_replies_mismatched_total"),
		cancels:       set.NewCounter("entry_leaf_cancels_total"),
		cancelsFailed: set.NewCounter("entry_leaf_cancels_failed_total"),
		callersLeft:   set.NewCounter("entry_callers_left_total"),
		shed:          set.NewCounter("entry_requests_shed_total"),
		latency:       set.NewHistogram("entry_answer_seconds"),
	}
}

// answered counts one answer by path and result code.
func (m *entryMetrics) answered(path string, code errcode.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`entry_answers_total{path=%q,code=%q}`, path, code)).Inc()
}

// missing counts one shard left out of an answer, by reason.
func (m *entryMetrics) missing(code errcode.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`entry_shards_missing_total{code=%q}`, code)).Inc()
}
