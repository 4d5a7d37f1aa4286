package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/client/retry"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// Client makes JSON calls over HTTP with a capped connection pool per host.
type Client struct {
	c *client.Client
}

// StatusError is returned when the peer answered with a status other than
// 200 and a body that did not decode into the reply.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// NewClient builds a client with at most connsPerHost connections to any
// one host. The library's own retries are turned off: whether a request may
// be sent twice is decided by the caller, never by the transport, because a
// transparent resend of a not-repeatable request would run it twice.
func NewClient(connsPerHost int, dialTimeout time.Duration) (*Client, error) {
	c, err := client.NewClient(
		client.WithMaxConnsPerHost(connsPerHost),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnWaitTimeout(dialTimeout),
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
		client.WithDialer(standard.NewDialer()),
		client.WithMaxIdleConnDuration(30*time.Second),
	)
	if err != nil {
		return nil, err
	}
	return &Client{c: c}, nil
}

// Do sends body (JSON-encoded unless nil) with method to url, sets headers,
// and decodes a JSON reply into out. A reply that decodes is returned with
// its status even when the status is not 200, so callers can read result
// codes; otherwise a *StatusError.
func (c *Client) Do(ctx context.Context, method, url string, headers map[string]string, body, out any, deadline time.Time) (int, error) {
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(url)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	if body != nil {
		raw, err := codec.Marshal(body)
		if err != nil {
			return 0, err
		}
		req.SetBodyRaw(raw)
		req.Header.SetContentTypeBytes([]byte("application/json"))
	}
	if err := c.c.DoDeadline(ctx, req, resp, deadline); err != nil {
		return 0, err
	}
	status := resp.StatusCode()
	if out != nil {
		if err := codec.Unmarshal(resp.Body(), out); err != nil {
			return status, &StatusError{Status: status, Body: string(resp.Body())}
		}
	} else if status != 200 {
		return status, &StatusError{Status: status, Body: string(resp.Body())}
	}
	return status, nil
}

// NotSent reports whether err, from Do, shows that no byte of the request
// left: the connection could not be opened. Only then may a not-repeatable
// request be called "not run"; after any other error it may have run.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Close releases idle connections.
func (c *Client) Close() { c.c.CloseIdleConnections() }
