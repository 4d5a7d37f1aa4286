package peers

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// scriptedQueries runs queries as a test says.
type scriptedQueries func(ctx context.Context, req *gateway.Request, version int64, granted func() bool) (gateway.Answer, bool)

func (f scriptedQueries) Gather(ctx context.Context, req *gateway.Request, version int64, granted func() bool) (gateway.Answer, bool) {
	return f(ctx, req, version, granted)
}

// askBench is an instance whose queries a peer runs.
type askBench struct {
	*bench
	agent *Peers
}

func newAskBench(t *testing.T, run scriptedQueries) *askBench {
	b := newBench(t, nil)
	b.server.queries = run
	peer := membership.Member{Name: "peer"}
	agent := &Peers{
		log: quietLog(), conns: map[string]*clientConn{"peer": b.conn}, avoid: map[string]time.Time{},
		roles: roles{gatherers: []membership.Member{peer}},
	}
	return &askBench{bench: b, agent: agent}
}

// gatherQuery is a query over two shards.
func gatherQuery() gateway.GatherQuery {
	req := message(0, nil).Request
	req.Arrived, req.Timeout, req.NetworkDelay = time.Now(), 3*time.Second, 2*time.Millisecond
	return gateway.GatherQuery{
		Request: req, Route: &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"s", "t"}, TopK: 3},
		ConfigVersion: 7, Deadline: time.Now().Add(2900 * time.Millisecond),
	}
}

// half is an answer that covers the second shard only.
func half() gateway.Answer {
	reply := gateway.LeafReply{Outcome: replica.Answered, Content: textReply{"p-t", []byte("rows")}}
	return gateway.Answer{
		Route:  &routing.Route{TopK: 3},
		Shards: []gateway.ShardAnswer{{MissingReason: fanout.Failed}, {Reply: &reply, MissingReason: fanout.Covered}},
	}
}

// A query is run by the peer as its caller sent it, and its answer says the same.
func TestQueryIsRunByAPeer(t *testing.T) {
	b := newAskBench(t, func(_ context.Context, req *gateway.Request, version int64, granted func() bool) (gateway.Answer, bool) {
		require.EqualValues(t, 7, version)
		require.Equal(t, "r1", req.ID)
		require.Equal(t, "/x", req.Path)
		require.Equal(t, message(0, nil).Request.Content, req.Content)
		require.Equal(t, 3*time.Second, req.Timeout)
		require.Greater(t, req.NetworkDelay, 2*time.Millisecond, "the way through this instance counts")
		require.Less(t, req.NetworkDelay, 2*time.Millisecond+2*hopMost)
		require.WithinDuration(t, time.Now(), req.Arrived, time.Second)
		if !granted() {
			return gateway.Answer{}, false
		}
		return half(), true
	})
	for range 2 {
		a, ok := b.agent.Delegate(t.Context(), gatherQuery())
		require.True(t, ok)
		require.Equal(t, errcode.OK, a.Code)
		require.Equal(t, 1, a.Missing())
		require.Equal(t, fanout.Failed, a.Shards[0].MissingReason)
		require.Equal(t, textReply{"p-t", []byte("rows")}, a.Shards[1].Reply.Content)
	}
	refused := gateway.Answer{Code: errcode.ShardsOverloaded, RetryAfter: 250 * time.Millisecond, Shards: make([]gateway.ShardAnswer, 2)}
	b.server.queries = scriptedQueries(func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		return refused, true
	})
	a, ok := b.agent.Delegate(t.Context(), gatherQuery())
	require.True(t, ok)
	require.Equal(t, refused.Code, a.Code)
	require.Equal(t, refused.RetryAfter, a.RetryAfter)
}

