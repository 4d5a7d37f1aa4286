// Package caller owns the caller's side of the entry instance's HTTP
// protocol: a search or hold sent as a client application, and a plain
// rendering of the answer for people and golden files.
package caller

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/entry"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Client sends requests as one client application.
type Client struct {
	http  *service.Client
	appID string
	key   string
}

// transportSlack is added to the caller's timeout for the HTTP round trip.
const transportSlack = time.Second

// defaultConns is the connection cap of a caller built by New.
const defaultConns = 64

// New builds a caller for client application appID with its key.
func New(appID, key string) (*Client, error) {
	return NewWithConns(appID, key, defaultConns)
}

// NewWithConns builds a caller that keeps at most conns connections to an
// entry instance, for load that needs more requests in flight than New's.
func NewWithConns(appID, key string, conns int) (*Client, error) {
	h, err := service.NewClient(conns, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{http: h, appID: appID, key: key}, nil
}

func (c *Client) headers() map[string]string {
	return map[string]string{wire.HeaderClientID: c.appID, wire.HeaderClientKey: c.key}
}

// Search sends req to the entry instance at addr.
func (c *Client) Search(ctx context.Context, addr string, req wire.SearchRequest) (wire.Answer, error) {
	var a wire.Answer
	_, err := c.http.Do(ctx, "POST", "http://"+addr+entry.PathSearch, c.headers(), req, &a, c.deadline(req.TimeoutMs))
	return a, err
}

// Hold sends req to the entry instance at addr with its idempotency key.
func (c *Client) Hold(ctx context.Context, addr string, req wire.HoldRequest) (wire.Answer, error) {
	var a wire.Answer
	h := c.headers()
	h[wire.HeaderIdempotencyKey] = req.IdempotencyKey
	_, err := c.http.Do(ctx, "POST", "http://"+addr+entry.PathHold, h, req, &a, c.deadline(req.TimeoutMs))
	return a, err
}

func (c *Client) deadline(timeoutMs int) time.Time {
	return time.Now().Add(time.Duration(timeoutMs)*time.Millisecond + transportSlack)
}

// Render prints an answer without its request ID, one fact a line, so that
// two runs of the same session print the same text.
func Render(a wire.Answer) string {
	var b strings.Builder
	fmt.Fprintf(&b, "code=%s", a.Code)
	if a.Snapshot != 0 {
		fmt.Fprintf(&b, " snapshot=%d", a.Snapshot)
	}
	if a.Partial {
		b.WriteString(" partial")
	}
	if a.RetryAfterMs > 0 {
		fmt.Fprintf(&b, " retry_after_ms=%d", a.RetryAfterMs)
	}
	fmt.Fprintf(&b, "\n  covered: %s\n", strings.Join(a.Covered, " "))
	for _, m := range a.Missing {
		fmt.Fprintf(&b, "  missing: %s %s (%s)\n", m.Shard, m.Code, m.Code.Name())
	}
	for _, h := range a.Hits {
		fmt.Fprintf(&b, "  hit: %s %s score=%d\n", h.Shard, h.Item, h.Score)
	}
	if a.Held != nil {
		fmt.Fprintf(&b, "  held: %s granted=%t remaining=%d replayed=%t\n", a.Held.Item, a.Held.Granted, a.Held.Remaining, a.Held.Replayed)
	}
	if a.Code.String() != "IY0000" && a.Message != "" {
		fmt.Fprintf(&b, "  message: %s\n", a.Message)
	}
	return b.String()
}
