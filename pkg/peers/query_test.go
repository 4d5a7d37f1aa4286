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

// queryRunnerFunc is a function that implements QueryRunner.
type queryRunnerFunc func(ctx context.Context, req *gateway.Request, version int64, granted func() bool) (gateway.Answer, bool)

func (f queryRunnerFunc) Gather(ctx context.Context, req *gateway.Request, version int64, granted func() bool) (gateway.Answer, bool) {
	return f(ctx, req, version, granted)
}

func (f queryRunnerFunc) RunSingle(ctx context.Context, req *gateway.Request, version int64, granted func() bool) (gateway.Answer, bool) {
	return f(ctx, req, version, granted)
}

// queryFixture is an agent whose queries are run by a peer.
type queryFixture struct {
	*serverFixture
	agent *Peers
}

func newQueryFixture(t *testing.T, run queryRunnerFunc) *queryFixture {
	b := newServerFixture(t, nil)
	b.server.queries = run
	peer := membership.Member{Name: "peer"}
	agent := &Peers{
		codec: textCodec{}, log: discardLog(), conns: map[string]*clientConn{"peer": b.conn}, avoidUntil: map[string]time.Time{},
		roles: roles{gatherers: []membership.Member{peer}},
	}
	return &queryFixture{serverFixture: b, agent: agent}
}

// newGatherQuery returns a query over two shards.
func newGatherQuery() gateway.GatherQuery {
	req := newTestBatch(0, nil).Request
	req.Arrived, req.Timeout, req.NetworkDelay = time.Now(), 3*time.Second, 2*time.Millisecond
	return gateway.GatherQuery{
		Request: req, Route: &routing.Route{Name: "r", Kind: routing.Gather, Shards: []string{"s", "t"}, TopK: 3},
		ConfigVersion: 7, Deadline: time.Now().Add(2900 * time.Millisecond),
	}
}

// partialAnswer returns an answer that covers the second shard only.
func partialAnswer() gateway.Answer {
	reply := gateway.LeafReply{Outcome: replica.Answered, Content: textReply{"p-t", []byte("rows")}}
	return gateway.Answer{
		Route:  &routing.Route{TopK: 3},
		Shards: []gateway.ShardAnswer{{MissingReason: fanout.Failed}, {Reply: &reply, MissingReason: fanout.Covered}},
	}
}

// The peer runs a query as its caller sent it, and its answer arrives unchanged.
func TestPeerRunsHandedOffQuery(t *testing.T) {
	b := newQueryFixture(t, func(_ context.Context, req *gateway.Request, version int64, granted func() bool) (gateway.Answer, bool) {
		require.EqualValues(t, 7, version)
		require.Equal(t, "r1", req.ID)
		require.Equal(t, "/x", req.Path)
		require.Equal(t, newTestBatch(0, nil).Request.Content, req.Content)
		require.Equal(t, 3*time.Second, req.Timeout)
		require.Greater(t, req.NetworkDelay, 2*time.Millisecond, "the round trip to the peer must be included")
		require.Less(t, req.NetworkDelay, 2*time.Millisecond+2*maxRTT)
		require.WithinDuration(t, time.Now(), req.Arrived, time.Second)
		if !granted() {
			return gateway.Answer{}, false
		}
		return partialAnswer(), true
	})
	for range 2 {
		a, ok := b.agent.HandOff(t.Context(), newGatherQuery())
		require.True(t, ok)
		require.Equal(t, errcode.OK, a.Code)
		require.Equal(t, 1, a.Missing())
		require.Equal(t, fanout.Failed, a.Shards[0].MissingReason)
		require.Equal(t, textReply{"p-t", []byte("rows")}, a.Shards[1].Reply.Content)
	}
	refused := gateway.Answer{Code: errcode.ShardsOverloaded, RetryAfter: 250 * time.Millisecond, Shards: make([]gateway.ShardAnswer, 2)}
	b.server.queries = queryRunnerFunc(func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		return refused, true
	})
	a, ok := b.agent.HandOff(t.Context(), newGatherQuery())
	require.True(t, ok)
	require.Equal(t, refused.Code, a.Code)
	require.Equal(t, refused.RetryAfter, a.RetryAfter)
}

