package peers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
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

// textCodec is a Codec for text messages. Merging joins the bodies of the parts.
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
func (textCodec) WholeReply(r gateway.LeafReply) Reply                { return r.Content.(Reply) }
func (textCodec) JoinWholeReply(r Reply) gateway.Content              { return r }
func (textCodec) Merge(bodies [][]byte, _ int) []byte                 { return bytes.Join(bodies, []byte("+")) }

// fakeLeafs is a gateway.LeafClient that answers with the function do.
type fakeLeafs struct {
	do func(ctx context.Context, call gateway.LeafCall) gateway.LeafReply

	mu       sync.Mutex
	received []gateway.LeafCall
}

func (f *fakeLeafs) Do(ctx context.Context, call gateway.LeafCall) gateway.LeafReply {
	f.mu.Lock()
	f.received = append(f.received, call)
	f.mu.Unlock()
	return f.do(ctx, call)
}
func (f *fakeLeafs) Probe(context.Context, replica.Leaf, string, time.Time) bool { return true }
func (f *fakeLeafs) RemoveLeaf(string)                                           {}
func (f *fakeLeafs) HandleRestart(string)                                        {}

func (f *fakeLeafs) calls() []gateway.LeafCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// successReply returns the successful reply of a leaf.
func successReply(call gateway.LeafCall) gateway.LeafReply {
	return gateway.LeafReply{Outcome: replica.Answered, Status: 200, Content: textReply{proof: "p-" + call.Leaf.ID, body: []byte(call.Leaf.ID)}}
}

// serverFixture is a server, and a client connection to it.
type serverFixture struct {
	t       *testing.T
	table   *replica.Table
	leafs   *fakeLeafs
	queries QueryRunner
	server  *Server
	conn    *clientConn
	silent  chan struct{} // Receives the calls of onTimeout.
	ended   chan error    // Receives the errors passed to onClosed.
}

func discardLog() *oplog.Log {
	return oplog.New(io.Discard, nil, oplog.Options{LinesPerSecond: 5, Burst: 20, Buffer: 64})
}

func newServerFixture(t *testing.T, do func(context.Context, gateway.LeafCall) gateway.LeafReply) *serverFixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &serverFixture{
		t: t, table: replica.NewTable(replica.Options{}), leafs: &fakeLeafs{do: do},
		silent: make(chan struct{}, 16), ended: make(chan error, 16),
	}
	b.server, err = NewServer(ln, b.table, b.leafs, b.queries, textCodec{}, 64, 200, discardLog())
	require.NoError(t, err)
	go b.server.Run()
	t.Cleanup(b.server.Close)
	b.conn = b.dial(ln.Addr().String())
	return b
}

func (b *serverFixture) dial(addr string) *clientConn {
	c, err := dial(membership.Member{Name: "peer", Addr: addr, Zone: "z2"}, membership.Member{Name: "me", Zone: "z1"}, textCodec{})
	require.NoError(b.t, err)
	c.onTimeout = func(*clientConn) { b.silent <- struct{}{} }
	c.onClosed = func(_ *clientConn, err error) { b.ended <- err }
	go c.read()
	b.t.Cleanup(func() { c.closeWithError(net.ErrClosed) })
	return c
}

// leafCalls returns calls to leafs with the given IDs.
func leafCalls(ids ...string) []gateway.LeafCall {
	var out []gateway.LeafCall
	for _, id := range ids {
		out = append(out, gateway.LeafCall{Leaf: replica.Leaf{ID: id, Addr: id + ":1", Services: []string{"s"}}})
	}
	return out
}

// newTestBatch returns a batch for one request.
func newTestBatch(flush time.Duration, calls []gateway.LeafCall) gateway.Batch {
	header := http.Header{"X-Own-Id": {"r1"}, "Accept": {"*/*", "text/plain"}}
	return gateway.Batch{
		Request: &gateway.Request{ID: "r1", Content: Request{Method: "GET", Target: "/x?y", Host: "h", Header: header, Body: []byte("b")}},
		Route:   &routing.Route{TopK: 3}, Zone: "z2", Calls: calls,
		Deadline: time.Now().Add(2 * time.Second), FlushAfter: flush, FlushInterval: time.Millisecond,
	}
}

