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

// Client makes JSON calls over HTTP with a bounded connection pool per host.
type Client struct {
	http *client.Client
}

// StatusError reports a reply without a usable body: the body did not decode,
// or the status was not 200 and no body was expected. Body is its beginning.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

func newStatusError(status int, body []byte) *StatusError {
	return &StatusError{Status: status, Body: string(body[:min(len(body), maxErrorBodyBytes)])}
}

// NewClient returns a client with at most connsPerHost connections to each
// host. The retries of the HTTP library are disabled: the caller decides
// whether a request may be sent twice, never the transport, because a
// transparent resend of a request that is not repeatable could run it twice.
func NewClient(connsPerHost int, dialTimeout time.Duration) (*Client, error) {
	c, err := client.NewClient(
		client.WithMaxConnsPerHost(connsPerHost),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnWaitTimeout(dialTimeout),
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
		client.WithDialer(limitedDialer{standard.NewDialer()}),
		withMaxReplyBody(maxReplyBodyBytes),
		client.WithMaxIdleConnDuration(30*time.Second),
	)
	if err != nil {
		return nil, err
	}
	return &Client{http: c}, nil
}

// Do sends a request with the given headers, and with body encoded as JSON
// unless it is nil, and decodes the JSON reply into out. A reply that decodes
// is returned with its status even if that is not 200, so that callers can read
// result codes. The error is a *StatusError if the body does not decode, or if
// out is nil and the status is not 200.
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
	if err := c.http.DoDeadline(ctx, req, resp, deadline); err != nil {
		return 0, err
	}
	status := resp.StatusCode()
	if out != nil {
		if err := codec.Unmarshal(resp.Body(), out); err != nil {
			return status, newStatusError(status, resp.Body())
		}
	} else if status != 200 {
		return status, newStatusError(status, resp.Body())
	}
	return status, nil
}

// NotSent reports whether err, returned by Do, proves that no byte of the
// request was sent, because the connection could not be opened. Only then may a
// request that is not repeatable be reported as not run; after any other error
// it may have run.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
