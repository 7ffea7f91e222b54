package userplatform

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Headers that a caller sends or gets.
const (
	headerAttempt       = "Attempt-Id"
	headerSignature     = "Replica-Signature"
	headerAuthorization = "Authorization"
	headerTenant        = "Tenant"
)

// CallerRequest is a request as a caller sends it.
type CallerRequest struct {
	Method, Target, Host, Attempt, Key, Body string
	Deadline                                 time.Duration
}

// Write writes the request. It names a forged team, which the system must not
// pass on.
func (r CallerRequest) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nDeadline-Ms: %d\r\n%s: Bearer %s\r\n%s: forged\r\nContent-Length: %d\r\n\r\n%s",
		r.Method, r.Target, r.Host, headerAttempt, r.Attempt, r.Deadline.Milliseconds(), headerAuthorization, r.Key, headerTenant, len(r.Body), r.Body)
	return err
}

// SetCallerHeaders sets the headers of a caller's request.
func SetCallerHeaders(h http.Header, attempt, key string) {
	h.Set(headerAttempt, attempt)
	h.Set(headerAuthorization, "Bearer "+key)
}

// IsSignedResponse reports whether an answer bears a replica's signature and the id of
// a request.
func IsSignedResponse(h http.Header, attempt string) bool {
	return h.Get(headerAttempt) == attempt && h.Get(headerSignature) != ""
}

// Attempt returns the id of the request that ran.
func (r Run) Attempt() string { return r.Header.Get(headerAttempt) }

// Team returns the team for which the request ran.
func (r Run) Team() string { return r.Header.Get(headerTenant) }

// HasAPIKey reports whether the caller's key was passed on.
func (r Run) HasAPIKey() bool { return r.Header.Get(headerAuthorization) != "" }
