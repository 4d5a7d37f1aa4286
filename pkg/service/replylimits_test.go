package service

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a server that exhausts the memory of this process with a reply that does not end.
func TestEndlessReplyDoesNotExhaustMemory(t *testing.T) {
	for name, tc := range map[string]struct{ start, repeated string }{
		"no line end":             {"", "wrong bytes "},
		"header line without end": {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"header without end":      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses":       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without length":     {"HTTP/1.1 200 OK\r\n\r\n", "b"},
		"body of a large length":  {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "b"},
		"chunks":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
		"chunk of a large length": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3b9aca00\r\n", "b"},
		"chunk size without end":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, sent := serveEndless(t, tc.start, tc.repeated)
			c, err := NewClient(2, time.Second)
			require.NoError(t, err)
			var out any
			_, err = c.Do(context.Background(), "GET", "http://"+addr+"/", nil, nil, &out, time.Now().Add(time.Minute))
			require.Error(t, err)
			require.Less(t, len(err.Error()), 1000)
			require.NotContains(t, err.Error(), "timeout")
			// Each byte of a body takes at most 6 bytes in chunks, and socket buffers hold some MB.
			require.Less(t, <-sent, int64(6*maxReplyBodyBytes+32<<20))
		})
	}
}

// serveEndless runs a server that sends start and then repeats text until its one connection is
// closed. It returns its address, and a channel that receives the number of bytes sent.
func serveEndless(t *testing.T, start, text string) (addr string, sent <-chan int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	total := make(chan int64, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096))
		block := strings.Repeat(text, 1024)
		sent, err := io.WriteString(conn, start)
		n := int64(sent)
		for err == nil && n < 1<<30 {
			sent, err = io.WriteString(conn, block)
			n += int64(sent)
		}
		total <- n
	}()
	return ln.Addr().String(), total
}
