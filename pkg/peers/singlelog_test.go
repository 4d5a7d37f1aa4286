package peers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/explain"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// logTo returns a log of an instance that writes to w.
func logTo(w io.Writer, instance string) *oplog.Log {
	return oplog.New(w, oplog.Fields{"instance": instance}, oplog.Options{LinesPerSecond: 5, Burst: 20, Buffer: 64})
}

// Guards against a hand-off whose history cannot be found by the ID of the request: each decision of
// the owner and of the peer must have a line.
func TestHandedOffSingleIsExplained(t *testing.T) {
	lost := make(chan struct{})
	for name, tc := range map[string]struct {
		run  queryRunnerFunc
		lose bool
		// slow delays the frames of the peer until the owner has taken the request back.
		slow bool
		want []string
	}{
		"served": {
			run:  runGranted(func(context.Context) gateway.Answer { return relayedAnswer() }),
			want: []string{"owner request_handed_off", "peer request_granted"},
		},
		"declined": {
			run: func(context.Context, *gateway.Request, int64, func() bool) (gateway.Answer, bool) {
				return gateway.Answer{}, false
			},
			want: []string{"owner request_handed_off", "owner request_declined"},
		},
		"taken back": {
			run: runGranted(func(context.Context) gateway.Answer { return relayedAnswer() }), slow: true,
			want: []string{"owner request_handed_off", "owner request_taken_back", "peer request_not_granted", "owner request_taken_late"},
		},
		"lost": {
			run: runGranted(func(ctx context.Context) gateway.Answer {
				close(lost)
				<-ctx.Done()
				return gateway.Answer{}
			}), lose: true,
			want: []string{"owner request_handed_off", "peer request_granted", "owner request_peer_lost"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var ownerLines, peerLines bytes.Buffer
			owner, peer := logTo(&ownerLines, "owner"), logTo(&peerLines, "peer")
			b := newQueryFixture(t, tc.run)
			b.agent.log, b.server.log = owner, peer
			p := newDelayProxy(t, b.server.listener.Addr().String())
			c := b.dial(p.addr)
			c.onTimeout, c.onLateAccept = b.agent.handleTimeout, b.agent.handleLateAccept
			b.agent.conns["peer"] = c
			p.toClient.closed.Store(tc.slow)
			if tc.lose {
				go func() {
					<-lost
					b.server.Close()
				}()
			}
			b.agent.HandOffSingle(t.Context(), newSingleRequest())
			p.toClient.closed.Store(false)
			b.requireIdle()
			if tc.slow {
				require.Eventually(t, func() bool { return b.agent.Singles.AcceptedLate.Load() == 1 }, 10*time.Second, time.Millisecond)
			}
			owner.Close(time.Second)
			peer.Close(time.Second)
			var out bytes.Buffer
			lines, err := explain.Request("r1", []io.Reader{&ownerLines, &peerLines}, &out)
			require.NoError(t, err)
			for _, line := range tc.want {
				require.Contains(t, out.String(), " "+line+" ")
			}
			require.Equal(t, len(tc.want), lines, out.String())
		})
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	read, written *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, read: l.read, written: l.written}, nil
}

// BenchmarkSingleHandoff measures the time, and the bytes between the two instances without those of
// TCP, per request that is handed off. The request has 9 headers and a body of 200 bytes, and the
// reply has 6 headers and a body of 200 bytes.
func BenchmarkSingleHandoff(b *testing.B) {
	var toPeer, fromPeer atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	header := http.Header{}
	for i := range 6 {
		header.Set(fmt.Sprint("X-Reply-Header-", i), "some-value-0123456789")
	}
	reply := &gateway.LeafReply{Outcome: replica.Answered, Status: 200, Content: Reply{Status: 200, Header: header, Body: make([]byte, 200)}}
	run := runGranted(func(context.Context) gateway.Answer { return gateway.Answer{Relayed: reply} })
	counted := countingListener{Listener: ln, read: &toPeer, written: &fromPeer}
	server, err := NewServer(counted, replica.NewTable(replica.Options{}), nil, run, textCodec{}, 64, 200, discardLog())
	require.NoError(b, err)
	go server.Run()
	b.Cleanup(server.Close)
	agent, c := benchmarkAgent(b, ln.Addr().String())
	b.Cleanup(func() { c.closeWithError(net.ErrClosed) })
	q := benchmarkRequest()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		q.Request.ID = fmt.Sprintf("request-%08d", n)
		q.Request.Content.(Request).Header.Set("X-Request-Id", q.Request.ID)
		q.Request.Arrived, q.Deadline = time.Now(), time.Now().Add(3*time.Second)
		if _, ok := agent.HandOffSingle(b.Context(), q); !ok {
			b.Fatal("the request was not handed off")
		}
		n++
	}
	b.ReportMetric(float64(toPeer.Load())/float64(n), "B-to-peer/op")
	b.ReportMetric(float64(fromPeer.Load())/float64(n), "B-from-peer/op")
}

// benchmarkAgent returns an agent with one gatherer at addr, and the connection to it.
func benchmarkAgent(b *testing.B, addr string) (*Peers, *clientConn) {
	peer := membership.Member{Name: "peer", Addr: addr}
	c, err := dial(peer, membership.Member{Name: "me"}, textCodec{})
	require.NoError(b, err)
	agent := &Peers{
		codec: textCodec{}, log: discardLog(), conns: map[string]*clientConn{"peer": c}, avoidUntil: map[string]time.Time{},
		roles: roles{gatherers: []membership.Member{peer}},
	}
	c.onTimeout, c.onClosed = agent.handleTimeout, func(*clientConn, error) {}
	go c.read()
	return agent, c
}

// benchmarkRequest returns a request with 9 headers, one of which is the ID, and a body of 200 bytes.
func benchmarkRequest() gateway.GatherQuery {
	q := newSingleRequest()
	header := http.Header{}
	for i := range 8 {
		header.Set(fmt.Sprint("X-Caller-Header-", i), "some-value-0123456789")
	}
	q.Request.Content = Request{Method: "POST", Target: "/hold/room/1234?nights=3", Host: "a.example", Header: header, Body: make([]byte, 200)}
	return q
}
