// Package httpclient makes the HTTP client of the standard library reject what is no complete
// response: one whose status is none of HTTP, and one without a length whose connection was reset.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/socket"
)

// Error is the class of errors of responses that are rejected.
var Error = errs.Class("http client")

// minStatus and maxStatus bound the status codes of HTTP. The parser of net/http takes any three
// digits.
const minStatus, maxStatus = 100, 599

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Transport.
type Options struct {
	Dial Dial
	// MaxIdlePerHost bounds the idle connections to one host, IdleTimeout the time for which they
	// are kept. Each request has a connection of its own if MaxIdlePerHost is 0.
	MaxIdlePerHost int
	IdleTimeout    time.Duration
}

// Transport is an http.Transport that fails for what is no complete response.
type Transport struct{ *http.Transport }

// NewTransport returns a transport without open connections.
func NewTransport(o Options) *Transport {
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := o.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConfirmedConn(conn), nil
		},
		MaxIdleConnsPerHost: o.MaxIdlePerHost, IdleConnTimeout: o.IdleTimeout, DisableKeepAlives: o.MaxIdlePerHost == 0,
		MaxResponseHeaderBytes: socket.MaxResponseHeadBytes,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// current is the exchange of the latest try: the transport repeats some requests.
	var current atomic.Pointer[exchange]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			current.Store(&exchange{written: make(chan struct{})})
			if conn, ok := info.Conn.(*confirmedConn); ok {
				conn.current.Store(current.Load())
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { current.Load().requestWritten(info.Err) },
	}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CheckStatus returns an error if a status is none of HTTP.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return Error.New("got status %03d, want one from %d to %d", status, minStatus, maxStatus)
	}
	return nil
}

// IsDelimited reports whether a response states where its body ends, or has none.
func IsDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}
