// Package front accepts callers' connections. It owns what a caller may do to
// a connection: how long a header may take, how large it may be, how long a
// connection may idle, and how connections end when the instance stops.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// Server serves callers with one http.Server per set of limits: the library
// reads its limits without a lock, so new limits get a new server, which takes
// the connections accepted from then on. Connections accepted before keep the
// limits that they began with.
type Server struct {
	handler  http.Handler
	listener net.Listener
	// maxConns bounds the callers' connections, open counts them.
	maxConns int64
	open     atomic.Int64
	turned   atomic.Int64
	draining atomic.Bool

	mu      sync.Mutex
	current *generation
	old     []*http.Server
	limits  routing.Limits
	done    bool
}

// generation is the server of one set of limits and its inlet.
type generation struct {
	server *http.Server
	inlet  *inlet
}

// headerSlack is what net/http adds to MaxHeaderBytes by itself.
const headerSlack = 4096

// New listens on addr. At most maxConns connections are open at once.
func New(addr string, handler http.Handler, limits routing.Limits, maxConns int) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: RetryAccept(ln), limits: limits, maxConns: int64(maxConns)}
	s.handler = s.drainAware(handler)
	s.current = s.generation(limits)
	return s, nil
}

// drainAware tells callers of a stopping instance to connect elsewhere.
func (s *Server) drainAware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// generation starts a server with the given limits.
func (s *Server) generation(limits routing.Limits) *generation {
	g := &generation{
		inlet: newInlet(s.listener.Addr()),
		server: &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    max(limits.HeaderBytes-headerSlack, 1),
			ErrorLog:          discardLog,
			ConnState:         s.count,
			ConnContext:       withCaller,
		},
	}
	go func() { _ = g.server.Serve(g.inlet) }() // Serve ends with the inlet.
	return g
}

// count keeps the number of open connections.
func (s *Server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// OpenConns is how many callers' connections are open, Turned how many were closed
// because there were too many.
func (s *Server) OpenConns() int64 { return s.open.Load() }

// RejectedConns is how many connections were closed because there were too many.
func (s *Server) RejectedConns() int64 { return s.turned.Load() }

// SetLimits puts other limits in force for new connections.
func (s *Server) SetLimits(limits routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits == s.limits || s.done {
		return
	}
	s.limits = limits
	s.old = append(s.old, s.current.server)
	s.current.inlet.end()
	s.current = s.generation(limits)
}

// Run accepts connections until the listener is closed.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.open.Load() >= s.maxConns {
			s.turn(conn)
			continue
		}
		s.hand(conn)
	}
}

// turn closes a connection that is one too many, unread.
//
// Callers and leafs share the process's descriptors. If callers took them all, no
// leaf could be connected to, and callers that are already being served would
// lose their answers; one notices every shard unreachable during a flood. A
// caller whose connection ends unread may try another instance.
func (s *Server) turn(conn net.Conn) {
	s.turned.Add(1)
	_ = conn.Close() // Nothing was read or written.
}

// hand gives a connection to the current server. New limits may replace the
// server meanwhile; then the next one takes it.
func (s *Server) hand(conn net.Conn) {
	for {
		s.mu.Lock()
		in, done := s.current.inlet, s.done
		s.mu.Unlock()
		if in.offer(conn) {
			return
		}
		if done {
			_ = conn.Close()
			return
		}
	}
}

// Addr is the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Drain makes every answer from now on ask its caller to connect elsewhere.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop closes the listener and the idle connections and waits for requests in
// flight until ctx ends; then it closes what is left.
func (s *Server) Stop(ctx context.Context) {
	_ = s.listener.Close() // Already closed is as good.
	s.mu.Lock()
	s.done = true
	servers := append(s.old, s.current.server)
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
}

// Accept pauses after errors.
const (
	acceptPause     = 5 * time.Millisecond
	acceptPauseMost = 200 * time.Millisecond
)

// listener accepts on after errors.
type listener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

// RetryAccept wraps a listener so that Accept returns an error only once it is
// closed. With all descriptors in use accept fails; a server that ends on that
// takes the whole process out of service for a shortage that passes within
// seconds.
func RetryAccept(ln net.Listener) net.Listener {
	return &listener{Listener: ln, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	pause := acceptPause
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		select {
		case <-l.closed:
			return nil, err
		case <-time.After(pause):
		}
		pause = min(2*pause, acceptPauseMost)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
