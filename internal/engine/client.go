package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
)

// Error is the class of errors of endpoint calls.
var Error = errs.Class("endpoint")

const (
	// dialTimeout bounds the time to connect to an endpoint.
	dialTimeout = time.Second
	// SilenceBound is how long a stream may stay without any byte. Engines
	// send a heartbeat comment every second.
	SilenceBound = 3 * time.Second
	// maxEventBytes bounds one server-sent event.
	maxEventBytes  = 1 << 20
	maxIdlePerHost = 64
	idleTimeout    = 30 * time.Second
)

// Client opens completions on model engines.
type Client struct {
	http *http.Client
}

// NewClient returns an engine client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Stream runs one attempt and passes each frame to emit until the answer is
// whole, ctx ends or the attempt fails. The returned failure is nil only if
// the last frame was emitted or ctx ended.
func (c *Client) Stream(ctx context.Context, address string, body CompletionRequest, emit func(request.Frame)) *request.AttemptFailed {
	attempt := fleet.AttemptNumber(body.Attempt)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(SilenceBound, cancel)
	defer silence.Stop()

	resp, err := c.open(ctx, address, body)
	if err != nil {
		return sendFailure(attempt, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusFailure(attempt, resp)
	}
	return readFrames(resp, attempt, silence, emit)
}

func (c *Client) open(ctx context.Context, address string, body CompletionRequest) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	return c.http.Do(req)
}

func readFrames(resp *http.Response, attempt fleet.AttemptNumber, silence *time.Timer, emit func(request.Frame)) *request.AttemptFailed {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		silence.Reset(SilenceBound)
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return nil
		}
		var chunk CompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return &request.AttemptFailed{Attempt: attempt, Failure: request.FailureBroken, Detail: "malformed frame: " + err.Error()}
		}
		emitChunk(attempt, chunk, emit)
	}
	detail := "the stream ended before the answer was whole"
	if err := scanner.Err(); err != nil {
		detail = err.Error()
	}
	return &request.AttemptFailed{Attempt: attempt, Failure: request.FailureBroken, Detail: detail}
}

func emitChunk(stream fleet.AttemptNumber, chunk CompletionChunk, emit func(request.Frame)) {
	for _, choice := range chunk.Choices {
		emit(request.Frame{
			Stream:  stream,
			Request: fleet.RequestID(chunk.RequestID),
			Attempt: fleet.AttemptNumber(chunk.Attempt),
			Index:   choice.Index,
			Text:    choice.Text,
			Finish:  choice.FinishReason,
		})
	}
}

func sendFailure(attempt fleet.AttemptNumber, err error) *request.AttemptFailed {
	return &request.AttemptFailed{Attempt: attempt, Failure: request.FailureBroken, Detail: err.Error()}
}

func statusFailure(attempt fleet.AttemptNumber, resp *http.Response) *request.AttemptFailed {
	failure := request.FailureError
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		failure = request.FailureRejected
	}
	return &request.AttemptFailed{Attempt: attempt, Failure: failure, Detail: "status " + resp.Status}
}
