package peers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
)

// tap is a connection whose two directions a test can hold up.
type tap struct {
	addr string
	// there and back let bytes of that direction pass while they are open.
	there, back *valve
}

// valve lets bytes pass while it is open.
type valve struct{ shut atomic.Bool }

func (v *valve) pump(to net.Conn, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		for v.shut.Load() {
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

// newTap listens, and passes a connection on to addr.
func newTap(t *testing.T, addr string) *tap {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	p := &tap{addr: ln.Addr().String(), there: &valve{}, back: &valve{}}
	go func() {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", addr)
		if err != nil {
			_ = near.Close()
			return
		}
		go p.there.pump(far, near)
		p.back.pump(near, far)
	}()
	return p
}

// Queries were sent to three and four leafs of a shard whose route allows two. An instance
// that is short of processor time took a query 40 ms late; the one that had handed it on ran
// it by then itself, and both sent it to leafs before the cancellation was read. Lines of one
// such query, of the one and of the other:
//
//	28.528 a-14 query_taken_back after_ms=138 peer=a-12
//	28.562 a-12 caller_left after_ms=130
//	28.563 a-14 query_taken_late peer=a-12
//	shard baba9t was sent to 3 leafs of 2 that its route allows
func TestQueryIsRunByOneInstance(t *testing.T) {
	var ran atomic.Int64
	reached := make(chan struct{})
	b := newAskBench(t, func(_ context.Context, _ *gateway.Request, _ int64, taken func()) (gateway.Answer, bool) {
		close(reached)
		taken()
		ran.Add(1)
		return half(), true
	})
	p := newTap(t, b.server.listener.Addr().String())
	c := b.dial(p.addr)
	c.silent = b.agent.silent
	b.agent.conns["peer"] = c
	p.back.shut.Store(true)
	go func() {
		<-reached
		p.there.shut.Store(true) // What this instance says next comes late.
	}()
	_, ok := b.agent.Ask(t.Context(), gatherQuery())
	require.False(t, ok, "nobody has said in time that it takes the query: it is run here")
	p.back.shut.Store(false)
	p.there.shut.Store(false)
	require.Eventually(t, func() bool { return b.server.active.Load() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, ran.Load(), "and nowhere else")
}
