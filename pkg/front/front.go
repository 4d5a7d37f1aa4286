// Package front accepts callers' connections. It enforces what a caller may do on a
// connection: how long it may take to send a header, the size of the header and how long the
// connection may be idle. It also ends connections when the instance stops.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/backlog"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Server serves callers with one http.Server per set of limits: net/http reads its limits without
// a lock, so new limits require a new server, which gets the connections accepted from then on.
// Connections accepted before keep their limits.
type Server struct {
	handler  http.Handler
	listener net.Listener
	// backlog counts the bytes of answers that callers have not read.
	backlog *backlog.Backlog
	// maxConns is the maximum number of callers' connections, open is the current number.
	maxConns int64
	open     atomic.Int64
	// rejected counts connections that were closed because maxConns were open.
	rejected atomic.Int64
	draining atomic.Bool

	mu      sync.Mutex
	current *limitedServer
	// replaced holds the servers of earlier limits, which still serve their connections.
	replaced []*http.Server
	limits   routing.Limits
	stopped  bool
}

// limitedServer is the server for one set of limits with its listener.
type limitedServer struct {
	server   *http.Server
	listener *connListener
}

// stdlibHeaderSlack is the number of bytes that net/http adds to MaxHeaderBytes by itself.
const stdlibHeaderSlack = 4096

// defaultMaxBacklog is the limit of the backlog in bytes until another one is set.
const defaultMaxBacklog = 32 << 20

// New listens on addr. At most maxConns connections are open at a time.
func New(addr string, handler http.Handler, limits routing.Limits, maxConns int) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: RetryAccept(ln), limits: limits, maxConns: int64(maxConns), backlog: backlog.New(defaultMaxBacklog)}
	s.handler = s.withDrainHeader(handler)
	s.current = s.startServer(limits)
	return s, nil
}

// withDrainHeader tells callers of a stopping instance to close their connection.
func (s *Server) withDrainHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// startServer starts a server with the given limits.
func (s *Server) startServer(limits routing.Limits) *limitedServer {
	ls := &limitedServer{
		listener: newConnListener(s.listener.Addr()),
		server: &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    max(limits.HeaderBytes-stdlibHeaderSlack, 1),
			ErrorLog:          discardLog,
			ConnContext:       withCallerConn,
		},
	}
	go func() { _ = ls.server.Serve(ls.listener) }() // Serve returns when the listener stops.
	return ls
}

// Backlog returns the bytes of answers that callers have not read.
func (s *Server) Backlog() *backlog.Backlog { return s.backlog }

// OpenConns returns the number of callers' connections that are open.
func (s *Server) OpenConns() int64 { return s.open.Load() }

// RejectedConns returns the number of connections closed because too many were open.
func (s *Server) RejectedConns() int64 { return s.rejected.Load() }

// SetLimits applies other limits to new connections.
func (s *Server) SetLimits(limits routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits == s.limits || s.stopped {
		return
	}
	s.limits = limits
	s.replaced = append(s.replaced, s.current.server)
	s.current.listener.stop()
	s.current = s.startServer(limits)
}

// Run accepts connections until the listener is closed.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.open.Load() >= s.maxConns {
			s.reject(conn)
			continue
		}
		s.open.Add(1)
		s.dispatch(s.backlog.Wrap(conn, func() { s.open.Add(-1) }))
	}
}

// reject closes a connection over the limit without reading from it.
//
// Callers' and leafs' connections share the process's file descriptors. If callers took all of
// them, no connection to a leaf could be opened, and callers already being served would lose
// their answers: every shard would be unreachable during a flood. A caller whose connection
// is closed unread may safely try another instance.
func (s *Server) reject(conn net.Conn) {
	s.rejected.Add(1)
	_ = conn.Close() // Nothing was read or written.
}

// dispatch passes a connection to the current server. If new limits replace that server
// meanwhile, the next one gets the connection.
func (s *Server) dispatch(conn net.Conn) {
	for {
		s.mu.Lock()
		listener, stopped := s.current.listener, s.stopped
		s.mu.Unlock()
		if listener.offer(conn) {
			return
		}
		if stopped {
			_ = conn.Close()
			return
		}
	}
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Drain adds "Connection: close" to all further answers, so that callers connect elsewhere.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop closes the listener and the idle connections and waits for requests in flight until ctx
// ends; then it closes the remaining connections.
func (s *Server) Stop(ctx context.Context) {
	_ = s.listener.Close() // It may already be closed.
	s.mu.Lock()
	s.stopped = true
	servers := append(s.replaced, s.current.server)
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, srv := range servers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if srv.Shutdown(ctx) != nil {
				_ = srv.Close()
			}
		}()
	}
	wg.Wait()
	s.backlog.Close()
}

// Bounds of the backoff after an accept error.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 200 * time.Millisecond
)

// retryListener is a net.Listener that retries after accept errors.
type retryListener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

// RetryAccept wraps a listener so that Accept returns an error only once the listener is closed.
// Accept fails when all file descriptors are in use; a server that stops for that reason takes
// the whole process out of service for a shortage that ends within seconds.
func RetryAccept(ln net.Listener) net.Listener {
	return &retryListener{Listener: ln, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		select {
		case <-l.closed:
			return nil, err
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// Close implements net.Listener.
func (l *retryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
