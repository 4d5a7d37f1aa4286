package leafconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/sock"
)

// Outcome is what is known about a request after RoundTrip.
type Outcome int

const (
	// Replied means that a complete reply was read.
	Replied Outcome = iota
	// NotSent means that no byte of the request was sent; it did not run.
	NotSent
	// ReplyLost means that the request was sent, and the connection ended or delivered no
	// valid reply; the request may have run.
	ReplyLost
	// ReplyLostOnNewConn is like ReplyLost, for a connection that had carried no reply yet and
	// that the leaf closed without sending one.
	ReplyLostOnNewConn
	// TimedOut means that the request was sent and no reply was read in time.
	TimedOut
	// Cancelled means that the request was cancelled through its context.
	Cancelled
	// LeafCrashed means that the request was sent, the connection ended, and nothing listens at
	// the leaf's address any more: the leaf crashed while it had the request.
	LeafCrashed
)

// Reply is a complete reply. A close-delimited body that ended with a connection reset is never
// returned as one.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused reports that the connection had carried another reply before. Only then may this one be
	// additional bytes after that reply.
	Reused bool
}

// Call is one request to a leaf.
type Call struct {
	// Leaf is the leaf's ID and Addr its address.
	Leaf, Addr string
	Request    *http.Request
	// ReadBy is until when the reply is read.
	ReadBy time.Time
	// Validate returns an error if a reply does not belong to the request.
	Validate func(*Reply) error
	// NewConn sends the request on a new connection.
	NewConn bool
}

// RoundTrip sends one request to a leaf and reads its reply. The connection is kept only after a
// complete, valid reply with no bytes following it.
func (p *Pool) RoundTrip(ctx context.Context, call Call) (*Reply, Outcome, error) {
	c, err := p.get(ctx, call, time.Now())
	if err != nil {
		if ctx.Err() != nil {
			return nil, Cancelled, err
		}
		return nil, NotSent, err
	}
	reply, outcome, err := p.exchange(ctx, c, call)
	if err != nil {
		p.close(c)
		if outcome == TimedOut {
			// Connections can go silent without an error. The idle ones to the same leaf
			// may be affected too; closing them only costs new connections.
			p.CloseIdle(call.Leaf)
		}
		if (outcome == ReplyLost || outcome == ReplyLostOnNewConn) && isConnClosed(err) && sock.RefusesConnections(ctx, call.Addr, sock.RefusalTimeout) {
			outcome = LeafCrashed
		}
		return nil, outcome, err
	}
	return reply, Replied, nil
}

// exchange writes the request and reads the reply on c, and returns c to the pool if it can be
// used again. If exchange returns an error, its caller must close c.
func (p *Pool) exchange(ctx context.Context, c *conn, call Call) (*Reply, Outcome, error) {
	if err := c.SetDeadline(call.ReadBy); err != nil {
		return nil, NotSent, err
	}
	// A deadline in the past interrupts a read in progress. The connection is then closed,
	// which tells the leaf to stop.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := call.Request.Write(c); err != nil {
		return nil, c.errorOutcome(ctx, err), fmt.Errorf("write request: %w", err)
	}
	reply, keep, err := p.readReply(c, call.Request)
	if err != nil {
		return nil, c.errorOutcome(ctx, err), fmt.Errorf("read reply: %w", err)
	}
	if err := call.Validate(reply); err != nil {
		p.Stats.StrayDrops.Add(1)
		return nil, ReplyLost, err
	}
	if !stop() {
		keep = false
	}
	if keep && c.br.Buffered() == 0 {
		p.put(c, time.Now())
	} else {
		p.close(c)
	}
	return reply, Replied, nil
}

// errorOutcome distinguishes a timeout and a cancellation from a lost connection.
func (c *conn) errorOutcome(ctx context.Context, err error) Outcome {
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	case !c.hasReplied && isConnClosed(err):
		return ReplyLostOnNewConn
	}
	return ReplyLost
}

// isConnClosed reports whether err means that the peer closed the connection.
func isConnClosed(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// readReply reads one complete reply and reports whether the connection may be kept.
func (p *Pool) readReply(c *conn, req *http.Request) (*Reply, bool, error) {
	defer c.in.endReply()
	reused := c.hasReplied
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, false, err
		}
		c.hasReplied = true
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, fmt.Errorf("unexpected status %d", resp.StatusCode)
			}
			continue
		}
		c.in.endHeader()
		body, err := io.ReadAll(io.LimitReader(resp.Body, p.opts.MaxReplyBytes+1))
		if err != nil {
			return nil, false, err
		}
		if int64(len(body)) > p.opts.MaxReplyBytes {
			p.Stats.BodiesTooLarge.Add(1)
			return nil, false, errBodyTooLarge
		}
		c.keepAlive, err = parseKeepAlive(resp.Header.Get("Keep-Alive"))
		if err != nil {
			p.opts.Log.Decision("leaf_keep_alive_malformed", oplog.Fields{
				"leaf": c.leaf, "error": err.Error(), "used_instead_ms": p.opts.IdleTimeout.Milliseconds(),
			})
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		keep := framed && !resp.Close
		return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Reused: reused}, keep, nil
	}
}

// parseKeepAlive returns the idle timeout in a Keep-Alive header, 0 if it has none.
func parseKeepAlive(header string) (time.Duration, error) {
	for _, field := range strings.Split(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0, fmt.Errorf("Keep-Alive timeout %q is not a number of seconds", value)
		}
		return time.Duration(seconds) * time.Second, nil
	}
	return 0, nil
}
