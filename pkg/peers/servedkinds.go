package peers

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// servedKind is what differs between the kinds of requests that are run for peers.
type servedKind struct {
	// run runs a request; see QueryRunner.
	run func(r QueryRunner, ctx context.Context, req *gateway.Request, configVersion int64, granted func() bool) (gateway.Answer, bool)
	// notGranted is the name of the log line for a request that was accepted and not granted.
	notGranted string
	// declinedWhileDraining makes a stopping instance decline the request.
	declinedWhileDraining bool
	// recordGrant records that a request was granted to this instance.
	recordGrant func(c *serverConn, req *gateway.Request)
	// answer sends the outcome of a request. elapsed is the time since it was received.
	answer func(c *serverConn, number uint64, a gateway.Answer, elapsed time.Duration)
}

// servedKindOf returns the kind of the requests in frames of kind k.
func servedKindOf(k frameKind) *servedKind {
	if k == kindSingle {
		return &servedSingle
	}
	return &servedQuery
}

// servedQuery is the kind of queries over all shards of a route.
var servedQuery = servedKind{
	run:         QueryRunner.Gather,
	notGranted:  "query_not_granted",
	recordGrant: func(c *serverConn, _ *gateway.Request) { c.s.QueriesServed.Add(1) },
	answer: func(c *serverConn, number uint64, a gateway.Answer, elapsed time.Duration) {
		f := c.encodeAnswer(number, a)
		f.ElapsedUs = uint64(elapsed.Microseconds())
		_ = c.write(kindAnswer, f) // A failed write closes the connection.
	},
}

// servedSingle is the kind of requests that go to a single leaf.
var servedSingle = servedKind{
	run:                   QueryRunner.RunSingle,
	notGranted:            "request_not_granted",
	declinedWhileDraining: true,
	recordGrant: func(c *serverConn, req *gateway.Request) {
		c.s.SinglesServed.Add(1)
		c.s.log.Decision("request_granted", oplog.Fields{
			"request": req.ID, "content": req.Key.String(), "peer": c.peer.Name, "after_ms": time.Since(req.Arrived).Milliseconds(),
		})
	},
	answer: func(c *serverConn, number uint64, a gateway.Answer, elapsed time.Duration) {
		f := encodeSingleAnswer(number, a, c.s.codec)
		f.ElapsedUs = uint64(elapsed.Microseconds())
		_ = c.write(kindSingleAnswer, f) // As above.
	},
}
