package oplog

import (
	"bytes"
	"encoding/json"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingBuffer is a writer that is safe for concurrent use. It blocks until unblock, if set, is
// closed.
type blockingBuffer struct {
	mu      sync.Mutex
	b       bytes.Buffer
	unblock chan struct{}
}

func (w *blockingBuffer) Write(p []byte) (int, error) {
	if w.unblock != nil {
		<-w.unblock
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (w *blockingBuffer) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSpace(w.b.String()), "\n")
}

var options = Options{LinesPerSecond: 5, Burst: 10, Buffer: 64}

func TestLineHasFieldsOfDecision(t *testing.T) {
	out := &blockingBuffer{}
	l := New(out, Fields{"instance": "n1"}, options)
	l.Decision("partial_answer", Fields{"request": "r1", "covered": 18})
	l.Close(time.Second)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(out.lines()[0]), &line))
	require.Equal(t, "partial_answer", line["event"])
	require.Equal(t, "r1", line["request"])
	require.Equal(t, "n1", line["instance"])
	require.EqualValues(t, 18, line["covered"])
}

// Guards against a storm of failures that fills the log and takes the processor:
// ten thousand decisions of one kind arrive at once, and one more after a pause.
// They must stay within their budget without displacing another kind of event,
// and the last line must report how many were suppressed.
func TestEventStormStaysWithinItsBudget(t *testing.T) {
	out := &blockingBuffer{}
	l := New(out, nil, Options{LinesPerSecond: 50, Burst: 10, Buffer: 1024})
	begin := time.Now()
	for range 10000 {
		l.Decision("leaf_call_failed", Fields{"request": "r"})
	}
	l.Decision("request_refused", Fields{"request": "other"})
	time.Sleep(50 * time.Millisecond)
	l.Decision("leaf_call_failed", Fields{"request": "last"})
	took := time.Since(begin)
	l.Close(time.Second)
	lines := out.lines()
	allowed := 10 + int(50*took.Seconds()) + 2
	require.LessOrEqual(t, len(lines), allowed+1)
	require.Contains(t, strings.Join(lines, "\n"), `"request":"other"`)
	var last map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &last))
	require.Greater(t, last["suppressed"], 1000.0)
	require.Greater(t, l.Suppressed(), int64(1000))
}

// Guards against requests that block, or memory that grows, when nothing reads
// the output: a log that waits for its output, or an unbounded buffer. A hundred
// thousand state changes are logged while the output blocks.
func TestBlockedOutputNeitherBlocksCallersNorGrowsMemory(t *testing.T) {
	out := &blockingBuffer{unblock: make(chan struct{})}
	l := New(out, nil, options)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const n = 100000
	for range n {
		l.State("leaf_down", Fields{"leaf": "i-1"})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.GreaterOrEqual(t, l.Dropped(), int64(n-options.Buffer-2))
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(1<<20))
	close(out.unblock)
	l.Close(time.Second)
	l.State("late", nil)
	require.LessOrEqual(t, len(out.lines()), options.Buffer+2)
}

// Operators filter by level: a lost dependency must be a warning, and a line below the minimum
// level must be neither written nor counted against a budget.
func TestLinesBelowMinLevelAreNeitherWrittenNorCounted(t *testing.T) {
	var out bytes.Buffer
	least, err := ParseLevel("warn")
	require.NoError(t, err)
	l := New(&out, nil, Options{LinesPerSecond: 5, Burst: 20, Buffer: 16, MinLevel: least})
	l.Decision("second_request", Fields{})
	l.Decision("query_refused", Fields{})
	l.State("store_lost", Fields{})
	l.State("reload_failed", Fields{})
	l.State("started", Fields{})
	l.Close(time.Second)
	require.Equal(t, 2, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `"event":"store_lost","level":"warning"`)
	require.Contains(t, out.String(), `"event":"reload_failed","level":"error"`)
	require.Zero(t, l.Suppressed())
	_, err = ParseLevel("loud")
	require.Error(t, err)
}
