// Package service owns the plumbing that every indigoyoke process shares: a
// hertz server on a loopback or configured listener, the /metrics and
// /debug/state endpoints, JSON calls through the hertz client, structured
// logs, and a graceful stop.
package service

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/sirupsen/logrus"
)

// Paths every process serves.
const (
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
	PathHealth  = "/healthz"
)

// StateFunc returns a JSON-encodable dump of a process's state.
type StateFunc func() any

// Server is a hertz server bound to a listener that exists before Start
// returns, so callers can connect at once.
type Server struct {
	Hertz    *server.Hertz
	listener net.Listener
	done     chan error
}

func init() {
	hlog.SetLevel(hlog.LevelFatal)
}

// Listen binds addr (host:port; port 0 picks one) and prepares a hertz
// server on it with the metrics and state endpoints. exitWait bounds how
// long Stop waits for requests in flight. set may be nil.
func Listen(addr string, exitWait time.Duration, set *metrics.Set, state StateFunc, wrap func(net.Listener) net.Listener) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if wrap != nil {
		ln = wrap(ln)
	}
	h := server.New(
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
		server.WithIdleTimeout(30*time.Second),
		// A handler's context ends when its caller closes the connection.
		server.WithSenseClientDisconnection(true),
		server.WithOnAccept(withConn),
	)
	h.GET(PathMetrics, func(_ context.Context, c *app.RequestContext) {
		c.SetContentType("text/plain; version=0.0.4")
		if set != nil {
			set.WritePrometheus(c)
		}
		metrics.WriteProcessMetrics(c)
	})
	h.GET(PathState, func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, state())
	})
	return &Server{Hertz: h, listener: ln, done: make(chan error, 1)}, nil
}

// Addr is the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start serves in the background.
func (s *Server) Start() {
	go func() { s.done <- s.Hertz.Run() }()
	waitReady(s.Addr())
}

// Stop closes the listener and waits for requests in flight, at most the
// exit wait given to Listen.
func (s *Server) Stop(ctx context.Context) error {
	return s.Hertz.Shutdown(ctx)
}

// idleWait bounds the wait for connections once nothing is in flight. The
// server library otherwise waits for each keep-alive connection to reach its
// idle timeout, which would hold a stop for that long with no work left.
const idleWait = 100 * time.Millisecond

// StopIdle stops a server whose owner has already seen every request in
// flight finish: it closes the listener and drops idle connections after a
// short wait.
func (s *Server) StopIdle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, idleWait)
	defer cancel()
	return s.Hertz.Shutdown(ctx)
}

func waitReady(addr string) {
	for i := 0; i < 200; i++ {
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Log is a structured logger with the process's name and zone on every line.
type Log = logrus.Entry

// Sleep waits for d or until ctx ends, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Logger returns a JSON logrus logger with the process name and zone on
// every line.
func Logger(process, name, zone string) *Log {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return l.WithFields(logrus.Fields{"process": process, "name": name, "zone": zone})
}

// DecodeBody parses a JSON request body into out.
func DecodeBody(c *app.RequestContext, out any) error {
	return codec.Unmarshal(c.Request.Body(), out)
}