// replySink collects the groups of replies that are delivered together.
type replySink chan []gateway.BatchReply

func (s replySink) take(r []gateway.BatchReply) { s <- r }

// The replies of a batch are delivered together if all arrive before the flush time, and the first
// one gets the merged records. The leafs receive the request as the caller sent it.
func TestBatchRepliesAreMerged(t *testing.T) {
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return successReply(call) })
	for range 2 {
		got := make(replySink, 4)
		_, ok := b.conn.sendBatch(newTestBatch(time.Second, leafCalls("a", "b", "c")), got.take)
		require.True(t, ok)
		group := <-got
		require.Len(t, group, 3, "all replies arrived before the flush time")
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
		require.Equal(t, 1, merged, "one reply must have all records")
	}
	call := b.leafs.calls()[5]
	require.Equal(t, "r1", call.Request.ID)
	want := newTestBatch(0, nil).Request.Content.(Request)
	require.Equal(t, want, call.Request.Content, "leafs must receive what the caller sent")
	require.WithinDuration(t, time.Now().Add(2*time.Second), call.Deadline, time.Second)
}

// Guards against replies that wait for a slow leaf. A failure must be returned at once, so that
// another leaf can be asked.
func TestFailuresAndSlowLeafsDoNotDelayReplies(t *testing.T) {
	release := make(chan struct{})
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply {
		switch call.Leaf.ID {
		case "bad":
			return gateway.LeafReply{Outcome: replica.Refused, Status: 503}
		case "slow":
			<-release
		}
		return successReply(call)
	})
	got := make(replySink, 4)
	b.conn.sendBatch(newTestBatch(50*time.Millisecond, leafCalls("good", "slow", "bad")), got.take)
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

// Guards against leafs that keep working for callers that have left: the instance of the caller
// cancels the batch or closes its connection to the peer.
func TestLeafCallsAreCancelledWhenCallerLeaves(t *testing.T) {
	for name, leave := range map[string]func(*serverFixture, func()){
		"cancelled":  func(_ *serverFixture, cancel func()) { cancel() },
		"connection": func(b *serverFixture, _ func()) { b.conn.closeWithError(net.ErrClosed) },
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			b := newServerFixture(t, func(ctx context.Context, _ gateway.LeafCall) gateway.LeafReply {
				<-ctx.Done()
				close(ended)
				return gateway.LeafReply{Outcome: replica.Abandoned}
			})
			cancel, _ := b.conn.sendBatch(newTestBatch(time.Second, leafCalls("a")), make(replySink, 4).take)
			require.Eventually(t, func() bool { return len(b.leafs.calls()) == 1 }, 5*time.Second, time.Millisecond)
			leave(b, cancel)
			<-ended
		})
	}
}

// A graceful shutdown waits for the work in progress for peers.
func TestDrainWaitsForOpenBatches(t *testing.T) {
	release := make(chan struct{})
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply {
		<-release
		return successReply(call)
	})
	got := make(replySink, 4)
	b.conn.sendBatch(newTestBatch(time.Second, leafCalls("a")), got.take)
	require.Eventually(t, func() bool { return len(b.leafs.calls()) == 1 }, 5*time.Second, time.Millisecond)
	drained := make(chan struct{})
	go func() {
		b.server.Drain(t.Context())
		close(drained)
	}()
	select {
	case <-drained:
		t.Fatal("drained while a batch was in progress")
	case <-time.After(5 * drainPollInterval):
	}
	close(release)
	require.Equal(t, replica.Answered, (<-got)[0].Reply.Outcome)
	<-drained
}

// A leaf that the peer knows to be draining is not called, and its call counts as not run. An
// unknown leaf is called at the address in the batch.
func TestPeerRefusesDrainingLeafAndAcceptsUnknownLeaf(t *testing.T) {
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return successReply(call) })
	b.table.Upsert(replica.Leaf{ID: "drains", Services: []string{"s"}, Addr: "drains:1", Draining: true}, time.Now())
	got := make(replySink, 4)
	b.conn.sendBatch(newTestBatch(time.Second, leafCalls("drains", "new")), got.take)
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

