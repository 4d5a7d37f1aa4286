package service

import (
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
)

// Limits on a reply, so that a server cannot exhaust the memory of this process.
const (
	maxReplyHeaderBytes = 64 << 10
	// maxReplyBodyBytes fits the largest configuration and the largest state dump.
	maxReplyBodyBytes = 16 << 20
	// maxErrorBodyBytes is how much of a body a StatusError quotes.
	maxErrorBodyBytes = 200
)

// errReplyHeaderTooLarge is returned for a reply whose header, or a line of whose body's framing,
// is over maxReplyHeaderBytes.
var errReplyHeaderTooLarge = errors.New("reply header over the limit")

// withMaxReplyBody sets the maximum size of a reply's body. The library has no option for it.
func withMaxReplyBody(maxBytes int) config.ClientOption {
	return client.WithHostClientConfigHook(func(hc any) error {
		host, ok := hc.(*http1.HostClient)
		if !ok {
			return fmt.Errorf("unexpected type of host client: %T", hc)
		}
		host.MaxResponseBodySize = maxBytes
		return nil
	})
}

// limitedDialer opens connections that limit the size of reply headers.
type limitedDialer struct{ network.Dialer }

// DialConnection implements network.Dialer.
func (d limitedDialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	c, err := d.Dialer.DialConnection(n, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return limitedConn{c}, nil
}

// limitedConn is a connection whose reader buffers a limited number of bytes ahead. The library
// parses a header only when all of it is buffered, and has no limit for it.
type limitedConn struct{ network.Conn }

// Peek implements network.Reader.
func (c limitedConn) Peek(n int) ([]byte, error) {
	if n > maxReplyHeaderBytes && n > c.Len() {
		return nil, errReplyHeaderTooLarge
	}
	return c.Conn.Peek(n)
}

// ToHertzError implements network.ErrorNormalization.
func (c limitedConn) ToHertzError(err error) error {
	if normalizer, ok := c.Conn.(network.ErrorNormalization); ok {
		return normalizer.ToHertzError(err)
	}
	return err
}
