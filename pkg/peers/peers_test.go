package peers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/mutate"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// textCodec is an installation whose messages are texts: a part's body is its proof, and
// merging joins bodies.
type textCodec struct{}

type textReply struct {
	proof string
	body  []byte
}

func (textCodec) Request(c gateway.Content) Request { return c.(Request) }
func (textCodec) Content(r Request) gateway.Content { return r }
func (textCodec) Key(c gateway.Content) quarantine.Key {
	r := c.(Request)
	return quarantine.KeyOf(r.Method, r.Host, r.Target, string(r.Body))
}
func (textCodec) SplitReply(r gateway.LeafReply) (string, []byte) {
	t := r.Content.(textReply)
	return t.proof, t.body
}
func (textCodec) JoinReply(proof string, body []byte) gateway.Content { return textReply{proof, body} }
func (textCodec) Merge(bodies [][]byte, _ int) []byte                 { return bytes.Join(bodies, []byte("+")) }

// fakeLeafs answers as a test says.
type fakeLeafs struct {
	do func(ctx context.Context, call gateway.LeafCall) gateway.LeafReply

	mu   sync.Mutex
	seen []gateway.LeafCall
}

func (f *fakeLeafs) Do(ctx context.Context, call gateway.LeafCall) gateway.LeafReply {
	f.mu.Lock()
	f.seen = append(f.seen, call)
	f.mu.Unlock()
	return f.do(ctx, call)
}
func (f *fakeLeafs) Probe(context.Context, replica.Leaf, string, time.Time) bool { return true }
func (f *fakeLeafs) RemoveLeaf(string)                                           {}
func (f *fakeLeafs) HandleRestart(string)                                        {}

func (f *fakeLeafs) calls() []gateway.LeafCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// answered is a success of a leaf.
func answered(call gateway.LeafCall) gateway.LeafReply {
	return gateway.LeafReply{Outcome: replica.Answered, Status: 200, Content: textReply{proof: "p-" + call.Leaf.ID, body: []byte(call.Leaf.ID)}}
}

// bench is a server, and a caller's connection to it.
type bench struct {
	t       *testing.T
	table   *replica.Table
	leafs   *fakeLeafs
	queries QueryRunner
	server  *Server
	conn    *clientConn
	silent  chan struct{}
	ended   chan error
}

func quietLog() *oplog.Log {
	return oplog.New(io.Discard, nil, oplog.Options{LinesPerSecond: 5, Burst: 20, Buffer: 64})
}

func newBench(t *testing.T, do func(context.Context, gateway.LeafCall) gateway.LeafReply) *bench {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &bench{
		t: t, table: replica.NewTable(replica.Options{}), leafs: &fakeLeafs{do: do},
		silent: make(chan struct{}, 16), ended: make(chan error, 16),
	}
	b.server, err = NewServer(ln, b.table, b.leafs, b.queries, textCodec{}, 64, 200, quietLog())
	require.NoError(t, err)
	go b.server.Run()
	t.Cleanup(b.server.Close)
	b.conn = b.dial(ln.Addr().String())
	return b
}

func (b *bench) dial(addr string) *clientConn {
	c, err := dial(membership.Member{Name: "peer", Addr: addr, Zone: "z2"}, membership.Member{Name: "me", Zone: "z1"}, textCodec{})
	require.NoError(b.t, err)
	c.silent = func(*clientConn) { b.silent <- struct{}{} }
	c.ended = func(_ *clientConn, err error) { b.ended <- err }
	go c.read()
	b.t.Cleanup(func() { c.end(net.ErrClosed) })
	return c
}

// leafs are calls to leafs with the given IDs.
func leafs(ids ...string) []gateway.LeafCall {
	var out []gateway.LeafCall
	for _, id := range ids {
		out = append(out, gateway.LeafCall{Leaf: replica.Leaf{ID: id, Addr: id + ":1", Services: []string{"s"}}})
	}
	return out
}

// message is a batch of one request.
func message(flush time.Duration, calls []gateway.LeafCall) gateway.Batch {
	header := http.Header{"X-Own-Id": {"r1"}, "Accept": {"*/*", "text/plain"}}
	return gateway.Batch{
		Request: &gateway.Request{ID: "r1", Content: Request{Method: "GET", Target: "/x?y", Host: "h", Header: header, Body: []byte("b")}},
		Route:   &routing.Route{TopK: 3}, Zone: "z2", Calls: calls,
		Deadline: time.Now().Add(2 * time.Second), FlushAfter: flush, FlushInterval: time.Millisecond,
	}
}

