package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/httpclient"
)

// Error is the class of errors of endpoint calls.
var Error = errs.Class("endpoint")

// errStreamIdle is the cancellation cause of a stream whose idle timeout expired.
var errStreamIdle = Error.New("no byte arrived within the stream idle timeout")

const (
	// dialTimeout bounds the time to connect to an endpoint.
	dialTimeout = time.Second
	// StreamIdleTimeout is the longest time without any byte on a stream.
	// Engines send a heartbeat comment every second.
	StreamIdleTimeout = 3 * time.Second
	// probeTimeout bounds the status call that looks for a crashed endpoint.
	probeTimeout = time.Second
	// cancelTimeout bounds the request that cancels a stream.
	cancelTimeout = time.Second
	// exportTimeout bounds the export of one KV cache, including the wait for
	// earlier exports of the same endpoint.
	exportTimeout = 30 * time.Second
	// maxEventBytes bounds one line of a server-sent event.
	maxEventBytes    = 1 << 20
	maxResponseBytes = 64 << 10
	maxIdlePerHost   = 64
	idleConnTimeout  = 30 * time.Second
)

// Client opens completions on model engines.
type Client struct {
	http        *http.Client
	noKeepAlive *http.Client
	idleTimeout time.Duration
}

// NewClient returns an engine client with the default stream idle timeout.
func NewClient() *Client { return NewClientWithIdleTimeout(StreamIdleTimeout) }

// NewClientWithIdleTimeout returns an engine client that abandons a stream
// after the given time without any byte.
func NewClientWithIdleTimeout(silence time.Duration) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{
		idleTimeout: silence,
		http:        &http.Client{Transport: newPooledTransport(dial)},
		// Probes, cancels and exports use new connections, since a pooled one
		// may be unresponsive.
		noKeepAlive: &http.Client{Transport: httpclient.NewTransport(httpclient.Options{Dial: dial})},
	}
}

// newPooledTransport returns a transport that keeps connections to endpoints for further requests.
func newPooledTransport(dial httpclient.Dial) *httpclient.Transport {
	return httpclient.NewTransport(httpclient.Options{Dial: dial, MaxIdlePerHost: maxIdlePerHost, IdleTimeout: idleConnTimeout})
}

// attemptStream is one running attempt.
type attemptStream struct {
	client      *Client
	address     string
	attempt     fleet.AttemptNumber
	incarnation string
	// finished is set once the frame with the finish reason was emitted.
	finished bool
	// framesAfterFinish counts the frames after it. Frames may arrive out of
	// order, so that a few are accepted.
	framesAfterFinish int
	idleTimer         *time.Timer
	emit              func(request.Frame)
}

// Stream runs one attempt and passes each frame to emit until the endpoint
// closes the stream, ctx ends or the attempt fails. It returns nil if ctx
// ended, request.StreamEnded if the endpoint closed the stream properly, and
// request.AttemptFailed otherwise.
func (c *Client) Stream(ctx context.Context, address string, body CompletionRequest, emit func(request.Frame)) request.Message {
	s := &attemptStream{client: c, address: address, attempt: fleet.AttemptNumber(body.Attempt), emit: emit}
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.idleTimer = time.AfterFunc(c.idleTimeout, func() { cancel(errStreamIdle) })
	defer s.idleTimer.Stop()
	result := s.run(streamCtx, body)
	if ctx.Err() != nil && !s.finished {
		c.cancel(context.WithoutCancel(ctx), address, StreamRef{RequestID: body.RequestID, Attempt: body.Attempt})
		return nil
	}
	if result == nil || s.finished {
		return request.StreamEnded{Attempt: s.attempt}
	}
	if result.Failure == request.FailureBroken {
		if errors.Is(context.Cause(streamCtx), errStreamIdle) {
			result.Failure, result.Detail = request.FailureTimeout, errStreamIdle.Error()
		}
		if c.crashed(ctx, address, s.incarnation) {
			result.Failure = request.FailureCrash
		}
	}
	result.Incarnation = s.incarnation
	return *result
}

