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

// Codec converts between the messages of an installation and the forms in which peers exchange
// them.
type Codec interface {
	// Request returns the request to leafs for the message of a caller. Content is its inverse.
	Request(content gateway.Content) Request
	Content(r Request) gateway.Content
	// Key identifies what the message of a caller asks, for the quarantine.
	Key(content gateway.Content) quarantine.Key
	// SplitReply splits the successful reply of a leaf into its proof, which identifies the reply
	// as a leaf's work on one request, and its body. JoinReply is the inverse.
	SplitReply(reply gateway.LeafReply) (proof string, body []byte)
	JoinReply(proof string, body []byte) gateway.Content
	// WholeReply returns a leaf's reply with everything that a caller receives of it.
	// JoinWholeReply is the inverse.
	WholeReply(reply gateway.LeafReply) Reply
	JoinWholeReply(r Reply) gateway.Content
	// Merge merges several bodies into one that gives the same answer.
	Merge(bodies [][]byte, topK int) []byte
}

// Server serves peers: it calls leafs for peers in other zones, and runs queries for peers in its
// own zone.
type Server struct {
	listener net.Listener
	queries  QueryRunner
	// quarantine holds the requests that make leafs crash; nil disables the check.
	quarantine *quarantine.Table
	// publisher is nil if this instance publishes no feed.
	publisher *publisher
	table     *replica.Table
	leafs     gateway.LeafClient
	codec     Codec
	pool      *ants.Pool
	log       *oplog.Log
	// BatchesServed, LeafCallsServed, QueriesServed and SinglesServed count the work done for peers.
	// inFlight is the number of batches, queries and single requests in progress.
	BatchesServed, LeafCallsServed, QueriesServed, SinglesServed atomic.Int64
	inFlight                                                     atomic.Int64
	// draining is set when the instance stops. Single requests are then declined.
	draining atomic.Bool

	// maxConns is the maximum number of connections. rejectedConns counts connections that were
	// closed because of it or of maxAwaitingHello.
	maxConns      int
	rejectedConns atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// awaitingHello is the number of connections without a hello frame yet.
	awaitingHello int
}

// helloTimeout is how long a new connection may take to send the hello frame.
const helloTimeout = 2 * time.Second

// NewServer returns a server for a listener. workers is the maximum number of concurrent leaf
// calls, and maxConns of connections. queries is nil if no queries are run for peers.
func NewServer(ln net.Listener, table *replica.Table, leafs gateway.LeafClient, queries QueryRunner, codec Codec, workers, maxConns int, log *oplog.Log) (*Server, error) {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Server{
		listener: ln, queries: queries, table: table, leafs: leafs, codec: codec, pool: pool, log: log,
		maxConns: maxConns, conns: make(map[net.Conn]struct{}),
	}, nil
}

// SetQuarantine makes the server refuse requests that make leafs crash, even if the requesting peer
// does not know about them yet. It must be called before Run.
func (s *Server) SetQuarantine(table *quarantine.Table) { s.quarantine = table }

// Run accepts connections until Close is called.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// File descriptors may be exhausted temporarily. If Run returned, this instance
			// would accept no peer any more.
			s.log.Decision("peer_accept_failed", oplog.Fields{"error": err.Error()})
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admit(conn) {
			_ = conn.Close() // Nothing was read from it.
			continue
		}
		go s.serve(conn)
	}
}

// maxAwaitingHello is the maximum number of open connections that have not sent a hello frame.
// It allows for the instances of a fleet that connect at the same moment. Each connection has 2 s
// to send the frame (helloTimeout).
const maxAwaitingHello = 64

// admit registers a connection and reports whether it is accepted.
//
// Anyone who can reach the port can open connections and send nothing. Each holds a file
// descriptor; without a limit the instance runs out of descriptors for its own leaf calls and for
// its callers.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConns || s.awaitingHello >= maxAwaitingHello {
		s.rejectedConns.Add(1)
		s.log.Decision("peer_connections_too_many", oplog.Fields{"open": len(s.conns), "without_greeting": s.awaitingHello})
		return false
	}
	s.conns[conn] = struct{}{}
	s.awaitingHello++
	return true
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// drainPollInterval is how often Drain checks whether all work has ended.
const drainPollInterval = 10 * time.Millisecond

// Drain waits until no batch, query or single request is in flight, or ctx ends. Peers that know
// that this instance leaves send no new ones.
//
// From now on single requests are declined, which costs their owners a round trip. One that was
// accepted after the wait and before the connections are closed would be lost, and the outcome of an
// at-most-once request unknown.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes the listener and the connections.
func (s *Server) Close() {
	_ = s.listener.Close() // The server stops; the error changes nothing.
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close() // As above.
	}
	s.pool.Release()
}
