package leafconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endless returns the behaviour of a leaf that sends start and then repeats text until the
// connection is closed.
func endless(start, text string) func(net.Conn, func() *http.Request) {
	return func(conn net.Conn, next func() *http.Request) {
		if next() == nil {
			return
		}
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = io.WriteString(conn, text)
		}
	}
}

// Guards against a leaf that exhausts the memory of the instance with a reply that does not end.
// The call has to fail long before its deadline, with few bytes received.
func TestEndlessReplyDoesNotExhaustMemory(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, leaf := range map[string]func(net.Conn, func() *http.Request){
		"no line end":                  endless("", "wrong bytes "),
		"status line without end":      endless("HTTP/1.1 200 ", "O"),
		"header line without end":      endless(ok+"A: ", "b"),
		"header without end":           endless(ok, "A: b\r\n"),
		"continuation lines":           endless(ok+"A: b\r\n", " c\r\n"),
		"interim responses":            endless("", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
		"body without length":          endless(ok+"\r\n", "b"),
		"body of a large length":       endless(ok+"Content-Length: 1000000000000\r\n\r\n", "b"),
		"chunks":                       endless(ok+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"),
		"chunk of a large length":      endless(ok+"Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "b"),
		"chunk size without end":       endless(ok+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		"chunk extension":              endless(ok+"Transfer-Encoding: chunked\r\n\r\n1;", "a"),
		"trailer":                      endless(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
		"trailer line without end":     endless(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "b"),
		"interim responses and a body": endless("HTTP/1.1 103 Early Hints\r\n\r\n"+ok+"\r\n", "b"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool()
			_, outcome, err := send(p, serveLeaf(t, leaf), time.Minute)
			require.Equal(t, ReplyLost, outcome, "%v", err)
			received := max(p.Stats.MaxHeaderBytes.Load(), p.Stats.MaxBodyBytes.Load())
			require.LessOrEqual(t, received, int64(testMaxHeaderBytes+testMaxReplyBytes+readBufferSize))
			require.Zero(t, p.Stats.ReplyBytesHeld.Load())
			require.Zero(t, p.Stats.OpenConns.Load())
		})
	}
}

// Guards against a limit on each reply only: many large replies at the same time exhausted the
// memory too. One leaf must not use up what the replies of other leafs need.
func TestLargeRepliesOfOneLeafLeaveMemoryToOthers(t *testing.T) {
	const bodyBytes = 1 << 20
	p := New(Options{
		DialTimeout: time.Second, IdleTimeout: time.Minute, Log: newLog(),
		MaxReplyBytes: bodyBytes, MaxHeaderBytes: testMaxHeaderBytes, MaxRepliesBytes: 8 * bodyBytes,
	})
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	half := make([]byte, bodyBytes/2)
	rest := make(chan struct{})
	large := serveLeaf(t, func(conn net.Conn, next func() *http.Request) {
		if next() == nil {
			return
		}
		_, _ = io.WriteString(conn, head)
		_, _ = conn.Write(half)
		<-rest
		_, _ = conn.Write(half)
	})
	outcomes := make(chan Outcome, 32)
	var calls sync.WaitGroup
	for range cap(outcomes) {
		calls.Go(func() {
			_, outcome, _ := p.RoundTrip(context.Background(), Call{Leaf: "large", Addr: large, Request: newRequest(), ReadBy: time.Now().Add(time.Minute), Validate: anyReply})
			outcomes <- outcome
		})
	}
	// The leaf may hold 2 MiB: the other calls end while these wait for the rest of their replies.
	require.Eventually(t, func() bool { return len(outcomes) >= cap(outcomes)-4 }, 30*time.Second, time.Millisecond)
	require.LessOrEqual(t, p.Stats.ReplyBytesHeld.Load(), int64(8*bodyBytes/leafShares+cap(outcomes)*unreservedReplyBytes))
	whole := serveLeaf(t, replyToAll(head+string(half)+string(half)))
	reply, outcome, err := p.RoundTrip(context.Background(), Call{Leaf: "other", Addr: whole, Request: newRequest(), ReadBy: time.Now().Add(time.Minute), Validate: anyReply})
	require.Equal(t, Replied, outcome, "%v", err)
	require.Len(t, reply.Body, bodyBytes)
	close(rest)
	calls.Wait()
	require.Zero(t, p.Stats.ReplyBytesHeld.Load())
	require.Zero(t, p.memory.reserved)
	require.Empty(t, p.memory.byLeaf)
	require.Positive(t, p.Stats.RepliesWithoutMemory.Load())
}

// BenchmarkReadReply measures a call with a usual reply, and with a large one.
func BenchmarkReadReply(b *testing.B) {
	for name, size := range map[string]int{"1 KB": 1 << 10, "256 KB": 256 << 10} {
		b.Run(name, func(b *testing.B) {
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: 1\r\nDate: Fri\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
			p := newPool()
			p.opts.MaxReplyBytes = 1 << 20
			addr := serveLeaf(b, replyToAll(text))
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := send(p, addr, time.Minute); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
