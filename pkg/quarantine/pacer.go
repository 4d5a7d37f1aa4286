package quarantine

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// RepeatDelay is the delay after which a change is sent again, because datagrams are lost.
	RepeatDelay = 20 * time.Millisecond
	// MeanInterval is the mean interval between messages with changes: while many leafs crash,
	// each instance sends every other one ten of them per second.
	MeanInterval = 100 * time.Millisecond
	// ReportBurst is the number of messages with changes that may be sent in quick succession. A
	// request that crashes leafs causes about six changes at one instance, each of which is sent
	// twice: three crashes, a claim, a trial's crash and the quarantine.
	ReportBurst = 16
)

// Changed returns a channel that receives a value when a change was queued for the other
// instances. It must be sent at once: a caller retries within milliseconds at another instance,
// and each instance that does not know of the crashes sends the request to further leafs. Several
// changes may cause one value. The channel has one receiver.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// ReportPacer limits the rate of messages with changes. It is used by one goroutine.
type ReportPacer struct {
	table *Table
	limit *rate.Limiter
}

// NewReportPacer returns a pacer for the changes of a table.
func NewReportPacer(t *Table) *ReportPacer {
	return &ReportPacer{table: t, limit: rate.NewLimiter(rate.Every(MeanInterval), ReportBurst)}
}

// Due returns up to n changes to send now: none if none is queued, or if too many messages were
// sent recently. Changes that are held back are returned by a later call.
func (p *ReportPacer) Due(n int, now time.Time) []Report {
	if !p.table.hasPending() || !p.limit.AllowN(now, 1) {
		return nil
	}
	return p.table.PendingReports(n, now)
}

// Run passes changes to send, up to n at a time, until done is closed: at once, because a caller
// retries within milliseconds, and again after repeatDelay.
func (p *ReportPacer) Run(done <-chan struct{}, repeatDelay time.Duration, n int, send func([]Report)) {
	repeat := time.NewTimer(repeatDelay)
	defer repeat.Stop()
	for {
		select {
		case <-p.table.Changed():
		case <-repeat.C:
		case <-done:
			return
		}
		if reports := p.Due(n, time.Now()); len(reports) > 0 {
			send(reports)
		}
		if p.table.hasPending() {
			repeat.Reset(repeatDelay)
		}
	}
}
