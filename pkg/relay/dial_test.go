package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against queries that fail one after the other: several queries to a peer share a
// connection, and when one fails the others do as well. Each of them closed the connection that was
// newest at that time, and thereby failed the queries that had just begun on it.
func TestFailedQueryClosesOnlyItsOwnConnection(t *testing.T) {
	receiver, _ := startRelay(t, testSecret, 1)
	sender := newSender(t, receiver.Addr())
	failed, err := sender.dialer.conn(t.Context(), receiver.Addr())
	require.NoError(t, err)
	sender.dialer.drop(receiver.Addr(), failed)
	require.Error(t, failed.Context().Err())
	current, err := sender.dialer.conn(t.Context(), receiver.Addr())
	require.NoError(t, err)
	require.NotSame(t, failed, current)
	sender.dialer.drop(receiver.Addr(), failed)
	require.NoError(t, current.Context().Err())
	again, err := sender.dialer.conn(t.Context(), receiver.Addr())
	require.NoError(t, err)
	require.Same(t, current, again)
}
