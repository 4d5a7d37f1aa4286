package peers

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
)

// Guards against a connection that has gone silent without an error and is tried again every 2 s for good:
// each time calls wait for a peer that could be reached on a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() { _, _ = io.Copy(io.Discard, conn) }() // Reads everything and answers nothing.
		}
	}()
	p := newAgent(t, "me")
	for _, name := range []string{"a", "b"} { // Both run the queries of this instance.
		peer := membership.Member{Name: name, Addr: ln.Addr().String(), Zone: "z1", Capacity: 80}
		p.members.Receive(membership.Message{Kind: membership.Gossip, From: peer}, time.Now())
	}
	p.updateConnections(time.Now())
	connected := func(n int) func() bool { return func() bool { return len(p.Connected()) == n } }
	require.Eventually(t, connected(2), 5*time.Second, time.Millisecond)
	offer := func() {
		for timeouts := p.PeerTimeouts.Load(); p.PeerTimeouts.Load() < timeouts+2; {
			_, ok := p.HandOff(t.Context(), newGatherQuery())
			require.False(t, ok, "the query is not run by the peer")
		}
	}
	offer()
	require.Len(t, p.Connected(), 2, "a peer that is late once keeps its connection")
	require.Eventually(t, func() bool { return p.gathererConn(time.Now()) != nil }, 5*time.Second, time.Millisecond)
	offer()
	require.Eventually(t, connected(0), 5*time.Second, time.Millisecond)
	p.updateConnections(time.Now())
	require.Eventually(t, connected(2), 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return accepted.Load() == 4 }, 5*time.Second, time.Millisecond)
}
