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
// it by then itself, and both sent it to leafs before the cancellation was read. Saying that a
// query is taken was enough to run it; now it has to be granted. Lines of one such query, of
// the one and of the other:
//
//	28.528 a-14 query_taken_back after_ms=138 peer=a-12
//	28.562 a-12 caller_left after_ms=130
//	28.563 a-14 query_taken_late peer=a-12
//	shard baba9t was sent to 3 leafs of 2 that its route allows
func TestQueryIsRunByOneInstance(t *testing.T) {
	var ran atomic.Int64
	reached := make(chan struct{})
	b := newAskBench(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		close(reached)
		if !granted() {
			return gateway.Answer{}, false
		}
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
	_, ok := b.agent.Delegate(t.Context(), gatherQuery())
	require.False(t, ok, "nobody has said in time that it takes the query: it is run here")
	p.back.shut.Store(false)
	p.there.shut.Store(false)
	require.Eventually(t, func() bool { return b.server.active.Load() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, ran.Load(), "and nowhere else")
}

// word is a message between the two sides of a simulated handover, or a timer of one of them.
type word struct {
	kind kind
	at   int
}

// exchange is a simulated handover: words take up to 100 steps, get lost and come twice, also
// out of order; either side stands still, and the connection may end.
type exchange struct {
	rng   *rand.Rand
	words []word
	offer offer
	h     *handover
	// runs counts who runs the query: the side that has it, and the one that took it.
	here, there int
	over        bool
}

func (x *exchange) say(k kind, now int) {
	for range 1 + x.rng.IntN(2) {
		if x.rng.IntN(5) > 0 {
			x.words = append(x.words, word{kind: k, at: now + x.rng.IntN(100)})
		}
	}
}

// hear takes over one word.
func (x *exchange) hear(w word) {
	switch w.kind {
	case kindQuery:
		x.say(kindTaken, w.at)
	case kindTaken:
		if x.offer.taken() {
			x.say(kindGrant, w.at)
		}
	case kindGrant:
		if !x.h.granted && !x.over {
			x.there++
		}
		x.h.grant()
	case kindCancel:
		x.over = true
	case kindDeclined: // The time for taking it is over, or the connection has ended.
		if x.offer.refused() && x.here == 0 {
			x.here++
			x.say(kindCancel, w.at)
		}
	}
}

// Whatever is lost, late or doubled between two instances, one of them at most runs a query;
// where nothing goes wrong, the one that was asked does.
func TestHandoverHasOneOwner(t *testing.T) {
	both, none := 0, 0
	for seed := range uint64(20000) {
		x := &exchange{rng: rand.New(rand.NewPCG(seed, 7)), h: newHandover()}
		x.say(kindQuery, 0)
		x.words = append(x.words, word{kind: kindDeclined, at: 40 + x.rng.IntN(200)})
		for len(x.words) > 0 {
			slices.SortStableFunc(x.words, func(a, b word) int { return cmp.Compare(a.at, b.at) })
			next := x.words[0]
			x.words = x.words[1:]
			x.hear(next)
		}
		require.LessOrEqual(t, x.here+x.there, 1, "seed %d", seed)
		if x.there == 1 {
			both++
		}
		if x.here+x.there == 0 {
			none++
		}
	}
	require.Positive(t, both)
	require.Positive(t, none, "a grant that was lost leaves it with nobody: its caller is told that it may have run")
	x := &exchange{h: newHandover()}
	require.True(t, x.offer.taken())
	x.hear(word{kind: kindGrant})
	require.Equal(t, 1, x.there)
	require.False(t, x.offer.refused())
	require.False(t, x.offer.taken(), "a second word of the same changes nothing")
}

// A caller that stands still neither grants a query nor takes it back: the peer waits for a
// while and then declines it, unrun.
func TestQueryThatIsNeitherGrantedNorTakenBack(t *testing.T) {
	var ran atomic.Int64
	b := newAskBench(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		ran.Add(1)
		return half(), true
	})
	_, a, ok := b.conn.ask(gatherQuery())
	require.True(t, ok)
	require.Equal(t, queryTaken, (<-a.events).kind)
	require.Equal(t, queryDeclined, (<-a.events).kind)
	require.Zero(t, ran.Load())
}