// A declined query is left to its owner, the instance that handed it off.
func TestDeclinedQueryIsLeftToOwner(t *testing.T) {
	b := newQueryFixture(t, func(context.Context, *gateway.Request, int64, func() bool) (gateway.Answer, bool) {
		return gateway.Answer{}, false
	})
	_, ok := b.agent.HandOff(t.Context(), newGatherQuery())
	require.False(t, ok)
	b.conn.closeWithError(net.ErrClosed)
	_, ok = b.agent.HandOff(t.Context(), newGatherQuery())
	require.False(t, ok, "without a usable peer the query is left to this instance")
}

// newStalledPeer returns a listener and a channel for a peer that reads nothing until the channel
// is closed.
func newStalledPeer(t *testing.T) (ln net.Listener, wake chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln, make(chan struct{})
}

// Guards against queries that wait for a paused peer, and that run again when it resumes. The owner
// withdraws the query and runs it itself; the peer later reads the query together with its
// cancellation and must not start it.
func TestQueryIsWithdrawnFromStalledPeer(t *testing.T) {
	ln, wake := newStalledPeer(t)
	ran := make(chan struct{}, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		<-wake
		s := &Server{codec: textCodec{}, log: discardLog(), conns: map[net.Conn]struct{}{}, awaitingHello: 1, queries: queryRunnerFunc(
			func(context.Context, *gateway.Request, int64, func() bool) (gateway.Answer, bool) {
				ran <- struct{}{}
				return gateway.Answer{}, false
			})}
		s.serve(conn)
	}()
	b := newQueryFixture(t, nil)
	c := b.dial(ln.Addr().String())
	c.onTimeout = b.agent.handleTimeout
	b.agent.conns["peer"] = c
	_, ok := b.agent.HandOff(t.Context(), newGatherQuery())
	require.False(t, ok)
	require.Contains(t, b.agent.avoidUntil, "peer")
	_, ok = b.agent.HandOff(t.Context(), newGatherQuery())
	require.False(t, ok, "the peer must be avoided after a timeout")
	close(wake)
	require.NoError(t, c.conn.(*net.TCPConn).CloseWrite())
	<-done
	require.Empty(t, ran)
}

// Guards against waiting until the deadline, or running a query again, when the peer that accepted
// it is killed or sends nothing more. The query may have reached the leafs.
func TestGrantedQueryOfLostPeerMayHaveRun(t *testing.T) {
	for name, lose := range map[string]func(*queryFixture){
		"killed": func(b *queryFixture) { b.server.Close() },
		"silent": func(*queryFixture) {},
	} {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{})
			b := newQueryFixture(t, func(ctx context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
				if !granted() {
					return gateway.Answer{}, false
				}
				close(started)
				<-ctx.Done()
				return gateway.Answer{}, true
			})
			if name == "silent" {
				b.agent.conns["peer"] = dialPeerThatGoesSilent(t, b, started)
			}
			go func() {
				<-started
				lose(b)
			}()
			a, ok := b.agent.HandOff(t.Context(), newGatherQuery())
			require.True(t, ok)
			require.Equal(t, errcode.PeerLost, a.Code)
			require.False(t, a.Code.NotRun())
		})
	}
}

// dialPeerThatGoesSilent returns a connection to a peer that accepts one query and then sends
// nothing.
func dialPeerThatGoesSilent(t *testing.T, b *queryFixture, started chan struct{}) *clientConn {
	ln, _ := newStalledPeer(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		_, _, _ = readFrame(r, maxFrameBytes) // The hello frame.
		_, _, _ = readFrame(r, maxFrameBytes) // The query, with number 1.
		_ = writeFrame(bufio.NewWriter(conn), kindAccepted, numbered{Number: 1})
		close(started)
	}()
	return b.dial(ln.Addr().String())
}

