package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Codec translates between the messages of one installation and what peers exchange.
type Codec interface {
	// Request is what a caller's message asks of leafs, and Content its inverse.
	Request(content gateway.Content) Request
	Content(r Request) gateway.Content
	// Key names what a caller's message asks.
	Key(content gateway.Content) quarantine.Key
	// SplitReply takes a leaf's success apart, and Reply puts one together.
	SplitReply(reply gateway.LeafReply) (proof string, body []byte)
	JoinReply(proof string, body []byte) gateway.Content
	// Merge joins the bodies of several parts into one that gives the same answer.
	Merge(bodies [][]byte, topK int) []byte
}

// Server works for peers: it sends requests to leafs for those of other zones, and runs
// queries for those of its own.
type Server struct {
	listener net.Listener
	queries  QueryRunner
	// quarantine knows the requests that end leafs; nil: all are sent.
	quarantine *quarantine.Table
	// feeder is nil where peers are not fed.
	feeder *feeder
	table  *replica.Table
	leafs  gateway.LeafClient
	codec  Codec
	pool   *ants.Pool
	log    *oplog.Log
	// BatchesServed, Calls and Gathered count what was served; active is the work under way.
	BatchesServed, LeafCallsServed, QueriesServed atomic.Int64
	active                                        atomic.Int64

	// connsMost bounds the connections; turned counts those that were closed for it.
	connsMost int
	turned    atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// greeting is how many connections have not said yet who calls.
	greeting int
}

// helloTimeout bounds the first frame of a connection.
const helloTimeout = 2 * time.Second

// NewServer serves on a listener; workers bounds the leaf calls in flight, connsMost the
// connections. queries may be nil where none are run for peers.
func NewServer(ln net.Listener, table *replica.Table, leafs gateway.LeafClient, queries QueryRunner, codec Codec, workers, connsMost int, log *oplog.Log) (*Server, error) {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Server{listener: ln, queries: queries, table: table, leafs: leafs, codec: codec, pool: pool, log: log, connsMost: connsMost, conns: make(map[net.Conn]struct{})}, nil
}

// SetQuarantine keeps requests that end leafs from them, also where the caller has not heard of that
// yet. It is called before Run.
func (s *Server) SetQuarantine(table *quarantine.Table) { s.quarantine = table }

// Run accepts peers until Close.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors may be used up for the moment; ending would leave this
			// zone without a peer for good.
			s.log.Decision("peer_accept_failed", oplog.Fields{"error": err.Error()})
			time.Sleep(acceptPause)
			continue
		}
		if !s.admit(conn) {
			_ = conn.Close() // As if it had not been accepted.
			continue
		}
		go s.serve(conn)
	}
}

// greetingMost is how many connections may be open that have not said who calls: those of a
// fleet's instances that connect at the same moment. They have 2 s for it.
const greetingMost = 64

// admit takes a connection unless there are too many.
//
// Whoever reaches the port can open connections and say nothing. Each holds a descriptor; one
// notices that an instance finds none for its own calls to leafs and for its callers.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.connsMost || s.greeting >= greetingMost {
		s.turned.Add(1)
		s.log.Decision("peer_connections_too_many", oplog.Fields{"open": len(s.conns), "without_greeting": s.greeting})
		return false
	}
	s.conns[conn] = struct{}{}
	s.greeting++
	return true
}

// acceptPause is how long accepting waits after an error.
const acceptPause = 50 * time.Millisecond

// drainStep is how often Drain looks whether all batches have ended.
const drainStep = 10 * time.Millisecond

// Drain waits until no batch and no query is under way, or ctx ends. Peers that have heard that this
// instance leaves send no new ones.
func (s *Server) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainStep)
	defer ticker.Stop()
	for s.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the listener and the connections.
func (s *Server) Close() {
	_ = s.listener.Close() // Nothing is left to be done about an error.
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close() // As above.
	}
	s.pool.Release()
}
