package gateway

import (
	"fmt"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// minQueueRetryAfter is the shortest retry hint of a request that did not fit into a queue. The
// queue is as full as before until some requests have ended.
const minQueueRetryAfter = 100 * time.Millisecond

// refuseQueueFull refuses a request of which nothing has run and nothing will, because it would
// start too late. The hint without a planned return is the time in which the queue drains.
func (r *queuedRun) refuseQueueFull(d leafqueue.Decision) Answer {
	const code = errcode.QueueFull
	retryAfter := r.g.plannedRetryAfter(r.req, r.route, max(d.DrainTime, minQueueRetryAfter))
	r.g.stats.refused(code)
	fields := r.queueFields(d)
	fields["code"], fields["reason"] = code.String(), code.Name()
	fields["retry_after_ms"], fields["config_version"], fields["in_flight"] = retryAfter.Milliseconds(), r.g.version(), r.g.inFlight.Load()
	fields["waited_ms"] = time.Since(r.req.Arrived).Milliseconds()
	r.g.log.Decision("request_refused", fields)
	a := Answer{Code: code, RetryAfter: retryAfter}
	if len(r.triedLeafs) > 0 {
		a.LastFailure = &r.lastReply
	}
	return a
}

// queueFields returns the fields of a log line about a decision of the queue.
func (r *queuedRun) queueFields(d leafqueue.Decision) oplog.Fields {
	return r.req.logFields(r.route.Name, oplog.Fields{
		"service": r.service, "rank": r.route.Priority, "returning": r.returning, "verdict": d.Verdict.String(),
		"waiting": d.Waiting, "expected_start_ms": d.ExpectedStart.Milliseconds(), "window_sum": d.WindowSum,
		"leafs": r.triedLeafs,
	})
}

// registerSingleQueues registers the gauges of the queues of single requests.
func (s *Stats) registerSingleQueues(q *singleQueues) {
	s.set.NewGauge("gateway_single_queue_waiting", func() float64 { return float64(q.waiting()) })
}

// singleDecision counts a decision about an attempt of a single request, and records the time for
// which it waited.
func (s *Stats) singleDecision(rank int, result string, waited bool, wait time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`gateway_single_queue_total{rank=%q,result=%q}`, rankLabel(rank), result)).Inc()
	if waited {
		s.set.GetOrCreateHistogram(`gateway_single_queue_wait_seconds`).Update(wait.Seconds())
	}
}

// leafRejection counts a single request that a leaf rejected without running it.
func (s *Stats) leafRejection() {
	s.set.GetOrCreateCounter(`gateway_single_queue_leaf_rejections_total`).Inc()
}
