package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/httpclient"
	"github.com/cornelhold/cornelhold/internal/socket"
)

// Error is the class of errors of connections to endpoints.
var Error = errs.Class("upstream")

const (
	// dialTimeout bounds the opening of a connection; the round trip to endpoints
	// takes a few milliseconds.
	dialTimeout = 600 * time.Millisecond
	// eventBuffer is the number of events buffered for the request task.
	eventBuffer = 16
)

// Request is a request to an endpoint.
type Request struct {
	Address string
	Method  string
	// Target is the raw path and query.
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	AttemptID string
	// AnyAttempt is set if the response need not state the attempt.
	AnyAttempt bool
	// SendBy is the time of the pool's clock after which the request must not be
	// written; 0 means no limit.
	SendBy time.Duration
	// MaxIdle bounds how long a reused connection may have been idle; 0 means a
	// new connection.
	MaxIdle time.Duration
}

type exchange struct {
	pool    *Pool
	request Request
	events  chan Event
	sent    bool
	reused  bool
	// startedAt and connectedAt are when the exchange was started and when it had
	// a connection.
	startedAt, connectedAt time.Time
}

// StartExchange starts an exchange and returns its events. Its task ends after
// the last event, or when ctx is cancelled, which closes the connection. The receiver
// must cancel ctx once it no longer holds the response.
func StartExchange(ctx context.Context, pool *Pool, r Request) <-chan Event {
	x := &exchange{pool: pool, request: r, events: make(chan Event, eventBuffer), startedAt: time.Now()}
	go x.run(ctx)
	return x.events
}

func (x *exchange) run(ctx context.Context) {
	conn, err := x.connect(ctx)
	if err != nil {
		x.emit(ctx, Failed{Cause: err, DialFailed: true, Refused: isRefused(err)})
		return
	}
	x.connectedAt = time.Now()
	if x.isLate() {
		x.returnUnused(conn)
		x.emit(ctx, x.notSentInTime())
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	last, reusable := x.roundTrip(ctx, conn)
	if !stop() {
		reusable = false
	}
	if reusable {
		x.pool.release(conn)
	} else {
		_ = conn.conn.Close()
	}
	x.emit(ctx, last)
}

// isLate reports whether the request must not be written any more.
func (x *exchange) isLate() bool {
	return x.request.SendBy > 0 && x.pool.clock.Now() > x.request.SendBy
}

func (x *exchange) notSentInTime() Failed {
	return Failed{Cause: Error.New("no connection in time to send the request"), NotSentInTime: true, Reused: x.reused}
}

// returnUnused returns a connection on which nothing was sent. A new one is closed,
// since the keep-alive time of the endpoint is not known.
func (x *exchange) returnUnused(c *Conn) {
	if x.reused {
		x.pool.put(c)
		return
	}
	_ = c.conn.Close()
}

func (x *exchange) emit(ctx context.Context, e Event) {
	select {
	case x.events <- e:
	case <-ctx.Done():
	}
}

func (x *exchange) connect(ctx context.Context) (*Conn, error) {
	if x.request.MaxIdle > 0 {
		if c := x.pool.acquire(ctx, x.request.Address, x.request.MaxIdle); c != nil {
			x.reused = true
			return c, nil
		}
	}
	conn, err := dial(ctx, x.request.Address)
	if err != nil {
		return nil, err
	}
	return newConn(conn, x.request.Address), nil
}

// roundTrip sends the request and reads the response. It returns the last event
// and whether the connection can serve another request.
func (x *exchange) roundTrip(ctx context.Context, c *Conn) (Event, bool) {
	written, err := x.write(c)
	if errors.Is(err, errLate) {
		return x.notSentInTime(), false
	}
	if err != nil {
		// The endpoint may have responded before it closed the connection.
		written = make(chan error, 1)
		written <- err
	}
	x.emit(ctx, RequestWritten{
		Connect: x.connectedAt.Sub(x.startedAt), Write: time.Since(x.connectedAt), Reused: x.reused,
	})
	resp, decoded, err := x.readHead(c)
	if err != nil {
		return x.failure(err), false
	}
	defer resp.Body.Close() //nolint:errcheck // the connection is closed if the body was not read
	var last Event
	if isStream(resp) {
		last, err = x.readStream(ctx, c, resp, decoded)
	} else {
		last, err = x.readFull(ctx, c, resp, decoded)
	}
	if err == nil && !httpclient.IsDelimited(resp) {
		err = confirmEnd(ctx, c, written)
	}
	if err != nil {
		return x.failure(err), false
	}
	return last, x.reusable(c, resp, written)
}

// confirmEnd checks that the connection whose end is that of the response was closed in good
// order, after the endpoint had received the whole request. Otherwise the response may be cut.
func confirmEnd(ctx context.Context, c *Conn, written <-chan error) error {
	select {
	case err := <-written:
		if err != nil {
			return Error.New("the request could not be written to its end, so that the response may be cut: %w", err)
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	return socket.ConfirmEnd(ctx, c.conn)
}

func (x *exchange) failure(cause error) Event {
	reset := !errors.Is(cause, context.Canceled)
	var network net.Error
	if errors.As(cause, &network) && network.Timeout() {
		reset = false
	}
	return Failed{Cause: Error.Wrap(cause), Sent: x.sent, Reset: reset, Reused: x.reused}
}

// reusable reports whether the connection can serve another request: the response
// was delimited, no unread bytes follow it, and the request was written
// completely. It sets the connection's keep-alive time.
func (x *exchange) reusable(c *Conn, resp *http.Response, written chan error) bool {
	if resp.Close || !httpclient.IsDelimited(resp) || c.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	c.keepAlive = defaultKeepAlive
	if timeout, ok := keepAliveTimeout(resp.Header); ok {
		c.keepAlive = timeout - idleMargin
	}
	return c.keepAlive > 0
}

// keepAliveTimeout returns the timeout in the endpoint's Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for item := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
