// Package service provides what every indigoyoke process needs: a hertz server
// with the /metrics and /debug/state endpoints and a graceful stop, JSON calls
// through the hertz client, and structured logs.
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

// Paths that the processes serve.
const (
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
	PathHealth  = "/healthz"
)

// StateFunc returns a dump of the process's state that can be encoded as JSON.
type StateFunc func() any

// Server is a hertz server on a listener that is open before the server is
// started, so that callers can connect immediately.
type Server struct {
	// Hertz is the underlying server, to register routes.
	Hertz    *server.Hertz
	listener net.Listener
	// done receives the result of the server's run.
	done chan error
}

func init() {
	hlog.SetLevel(hlog.LevelFatal)
}

// Listen opens a listener on addr (host:port; port 0 selects a free port) and
// returns a server for it with the metrics and state endpoints. exitWait is the
// maximum time for which Stop waits for requests in flight. set may be nil, and
// so may wrap, which wraps the listener.
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
		// Ends a handler's context when the caller closes the connection.
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

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start runs the server in the background and returns when it accepts
// connections.
func (s *Server) Start() {
	go func() { s.done <- s.Hertz.Run() }()
	waitUntilListening(s.Addr())
}

// Stop closes the listener and waits for requests in flight, for at most the
// exitWait given to Listen.
func (s *Server) Stop(ctx context.Context) error {
	return s.Hertz.Shutdown(ctx)
}

// idleShutdownTimeout is the maximum wait for open connections once no request
// is in flight. Without it, the server library waits until each keep-alive
// connection has reached its idle timeout, which delays a stop although no work
// is left.
const idleShutdownTimeout = 100 * time.Millisecond

// StopIdle stops a server that has no request in flight: it closes the listener,
// and the idle connections after a short wait.
func (s *Server) StopIdle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, idleShutdownTimeout)
	defer cancel()
	return s.Hertz.Shutdown(ctx)
}

// waitUntilListening returns when a connection to addr can be opened, or after
// 200 attempts.
func waitUntilListening(addr string) {
	for i := 0; i < 200; i++ {
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Log is a structured logger that adds the process's name and zone to every
// line.
type Log = logrus.Entry

// Sleep waits for d, or until ctx ends if that is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Logger returns a JSON logger that adds the kind of process, its name and its
// zone to every line.
func Logger(process, name, zone string) *Log {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return l.WithFields(logrus.Fields{"process": process, "name": name, "zone": zone})
}

// DecodeBody decodes a JSON request body into out.
func DecodeBody(c *app.RequestContext, out any) error {
	return codec.Unmarshal(c.Request.Body(), out)
}
