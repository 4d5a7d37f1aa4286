package returns

import "time"

const (
	// rateWindowBuckets buckets of rateBucket each are the window over which admissions are counted.
	// One second holds enough of them to be a rate (at 10 per second its standard error is a third)
	// and follows an overload of a few seconds.
	rateWindowBuckets = 10
	rateBucket        = 100 * time.Millisecond
	// minRatePeriod is the shortest period from which a rate is computed, so that the first
	// admissions after a start do not look like a high rate.
	minRatePeriod = 250 * time.Millisecond
)

// rateWindow counts events in a moving window.
type rateWindow struct {
	counts [rateWindowBuckets]int
	total  int
	// start is the time of the first event, number the index since then of the newest bucket.
	start  time.Time
	number int64
}

// add counts an event at a given time.
func (w *rateWindow) add(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	w.advance(now)
	w.counts[w.number%rateWindowBuckets]++
	w.total++
}

// perSecond returns the rate of events over the window, or over the time since the first event if
// that is shorter.
func (w *rateWindow) perSecond(now time.Time) float64 {
	if w.start.IsZero() {
		return 0
	}
	w.advance(now)
	// The newest bucket is still being filled.
	period := (rateWindowBuckets-1)*rateBucket + now.Sub(w.start.Add(time.Duration(w.number)*rateBucket))
	period = min(max(period, 0), now.Sub(w.start))
	return float64(w.total) / max(period, minRatePeriod).Seconds()
}

// advance drops the buckets that have left the window. A time before the newest bucket changes
// nothing: callers read the clock before they wait for the lock.
func (w *rateWindow) advance(now time.Time) {
	number := int64(now.Sub(w.start) / rateBucket)
	if number-w.number >= rateWindowBuckets {
		*w = rateWindow{start: w.start, number: number}
		return
	}
	for w.number < number {
		w.number++
		i := w.number % rateWindowBuckets
		w.total -= w.counts[i]
		w.counts[i] = 0
	}
}
