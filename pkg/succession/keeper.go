package succession

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Keeper holds the reports of other instances for their next processes. It is not safe for
// concurrent use.
type Keeper struct {
	// retention is how long a report is kept: the window of the counts.
	retention time.Duration
	records   map[string]*record
}

// record is what a process of an instance has reported.
type record struct {
	processID  uint64
	services   map[string]receivedCounts
	zone       ZoneSize
	reportedAt time.Time
	// complete means that a full report was received since the first one, and final that the process
	// sends nothing any more.
	complete, final bool
	parts           assembly
}

// receivedCounts are counts with the time at which they were received.
type receivedCounts struct {
	buckets []uint32
	at      time.Time
}

const (
	// maxSilence is how long before the answer to its successor a process may have reported for the
	// last time. It covers the restart of a crashed process. A process that was cut off from its
	// keeper may have sent more since.
	maxSilence = 1500 * time.Millisecond
	// maxRecords is the maximum number of instances whose reports are kept.
	maxRecords = 4096
)

// NewKeeper returns a keeper of counts over a window.
func NewKeeper(window time.Duration) *Keeper {
	return &Keeper{retention: window, records: make(map[string]*record)}
}

// Receive stores a report of a process of an instance.
func (k *Keeper) Receive(instance string, processID uint64, r Report, now time.Time) {
	if !r.valid() {
		return
	}
	rec := k.records[instance]
	if rec == nil || rec.processID != processID {
		k.expire(now)
		if rec == nil && len(k.records) >= maxRecords {
			return
		}
		rec = &record{processID: processID, services: make(map[string]receivedCounts)}
		k.records[instance] = rec
	}
	for _, c := range r.Services {
		if _, known := rec.services[c.Service]; known || len(rec.services) < maxServices {
			rec.services[c.Service] = receivedCounts{buckets: c.Buckets, at: now}
		}
	}
	rec.reportedAt, rec.zone = now, r.Zone
	rec.final = rec.final || r.Final
	if r.Full && rec.parts.add(r) {
		rec.complete = true
	}
}

// expire removes the records whose counts have left the window.
func (k *Keeper) expire(now time.Time) {
	for name, rec := range k.records {
		if now.Sub(rec.reportedAt) > 2*k.retention {
			delete(k.records, name)
		}
	}
}

// Predecessor returns what the process before the given one of an instance had sent, or false if it is
// not known. The report is full if nothing is missing from it.
func (k *Keeper) Predecessor(instance string, processID uint64, now time.Time) (Report, bool) {
	rec := k.records[instance]
	if rec == nil || rec.processID == processID {
		return Report{}, false
	}
	silence := now.Sub(rec.reportedAt)
	out := Report{Full: rec.complete && (rec.final || silence <= maxSilence), Final: rec.final, Zone: rec.zone}
	for name, c := range rec.services {
		age := now.Sub(c.at)
		if age <= 2*k.retention {
			out.Services = append(out.Services, replica.SentCounts{Service: name, Buckets: c.buckets, AgeMs: uint64(age.Milliseconds())})
		}
	}
	return out, true
}