// Guards against giving up queries of a healthy peer when the wall clock jumps forward: the time
// since the last frame must be measured with the monotonic clock.
func TestPeerSilenceUsesMonotonicClock(t *testing.T) {
	b := newQueryFixture(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		return partialAnswer(), true
	})
	_, ok := b.agent.HandOff(t.Context(), newGatherQuery())
	require.True(t, ok)
	require.Contains(t, b.conn.lastFrameAt.Load().String(), " m=+", "the time must have a monotonic reading")
	require.Less(t, b.conn.sinceLastFrame(time.Now()), time.Minute)
}

// A peer that sends heartbeats during a slow query is not given up.
func TestHeartbeatsKeepSlowQueryAlive(t *testing.T) {
	b := newQueryFixture(t, func(_ context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		time.Sleep(2 * heartbeatTimeout)
		return partialAnswer(), true
	})
	a, ok := b.agent.HandOff(t.Context(), newGatherQuery())
	require.True(t, ok)
	require.Equal(t, errcode.OK, a.Code)
}

// Guards against leafs that keep working for callers that have left: the instance of the caller
// must cancel the query at the peer.
func TestQueryIsCancelledWhenCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	ctx, leave := context.WithCancel(t.Context())
	b := newQueryFixture(t, func(ctx context.Context, _ *gateway.Request, _ int64, granted func() bool) (gateway.Answer, bool) {
		if !granted() {
			return gateway.Answer{}, false
		}
		leave()
		<-ctx.Done()
		close(ended)
		return gateway.Answer{}, true
	})
	a, ok := b.agent.HandOff(ctx, newGatherQuery())
	require.True(t, ok)
	require.Equal(t, errcode.CallerDisconnected, a.Code)
	<-ended
}

// newMembers returns members of one zone with the given capacities.
func newMembers(zone string, room ...uint32) []membership.Member {
	var out []membership.Member
	for i, r := range room {
		out = append(out, membership.Member{Name: zone + "-" + string(rune('a'+i)), Zone: zone, Capacity: r})
	}
	return out
}

func neverAvoided(membership.Member) bool { return false }

// assignAll returns the roles that each member computes.
func assignAll(all []membership.Member) map[string]roles {
	out := map[string]roles{}
	for i, self := range all {
		others := append(append([]membership.Member{}, all[:i]...), all[i+1:]...)
		out[self.Name] = assignRoles(self, others, neverAvoided)
	}
	return out
}

// All members of a zone select the same gatherers: those with the most capacity, at least two and
// together a quarter of the capacity of the zone. A gatherer runs its own queries.
func TestAllMembersSelectTheSameGatherers(t *testing.T) {
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
			all := newMembers("z", tc.room...)
			drawn := map[string]bool{}
			for _, m := range all {
				if r := assignAll(all)[m.Name]; len(r.gatherers) == 0 {
					drawn[m.Name] = true
				}
			}
			require.Len(t, drawn, tc.want)
			for _, r := range assignAll(all) {
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

// Members that are not usable are not selected as batchers, and a member that leaves only affects
// the instances that preferred it.
func TestBatchersAreSpreadAndStable(t *testing.T) {
	all := append(newMembers("y", 19, 19, 19, 19, 19, 19, 80, 19), newMembers("z", 20, 20, 20, 20, 20)...)
	before := assignAll(all)
	used := map[string]int{}
	for _, r := range before {
		if batchers := r.batchers["y"]; len(batchers) > 0 {
			require.Len(t, batchers, maxBatchersPerZone)
			used[batchers[0].Name]++
		}
	}
	require.Greater(t, len(used), 1)
	gone := 1
	all[gone].Status = membership.Dead
	for name, r := range assignAll(all) {
		for zone, batchers := range r.batchers {
			was := before[name].batchers[zone]
			require.NotContains(t, batchers, all[gone])
			if len(was) > 0 && was[0].Name != all[gone].Name {
				require.Equal(t, was[0].Name, batchers[0].Name)
			}
		}
	}
}