// Guards against queries that wait for a lost peer beyond their deadline, and against counting
// calls as not run that may have run. The peer fails while a batch is open.
func TestLostPeerFailsEachOpenCallOnce(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply {
		<-hang
		return successReply(call)
	})
	got := make(replySink, 4)
	b.conn.sendBatch(newTestBatch(time.Second, leafCalls("a", "b")), got.take)
	require.Eventually(t, func() bool { return len(b.leafs.calls()) == 2 }, 5*time.Second, time.Millisecond)
	b.server.Close()
	group := <-got
	require.Len(t, group, 2)
	for _, r := range group {
		require.Equal(t, replica.PeerLost, r.Reply.Outcome)
		require.False(t, r.Reply.Outcome.NotRun())
	}
	<-b.ended
	_, ok := b.conn.sendBatch(newTestBatch(time.Second, leafCalls("a")), got.take)
	require.False(t, ok, "nothing may be sent on a closed connection")
}

// newSilentPeer returns the address of a listener that accepts connections and never answers.
func newSilentPeer(t *testing.T) string {
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

func TestSilentPeerTimesOut(t *testing.T) {
	b := newServerFixture(t, nil)
	c := b.dial(newSilentPeer(t))
	m := newTestBatch(10*time.Millisecond, leafCalls("a"))
	m.Deadline = time.Now().Add(50 * time.Millisecond)
	got := make(replySink, 4)
	_, ok := c.sendBatch(m, got.take)
	require.True(t, ok)
	<-b.silent
	require.Equal(t, replica.PeerLost, (<-got)[0].Reply.Outcome)
}

// A peer that sends a frame in time is not silent, even if the frame holds no reply.
func TestPeerWithSlowLeafsIsNotSilent(t *testing.T) {
	release := make(chan struct{})
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply {
		<-release
		return successReply(call)
	})
	got := make(replySink, 4)
	b.conn.sendBatch(newTestBatch(10*time.Millisecond, leafCalls("a")), got.take)
	time.Sleep(10*time.Millisecond + 2*firstReplyGrace)
	close(release)
	require.Equal(t, replica.Answered, (<-got)[0].Reply.Outcome)
	require.Empty(t, b.silent)
}

// Connections with another protocol version are closed, so that the client calls the leafs
// directly.
func TestPeerWithOtherProtocolVersionIsRejected(t *testing.T) {
	b := newServerFixture(t, nil)
	raw, err := net.Dial("tcp", b.server.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	require.NoError(t, writeFrame(bufio.NewWriter(raw), kindHello, hello{Version: protocolVersion + 1, Name: "newer"}))
	_, err = raw.Read(make([]byte, 1))
	require.Error(t, err)
}

// Guards against running out of file descriptors when a client opens many connections to the peer
// port and sends nothing. Connected peers are still served, and the silent connections are closed
// after helloTimeout.
func TestConnectionsWithoutHelloAreBounded(t *testing.T) {
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return successReply(call) })
	var silent []net.Conn
	for range 3 * maxAwaitingHello {
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
		require.LessOrEqual(t, b.server.awaitingHello, maxAwaitingHello)
		return len(b.server.conns)
	}
	require.Eventually(t, func() bool { return b.server.rejectedConns.Load() >= 2*maxAwaitingHello-1 }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, open(), maxAwaitingHello+1)
	got := make(replySink, 4)
	_, ok := b.conn.sendBatch(newTestBatch(time.Second, leafCalls("a")), got.take)
	require.True(t, ok)
	require.Equal(t, replica.Answered, (<-got)[0].Reply.Outcome, "a connected peer must still be served")
	require.Eventually(t, func() bool { return open() == 1 }, 20*time.Second, 10*time.Millisecond)
}

