// Package gateway decides what happens to callers' requests: whether they are
// admitted, which endpoint gets them, and whether a failed attempt is repeated.
// It is a state machine without input or output; time comes in as a value.
package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
)

// RequestID identifies a request within one process.
type RequestID uint64

// Request is what a caller asks for.
type Request struct {
	Host, Path string
	Key        string
	HasKey     bool
	// Deadline is how long the caller waits; 0 means that it did not say.
	Deadline time.Duration
	// Waited is how long the caller has waited already, such as for a long
	// request to be read.
	Waited time.Duration
	// PromptTokens and MaxOutputTokens are the prompt's tokens and the most output tokens.
	PromptTokens, MaxOutputTokens int
	HasTokens                     bool
	Parts                         []fleet.PromptPart
	Fingerprint                   fleet.Fingerprint
	// Random is a random number from 0 up to 1. It decides splits and ties.
	Random float64
}

// Message is an input of the machine.
type Message interface{ message() }

// RequestArrived is a new request.
type RequestArrived struct {
	ID      RequestID
	Request Request
}

// Failure tells why an attempt ended without a usable answer.
type Failure uint8

// Failures.
const (
	// FailureDial means that no channel could be opened: nothing was sent.
	FailureDial Failure = iota
	// FailureRejected means that the endpoint states that it did not run it.
	FailureRejected
	// FailureConnectionLost means that the channel broke; the request may have run.
	FailureConnectionLost
	// FailureTimeout means that no answer came in time; it may have run.
	FailureTimeout
	// FailureErrorResponse means that the endpoint ran it and answered with a failure.
	FailureErrorResponse
)

// String returns the name used in logs and metrics.
func (f Failure) String() string {
	return [...]string{"dial", "rejected", "broken", "silent", "answered"}[f]
}

// AttemptFailed asks whether the request is tried again.
type AttemptFailed struct {
	ID      RequestID
	Failure Failure
	// Delivered is set once the caller has got a part of the answer.
	Delivered bool
	// Reused is set if the channel had served other requests before.
	Reused bool
}

// ResponseStarted tells that the endpoint began to run the request.
type ResponseStarted struct{ ID RequestID }

// RequestFinished ends a request. Succeeded is set if the caller got a whole
// successful answer.
type RequestFinished struct {
	ID        RequestID
	Succeeded bool
}

// SetCatalog puts a configuration in force. Older versions are ignored.
type SetCatalog struct{ Catalog *catalog.Catalog }

// SetEndpoints replaces the listed endpoints.
type SetEndpoints struct{ Endpoints []catalog.Endpoint }

// Load is what one instance has under way at an endpoint.
type Load struct {
	// Active counts the requests, Backlog the prompt tokens not yet read.
	Active  int
	Backlog int
}

// Crash is the evidence that a request ran on an endpoint when it crashed.
type Crash struct {
	Fingerprint fleet.Fingerprint
	Endpoint    fleet.EndpointID
	Started     int64
}

// PeerReport is what another instance shares.
type PeerReport struct {
	Node    string
	Used    map[fleet.TeamName]quota.Usage
	Loads   map[fleet.EndpointID]Load
	Crashes []Crash
	// Demand is the engine time that callers ask for, by service, as a share
	// of one endpoint's time. Refused requests count too.
	Demand map[fleet.ServiceName]float64
}

// UsageRestored is what this instance had admitted before it was started again, as
// it was known Age ago. The machine is not ready before it.
type UsageRestored struct {
	Used map[fleet.TeamName]quota.Usage
	// Others is what the other instances had admitted.
	Others map[fleet.TeamName]quota.Usage
	Age    time.Duration
}

// PeerLeft tells that an instance has left.
type PeerLeft struct{ Node string }

func (RequestArrived) message()  {}
func (AttemptFailed) message()   {}
func (ResponseStarted) message() {}
func (RequestFinished) message() {}
func (SetCatalog) message()      {}
func (SetEndpoints) message()    {}
func (PeerReport) message()      {}
func (UsageRestored) message()   {}
func (PeerLeft) message()        {}

// Action is an output of the machine.
type Action interface{ action() }

// Send orders an attempt at an endpoint.
type Send struct {
	ID       RequestID
	Endpoint catalog.Endpoint
	Route    *catalog.Route
	Team     fleet.TeamName
	// DeadlineAt is the time at which the caller gets its final answer.
	DeadlineAt time.Duration
	// AttemptTimeout bounds the wait for the first byte; 0 means no bound.
	AttemptTimeout time.Duration
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// Attempt counts from 1.
	Attempt int
	// ExpectedFirstByte is the time until the first byte that the choice assumed, Load
	// what all instances had under way at the endpoint.
	ExpectedFirstByte time.Duration
	Load              Load
	// Version is the configuration that decided.
	Version catalog.Version
}

// Refuse ends a request.
type Refuse struct {
	ID      RequestID
	Refusal *fleet.Refusal
	// Detail gives the inputs of the decision, for the log.
	Detail string
}

// CountStarted counts a request that an endpoint began to run.
type CountStarted struct{ Team fleet.TeamName }

func (Send) action()         {}
func (Refuse) action()       {}
func (CountStarted) action() {}
