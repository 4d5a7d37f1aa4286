// Package oplog writes one structured JSON line per decision to standard
// output, for on-call engineers who have only logs and metrics.
//
// Such logs have two failure modes under load: a storm of failures writes more
// than the disk or the pipe accepts, and a blocked pipe blocks the requests
// that log to it. Each kind of event therefore has a budget of lines per
// second, and the next line of that kind reports how many lines exceeded it.
// Lines pass through a bounded buffer; when it is full, lines are dropped and
// counted.
package oplog

import (
	"io"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Fields holds the inputs and the outcome of a decision, as fields of the line.
type Fields = logrus.Fields

// Options limit the volume of the log.
type Options struct {
	// LinesPerSecond is the rate limit of each kind of event.
	LinesPerSecond float64
	// Burst is the number of lines of a kind that may be written at once.
	Burst int
	// Buffer is the maximum number of lines that wait for the output.
	Buffer int
	// MinLevel is the lowest level that is written; zero means that all levels are.
	MinLevel Level
}

// Log is a bounded, non-blocking log. It is safe for concurrent use.
type Log struct {
	opts Options
	// base holds the fields of every line.
	base Fields
	out  *logrus.Logger
	// lines is the buffer; a nil entry ends the writer.
	lines chan *logrus.Entry
	// done is closed when the writer has ended.
	done   chan struct{}
	closed atomic.Bool
	// dropped counts the lines lost to a full buffer, suppressed those over budget.
	dropped    atomic.Int64
	suppressed atomic.Int64

	mu sync.Mutex
	// budgets is keyed by event; guarded by mu.
	budgets map[string]*eventBudget
}

// eventBudget is the budget of one kind of event.
type eventBudget struct {
	limiter *rate.Limiter
	// suppressed counts the lines over budget since the last line written.
	suppressed int
}

// New returns a log that writes to w, with the base fields in every line.
func New(w io.Writer, base Fields, opts Options) *Log {
	out := logrus.New()
	out.SetOutput(w)
	out.SetLevel(logrus.DebugLevel)
	out.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	})
	l := &Log{
		opts: opts, base: base, out: out,
		lines:   make(chan *logrus.Entry, opts.Buffer),
		done:    make(chan struct{}),
		budgets: make(map[string]*eventBudget),
	}
	go l.writeLines()
	return l
}

// writeLines writes the buffered lines to the output, which may block.
func (l *Log) writeLines() {
	defer close(l.done)
	for e := range l.lines {
		if e == nil {
			return
		}
		e.Log(e.Level, e.Message)
	}
}

// Decision logs a decision about a request, or another event that may be
// frequent, within the budget of its event. The next line of that event reports
// how many lines were suppressed.
func (l *Log) Decision(event string, fields Fields) {
	if !l.isEnabled(event) {
		return
	}
	l.mu.Lock()
	budget := l.budgets[event]
	if budget == nil {
		budget = &eventBudget{limiter: rate.NewLimiter(rate.Limit(l.opts.LinesPerSecond), l.opts.Burst)}
		l.budgets[event] = budget
	}
	if !budget.limiter.Allow() {
		budget.suppressed++
		l.mu.Unlock()
		l.suppressed.Add(1)
		return
	}
	suppressed := budget.suppressed
	budget.suppressed = 0
	l.mu.Unlock()
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	l.enqueue(event, fields)
}

// State logs a change of the process's state or of its view of other
// processes. It is not subject to the budget of decisions.
func (l *Log) State(event string, fields Fields) {
	if l.isEnabled(event) {
		l.enqueue(event, fields)
	}
}

// isEnabled reports whether the level of an event is written.
func (l *Log) isEnabled(event string) bool {
	return l.opts.MinLevel == 0 || levelOf(event) <= l.opts.MinLevel
}

// enqueue adds a line to the buffer. It never blocks: if the buffer is full, the
// line is dropped and counted.
func (l *Log) enqueue(event string, fields Fields) {
	if l.closed.Load() {
		return
	}
	all := make(Fields, len(fields)+len(l.base)+1)
	maps.Copy(all, l.base)
	maps.Copy(all, fields)
	if n := l.dropped.Load(); n > 0 {
		all["lines_dropped_total"] = n
	}
	e := &logrus.Entry{Logger: l.out, Data: all, Time: time.Now(), Message: event, Level: levelOf(event)}
	select {
	case l.lines <- e:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines dropped because the buffer was full.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Suppressed returns the number of lines that exceeded the budget of their
// event and were only counted.
func (l *Log) Suppressed() int64 { return l.suppressed.Load() }

// Close flushes the buffer for at most the given time. Later lines are
// discarded.
func (l *Log) Close(wait time.Duration) {
	if l.closed.Swap(true) {
		return
	}
	timeout := time.After(wait)
	select {
	case l.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-l.done:
	case <-timeout:
	}
}
