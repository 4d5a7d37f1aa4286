package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
)

// delayProxy is a TCP proxy whose two directions a test can block separately.
type delayProxy struct {
	addr string
	// toServer and toClient pass the bytes of one direction while they are open.
	toServer, toClient *valve
}

// valve passes bytes while it is open.
type valve struct{ closed atomic.Bool }

func (v *valve) pump(to net.Conn, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		for v.closed.Load() {
			time.Sleep(time.Millisecond)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// newDelayProxy returns a proxy that forwards one connection to addr.
func newDelayProxy(t *testing.T, addr string) *delayProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	p := &delayProxy{addr: ln.Addr().String(), toServer: &valve{}, toClient: &valve{}}
	go func() {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", addr)
		if err != nil {
			_ = client.Close()
			return
		}
		go p.toServer.pump(server, client)
		p.toClient.pump(client, server)
	}()
	return p
}

// Guards against a query that two instances run, which sent it to 3 and 4 leafs of a shard whose
// route allows 2. A peer that is short of processor time accepts a query 40 ms late. By then the
// owner has withdrawn it and runs it itself, and the peer calls leafs before it reads the
// cancellation. Acceptance alone must not be enough to run a query; it must be granted.
func TestQueryAcceptedLateRunsOnOneInstance(t *testing.T) {
	var ran atomic.Int64
	reached := make(chan struct{})
	b := newQueryFixture(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		close(reached)
		if !granted() {
			return gateway.Answer{}, false
		}
		ran.Add(1)
		return partialAnswer(), true
	})
	p := newDelayProxy(t, b.server.listener.Addr().String())
	c := b.dial(p.addr)
	c.onTimeout = b.agent.handleTimeout
	b.agent.conns["peer"] = c
	p.toClient.closed.Store(true)
	go func() {
		<-reached
		p.toServer.closed.Store(true) // Further frames of the owner are delayed.
	}()
	_, ok := b.agent.HandOff(t.Context(), newGatherQuery())
	require.False(t, ok, "the peer did not accept in time, so the owner runs the query")
	p.toClient.closed.Store(false)
	p.toServer.closed.Store(false)
	require.Eventually(t, func() bool { return b.server.inFlight.Load() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, ran.Load(), "the peer must not run it as well")
}

// simMessage is a message between the two sides of a simulated handoff, or a timer of one of them.
type simMessage struct {
	kind frameKind
	at   int
}

// handoffSim is a simulated handoff. Messages take up to 100 steps, and are lost, duplicated and
// reordered. Either side may be paused, and the connection may be closed.
type handoffSim struct {
	rng      *rand.Rand
	messages []simMessage
	offer    offerState
	handoff  *handoff
	// localRuns and remoteRuns count the runs at the owner and at the peer.
	localRuns, remoteRuns int
	cancelled             bool
}

func (x *handoffSim) send(kind frameKind, now int) {
	for range 1 + x.rng.IntN(2) {
		if x.rng.IntN(5) > 0 {
			x.messages = append(x.messages, simMessage{kind: kind, at: now + x.rng.IntN(100)})
		}
	}
}

// receive handles one message.
func (x *handoffSim) receive(m simMessage) {
	switch m.kind {
	case kindQuery:
		x.send(kindAccepted, m.at)
	case kindAccepted:
		if x.offer.accept() {
			x.send(kindGrant, m.at)
		}
	case kindGrant:
		if !x.handoff.granted && !x.cancelled {
			x.remoteRuns++
		}
		x.handoff.grant()
	case kindCancel:
		x.cancelled = true
	case kindDeclined: // acceptTimeout has expired, or the connection is closed.
		if x.offer.withdraw() && x.localRuns == 0 {
			x.localRuns++
			x.send(kindCancel, m.at)
		}
	}
}

// Guards against a query that both instances run, whichever messages are lost, delayed or
// duplicated. Without faults the peer runs it.
func TestHandoffHasAtMostOneOwner(t *testing.T) {
	remote, none := 0, 0
	for seed := range uint64(20000) {
		x := &handoffSim{rng: rand.New(rand.NewPCG(seed, 7)), handoff: newHandoff()}
		x.send(kindQuery, 0)
		x.messages = append(x.messages, simMessage{kind: kindDeclined, at: 40 + x.rng.IntN(200)})
		for len(x.messages) > 0 {
			slices.SortStableFunc(x.messages, func(a, b simMessage) int { return cmp.Compare(a.at, b.at) })
			next := x.messages[0]
			x.messages = x.messages[1:]
			x.receive(next)
		}
		require.LessOrEqual(t, x.localRuns+x.remoteRuns, 1, "seed %d", seed)
		if x.remoteRuns == 1 {
			remote++
		}
		if x.localRuns+x.remoteRuns == 0 {
			none++
		}
	}
	require.Positive(t, remote)
	require.Positive(t, none, "after a lost grant nobody runs the query, and its caller is told that it may have run")
	x := &handoffSim{handoff: newHandoff()}
	require.True(t, x.offer.accept())
	x.receive(simMessage{kind: kindGrant})
	require.Equal(t, 1, x.remoteRuns)
	require.False(t, x.offer.withdraw())
	require.False(t, x.offer.accept(), "a duplicate message must have no effect")
}

// Guards against a peer that waits forever for an owner that is paused and neither grants nor
// cancels a query. The peer declines the query after grantTimeout without running it.
func TestQueryNeitherGrantedNorWithdrawnIsDeclined(t *testing.T) {
	var ran atomic.Int64
	b := newQueryFixture(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		ran.Add(1)
		return partialAnswer(), true
	})
	_, pending, ok := b.conn.sendQuery(newGatherQuery())
	require.True(t, ok)
	require.Equal(t, queryAccepted, (<-pending.events).kind)
	require.Equal(t, queryDeclined, (<-pending.events).kind)
	require.Zero(t, ran.Load())
}