// run returns nil if the endpoint closed the stream properly.
func (s *attemptStream) run(ctx context.Context, body CompletionRequest) *request.AttemptFailed {
	resp, err := s.client.open(ctx, s.address, body)
	if err != nil {
		return s.sendFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	s.incarnation = resp.Header.Get(IncarnationHeader)
	if resp.StatusCode != http.StatusOK {
		return s.statusFailure(resp)
	}
	return s.readFrames(resp)
}

func (c *Client) open(ctx context.Context, address string, body CompletionRequest) (*http.Response, error) {
	req, err := newRequest(ctx, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", "text/event-stream")
	return c.http.Do(req)
}

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (s *attemptStream) readFrames(resp *http.Response) *request.AttemptFailed {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		// The timer is stopped during emit: that time is the router's own.
		s.idleTimer.Stop()
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if ok && bytes.Equal(data, []byte("[DONE]")) {
			return nil
		}
		if ok {
			if s.finished {
				s.framesAfterFinish++
			}
			if s.framesAfterFinish > request.MaxBufferedFrames {
				return s.brokenFailure("the endpoint sends frames after the last one")
			}
			var chunk CompletionChunk
			if err := json.Unmarshal(data, &chunk); err != nil {
				return s.brokenFailure("malformed frame: " + err.Error())
			}
			s.emitChunk(chunk)
		}
		s.idleTimer.Reset(s.client.idleTimeout)
	}
	if err := scanner.Err(); err != nil {
		return s.brokenFailure(err.Error())
	}
	return s.brokenFailure("the stream ended before the answer was whole")
}

func (s *attemptStream) emitChunk(chunk CompletionChunk) {
	for _, choice := range chunk.Choices {
		s.emit(request.Frame{
			Stream:  s.attempt,
			Request: fleet.RequestID(chunk.RequestID),
			Attempt: fleet.AttemptNumber(chunk.Attempt),
			Index:   choice.Index,
			Text:    choice.Text,
			Finish:  choice.FinishReason,
		})
		s.finished = s.finished || choice.FinishReason != ""
	}
}

func (s *attemptStream) brokenFailure(detail string) *request.AttemptFailed {
	return &request.AttemptFailed{Attempt: s.attempt, Failure: request.FailureBroken, Detail: detail}
}

// sendFailure distinguishes a connection that was never established from one
// that broke.
func (s *attemptStream) sendFailure(err error) *request.AttemptFailed {
	failed := s.brokenFailure(err.Error())
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		failed.Failure = request.FailureUnreachable
	}
	return failed
}

func (s *attemptStream) statusFailure(resp *http.Response) *request.AttemptFailed {
	failure := request.FailureError
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		failure = request.FailureRejected
	}
	return &request.AttemptFailed{Attempt: s.attempt, Failure: failure, Detail: "status " + resp.Status}
}

// crashed reports whether the endpoint process of the given incarnation no
// longer runs: a new connection is refused or reaches another incarnation. A
// probe without a response is inconclusive and doesn't count as a crash.
func (c *Client) crashed(ctx context.Context, address, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var status Status
	err := c.call(ctx, http.MethodGet, "http://"+address+StatusPath, nil, &status)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return incarnation != "" && status.Incarnation != "" && status.Incarnation != incarnation
}

// cancel stops a stream on the endpoint. Closing the connection is not enough:
// over an unresponsive connection the endpoint doesn't see that it was closed.
func (c *Client) cancel(ctx context.Context, address string, ref StreamRef) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	_ = c.call(ctx, http.MethodPost, "http://"+address+CancelPath, ref, nil)
}

// Export stops a stream on the endpoint and exports its KV cache. It returns
// the URL of the cache, or an error if the successor must recompute.
func (c *Client) Export(ctx context.Context, address string, ref StreamRef) (string, error) {
	ctx, stop := context.WithTimeout(ctx, exportTimeout)
	defer stop()
	var exported ExportResult
	if err := c.call(ctx, http.MethodPost, "http://"+address+ExportPath, ref, &exported); err != nil {
		return "", err
	}
	return "http://" + address + exported.Path, nil
}

// call sends a request over a new connection and decodes the JSON response into
// out, unless out is nil.
func (c *Client) call(ctx context.Context, method, url string, body, out any) error {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := c.noKeepAlive.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return Error.New("%s %s: status %s", method, url, resp.Status)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return Error.New("%s %s: malformed JSON response: %w", method, url, err)
	}
	return nil
}
