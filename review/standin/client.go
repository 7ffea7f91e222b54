//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// call is one client attempt and its outcome.
type call struct {
	attempt, method, target string
	deadline                time.Duration
	sentAt, endedAt         time.Time
	// kept is set if the channel had served another request before.
	kept   bool
	status int
	body   string
	header http.Header
	// err is set if the channel ended without a complete answer.
	err error
}

// client keeps one channel to a machine for its requests, one after the other.
type client struct {
	address, key string
	conn         net.Conn
	reader       *bufio.Reader
	served       int
}

// open opens the channel unless it is open.
func (c *client) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// do sends a request and reads its answer. It returns nil if no channel could be opened,
// so that nothing was sent.
func (c *client) do(method, target, header string, body []byte, deadline time.Duration) *call {
	if c.open() != nil {
		return nil
	}
	x := &call{attempt: fmt.Sprintf("%016x", attempts.Add(1)), method: method, target: target, deadline: deadline, kept: c.served > 0, sentAt: time.Now()}
	defer func() { x.endedAt = time.Now() }()
	_ = c.conn.SetDeadline(x.sentAt.Add(deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		method, target, x.attempt, deadline.Milliseconds(), c.key, header, len(body))
	if _, x.err = (&net.Buffers{[]byte(head), body}).WriteTo(c.conn); x.err != nil {
		c.close()
		return x
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		x.err = err
		c.close()
		return x
	}
	content, err := io.ReadAll(response.Body)
	x.status, x.header, x.body, x.err = response.StatusCode, response.Header, string(content), err
	c.served++
	if err != nil || response.Close {
		c.close()
	}
	return x
}
