// Package oplog writes one structured JSON line per decision to standard
// output, for on-call engineers who have nothing but logs and metrics.
//
// Two things go wrong with such logs under load: a storm of failures writes
// more than the disk or the pipe takes, and a blocked pipe stops the requests
// that log to it. So each kind of event has a budget of lines a second, what
// exceeds it is summed into the next line of its kind, and lines go through a
// bounded buffer that drops and counts when it is full.
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

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Options bound the volume.
type Options struct {
	// LinesPerSecond is the budget of each kind of event.
	LinesPerSecond float64
	// Burst is how many lines of a kind may come at once.
	Burst int
	// Buffer is how many lines wait for the output at most.
	Buffer int
	// MinLevel is the level below which lines are not written; zero: all are.
	MinLevel Level
}

// Log is a bounded, non-blocking log. It is safe for concurrent use.
type Log struct {
	opts    Options
	base    Fields
	out     *logrus.Logger
	lines   chan *logrus.Entry
	done    chan struct{}
	closed  atomic.Bool
	dropped atomic.Int64
	summed  atomic.Int64

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the budget of one kind of event.
type kind struct {
	limiter    *rate.Limiter
	suppressed int
}

// New starts a log that writes to w; every line carries the base fields.
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
		lines: make(chan *logrus.Entry, opts.Buffer),
		done:  make(chan struct{}),
		kinds: make(map[string]*kind),
	}
	go l.write()
	return l
}

// write hands the lines to the output, which may block.
func (l *Log) write() {
	defer close(l.done)
	for e := range l.lines {
		if e == nil {
			return
		}
		e.Log(e.Level, e.Message)
	}
}

// Decision records a decision that touches a request. It is subject to the
// budget of its event; the next line says how many were left out.
func (l *Log) Decision(event string, fields Fields) {
	if !l.writes(event) {
		return
	}
	l.mu.Lock()
	k := l.kinds[event]
	if k == nil {
		k = &kind{limiter: rate.NewLimiter(rate.Limit(l.opts.LinesPerSecond), l.opts.Burst)}
		l.kinds[event] = k
	}
	if !k.limiter.Allow() {
		k.suppressed++
		l.mu.Unlock()
		l.summed.Add(1)
		return
	}
	suppressed := k.suppressed
	k.suppressed = 0
	l.mu.Unlock()
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	l.enqueue(event, fields)
}

// State records a change of what the process believes: it is written even
// when the budget of decisions is used up.
func (l *Log) State(event string, fields Fields) {
	if l.writes(event) {
		l.enqueue(event, fields)
	}
}

// writes reports whether lines of an event are written at all.
func (l *Log) writes(event string) bool {
	return l.opts.MinLevel == 0 || levelOf(event) <= l.opts.MinLevel
}

// enqueue never blocks: a full buffer drops the line and counts it.
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

// Dropped is how many lines a full buffer has dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Suppressed is how many lines were over their budget and summed.
func (l *Log) Suppressed() int64 { return l.summed.Load() }

// Close writes what is buffered, for at most the given time. Later lines are
// dropped.
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
