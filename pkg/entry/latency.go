package entry

import (
	"slices"
	"time"
)

// Latency bookkeeping of one backend server.
const (
	// latencyWindow is how many recent latencies a row keeps; the hedge
	// delay is read off them once the window is full.
	latencyWindow = 64
	// expectedWindow is how many of the latest latencies the expected
	// latency is the median of: enough that a straggler in ten does not
	// move it, few enough that a server that turned slow is seen within
	// nine replies.
	expectedWindow = 16
	// idleDecay shrinks the expected latency of a server that got no
	// request during a tick. Without it, a server once found slow is never
	// asked again and so never found well.
	idleDecay = 0.95
	// floorMs keeps requests in flight counting while a server answers in
	// next to no time.
	floorMs = 0.2
)

// latency is what is known of one backend server's reply times, in ms.
// Replies add to it and move expected at once (a cold server would otherwise
// use up the hedge budget before the next tick); refresh, run each tick,
// recomputes hedgeAt and lets expected decay.
type latency struct {
	recent    [latencyWindow]float64
	samples   int
	refreshed int
	expected  float64
	hedgeAt   float64
}

// add records one reply time.
func (l *latency) add(took float64) {
	l.recent[l.samples%latencyWindow] = took
	l.samples++
	l.expected = median(l.latest(expectedWindow))
}

// refresh recomputes hedgeAt, or decays expected when no reply came since
// the last tick.
func (l *latency) refresh() {
	if l.samples == l.refreshed {
		l.expected *= idleDecay
		return
	}
	l.refreshed = l.samples
	if l.samples >= latencyWindow {
		sorted := l.recent
		slices.Sort(sorted[:])
		l.hedgeAt = sorted[hedgeRank]
	}
}

// latest copies the last n samples, fewer if there are fewer.
func (l *latency) latest(n int) []float64 {
	n = min(n, l.samples)
	out := make([]float64, 0, n)
	for i := l.samples - n; i < l.samples; i++ {
		out = append(out, l.recent[i%latencyWindow])
	}
	return out
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// cost is how long a leaf call to the server is expected to take with
// inFlight requests of this entry instance already there, in ms.
func (l *latency) cost(inFlight int64) float64 {
	return (l.expected + floorMs) * float64(1+inFlight)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
