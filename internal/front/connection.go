package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/bodybuffer"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/socket"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4096
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 20 * time.Second
	// bodyRetryAfter is the retry delay of a request whose body does not fit into the memory
	// for bodies.
	bodyRetryAfter = time.Second
	// lingerTimeout is how long the rest of a refused request is read, because a
	// close with unread bytes resets the connection and may lose the refusal.
	lingerTimeout = time.Second
	// idleMargin is added to the idle timeout, so that the connection is not
	// closed while a caller that respects the timeout sends a request.
	idleMargin = 2 * time.Second
	// headMarginBytes is added to the limit of a request's head, since the read
	// buffer may read beyond the head.
	headMarginBytes = readBufferBytes + 1024
)

// defaultLimits apply until the first configuration is active.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20,
	HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
}

// incomingRequest is a request that was read, or the rejection of one that could not be read.
type incomingRequest struct {
	request *http.Request
	body    []byte
	arrived time.Duration
	// rejection is nil if the whole request was read.
	rejection *rejection
	// release returns the memory of the body.
	release func()
}

// rejection is the response to a request that was not read to its end.
type rejection struct {
	status     int
	retryAfter time.Duration
	remedy     string
}

func malformed(status int) *rejection {
	return &rejection{status: status, remedy: "malformed or oversized request"}
}

// noRoom rejects a request whose body does not fit into the memory for bodies.
func noRoom() *rejection {
	return &rejection{
		status: http.StatusServiceUnavailable, retryAfter: bodyRetryAfter,
		remedy: "the bodies that this instance is reading leave no room; retry later",
	}
}

// connection is the task of one connection of a caller.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	limit  *socket.LimitedReader
	// requests carries requests from the reading goroutine to the task.
	requests chan incomingRequest
	// proceed allows the reading goroutine to read the next request.
	proceed chan struct{}
	// closed is closed when the caller closed the connection or it failed.
	closed chan struct{}
	// stopped is closed when the task ends.
	stopped chan struct{}
}

func newConnection(s *Server, conn net.Conn) *connection {
	limit := socket.NewLimitedReader(conn)
	return &connection{
		server: s, conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes),
		requests: make(chan incomingRequest), proceed: make(chan struct{}, 1),
		closed: make(chan struct{}), stopped: make(chan struct{}),
	}
}

func (c *connection) limits() catalog.Limits {
	l := c.server.options.Limits()
	if l.MaxHeaderBytes <= 0 {
		return defaultLimits
	}
	return l
}

// run serves the connection until it ends.
func (c *connection) run(ctx context.Context) {
	defer close(c.stopped)
	defer c.conn.Close() //nolint:errcheck // nothing is written after this
	c.setIdleDeadline()
	go c.readRequests()
	drain := c.server.options.Drain
	if c.server.options.Stage() != StageServing {
		// A connection opened during a drain serves one request.
		drain = nil
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.closed:
			return
		case <-drain:
			return
		case in := <-c.requests:
			_ = c.conn.SetReadDeadline(time.Time{})
			reusable := c.serve(ctx, in)
			in.release()
			if !reusable {
				return
			}
			c.setIdleDeadline()
			c.proceed <- struct{}{}
		}
	}
}

func (c *connection) setIdleDeadline() {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout + idleMargin))
}

// readRequests reads requests and detects when the caller disconnects.
func (c *connection) readRequests() {
	defer close(c.closed)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		in, ok := c.readRequest()
		if !ok {
			return
		}
		select {
		case c.requests <- in:
		case <-c.stopped:
			in.release()
			return
		}
		if in.rejection != nil {
			<-c.stopped
			return
		}
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		select {
		case <-c.proceed:
		case <-c.stopped:
			return
		}
	}
}

// callerLeft reports whether the caller closed the connection. It also inspects
// the socket, because after a stall of the process the reading goroutine may not
// have reached the close yet.
func (c *connection) callerLeft() bool {
	select {
	case <-c.closed:
		return true
	default:
		return socket.Peek(c.conn) == socket.Closed
	}
}

// readRequest reads a complete request. It reports false if the connection failed.
func (c *connection) readRequest() (incomingRequest, bool) {
	limits := c.limits()
	in := incomingRequest{arrived: c.server.options.Clock.Now(), release: func() {}}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limit.SetLimit(int64(limits.MaxHeaderBytes + headMarginBytes))
	req, err := http.ReadRequest(c.reader)
	c.limit.ClearLimit()
	if err != nil {
		status := headErrorStatus(err)
		in.rejection = malformed(status)
		return in, status != 0
	}
	in.request = req
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return in, false
		}
	}
	return in, c.readBody(&in, limits)
}

// readBody reads the body of a request. It reports false if the connection failed.
func (c *connection) readBody(in *incomingRequest, limits catalog.Limits) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	buffer := bodybuffer.New(bodybuffer.Options{
		Memory: c.server.bodies, MaxBytes: int64(limits.MaxBodyBytes), Length: in.request.ContentLength,
	})
	body, err := buffer.ReadAll(in.request.Body)
	switch {
	case err == nil:
		in.body, in.release = body, buffer.Release
	case errors.Is(err, bodybuffer.ErrNoMemory):
		in.rejection = noRoom()
	case errors.Is(err, bodybuffer.ErrTooLarge):
		in.rejection = malformed(http.StatusRequestEntityTooLarge)
	default:
		status := bodyErrorStatus(err)
		in.rejection = malformed(status)
		return status != 0
	}
	return true
}

// headErrorStatus returns the status for a head that could not be read, 0 if the
// connection failed.
func headErrorStatus(err error) int {
	var network net.Error
	switch {
	case errors.Is(err, socket.ErrLimitExceeded):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &network) && network.Timeout():
		return http.StatusRequestTimeout
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return 0
	default:
		return http.StatusBadRequest
	}
}

func bodyErrorStatus(err error) int {
	var network net.Error
	switch {
	case errors.As(err, &network) && network.Timeout():
		return http.StatusRequestTimeout
	case errors.As(err, &network), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return 0
	default:
		return http.StatusBadRequest
	}
}

// linger closes the connection for writing and reads what the caller still sends
// after a refusal.
func (c *connection) linger() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}
