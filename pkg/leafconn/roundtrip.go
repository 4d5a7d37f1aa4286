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

// Outcome is what is certain about a request that brought no reply.
type Outcome int

const (
	// Replied: a whole reply was read.
	Replied Outcome = iota
	// NotSent: no byte of the request left; it did not run.
	NotSent
	// ReplyLost: the request was sent, and the connection ended or brought no
	// valid reply; it may have run.
	ReplyLost
	// ReplyLostOnNewConn: the same, where the leaf ended a connection that had carried no
	// reply yet, without a word.
	ReplyLostOnNewConn
	// TimedOut: the request was sent, and nothing came in time.
	TimedOut
	// Cancelled: given up by the caller's context.
	Cancelled
	// LeafCrashed: the request was sent, the connection ended, and nothing listens at the
	// leaf's address any more: its process ended while it had the request.
	LeafCrashed
)

// Reply is a whole reply. Close-delimited bodies that ended with a reset are
// never returned as one.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// errBodyTooLarge bounds what a leaf can make this process hold.
var errBodyTooLarge = errors.New("reply body over the limit")

// RoundTrip sends one request to a leaf and reads its reply until readBy. The
// connection is kept only after a whole, valid reply with nothing behind it;
// valid says whether the reply belongs to this request.
func (p *Pool) RoundTrip(ctx context.Context, leaf, addr string, req *http.Request, readBy time.Time, valid func(*Reply) error) (*Reply, Outcome, error) {
	now := time.Now()
	c, err := p.get(ctx, leaf, addr, now)
	if err != nil {
		if ctx.Err() != nil {
			return nil, Cancelled, err
		}
		return nil, NotSent, err
	}
	reply, fate, err := p.exchange(ctx, c, req, readBy, valid)
	if err != nil {
		p.close(c)
		if fate == TimedOut {
			// Connections can go silent without an error; the leaf's other
			// idle ones are suspected with it, at the price of new ones.
			p.CloseIdle(leaf)
		}
		if (fate == ReplyLost || fate == ReplyLostOnNewConn) && ended(err) && sock.RefusesConnections(ctx, addr, sock.RefusalTimeout) {
			fate = LeafCrashed
		}
		return nil, fate, err
	}
	return reply, Replied, nil
}

// exchange writes the request and reads the reply on c, and keeps c if it can
// be used again. On an error the caller closes c.
func (p *Pool) exchange(ctx context.Context, c *conn, req *http.Request, readBy time.Time, valid func(*Reply) error) (*Reply, Outcome, error) {
	if err := c.SetDeadline(readBy); err != nil {
		return nil, NotSent, err
	}
	// A past deadline interrupts a read in progress: closing the connection
	// is what tells the leaf to stop.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := req.Write(c); err != nil {
		return nil, c.fate(ctx, err), fmt.Errorf("write request: %w", err)
	}
	reply, keep, err := p.read(c, req)
	if err != nil {
		return nil, c.fate(ctx, err), fmt.Errorf("read reply: %w", err)
	}
	if err := valid(reply); err != nil {
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

// fate tells a time-out and a cancellation from a lost connection.
func (c *conn) fate(ctx context.Context, err error) Outcome {
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	case !c.proven && ended(err):
		return ReplyLostOnNewConn
	}
	return ReplyLost
}

// ended reports whether err says that the peer ended the connection.
func ended(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// read reads one whole reply and says whether the connection may be kept.
func (p *Pool) read(c *conn, req *http.Request) (*Reply, bool, error) {
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, false, err
		}
		c.proven = true
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, fmt.Errorf("unexpected status %d", resp.StatusCode)
			}
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, p.opts.MaxBody+1))
		if err != nil {
			return nil, false, err
		}
		if int64(len(body)) > p.opts.MaxBody {
			return nil, false, errBodyTooLarge
		}
		c.announced, err = announcedIdle(resp.Header.Get("Keep-Alive"))
		if err != nil {
			p.opts.Log.Decision("leaf_keep_alive_malformed", oplog.Fields{
				"leaf": c.leaf, "error": err.Error(), "used_instead_ms": p.opts.IdleTimeout.Milliseconds(),
			})
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		keep := framed && !resp.Close
		return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, keep, nil
	}
}

// announcedIdle reads the idle time in a Keep-Alive header, 0 for none.
func announcedIdle(header string) (time.Duration, error) {
	for _, field := range strings.Split(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0, fmt.Errorf("idle time %q is not a number of seconds", value)
		}
		return time.Duration(seconds) * time.Second, nil
	}
	return 0, nil
}
