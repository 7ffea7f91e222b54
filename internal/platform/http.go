package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/httpclient"
)

// Error classes of platform calls.
var (
	// Error is the class of all errors of this package.
	Error = errs.Class("platform")
	// ErrNotDone means that the call had no effect: it was refused or never sent.
	ErrNotDone = errs.Class("platform call not done")
	// ErrUnknownOutcome means that the call may have taken effect.
	ErrUnknownOutcome = errs.Class("platform call outcome unknown")
	// ErrExpired means that the requested offset is older than the retention.
	ErrExpired = errs.Class("log offset expired")
)

const (
	// ResponseTimeout is how long after the wait time of a long poll its response
	// may arrive. An unresponsive connection is closed then, and the next poll
	// uses a new one.
	ResponseTimeout = 2 * time.Second
	// dialTimeout bounds the time to set up a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout closes idle connections before they are likely to become
	// unresponsive.
	idleTimeout = 30 * time.Second
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 16 << 20
	// maxIdlePerHost bounds the idle connections to one service.
	maxIdlePerHost = 32
)

// RefusedError is an error response of the platform.
type RefusedError struct {
	Status int
	// RetryAfter is the delay that the platform asks for; 0 if none.
	RetryAfter time.Duration
	Message    string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "refused with status " + strconv.Itoa(e.Status) + ": " + e.Message
}

// NewHTTPClient returns the HTTP client that the platform clients use.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: httpclient.NewTransport(httpclient.Options{
		Dial: dialer.DialContext, MaxIdlePerHost: maxIdlePerHost, IdleTimeout: idleTimeout,
	})}
}

func call(ctx context.Context, client *http.Client, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return ErrNotDone.Wrap(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return classifySendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return ErrUnknownOutcome.New("%s %s: cannot read the whole response: %w", method, url, err)
	}
	if len(data) > maxResponseBytes {
		return ErrUnknownOutcome.New("%s %s: response body exceeds the limit of %d bytes", method, url, maxResponseBytes)
	}
	if err := statusError(resp, data); err != nil {
		if ErrExpired.Has(err) {
			// The body contains the offsets that the stream still holds.
			_ = json.Unmarshal(data, out)
		}
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return ErrUnknownOutcome.New("%s %s: malformed JSON response: %w", method, url, err)
	}
	return nil
}

// longPoll sends a GET request that the service may hold for up to wait. It
// takes at most wait plus ResponseTimeout.
func longPoll(ctx context.Context, client *http.Client, url string, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+ResponseTimeout)
	defer cancel()
	return call(ctx, client, http.MethodGet, url, nil, out)
}

// classifySendError distinguishes a connection that was never established from
// one that broke after the request may have been sent.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotDone.New("cannot connect: %w; check that the service is up and its address in the settings", err)
	}
	return ErrUnknownOutcome.Wrap(err)
}

func statusError(resp *http.Response, body []byte) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	refused := &RefusedError{
		Status:     resp.StatusCode,
		RetryAfter: parseRetryAfter(resp),
		Message:    string(bytes.TrimSpace(body[:min(len(body), 200)])),
	}
	switch {
	case resp.StatusCode == http.StatusGone:
		return ErrExpired.Wrap(refused)
	case resp.StatusCode >= 500 && resp.StatusCode != http.StatusServiceUnavailable:
		return ErrUnknownOutcome.Wrap(refused)
	default:
		return ErrNotDone.Wrap(refused)
	}
}

func parseRetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
