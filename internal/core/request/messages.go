// Package request contains the state machine of one accepted request: its
// attempts, the matching of frames to attempts, and the record of emitted
// frames from which a reconnecting caller is served.
package request

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

// Message is an input of the machine.
type Message interface{ isMessage() }

// Action is an output of the machine.
type Action interface{ isAction() }

// Granted tells which endpoint runs the next attempt.
type Granted struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
	Hedge    bool
}

// Refused ends the request without an attempt.
type Refused struct {
	Refusal *fleet.Refusal
}

// Frame is one piece of an answer as an endpoint sent it.
type Frame struct {
	// Request is the request that the endpoint says the frame belongs to.
	Request fleet.RequestID
	Attempt fleet.AttemptNumber
	// Index is the position of the frame in the whole answer.
	Index int
	Text  string
	// Finish is the finish reason of the last frame, else empty.
	Finish string
}

// AttemptFailure tells how an attempt failed.
type AttemptFailure uint8

// Attempt failures.
const (
	// FailureBroken: the connection broke before the answer was whole.
	FailureBroken AttemptFailure = iota + 1
	// FailureSilent: no byte arrived within the silence bound.
	FailureSilent
	// FailureRejected: the endpoint refused the attempt before running it.
	FailureRejected
	// FailureError: the endpoint answered with an error.
	FailureError
	// FailureCrash: the endpoint process died while it ran the attempt.
	FailureCrash
)

// AttemptFailed reports the end of an attempt without a whole answer.
type AttemptFailed struct {
	Attempt fleet.AttemptNumber
	Failure AttemptFailure
	// Detail is the error text for the caller when no retry is possible.
	Detail string
}

// CallerGone reports that the caller left before the answer was whole.
type CallerGone struct{}

// Move orders an attempt to be moved to another endpoint by the given method.
type Move struct {
	Attempt fleet.AttemptNumber
	Method  reclaim.Method
}

func (Granted) isMessage()       {}
func (Refused) isMessage()       {}
func (Frame) isMessage()         {}
func (AttemptFailed) isMessage() {}
func (CallerGone) isMessage()    {}
func (Move) isMessage()          {}

// OpenAttempt starts an attempt. The endpoint continues after Resume.
type OpenAttempt struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
	// Resume is the text that was already emitted, and NextIndex the index of
	// the first frame that the endpoint must send.
	Resume    string
	NextIndex int
}

// CancelAttempt stops an attempt whose frames are no longer wanted.
type CancelAttempt struct {
	Attempt fleet.AttemptNumber
}

// AskRetry asks the dispatcher for another endpoint.
type AskRetry struct {
	Generated int
	Avoid     fleet.EndpointID
	Isolate   bool
}

// ReportEnded tells the dispatcher that an attempt ended.
type ReportEnded struct {
	Attempt   fleet.AttemptNumber
	Outcome   dispatch.AttemptOutcome
	Generated int
	Final     bool
}

// ReportFirstToken tells the dispatcher that the first token arrived.
type ReportFirstToken struct {
	Attempt fleet.AttemptNumber
	Elapsed time.Duration
}

// Publish tells that the record has grown or the request has ended.
type Publish struct{}

func (OpenAttempt) isAction()      {}
func (CancelAttempt) isAction()    {}
func (AskRetry) isAction()         {}
func (ReportEnded) isAction()      {}
func (ReportFirstToken) isAction() {}
func (Publish) isAction()          {}
