// Package httpclient makes the HTTP client of the standard library reject what is no complete
// response: one whose status is none of HTTP.
package httpclient

import (
	"context"
	"net"
	"net/http"
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
		DialContext: o.Dial, MaxIdleConnsPerHost: o.MaxIdlePerHost, IdleConnTimeout: o.IdleTimeout, DisableKeepAlives: o.MaxIdlePerHost == 0,
		MaxResponseHeaderBytes: socket.MaxResponseHeadBytes,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
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