// What the peer declines is run here.
func TestDeclinedQueryIsRunHere(t *testing.T) {
	b := newAskBench(t, func(context.Context, *gateway.Request, int64, func() bool) (gateway.Answer, bool) {
		return gateway.Answer{}, false
	})
	_, ok := b.agent.Delegate(t.Context(), gatherQuery())
	require.False(t, ok)
	b.conn.end(net.ErrClosed)
	_, ok = b.agent.Delegate(t.Context(), gatherQuery())
	require.False(t, ok, "nor is one that no peer is there for")
}

// standstill is a peer that reads nothing until it wakes, and then all that has come.
func standstill(t *testing.T) (ln net.Listener, wake chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln, make(chan struct{})
}

// Symptom: queries wait for an instance that stands still, and run twice when it wakes.
// Sequence: the peer is stopped; a query is sent to it; this instance runs the query
// itself; the peer wakes and reads it. Cause it guards against: waiting for the caller's
// deadline, and a peer that starts what has been cancelled since.
func TestQueryAtAPeerThatStandsStillIsRunHere(t *testing.T) {
	ln, wake := standstill(t)
	ran := make(chan struct{}, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		<-wake
		s := &Server{codec: textCodec{}, log: quietLog(), conns: map[net.Conn]struct{}{}, greeting: 1, queries: scriptedQueries(
			func(context.Context, *gateway.Request, int64, func() bool) (gateway.Answer, bool) {
				ran <- struct{}{}
				return gateway.Answer{}, false
			})}
		s.serve(conn)
	}()
	b := newAskBench(t, nil)
	c := b.dial(ln.Addr().String())
	c.silent = b.agent.silent
	b.agent.conns["peer"] = c
	_, ok := b.agent.Delegate(t.Context(), gatherQuery())
	require.False(t, ok)
	require.Contains(t, b.agent.avoid, "peer")
	_, ok = b.agent.Delegate(t.Context(), gatherQuery())
	require.False(t, ok, "it is not asked again for a while")
	close(wake)
	require.NoError(t, c.conn.(*net.TCPConn).CloseWrite())
	<-done
	require.Empty(t, ran)
}

// Symptom: queries hang, or run twice. Sequence: the peer that has taken a query is
// killed, or falls silent. Cause it guards against: waiting for the deadline, and running
// again what may have reached the leafs.
func TestQueryOfALostPeerMayHaveRun(t *testing.T) {
	for name, lose := range map[string]func(*askBench){
		"killed": func(b *askBench) { b.server.Close() },
		"silent": func(*askBench) {},
	} {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{})
			b := newAskBench(t, func(ctx context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
				if !granted() {
					return gateway.Answer{}, false
				}
				close(started)
				<-ctx.Done()
				return gateway.Answer{}, true
			})
			if name == "silent" {
				b.agent.conns["peer"] = takesAndFallsSilent(t, b, started)
			}
			go func() {
				<-started
				lose(b)
			}()
			a, ok := b.agent.Delegate(t.Context(), gatherQuery())
			require.True(t, ok)
			require.Equal(t, errcode.PeerLost, a.Code)
			require.False(t, a.Code.NotRun())
		})
	}
}

// takesAndFallsSilent is a connection to a peer that takes one query and says no more.
func takesAndFallsSilent(t *testing.T, b *askBench, started chan struct{}) *clientConn {
	ln, _ := standstill(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		_, _, _ = readFrame(r) // The greeting.
		_, _, _ = readFrame(r) // The query, with number 1.
		_ = writeFrame(bufio.NewWriter(conn), kindTaken, numbered{Number: 1})
		close(started)
	}()
	return b.dial(ln.Addr().String())
}

// Symptom: queries are given up although their peer is well. Sequence: the time of day jumps
// forward while they run. Cause: how long the peer has been silent was counted by it.
func TestSilenceIsCountedByTheSteadyClock(t *testing.T) {
	b := newAskBench(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		return half(), true
	})
	_, ok := b.agent.Delegate(t.Context(), gatherQuery())
	require.True(t, ok)
	require.Contains(t, b.conn.heard.Load().String(), " m=+", "it has a steady reading")
	require.Less(t, b.conn.silentFor(time.Now()), time.Minute)
}