// sink collects groups of replies.
type sink chan []gateway.BatchReply

func (s sink) take(r []gateway.BatchReply) { s <- r }

func TestBatchIsSentAndMerged(t *testing.T) {
	b := newBench(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return answered(call) })
	for range 2 {
		got := make(sink, 4)
		_, ok := b.conn.send(message(time.Second, leafs("a", "b", "c")), got.take)
		require.True(t, ok)
		group := <-got
		require.Len(t, group, 3, "all together, since all were in before the time of the first")
		merged := 0
		for _, r := range group {
			require.Equal(t, replica.Answered, r.Reply.Outcome)
			reply := r.Reply.Content.(textReply)
			require.Equal(t, "p-"+[]string{"a", "b", "c"}[r.Call], reply.proof)
			if len(reply.body) > 0 {
				merged++
				require.Len(t, reply.body, len("a+b+c"))
			}
		}
		require.Equal(t, 1, merged, "the records go with one of them")
	}
	call := b.leafs.calls()[5]
	require.Equal(t, "r1", call.Request.ID)
	want := message(0, nil).Request.Content.(Request)
	require.Equal(t, want, call.Request.Content, "what leafs see is what the caller sent")
	require.WithinDuration(t, time.Now().Add(2*time.Second), call.Deadline, time.Second)
}

// A failure is sent back at once, so that another leaf can be asked; a slow leaf does
// not hold the others' replies.
func TestFailuresAndSlowLeafsHoldNothingBack(t *testing.T) {
	release := make(chan struct{})
	b := newBench(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply {
		switch call.Leaf.ID {
		case "bad":
			return gateway.LeafReply{Outcome: replica.Refused, Status: 503}
		case "slow":
			<-release
		}
		return answered(call)
	})
	got := make(sink, 4)
	b.conn.send(message(50*time.Millisecond, leafs("good", "slow", "bad")), got.take)
	seen := map[int]replica.Outcome{}
	for len(seen) < 2 {
		for _, r := range <-got {
			seen[r.Call] = r.Reply.Outcome
		}
	}
	require.Equal(t, map[int]replica.Outcome{0: replica.Answered, 2: replica.Refused}, seen)
	close(release)
	last := <-got
	require.Len(t, last, 1)
	require.Equal(t, 1, last[0].Call)
	require.Equal(t, "slow", string(last[0].Reply.Content.(textReply).body))
}

// Symptom: leafs go on working for callers that have left. Sequence: the caller's
// instance cancels the batch, or goes away itself. Cause it guards against: a peer that
// works on for nobody.
func TestWorkEndsWithItsCaller(t *testing.T) {
	for name, leave := range map[string]func(*bench, func()){
		"cancelled":  func(_ *bench, cancel func()) { cancel() },
		"connection": func(b *bench, _ func()) { b.conn.end(net.ErrClosed) },
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			b := newBench(t, func(ctx context.Context, _ gateway.LeafCall) gateway.LeafReply {
				<-ctx.Done()
				close(ended)
				return gateway.LeafReply{Outcome: replica.Abandoned}
			})
			cancel, _ := b.conn.send(message(time.Second, leafs("a")), make(sink, 4).take)
			require.Eventually(t, func() bool { return len(b.leafs.calls()) == 1 }, 5*time.Second, time.Millisecond)
			leave(b, cancel)
			<-ended
		})
	}
}

// A planned stop waits for what is done for peers.
func TestServerDrains(t *testing.T) {
	release := make(chan struct{})
	b := newBench(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply {
		<-release
		return answered(call)
	})
	got := make(sink, 4)
	b.conn.send(message(time.Second, leafs("a")), got.take)
	require.Eventually(t, func() bool { return len(b.leafs.calls()) == 1 }, 5*time.Second, time.Millisecond)
	drained := make(chan struct{})
	go func() {
		b.server.Drain(t.Context())
		close(drained)
	}()
	select {
	case <-drained:
		t.Fatal("a batch is under way")
	case <-time.After(5 * drainStep):
	}
	close(release)
	require.Equal(t, replica.Answered, (<-got)[0].Reply.Outcome)
	<-drained
}

