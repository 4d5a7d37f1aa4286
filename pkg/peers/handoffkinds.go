package peers

import (
	"sync/atomic"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// HandoffCounts counts the requests of one kind that were offered to peers.
type HandoffCounts struct {
	// HandedOff counts the requests that were offered, Declined those that the peer declined or
	// whose connection was closed before they were granted.
	HandedOff, Declined atomic.Int64
	// TakenBack counts the requests that this instance withdrew because the peer did not accept
	// them in time, and AcceptedLate those of them that the peer accepted afterwards.
	TakenBack, AcceptedLate atomic.Int64
	// Lost counts the requests whose peer was lost after they were granted.
	Lost atomic.Int64
}

// handoffKind is what differs between the kinds of requests that are handed off.
type handoffKind struct {
	// frame offers a request to a peer.
	frame frameKind
	// The names of the log lines. An empty name writes none.
	handedOff, declined, takenBack, acceptedLate, lost string
	// counts returns the counters of the kind.
	counts func(p *Peers) *HandoffCounts
}

var (
	// queryHandoff is the hand-off of queries over all shards of a route.
	queryHandoff = &handoffKind{
		frame: kindQuery, takenBack: "query_taken_back", acceptedLate: "query_taken_late", lost: "gatherer_lost",
		counts: func(p *Peers) *HandoffCounts { return &p.Queries },
	}
	// singleHandoff is the hand-off of requests that go to a single leaf.
	singleHandoff = &handoffKind{
		frame: kindSingle, handedOff: "request_handed_off", declined: "request_declined",
		takenBack: "request_taken_back", acceptedLate: "request_taken_late", lost: "request_peer_lost",
		counts: func(p *Peers) *HandoffCounts { return &p.Singles },
	}
)

// logOffer logs an event of an offered request, unless the event has no name.
func (p *Peers) logOffer(event string, q gateway.GatherQuery, peer string, extra oplog.Fields) {
	if event == "" {
		return
	}
	f := oplog.Fields{"request": q.Request.ID, "route": q.Route.Name, "peer": peer}
	for name, value := range extra {
		f[name] = value
	}
	p.log.Decision(event, f)
}
