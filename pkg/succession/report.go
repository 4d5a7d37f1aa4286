// Package succession passes what one process of an instance has sent on to the next process of the
// same instance.
//
// The number of second requests in a window is limited for all instances together. A process that
// starts without knowing what its predecessor has sent would send its share again. Nothing can be
// stored on the machine, so each instance reports its counts to a few others, its keepers, and a
// starting process asks for them. Until it knows them, or a window has passed, it sends no second
// requests. The package does no I/O and takes the time as an argument.
package succession

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Report states what a process has sent, or, in the answer to its successor, what it had sent. It may
// be split into parts.
//
// Fields are encoded by number, so that instances of another version can read those that they know.
type Report struct {
	// Services are all services with second requests in the window if Full is set, and otherwise
	// those with new ones.
	Services []replica.SentCounts `cbor:"1,keyasint,omitempty"`
	Full     bool                 `cbor:"2,keyasint,omitempty"`
	// Final means that the process sends no further second requests.
	Final bool `cbor:"3,keyasint,omitempty"`
	// Part is the index of this part, and Parts their number.
	Part  int `cbor:"4,keyasint,omitempty"`
	Parts int `cbor:"5,keyasint,omitempty"`
	// Zone is the sender's knowledge of its availability zone.
	Zone ZoneSize `cbor:"6,keyasint,omitempty"`
}

// ZoneSize holds the largest recently observed numbers of instances of a zone.
type ZoneSize struct {
	Members   int `cbor:"1,keyasint,omitempty"`
	Gatherers int `cbor:"2,keyasint,omitempty"`
}

const (
	// maxPartBytes is the approximate maximum size of the services of a part, which leaves room for
	// gossip in a datagram.
	maxPartBytes = 1000
	// maxParts and maxServices limit what is accepted for one process.
	maxParts    = 64
	maxServices = 4096
	// maxBuckets is more than the number of buckets of a window.
	maxBuckets = 16
)

// Split divides a report into parts that fit into a datagram each.
func (r Report) Split() []Report {
	var parts []Report
	size := 0
	for _, c := range r.Services {
		n := len(c.Service) + 3*len(c.Buckets) + 12
		if len(parts) == 0 || size+n > maxPartBytes {
			parts, size = append(parts, Report{}), 0
		}
		last := &parts[len(parts)-1]
		last.Services, size = append(last.Services, c), size+n
	}
	if len(parts) == 0 {
		parts = []Report{{}}
	}
	parts = parts[:min(len(parts), maxParts)]
	for i := range parts {
		parts[i].Full, parts[i].Final, parts[i].Zone = r.Full, r.Final, r.Zone
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// valid reports whether the fields of a received report are within their limits.
func (r Report) valid() bool {
	if r.Parts < 1 || r.Parts > maxParts || r.Part < 0 || r.Part >= r.Parts || len(r.Services) > maxServices {
		return false
	}
	for _, c := range r.Services {
		if c.Service == "" || len(c.Buckets) > maxBuckets {
			return false
		}
	}
	return r.Zone.Members >= 0 && r.Zone.Gatherers >= 0
}

// assembly collects the parts of a report.
type assembly struct{ seen uint64 }

// add records a part and reports whether all parts have been received.
func (a *assembly) add(r Report) bool {
	if r.Part == 0 {
		a.seen = 0
	}
	a.seen |= 1 << r.Part
	return a.seen == 1<<r.Parts-1
}

// Intervals at which a process reports.
const (
	// changeInterval is the interval of reports of new second requests: the most that a successor
	// may not know after a crash.
	changeInterval = 100 * time.Millisecond
	// fullInterval is the interval of full reports. A keeper that has restarted has to receive one
	// before it can answer.
	fullInterval = time.Second
)

// Reporter decides when a process reports what it has sent.
type Reporter struct {
	lastAt, previousAt, fullAt time.Time
}

// Due reports whether a report is due, whether it has to be full, and otherwise from when on the
// services with new second requests belong to it. Each change is reported twice, since datagrams may
// be lost.
func (r *Reporter) Due(now time.Time) (since time.Time, full, due bool) {
	if now.Sub(r.lastAt) < changeInterval {
		return time.Time{}, false, false
	}
	since = r.previousAt
	r.previousAt, r.lastAt = r.lastAt, now
	full = now.Sub(r.fullAt) >= fullInterval || since.IsZero()
	if full {
		r.fullAt = now
	}
	return since, full, true
}