// Each text is sent in full once per connection until maxTexts are stored.
func TestTextsAreSentOncePerConnection(t *testing.T) {
	w := textEncoder{numbers: map[string]uint16{}}
	r := textDecoder{texts: map[uint16]string{}}
	none, err := r.resolve(w.ref(""))
	require.NoError(t, err)
	require.Empty(t, none)
	for round := range 2 {
		for i := range maxTexts + 10 {
			want := fmt.Sprint("text-", i)
			f := w.ref(want)
			if round > 0 && i < maxTexts {
				require.Empty(t, f.Text)
			}
			got, err := r.resolve(f)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
	}
	_, err = r.resolve(textRef{Number: 65000})
	require.ErrorIs(t, err, errUnknownRef)
}

// FuzzFrames checks that decoding terminates for any input, that memory follows the size of the input, and
// that replies to calls that are not open are dropped.
func FuzzFrames(f *testing.F) {
	var seeds [][]byte
	for _, frame := range []struct {
		kind frameKind
		v    any
	}{
		{kindHello, hello{Version: 1}}, {kindBatch, batch{Number: 1, Leafs: []textRef{{Number: 1, Text: "a b"}}}},
		{kindBatchReplies, batchReplies{Number: 1, Parts: []leafPart{{Leaf: 9}}}}, {kindQuery, query{Number: 1, CallerTimeoutUs: 9}},
		{kindAnswer, answer{Number: 1, Coverage: []byte{0, 1}, Proofs: []string{"p"}}}, {kindCancel, numbered{Number: 1}},
		{kindSingle, query{Number: 1, CallerTimeoutUs: 9}},
		{kindSingleAnswer, singleAnswer{Number: 1, Relayed: &leafReplyFrame{Status: 200, Header: []string{"A", "b"}, Body: []byte("x")}}},
		{kindFeedStatus, feedStatus{At: pos(3)}}, {kindSubscribe, subscribeRequest{After: pos(3)}},
	} {
		var buffer bytes.Buffer
		_ = writeFrame(bufio.NewWriter(&buffer), frame.kind, frame.v)
		seeds = append(seeds, buffer.Bytes())
	}
	mutate.AddSeeds(f, seeds...)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, content, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), maxFrameBytes)
		runtime.ReadMemStats(&after)
		require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20+4*len(raw)))
		if err != nil {
			return
		}
		r := textDecoder{texts: map[uint16]string{}}
		if b, err := decode[batch](content); err == nil {
			_, _ = r.resolveAll(b.Leafs) // Only has to return.
		}
		if q, err := decode[query](content); err == nil {
			_, _ = r.decodeRequest(q.Request) // Only has to return.
		}
		if a, err := decode[answer](content); err == nil {
			checkAnswer(t, a)
		}
		if a, err := decode[singleAnswer](content); err == nil {
			checkSingleAnswer(t, a)
		}
		if got, err := decode[batchReplies](content); err == nil {
			checkBatchReplies(t, got)
		}
	})
}

// checkBatchReplies checks that each open call gets at most one reply.
func checkBatchReplies(t *testing.T, f batchReplies) {
	p := &pendingBatch{open: []bool{true, true}, remaining: 2}
	replies := p.decodeReplies(f, textCodec{})
	require.LessOrEqual(t, len(replies), 2)
	for _, reply := range replies {
		require.NotEmpty(t, reply.Reply.Outcome.String())
	}
}

// checkAnswer checks that a decoded answer has a reply for exactly the covered shards.
func checkAnswer(t *testing.T, f answer) {
	w := &queryWait{c: &clientConn{codec: textCodec{}}, query: gateway.GatherQuery{Route: &routing.Route{Shards: []string{"s", "t"}}}}
	a, err := w.decodeAnswer(f)
	if err != nil {
		return
	}
	require.Len(t, a.Shards, 2)
	for _, shard := range a.Shards {
		require.NotEmpty(t, shard.MissingReason.String())
		require.Equal(t, a.Code == errcode.OK && shard.MissingReason == fanout.Covered, shard.Reply != nil)
	}
}

// checkSingleAnswer checks that a decoded answer has a reply if and only if it is a success, and that
// its status can be written to a caller.
func checkSingleAnswer(t *testing.T, f singleAnswer) {
	a, err := decodeSingleAnswer(f, textCodec{})
	if err != nil {
		return
	}
	require.Equal(t, a.Code == errcode.OK, a.Relayed != nil)
	require.NotZero(t, a.Code.HTTPStatus())
	if a.Relayed != nil {
		status := a.Relayed.Content.(Reply).Status
		require.True(t, status >= minReplyStatus && status <= maxReplyStatus)
	}
}
