package peers

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
)

// Guards against a body that closes the connection because it does not fit into a frame.
func TestOversizedSingleBodies(t *testing.T) {
	large := make([]byte, maxHandedOffBytes+1)
	b := newQueryFixture(t, runGranted(func(context.Context) gateway.Answer {
		a := relayedAnswer()
		a.Relayed.Content = Reply{Status: 200, Body: large}
		return a
	}))
	a, ok := b.agent.HandOffSingle(t.Context(), newSingleRequest())
	require.True(t, ok)
	require.Equal(t, errcode.LeafFailed, a.Code)
	require.False(t, a.Code.NotRun(), "the leaf ran it")
	q := newSingleRequest()
	q.Request.Content = Request{Method: "POST", Target: "/x", Host: "h", Body: large}
	_, ok = b.agent.HandOffSingle(t.Context(), q)
	require.False(t, ok)
	require.Empty(t, b.ended, "the connection must stay open")
}

// Guards against a panic or a wrong success on an answer that contradicts itself.
func TestMalformedSingleAnswersAreRejected(t *testing.T) {
	reply := func(status uint16, outcome uint8, header ...string) *leafReplyFrame {
		return &leafReplyFrame{Status: status, Outcome: outcome, Header: header}
	}
	for name, f := range map[string]singleAnswer{
		"success without a reply":  {},
		"failure with a reply":     {Code: uint16(errcode.QueueFull), Relayed: reply(200, 0)},
		"unknown code":             {Code: 9999},
		"code without a status":    {Code: uint16(errcode.SettingsInvalid)},
		"status 0":                 {Relayed: reply(0, 0)},
		"status 1000":              {Relayed: reply(1000, 0)},
		"unknown outcome":          {Relayed: reply(200, 200)},
		"name without a value":     {Relayed: reply(200, 0, "X-A")},
		"two replies":              {Relayed: reply(200, 0), LastFailure: reply(503, 2)},
		"failure, unknown outcome": {Code: uint16(errcode.QueueFull), LastFailure: reply(503, 200)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeSingleAnswer(f, textCodec{})
			require.ErrorIs(t, err, errMalformedAnswer)
		})
	}
}

// Guards against a query's answer that is taken for the answer to a single request.
func TestAnswerOfAnotherKindIsRejected(t *testing.T) {
	for kind, e := range map[*handoffKind]queryEvent{
		singleHandoff: {kind: queryAnswered}, queryHandoff: {kind: queryAnswered, single: &singleAnswer{}},
	} {
		w := &queryWait{c: &clientConn{codec: textCodec{}}, kind: kind, query: newSingleRequest()}
		_, err := w.decodeEvent(e)
		require.ErrorIs(t, err, errMalformedAnswer)
	}
}
