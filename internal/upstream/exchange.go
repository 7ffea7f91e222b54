package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/platform"
)

// Error is the class of failures of a channel to an endpoint.
var Error = errs.Class("upstream")

const (
	// dialTimeout bounds the opening of a channel; endpoints are a few
	// milliseconds away.
	dialTimeout = 600 * time.Millisecond
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxStale bounds the answers to other requests that are skipped before
	// the channel is given up.
	maxStale = 3
	// inlineBody is the size of a body up to which it is written before the
	// answer is awaited, in bytes. Longer ones are written beside the wait,
	// because an endpoint may answer before it has read them.
	inlineBody = 2048
	// eventBuffer bounds the events that wait for the request task.
	eventBuffer = 16
	// chunkBytes is the size of the buffer for stream data.
	chunkBytes = 8192
)

// Request is what is sent to an endpoint.
type Request struct {
	Address string
	Method  string
	// Target is the raw path and query.
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Attempt string
	// MaxIdle bounds how long a reused channel may have been idle.
	MaxIdle time.Duration
}

// Event is something that happened in an exchange. Exactly one of Complete,
// End or Failed is the last event.
type Event interface{ event() }

// StreamHead is the head of a stream's answer. Data follows.
type StreamHead struct {
	Status int
	Header http.Header
	Answer platform.EndpointResponse
}

// StreamData is part of a stream's body.
type StreamData struct{ Bytes []byte }

// StreamEnd is the complete end of a stream.
type StreamEnd struct{}

// FullResponse is a whole answer that is not a stream.
type FullResponse struct {
	Status int
	Header http.Header
	Answer platform.EndpointResponse
	Body   []byte
}

// Failed ends an exchange without a whole answer.
type Failed struct {
	Cause error
	// Sent is set if a byte of the request may have reached the endpoint.
	Sent bool
	// Dial is set if no channel could be opened.
	Dial bool
	// Reset is set if the endpoint closed or reset the channel.
	Reset bool
	// Reused is set if the channel had served other requests before.
	Reused bool
}

func (StreamHead) event()   {}
func (StreamData) event()   {}
func (StreamEnd) event()    {}
func (FullResponse) event() {}
func (Failed) event()       {}

type exchange struct {
	pool    *Pool
	request Request
	events  chan Event
	sent    bool
	reused  bool
}

// StartExchange begins an exchange. Its task ends when ctx ends, which closes the
// channel, or after the last event.
func StartExchange(ctx context.Context, pool *Pool, r Request) <-chan Event {
	x := &exchange{pool: pool, request: r, events: make(chan Event, eventBuffer)}
	go x.run(ctx)
	return x.events
}

func (x *exchange) run(ctx context.Context) {
	channel, err := x.open(ctx)
	if err != nil {
		x.post(ctx, Failed{Cause: err, Dial: true})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = channel.conn.Close() })
	last, reusable := x.perform(ctx, channel)
	if !stop() {
		reusable = false
	}
	if reusable {
		x.pool.release(channel)
	} else {
		_ = channel.conn.Close()
	}
	x.post(ctx, last)
}

func (x *exchange) post(ctx context.Context, e Event) {
	select {
	case x.events <- e:
	case <-ctx.Done():
	}
}

func (x *exchange) open(ctx context.Context) (*Conn, error) {
	if x.request.MaxIdle > 0 {
		if c := x.pool.acquire(ctx, x.request.Address, x.request.MaxIdle); c != nil {
			x.reused = true
			return c, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: platform.SetUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", x.request.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Conn{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), address: x.request.Address}, nil
}

// perform sends the request and reads its answer. It returns the last event
// and whether the channel can serve another request.
func (x *exchange) perform(ctx context.Context, c *Conn) (Event, bool) {
	written, err := x.write(c)
	if err != nil {
		// The endpoint may have answered before it closed the channel.
		written = make(chan error, 1)
		written <- err
	}
	resp, answer, err := x.readHead(c)
	if err != nil {
		return x.failed(err), false
	}
	defer resp.Body.Close() //nolint:errcheck // the channel is closed if the body was not read
	var last Event
	if isStream(resp) {
		last, err = x.readStream(ctx, resp, answer)
	} else {
		last, err = readWhole(resp, answer)
	}
	if err != nil {
		return x.failed(err), false
	}
	return last, x.reusable(c, resp, written)
}

func (x *exchange) failed(cause error) Event {
	reset := !errors.Is(cause, context.Canceled)
	var network net.Error
	if errors.As(cause, &network) && network.Timeout() {
		reset = false
	}
	return Failed{Cause: Error.Wrap(cause), Sent: x.sent, Reset: reset, Reused: x.reused}
}

// write sends head and body. The channel returned yields the result of a body
// that is still being written.
func (x *exchange) write(c *Conn) (chan error, error) {
	r := x.request
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return nil, Error.Wrap(err)
	}
	head.WriteString("\r\n")
	x.sent = true
	written := make(chan error, 1)
	if len(r.Body) <= inlineBody {
		head.Write(r.Body)
		_, err := c.conn.Write(head.Bytes())
		written <- err
		return written, err
	}
	go func() {
		buffers := net.Buffers{head.Bytes(), r.Body}
		_, err := buffers.WriteTo(c.conn)
		written <- err
	}()
	return written, nil
}

// readHead returns the answer to this request. Late answers to earlier
// requests on the channel are skipped.
func (x *exchange) readHead(c *Conn) (*http.Response, platform.EndpointResponse, error) {
	for range maxStale {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, platform.EndpointResponse{}, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		answer := platform.DecodeEndpointResponse(resp.StatusCode, resp.Header)
		if answer.Attempt == x.request.Attempt {
			return resp, answer, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, answer, Error.New("answer to request %q on the channel of %q", answer.Attempt, x.request.Attempt)
		}
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return nil, answer, err
		}
	}
	return nil, platform.EndpointResponse{}, Error.New("answers to other requests on the channel of %q", x.request.Attempt)
}

func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

func (x *exchange) readStream(ctx context.Context, resp *http.Response, answer platform.EndpointResponse) (Event, error) {
	x.post(ctx, StreamHead{Status: resp.StatusCode, Header: resp.Header, Answer: answer})
	buf := make([]byte, chunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			x.post(ctx, StreamData{Bytes: bytes.Clone(buf[:n])})
		}
		switch {
		case err == io.EOF:
			return StreamEnd{}, nil
		case err != nil:
			return nil, err
		}
	}
}

func readWhole(resp *http.Response, answer platform.EndpointResponse) (Event, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, Error.New("answer larger than %d bytes", maxAnswerBytes)
	}
	return FullResponse{Status: resp.StatusCode, Header: resp.Header, Answer: answer, Body: body}, nil
}

// reusable reports whether the channel holds nothing of this exchange: the
// answer had a length, nothing follows it and the request was written whole.
func (x *exchange) reusable(c *Conn, resp *http.Response, written chan error) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if resp.Close || !framed || c.reader.Buffered() > 0 {
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
	c.keep = defaultIdle
	if timeout, ok := keepAlive(resp.Header); ok {
		c.keep = timeout - idleMargin
	}
	return c.keep > 0
}

// keepAlive returns the idle timeout that the endpoint states.
func keepAlive(h http.Header) (time.Duration, bool) {
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