// A peer at work on a slow query says that it is well, and is waited for.
func TestSlowQueryIsWaitedFor(t *testing.T) {
	b := newAskBench(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		time.Sleep(2 * beatsMissed)
		return half(), true
	})
	a, ok := b.agent.Delegate(t.Context(), gatherQuery())
	require.True(t, ok)
	require.Equal(t, errcode.OK, a.Code)
}

// Symptom: leafs work on for callers that have left. Cause it guards against: the end of
// a query that stays at the instance that its caller was connected to.
func TestLeavingCallerEndsItsQueryAtThePeer(t *testing.T) {
	ended := make(chan struct{})
	ctx, leave := context.WithCancel(t.Context())
	b := newAskBench(t, func(ctx context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		leave()
		<-ctx.Done()
		close(ended)
		return gateway.Answer{}, true
	})
	a, ok := b.agent.Delegate(ctx, gatherQuery())
	require.True(t, ok)
	require.Equal(t, errcode.CallerDisconnected, a.Code)
	<-ended
}

// members are instances of one zone with the given room.
func members(zone string, room ...uint32) []membership.Member {
	var out []membership.Member
	for i, r := range room {
		out = append(out, membership.Member{Name: zone + "-" + string(rune('a'+i)), Zone: zone, Capacity: r})
	}
	return out
}

func never(membership.Member) bool { return false }

// drawAll draws the roles of each member.
func drawAll(all []membership.Member) map[string]roles {
	out := map[string]roles{}
	for i, self := range all {
		others := append(append([]membership.Member{}, all[:i]...), all[i+1:]...)
		out[self.Name] = drawRoles(self, others, never)
	}
	return out
}

// All members of a zone draw the same gatherers: those with most room, two at least and a
// quarter of the zone's room together. Each of them runs its own queries.
func TestGatherersAreDrawnAlike(t *testing.T) {
	for name, tc := range map[string]struct {
		room []uint32
		want int
	}{
		"alone":          {[]uint32{40}, 1},
		"two":            {[]uint32{40, 40}, 2},
		"three":          {[]uint32{40, 40, 40}, 2},
		"sixteen":        {[]uint32{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 4},
		"large and many": {[]uint32{19, 19, 19, 80, 19, 19, 19, 19, 80, 19, 19, 19, 19}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			all := members("z", tc.room...)
			drawn := map[string]bool{}
			for _, m := range all {
				if r := drawAll(all)[m.Name]; len(r.gatherers) == 0 {
					drawn[m.Name] = true
				}
			}
			require.Len(t, drawn, tc.want)
			for _, r := range drawAll(all) {
				for _, g := range r.gatherers {
					require.True(t, drawn[g.Name])
				}
			}
			if name == "large and many" {
				require.Contains(t, drawn, "z-d")
				require.Contains(t, drawn, "z-i")
			}
		})
	}
}

// Members that are not in use are nobody's gatherers; one that goes moves only those that
// preferred it.
func TestPeersAreSpreadAndKept(t *testing.T) {
	all := append(members("y", 19, 19, 19, 19, 19, 19, 80, 19), members("z", 20, 20, 20, 20, 20)...)
	before := drawAll(all)
	used := map[string]int{}
	for _, r := range before {
		if batchers := r.batchers["y"]; len(batchers) > 0 {
			require.Len(t, batchers, batchersKept)
			used[batchers[0].Name]++
		}
	}
	require.Greater(t, len(used), 1)
	gone := 1
	all[gone].Status = membership.Dead
	for name, r := range drawAll(all) {
		for zone, batchers := range r.batchers {
			was := before[name].batchers[zone]
			require.NotContains(t, batchers, all[gone])
			if len(was) > 0 && was[0].Name != all[gone].Name {
				require.Equal(t, was[0].Name, batchers[0].Name)
			}
		}
	}
}