// A leaf that the peer knows to drain gets nothing, and it certainly did not run; one
// that it has not heard of is asked at the address that the caller knows.
func TestPeerKnowsLeafsBetterOrNotAtAll(t *testing.T) {
	b := newBench(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return answered(call) })
	b.table.Upsert(replica.Leaf{ID: "drains", Services: []string{"s"}, Addr: "drains:1", Draining: true}, time.Now())
	got := make(sink, 4)
	b.conn.send(message(time.Second, leafs("drains", "new")), got.take)
	seen := map[int]replica.Outcome{}
	for len(seen) < 2 {
		for _, r := range <-got {
			seen[r.Call] = r.Reply.Outcome
		}
	}
	require.Equal(t, map[int]replica.Outcome{0: replica.PeerRefused, 1: replica.Answered}, seen)
	require.True(t, replica.PeerRefused.NotRun())
	require.Equal(t, "new:1", b.leafs.calls()[0].Leaf.Addr)
	require.Len(t, b.leafs.calls(), 1)
}

// Symptom: queries hang on a peer that is gone. Sequence: it is killed, or stands still,
// with batches open. Cause it guards against: waiting for it beyond the deadline, or
// taking what may have run for not run.
func TestLostPeerGivesEachCallOneOutcome(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	b := newBench(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply {
		<-hang
		return answered(call)
	})
	got := make(sink, 4)
	b.conn.send(message(time.Second, leafs("a", "b")), got.take)
	require.Eventually(t, func() bool { return len(b.leafs.calls()) == 2 }, 5*time.Second, time.Millisecond)
	b.server.Close()
	group := <-got
	require.Len(t, group, 2)
	for _, r := range group {
		require.Equal(t, replica.PeerLost, r.Reply.Outcome)
		require.False(t, r.Reply.Outcome.NotRun())
	}
	<-b.ended
	_, ok := b.conn.send(message(time.Second, leafs("a")), got.take)
	require.False(t, ok, "nothing is sent on a connection that has ended")
}

// silentPeer accepts connections and never answers.
func silentPeer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return ln.Addr().String()
}

func TestSilentPeerIsNoticedAndGivenUp(t *testing.T) {
	b := newBench(t, nil)
	c := b.dial(silentPeer(t))
	m := message(10*time.Millisecond, leafs("a"))
	m.Deadline = time.Now().Add(50 * time.Millisecond)
	got := make(sink, 4)
	_, ok := c.send(m, got.take)
	require.True(t, ok)
	<-b.silent
	require.Equal(t, replica.PeerLost, (<-got)[0].Reply.Outcome)
}

// A peer that answers in time, if only to say that no reply is in, is no silent one.
func TestPeerWithSlowLeafsIsNotSilent(t *testing.T) {
	release := make(chan struct{})
	b := newBench(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply {
		<-release
		return answered(call)
	})
	got := make(sink, 4)
	b.conn.send(message(10*time.Millisecond, leafs("a")), got.take)
	time.Sleep(10*time.Millisecond + 2*silence)
	close(release)
	require.Equal(t, replica.Answered, (<-got)[0].Reply.Outcome)
	require.Empty(t, b.silent)
}

