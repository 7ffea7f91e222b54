package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cornelhold/cornelhold/internal/bodybuffer"
	"github.com/cornelhold/cornelhold/internal/httpclient"
	"github.com/cornelhold/cornelhold/internal/socket"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// maxFramingBytes bounds what surrounds a body, chunk sizes and trailers, beyond
	// framingRatio bytes for each byte of the body.
	maxFramingBytes = 1 << 20
	framingRatio    = 1
	// maxBufferedBytes bounds the bodies of all responses that are buffered at the
	// same time, beyond the first bodybuffer.UncountedBytes of each.
	maxBufferedBytes = 32 << 20
	// maxSkippedResponses bounds the interim responses and the responses to other
	// requests that are skipped before the connection is abandoned.
	maxSkippedResponses = 3
	// maxSkippedBodyBytes bounds the body of a skipped response.
	maxSkippedBodyBytes = 1 << 20
	// streamBufferBytes is the size of the read buffer for stream data.
	streamBufferBytes = 8192
)

// readHead reads the head of the response to this request. Interim responses and
// late responses to earlier requests on the connection are skipped.
func (x *exchange) readHead(c *Conn) (*http.Response, platform.EndpointResponse, error) {
	for range maxSkippedResponses {
		c.limit.SetLimit(socket.MaxResponseHeadBytes)
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, platform.EndpointResponse{}, err
		}
		if err := httpclient.CheckStatus(resp.StatusCode); err != nil {
			return nil, platform.EndpointResponse{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		decoded := platform.DecodeEndpointResponse(resp.StatusCode, resp.Header)
		if decoded.Attempt == x.request.AttemptID || x.request.AnyAttempt {
			return resp, decoded, nil
		}
		if err := skipBody(c, resp, decoded); err != nil {
			return nil, decoded, err
		}
	}
	return nil, platform.EndpointResponse{}, Error.New("got only responses to other requests, want one to request %q", x.request.AttemptID)
}

// skipBody reads and drops the body of a response to another request.
func skipBody(c *Conn, resp *http.Response, decoded platform.EndpointResponse) error {
	if !httpclient.IsDelimited(resp) {
		return Error.New("got a response to request %q of unknown length", decoded.Attempt)
	}
	c.limit.SetLimit(maxSkippedBodyBytes + maxFramingBytes)
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// readStream passes the body on as it arrives. The receiver bounds the size of an
// event, and the deadline of the request bounds the time.
func (x *exchange) readStream(ctx context.Context, c *Conn, resp *http.Response, decoded platform.EndpointResponse) (Event, error) {
	c.limit.ClearLimit()
	x.emit(ctx, StreamHead{Status: resp.StatusCode, Header: resp.Header, Decoded: decoded})
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			x.emit(ctx, StreamData{Bytes: bytes.Clone(buf[:n])})
		}
		switch {
		case err == io.EOF:
			return StreamEnd{Delimited: httpclient.IsDelimited(resp)}, nil
		case err != nil:
			return nil, err
		}
	}
}

// readFull reads a response that is not a stream into memory.
func (x *exchange) readFull(ctx context.Context, c *Conn, resp *http.Response, decoded platform.EndpointResponse) (Event, error) {
	c.limit.SetLimit(maxFramingBytes)
	buffer := bodybuffer.New(bodybuffer.Options{
		Memory: x.pool.memory, MaxBytes: maxResponseBytes, Length: resp.ContentLength,
		Received: func(n int) { c.limit.Extend(int64(n) * (1 + framingRatio)) },
	})
	body, err := buffer.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	// The receiver holds the body until it ends the exchange, which cancels ctx.
	context.AfterFunc(ctx, buffer.Release)
	return FullResponse{Status: resp.StatusCode, Header: resp.Header, Decoded: decoded, Body: body}, nil
}
