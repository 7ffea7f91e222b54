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
	// clientDeadline is how long a caller waits for an answer.
	clientDeadline = 2 * time.Second
	// clientSlack is added before a caller gives up by itself.
	clientSlack = 500 * time.Millisecond
	// thinkTime bounds the pause of a caller between two requests.
	thinkTime = 30 * time.Millisecond
	// leaveShare is the share of requests whose caller leaves early.
	leaveShare = 0.05
)

// call is one request of a caller and what came of it.
type call struct {
	attempt, method, target, body, key string
	sentAt                             time.Time
	status                             int
	answer                             string
	header                             http.Header
	// err is set if no whole answer came.
	err error
	// left is set if the caller closed the channel early.
	left bool
}

// unsafe reports whether the request may run once at most.
func (c *call) unsafe() bool {
	return strings.HasPrefix(c.target, "/order/") || strings.HasPrefix(c.target, "/stream-once/")
}

func (c *call) stream() bool { return strings.HasPrefix(c.target, "/stream") }

// client is the task of one caller. It keeps its channel to one process open for
// as long as it works, and opens a new one to any process after that.
type client struct {
	name    string
	random  *rand.Rand
	fronts  []string
	key     func() string
	calls   task.Mailbox[*call]
	conn    net.Conn
	reader  *bufio.Reader
	counter int
}

func (c *client) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		record := c.next()
		if c.exchange(ctx, record) {
			_ = c.calls.Send(context.WithoutCancel(ctx), record)
		}
		sleep(ctx, time.Duration(c.random.Int64N(int64(thinkTime))))
	}
}

func (c *client) next() *call {
	c.counter++
	kinds := []struct{ method, target string }{
		{http.MethodGet, "/check/"}, {http.MethodPost, "/order/"}, {http.MethodPost, "/stream/"}, {http.MethodPost, "/stream-once/"},
	}
	kind := kinds[c.random.IntN(len(kinds))]
	record := &call{
		attempt: fmt.Sprintf("%s-%d", c.name, c.counter), method: kind.method,
		target: fmt.Sprintf("%sa%%2F/..//%d?x=%d", kind.target, c.counter, c.random.IntN(100)),
		key:    c.key(), left: c.random.Float64() < leaveShare,
	}
	if kind.method == http.MethodPost {
		record.body = strings.Repeat("b", c.random.IntN(4000))
	}
	return record
}

// exchange sends a request and reads its answer. It reports false if the
// request could not be sent.
func (c *client) exchange(ctx context.Context, r *call) bool {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.fronts[c.random.IntN(len(c.fronts))], time.Second)
		if err != nil {
			sleep(ctx, thinkTime)
			return false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	r.sentAt = time.Now()
	_ = c.conn.SetDeadline(r.sentAt.Add(clientDeadline + clientSlack))
	r.err = userplatform.CallerRequest{
		Method: r.method, Target: r.target, Host: edgefleet.Host, Attempt: r.attempt, Key: r.key, Body: r.body, Deadline: clientDeadline,
	}.Write(c.conn)
	if r.err == nil && r.left {
		sleep(ctx, time.Duration(c.random.Int64N(int64(thinkTime))))
		r.err = context.Canceled
	}
	if r.err == nil {
		c.read(r)
	}
	if r.err != nil || r.header.Get("Connection") == "close" {
		c.drop()
	}
	return true
}

func (c *client) read(r *call) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.status, r.header, r.answer, r.err = resp.StatusCode, resp.Header, string(body), err
	if resp.Close {
		r.header.Set("Connection", "close")
	}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
