// Package caller implements a client of the HTTP protocol of entry instances. It sends
// searches and holds as a client application, and renders answers as text for people and
// for golden files.
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

// Client sends requests to entry instances as one client application.
type Client struct {
	http  *service.Client
	appID string
	key   string
}

// transportAllowance is added to the timeout of a request to allow for the HTTP round trip.
const transportAllowance = time.Second

// defaultMaxConns is the maximum number of connections to each entry instance of a client
// that New returns.
const defaultMaxConns = 64

// New returns a client for client application appID with its key.
func New(appID, key string) (*Client, error) {
	return NewWithConns(appID, key, defaultMaxConns)
}

// NewWithConns is like New, but sets the maximum number of connections to each entry
// instance. Load tests use it to have more requests in flight.
func NewWithConns(appID, key string, maxConns int) (*Client, error) {
	h, err := service.NewClient(maxConns, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{http: h, appID: appID, key: key}, nil
}

// headers returns the headers that authenticate the client application.
func (c *Client) headers() map[string]string {
	return map[string]string{wire.HeaderClientID: c.appID, wire.HeaderClientKey: c.key}
}

// Search sends a search to the entry instance at addr and returns its answer.
func (c *Client) Search(ctx context.Context, addr string, req wire.SearchRequest) (wire.Answer, error) {
	var a wire.Answer
	_, err := c.http.Do(ctx, "POST", "http://"+addr+entry.PathSearch, c.headers(), req, &a, c.deadline(req.TimeoutMs))
	return a, err
}

// Hold sends a hold, with its idempotency key, to the entry instance at addr and returns its
// answer.
func (c *Client) Hold(ctx context.Context, addr string, req wire.HoldRequest) (wire.Answer, error) {
	var a wire.Answer
	h := c.headers()
	h[wire.HeaderIdempotencyKey] = req.IdempotencyKey
	_, err := c.http.Do(ctx, "POST", "http://"+addr+entry.PathHold, h, req, &a, c.deadline(req.TimeoutMs))
	return a, err
}

// deadline returns the time until which the client waits for the answer to a request with
// the given timeout.
func (c *Client) deadline(timeoutMs int) time.Time {
	return time.Now().Add(time.Duration(timeoutMs)*time.Millisecond + transportAllowance)
}

// Render returns an answer as text: the result on the first line, followed by the covered
// shards, each missing shard, each hit, the hold and the message. It leaves out the request
// ID, so that repeated runs of a session give the same text.
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
