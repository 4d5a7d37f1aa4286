package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a client with one connection that it keeps.
type client struct {
	name string
	conn net.Conn
	r    *bufio.Reader
	sent int
	rec  *record
}

// answer is what a client has received for one request.
type answer struct {
	id     string
	status int
	header http.Header
	bytes  int64
	// err is why the answer is missing or incomplete.
	err  error
	took time.Duration
}

// dial connects a client to an instance. receiveBuffer is the size of the socket's buffer; zero
// leaves the default.
func dial(name, addr string, receiveBuffer int, rec *record) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	if receiveBuffer > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	}
	return &client{name: name, conn: conn, r: bufio.NewReader(conn), rec: rec}, nil
}

// send sends a request and returns its ID.
func (c *client) send(host, path string, timeout time.Duration, extra string) (string, error) {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	c.rec.add("client %s sends %s", c.name, id)
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", path, host, id, timeout.Milliseconds(), extra)
	return id, err
}

// receive reads one answer within the client's time limit. If pause is not zero, the client reads
// the header and the first bytes of the body, then nothing for that time, then the rest.
func (c *client) receive(id string, sent time.Time, timeout, pause time.Duration) answer {
	a := answer{id: id}
	_ = c.conn.SetReadDeadline(sent.Add(timeout))
	resp, err := http.ReadResponse(c.r, nil)
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		if pause > 0 && resp.StatusCode == http.StatusOK {
			a.bytes, err = io.CopyN(io.Discard, resp.Body, 16<<10)
			if err == nil {
				time.Sleep(pause)
			}
		}
		if err == nil {
			var n int64
			n, err = io.Copy(io.Discard, resp.Body)
			a.bytes += n
		}
	}
	a.err, a.took = err, time.Since(sent)
	c.rec.add("client %s gets for %s: status %d, %d bytes after %d ms, error %v", c.name, id, a.status, a.bytes, a.took.Milliseconds(), err)
	return a
}

func (c *client) close() { _ = c.conn.Close() }
