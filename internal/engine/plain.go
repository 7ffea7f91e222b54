package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/httpclient"
)

// PlainRequest is one call of a plain service.
type PlainRequest struct {
	// Address is the endpoint, IP and port.
	Address   string
	Operation string
	// RequestID is sent as X-Request-Id, for the logs of the endpoint.
	RequestID   string
	ContentType string
	Body        []byte
}

// PlainClient calls plain services: POST /v1/calls/{operation}.
type PlainClient struct {
	singleUse *http.Client
	pooled    *http.Client
}

// NewPlainClient returns a client of plain services.
func NewPlainClient() *PlainClient {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &PlainClient{
		// net/http may replay a request whose reused connection broke, so a call
		// that is not idempotent gets a connection of its own.
		singleUse: newPlainHTTPClient(httpclient.NewTransport(httpclient.Options{Dial: dial})),
		pooled:    newPlainHTTPClient(newPooledTransport(dial)),
	}
}

// newPlainHTTPClient returns a client that follows no redirects: following 307
// or 308 would send the request a second time.
func newPlainHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CallOnce sends a call that is not idempotent. CallNotSent is returned only if
// no connection was established, so that no byte can have been sent.
func (c *PlainClient) CallOnce(ctx context.Context, r PlainRequest) claim.CallEnded {
	return call(ctx, c.singleUse, r)
}

// Call sends an idempotent call over a pooled connection.
func (c *PlainClient) Call(ctx context.Context, r PlainRequest) claim.CallEnded {
	return call(ctx, c.pooled, r)
}

func call(ctx context.Context, client *http.Client, r PlainRequest) claim.CallEnded {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	target := "http://" + r.Address + "/v1/calls/" + url.PathEscape(r.Operation)
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, target, bytes.NewReader(r.Body))
	if err != nil {
		return claim.CallEnded{Result: claim.CallNotSent, Detail: err.Error()}
	}
	req.Header.Set("Content-Type", r.ContentType)
	req.Header.Set("X-Request-Id", r.RequestID)
	resp, err := client.Do(req)
	if err != nil {
		return failedCallResult(connected, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, claim.MaxResponseBytes+1))
	if err != nil {
		return failedCallResult(true, err)
	}
	response := claim.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	if len(body) > claim.MaxResponseBytes {
		response.Body = nil
		response.Omitted = true
	}
	return claim.CallEnded{Result: claim.CallCompleted, Response: response}
}

func failedCallResult(connected bool, err error) claim.CallEnded {
	if connected {
		return claim.CallEnded{Result: claim.CallUnknown, Detail: err.Error()}
	}
	return claim.CallEnded{Result: claim.CallNotSent, Detail: err.Error()}
}
