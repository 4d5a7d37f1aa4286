package peers

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
)

// Guards against one caller breaking the connection between two instances, which loses all queries
// that are open on it. HTTP allows bytes from 0x80 in header values and targets in any encoding, and
// a request with "café" in Latin-1 was rejected as a malformed frame.
func TestRequestWithBytesThatAreNoUTF8IsHandedOff(t *testing.T) {
	want := Request{
		Method: "GET", Target: "/x?q=caf\xe9", Host: "h",
		Header: http.Header{"X-Own-Id": {"r1"}, "X-Place": {"caf\xe9", "\xff"}},
	}
	b := newQueryFixture(t, func(_ context.Context, req *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		require.Equal(t, want, req.Content)
		return partialAnswer(), true
	})
	q := newGatherQuery()
	q.Request.Content = want
	a, ok := b.agent.HandOff(t.Context(), q)
	require.True(t, ok)
	require.Equal(t, errcode.OK, a.Code)
	require.Empty(t, b.ended, "the connection must stay open")
}