// An instance of another version is not served; the caller finds the connection ended
// and asks the leafs itself.
func TestPeersOfAnotherVersionAreNotServed(t *testing.T) {
	b := newBench(t, nil)
	raw, err := net.Dial("tcp", b.server.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	require.NoError(t, writeFrame(bufio.NewWriter(raw), kindHello, hello{Version: version + 1, Name: "newer"}))
	_, err = raw.Read(make([]byte, 1))
	require.Error(t, err)
}

// Symptom: an instance finds no descriptor for its own calls. Sequence: a stranger opens
// connections to the peers' port and says nothing. Cause it guards against: accepting them
// without a bound. A peer that says who it is is served as soon as some have timed out.
func TestSilentConnectionsAreBounded(t *testing.T) {
	b := newBench(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return answered(call) })
	var silent []net.Conn
	for range 3 * greetingMost {
		conn, err := net.Dial("tcp", b.server.listener.Addr().String())
		require.NoError(t, err)
		silent = append(silent, conn)
	}
	t.Cleanup(func() {
		for _, conn := range silent {
			_ = conn.Close()
		}
	})
	open := func() int {
		b.server.mu.Lock()
		defer b.server.mu.Unlock()
		require.LessOrEqual(t, b.server.greeting, greetingMost)
		return len(b.server.conns)
	}
	require.Eventually(t, func() bool { return b.server.turned.Load() >= 2*greetingMost-1 }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, open(), greetingMost+1)
	got := make(sink, 4)
	_, ok := b.conn.send(message(time.Second, leafs("a")), got.take)
	require.True(t, ok)
	require.Equal(t, replica.Answered, (<-got)[0].Reply.Outcome, "who is connected is served")
	require.Eventually(t, func() bool { return open() == 1 }, 20*time.Second, 10*time.Millisecond)
}

// Texts are sent once on a connection, whatever their number.
func TestTextsAreSentOnce(t *testing.T) {
	w := refWriter{numbers: map[string]uint16{}}
	r := refReader{texts: map[uint16]string{}}
	none, err := r.text(w.ref(""))
	require.NoError(t, err)
	require.Empty(t, none)
	for round := range 2 {
		for i := range maxRefs + 10 {
			want := fmt.Sprint("text-", i)
			f := w.ref(want)
			if round > 0 && i < maxRefs {
				require.Empty(t, f.Text)
			}
			got, err := r.text(f)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
	}
	_, err = r.text(ref{Number: 65000})
	require.ErrorIs(t, err, errUnknownRef)
}

// FuzzFrames: whatever a peer sends, reading a frame ends, and replies to calls that are
// not open are dropped.
func FuzzFrames(f *testing.F) {
	var seeds [][]byte
	for _, frame := range []struct {
		kind kind
		v    any
	}{
		{kindHello, hello{Version: 1}}, {kindBatch, batch{Number: 1, Leafs: []ref{{Number: 1, Text: "a b"}}}},
		{kindFlush, flush{Number: 1, Parts: []part{{Leaf: 9}}}}, {kindQuery, query{Number: 1, PatienceUs: 9}},
		{kindAnswer, answer{Number: 1, Lacks: []byte{0, 1}, Proofs: []string{"p"}}}, {kindCancel, numbered{Number: 1}},
		{kindNews, news{At: at(3)}}, {kindListen, listen{After: at(3)}},
	} {
		var buffer bytes.Buffer
		_ = writeFrame(bufio.NewWriter(&buffer), frame.kind, frame.v)
		seeds = append(seeds, buffer.Bytes())
	}
	mutate.AddSeeds(f, seeds...)
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, content, err := readFrame(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		r := refReader{texts: map[uint16]string{}}
		if b, err := decode[batch](content); err == nil {
			_, _ = r.all(b.Leafs) // Must only end.
		}
		if q, err := decode[query](content); err == nil {
			_, _ = r.decode(q.Request) // As above.
		}
		if a, err := decode[answer](content); err == nil {
			checkAnswer(t, a)
		}
		if got, err := decode[flush](content); err == nil {
			checkFlush(t, got)
		}
	})
}

// checkFlush: each open call gets one reply at most.
func checkFlush(t *testing.T, f flush) {
	p := &pending{open: []bool{true, true}, left: 2}
	replies := p.replies(f, textCodec{})
	require.LessOrEqual(t, len(replies), 2)
	for _, reply := range replies {
		require.NotEmpty(t, reply.Reply.Outcome.String())
	}
}

// checkAnswer: an answer that is taken over names a part of each shard that it covers.
func checkAnswer(t *testing.T, f answer) {
	w := &queryWait{c: &clientConn{codec: textCodec{}}, query: gateway.GatherQuery{Route: &routing.Route{Shards: []string{"s", "t"}}}}
	a, err := w.answer(f)
	if err != nil {
		return
	}
	require.Len(t, a.Shards, 2)
	for _, shard := range a.Shards {
		require.NotEmpty(t, shard.MissingReason.String())
		require.Equal(t, a.Code == errcode.OK && shard.MissingReason == fanout.Covered, shard.Reply != nil)
	}
}
