package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

// entryMetrics holds the metrics of an entry instance.
type entryMetrics struct {
	set               *metrics.Set
	leafCalls         *metrics.Counter
	cancels           *metrics.Counter
	failedCancels     *metrics.Counter
	callerDisconnects *metrics.Counter
	pauses            *metrics.Counter
	mismatchedReplies *metrics.Counter
	shedRequests      *metrics.Counter
	answerLatency     *metrics.Histogram
}

func newEntryMetrics(set *metrics.Set) *entryMetrics {
	return &entryMetrics{
		set:               set,
		leafCalls:         set.NewCounter("entry_leaf_calls_total"),
		pauses:            set.NewCounter("entry_pauses_total"),
		mismatchedReplies: set.NewCounter("entry_leaf_replies_mismatched_total"),
		cancels:           set.NewCounter("entry_leaf_cancels_total"),
		failedCancels:     set.NewCounter("entry_leaf_cancels_failed_total"),
		callerDisconnects: set.NewCounter("entry_callers_left_total"),
		shedRequests:      set.NewCounter("entry_requests_shed_total"),
		answerLatency:     set.NewHistogram("entry_answer_seconds"),
	}
}

// countAnswer counts one answer by path and result code.
func (m *entryMetrics) countAnswer(path string, code errcode.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`entry_answers_total{path=%q,code=%q}`, path, code)).Inc()
}

// countMissingShard counts one shard missing from an answer, by the result code that
// gives the reason.
func (m *entryMetrics) countMissingShard(code errcode.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`entry_shards_missing_total{code=%q}`, code)).Inc()
}
