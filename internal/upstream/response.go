package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"golang.org/x/sync/semaphore"

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
	// same time, beyond the first uncountedBytes of each.
	maxBufferedBytes = 32 << 20
	uncountedBytes   = 16 << 10
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
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		decoded := platform.DecodeEndpointResponse(resp.StatusCode, resp.Header)
		if decoded.Attempt == x.request.AttemptID {
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
	if !isDelimited(resp) {
		return Error.New("got a response to request %q of unknown length", decoded.Attempt)
	}
	c.limit.SetLimit(maxSkippedBodyBytes + maxFramingBytes)
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// isDelimited reports whether a response states where its body ends.
func isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
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
			return StreamEnd{Delimited: isDelimited(resp)}, nil
		case err != nil:
			return nil, err
		}
	}
}

// readFull reads a response that is not a stream into memory.
func (x *exchange) readFull(ctx context.Context, c *Conn, resp *http.Response, decoded platform.EndpointResponse) (Event, error) {
	c.limit.SetLimit(maxFramingBytes)
	if resp.ContentLength > maxResponseBytes {
		return nil, Error.New("response body of %d bytes exceeds the limit of %d bytes", resp.ContentLength, maxResponseBytes)
	}
	buffer := bodyBuffer{memory: x.pool.memory, limit: c.limit, length: resp.ContentLength}
	body, err := buffer.readAll(resp.Body)
	if err != nil {
		return nil, err
	}
	// The receiver holds the body until it ends the exchange, which cancels ctx.
	context.AfterFunc(ctx, buffer.release)
	return FullResponse{Status: resp.StatusCode, Header: resp.Header, Decoded: decoded, Body: body}, nil
}

// bodyBuffer collects the body of a response. Its capacity is reserved from the memory
// that all buffered responses share.
type bodyBuffer struct {
	memory *semaphore.Weighted
	// limit is extended by what each byte of the body permits.
	limit *socket.LimitedReader
	// length is the stated length of the body, -1 if it is not known.
	length   int64
	reserved int64
	data     []byte
}

// readAll reads body to its end. After an error nothing is reserved.
func (b *bodyBuffer) readAll(body io.Reader) ([]byte, error) {
	for {
		if err := b.grow(); err != nil {
			b.release()
			return nil, err
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		b.limit.Extend(int64(n) * (1 + framingRatio))
		switch {
		case errors.Is(err, io.EOF):
			return b.data, nil
		case err != nil:
			b.release()
			return nil, err
		}
	}
}

// grow makes room for at least one more byte.
func (b *bodyBuffer) grow() error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	if len(b.data) > maxResponseBytes {
		return Error.New("response body exceeds the limit of %d bytes", maxResponseBytes)
	}
	capacity := max(2*cap(b.data), uncountedBytes)
	if b.length >= 0 {
		// One more byte than the body has is needed to read its end.
		capacity = int(b.length) + 1
	}
	reserve := int64(capacity)
	if capacity <= uncountedBytes {
		reserve = 0
	}
	if !b.memory.TryAcquire(reserve) {
		return Error.New("response body of more than %d bytes exceeds the memory for responses; retry later", len(b.data))
	}
	data := make([]byte, len(b.data), capacity)
	copy(data, b.data)
	b.release()
	b.data, b.reserved = data, reserve
	return nil
}

// release returns the reserved memory.
func (b *bodyBuffer) release() {
	b.memory.Release(b.reserved)
	b.reserved = 0
}
