package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// requestDeadline is the deadline that a caller states in its request.
	requestDeadline = 2 * time.Second
	// clientTimeoutSlack is added to the deadline before the caller times out.
	clientTimeoutSlack = 500 * time.Millisecond
	// maxThinkTime bounds the random pause of a caller between two requests.
	maxThinkTime = 30 * time.Millisecond
	// earlyCloseProbability is the share of requests whose caller closes the
	// connection before it has read the response.
	earlyCloseProbability = 0.05
)

// call is one request of a caller and its outcome.
type call struct {
	attempt, method, target, body, key string
	// front is the address of the process that got it.
	front              string
	sentAt, answeredAt time.Time
	status             int
	responseBody       string
	header             http.Header
	// err is set if no complete response was received.
	err error
	// closesEarly makes the caller close the connection without reading a response.
	closesEarly bool
}

// runsAtMostOnce reports whether the request must not be executed more than once.
func (c *call) runsAtMostOnce() bool {
	return strings.HasPrefix(c.target, "/order/") || strings.HasPrefix(c.target, "/stream-once/")
}

func (c *call) isStream() bool { return strings.HasPrefix(c.target, "/stream") }

// client is the task of one caller. It reuses its connection until that fails or is
// closed, and then connects to a random process.
type client struct {
	name           string
	random         *rand.Rand
	frontAddresses []string
	key            func() string
	calls          task.Mailbox[*call]
	conn           net.Conn
	reader         *bufio.Reader
	// front is the address that conn is connected to.
	front string
	sent  int
}

func (c *client) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		record := c.newCall()
		if c.exchange(ctx, record) {
			_ = c.calls.Send(context.WithoutCancel(ctx), record)
		}
		sleep(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
}

func (c *client) newCall() *call {
	c.sent++
	routes := []struct{ method, target string }{
		{http.MethodGet, "/check/"}, {http.MethodPost, "/order/"}, {http.MethodPost, "/stream/"}, {http.MethodPost, "/stream-once/"},
	}
	route := routes[c.random.IntN(len(routes))]
	record := &call{
		attempt: fmt.Sprintf("%s-%d", c.name, c.sent), method: route.method,
		target: fmt.Sprintf("%sa%%2F/..//%d?x=%d", route.target, c.sent, c.random.IntN(100)),
		key:    c.key(), closesEarly: c.random.Float64() < earlyCloseProbability,
	}
	if route.method == http.MethodPost {
		record.body = strings.Repeat("b", c.random.IntN(4000))
	}
	return record
}

// exchange sends a request and reads its response. It reports false if no
// connection could be opened, so that nothing was sent.
func (c *client) exchange(ctx context.Context, r *call) bool {
	if c.conn == nil {
		c.front = c.frontAddresses[c.random.IntN(len(c.frontAddresses))]
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			sleep(ctx, maxThinkTime)
			return false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	r.front, r.sentAt = c.front, time.Now()
	_ = c.conn.SetDeadline(r.sentAt.Add(requestDeadline + clientTimeoutSlack))
	r.err = userplatform.CallerRequest{
		Method: r.method, Target: r.target, Host: edgefleet.Host, Attempt: r.attempt, Key: r.key, Body: r.body, Deadline: requestDeadline,
	}.Write(c.conn)
	if r.err == nil && r.closesEarly {
		sleep(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
		r.err = context.Canceled
	}
	if r.err == nil {
		c.readResponse(r)
	}
	r.answeredAt = time.Now()
	if r.err != nil || r.header.Get("Connection") == "close" {
		c.closeConn()
	}
	return true
}

func (c *client) readResponse(r *call) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.status, r.header, r.responseBody, r.err = resp.StatusCode, resp.Header, string(body), err
	if resp.Close {
		r.header.Set("Connection", "close")
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
