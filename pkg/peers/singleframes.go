package peers

import (
	"errors"
	"net/http"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Reply is a leaf's whole reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// singleAnswer is the outcome of a request that goes to a single leaf.
type singleAnswer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// ElapsedUs is the time from receiving the request until its answer.
	ElapsedUs    uint64
	Code         uint16
	RetryAfterUs uint64
	// Relayed is the reply to pass on to the caller. LastFailure is the last leaf's reply if there
	// is none to pass on. At most one of the two is set.
	Relayed, LastFailure *leafReplyFrame
}

// leafReplyFrame is the reply of a leaf to a single request.
type leafReplyFrame struct {
	_       struct{} `cbor:",toarray"`
	Outcome uint8
	Status  uint16
	Err     string
	// Header holds names and values alternately. Header and Body are set only for a reply that is
	// passed on.
	Header []string
	Body   []byte
}

// encodeSingleAnswer encodes the outcome of a single request.
//
// A reply that does not fit into a frame is reported as a failure after which the request may have
// run: the leaf ran it, and its reply is lost.
func encodeSingleAnswer(number uint64, a gateway.Answer, codec Codec) singleAnswer {
	f := singleAnswer{Number: number, Code: uint16(a.Code), RetryAfterUs: uint64(a.RetryAfter.Microseconds())}
	if a.LastFailure != nil {
		f.LastFailure = encodeOutcome(*a.LastFailure)
	}
	if a.Relayed == nil {
		return f
	}
	reply := codec.WholeReply(*a.Relayed)
	if replyBytes(reply) > maxHandedOffBytes {
		f.Code = uint16(errcode.LeafFailed)
		return f
	}
	f.Relayed = encodeOutcome(*a.Relayed)
	f.Relayed.Status, f.Relayed.Header, f.Relayed.Body = uint16(reply.Status), flattenHeader(reply.Header), reply.Body
	return f
}

// encodeOutcome encodes a leaf's reply without its header and body.
func encodeOutcome(r gateway.LeafReply) *leafReplyFrame {
	f := &leafReplyFrame{Outcome: uint8(r.Outcome), Status: uint16(r.Status)}
	if r.Err != nil {
		f.Err = r.Err.Error()
	}
	return f
}

// flattenHeader returns a header as alternating names and values. The values of a name keep their
// order.
func flattenHeader(h http.Header) []string {
	out := make([]string, 0, 2*len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, name, v)
		}
	}
	return out
}

// replyBytes returns the approximate size of a reply in a frame.
func replyBytes(r Reply) int {
	n := len(r.Body)
	for _, text := range flattenHeader(r.Header) {
		n += len(text) + 3 // CBOR prefixes a short text with its length in up to 3 bytes.
	}
	return n
}

// minReplyStatus and maxReplyStatus are the limits of the status of a reply that can be passed on.
const (
	minReplyStatus = 200
	maxReplyStatus = 999
)

// decodeSingleAnswer decodes the outcome of a single request. It returns errMalformedAnswer unless
// the answer has exactly one of a reply to pass on and a code other than OK.
func decodeSingleAnswer(f singleAnswer, codec Codec) (gateway.Answer, error) {
	a := gateway.Answer{Code: errcode.Code(f.Code), RetryAfter: micros(f.RetryAfterUs)}
	if !isHTTPCode(a.Code) || (a.Code == errcode.OK) != (f.Relayed != nil) || (f.Relayed != nil && f.LastFailure != nil) {
		return a, errMalformedAnswer
	}
	var err error
	if f.LastFailure != nil {
		a.LastFailure, err = decodeOutcome(*f.LastFailure)
	}
	if f.Relayed == nil || err != nil {
		return a, err
	}
	r := f.Relayed
	if r.Status < minReplyStatus || r.Status > maxReplyStatus || len(r.Header)%2 != 0 {
		return a, errMalformedAnswer
	}
	a.Relayed, err = decodeOutcome(*r)
	if err == nil {
		a.Relayed.Content = codec.JoinWholeReply(Reply{Status: int(r.Status), Header: headerFromPairs(r.Header), Body: r.Body})
	}
	return a, err
}

// isHTTPCode reports whether a result code is known and returned over HTTP.
func isHTTPCode(code errcode.Code) bool { return code.Known() && code.HTTPStatus() != 0 }

// decodeOutcome is the inverse of encodeOutcome.
func decodeOutcome(f leafReplyFrame) (*gateway.LeafReply, error) {
	r := &gateway.LeafReply{Outcome: replica.Outcome(f.Outcome), Status: int(f.Status)}
	if !r.Outcome.Valid() {
		return nil, errMalformedAnswer
	}
	if f.Err != "" {
		r.Err = errors.New(f.Err)
	}
	return r, nil
}
