package userplatform

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Headers of a caller's request and of its response.
const (
	headerAttempt       = "Attempt-Id"
	headerSignature     = "Replica-Signature"
	headerAuthorization = "Authorization"
	headerTenant        = "Tenant"
)

// CallerRequest is a caller's HTTP request, written byte for byte.
type CallerRequest struct {
	Method, Target, Host, Attempt, Key, Body string
	Deadline                                 time.Duration
}

// Write writes the request to w. It adds a forged Tenant header, which the edge
// must not forward to a replica.
func (r CallerRequest) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nDeadline-Ms: %d\r\n%s: Bearer %s\r\n%s: forged\r\nContent-Length: %d\r\n\r\n%s",
		r.Method, r.Target, r.Host, headerAttempt, r.Attempt, r.Deadline.Milliseconds(), headerAuthorization, r.Key, headerTenant, len(r.Body), r.Body)
	return err
}

// SetCallerHeaders sets the attempt id and the API key of a caller's request.
func SetCallerHeaders(h http.Header, attempt, key string) {
	h.Set(headerAttempt, attempt)
	h.Set(headerAuthorization, "Bearer "+key)
}

// IsSignedResponse reports whether the headers of a response carry a replica's
// signature and the given attempt id.
func IsSignedResponse(h http.Header, attempt string) bool {
	return h.Get(headerAttempt) == attempt && h.Get(headerSignature) != ""
}

// IsResponseOf reports whether the headers of a response carry the signature of a replica.
func IsResponseOf(h http.Header, id string) bool { return h.Get(headerSignature) == id }

// Attempt returns the attempt id of the executed request.
func (r Run) Attempt() string { return r.Header.Get(headerAttempt) }

// Team returns the team for which the request was executed.
func (r Run) Team() string { return r.Header.Get(headerTenant) }

// HasAPIKey reports whether the caller's API key was forwarded to the replica.
func (r Run) HasAPIKey() bool { return r.Header.Get(headerAuthorization) != "" }
