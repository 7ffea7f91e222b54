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
	// Hedge marks an additional attempt beside a running one.
	Hedge bool
}

// Refused ends the request, or only the pending retry or hedge if another
// attempt still runs.
type Refused struct {
	Refusal *fleet.Refusal
}

// Frame is one piece of an answer as an endpoint sent it.
type Frame struct {
	// Stream is the attempt on whose connection the frame arrived. It differs
	// from Attempt when the endpoint mixed up two streams.
	Stream fleet.AttemptNumber
	// Request is the request that the endpoint says the frame belongs to.
	Request fleet.RequestID
	// Attempt is the attempt that the endpoint says the frame belongs to.
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
	// FailureBroken: the connection broke before the answer was whole, and new
	// connections to the endpoint work.
	FailureBroken AttemptFailure = iota + 1
	// FailureSilent: no byte arrived within the silence bound.
	FailureTimeout
	// FailureRejected: the endpoint refused the attempt before running it.
	FailureRejected
	// FailureError: the endpoint answered with an error.
	FailureError
	// FailureCrash: the endpoint process died while it ran the attempt.
	FailureCrash
	// FailureUnreachable: no connection could be made, so nothing ran.
	FailureUnreachable
)

// String returns the name used in metrics and messages.
func (f AttemptFailure) String() string {
	switch f {
	case FailureBroken:
		return "broken"
	case FailureTimeout:
		return "silent"
	case FailureRejected:
		return "rejected"
	case FailureError:
		return "error"
	case FailureCrash:
		return "crash"
	case FailureUnreachable:
		return "unreachable"
	default:
		return "invalid"
	}
}

// AttemptFailed reports the end of an attempt without a whole answer.
type AttemptFailed struct {
	Attempt fleet.AttemptNumber
	Failure AttemptFailure
	// Incarnation identifies the endpoint process that ran the attempt; empty
	// if it is not known.
	Incarnation string
	// Detail is the error text for the caller when no retry is possible.
	Detail string
}

// StreamEnded reports that an endpoint closed its stream properly. An attempt
// whose last frame has not been accepted by then is incomplete.
type StreamEnded struct {
	Attempt fleet.AttemptNumber
}

// CallerAttached reports that a caller reads the answer.
type CallerAttached struct{}

// CallerGone reports that a caller left before the answer was whole.
type CallerDetached struct{}

// Move orders an attempt to be moved to another endpoint by the given method.
type Move struct {
	Attempt fleet.AttemptNumber
	Method  reclaim.Method
}

// Exported reports that an endpoint stopped an attempt and exported its KV
// cache. An empty Source means that the export failed.
type Exported struct {
	Attempt fleet.AttemptNumber
	// Source is the URL from which the successor imports the KV cache.
	Source string
}

// CrashJudged answers JudgeCrash.
type CrashVerdict struct {
	// Refusal ends the request if its fingerprint is quarantined; otherwise nil.
	Refusal *fleet.Refusal
}

// Freeze stops all attempts, so that the record can be handed over.
type Freeze struct{}

// HandedOver ends a frozen request on this router: another one holds the record.
type HandedOver struct{}

// HandoffRefused continues a frozen request on this router.
type HandoffRefused struct{}

// Tick lets the machine act on deadlines that have passed.
type Tick struct{}

func (Granted) isMessage()        {}
func (Refused) isMessage()        {}
func (Frame) isMessage()          {}
func (AttemptFailed) isMessage()  {}
func (StreamEnded) isMessage()    {}
func (CallerAttached) isMessage() {}
func (CallerDetached) isMessage() {}
func (Move) isMessage()           {}
func (Exported) isMessage()       {}
func (CrashVerdict) isMessage()   {}
func (Freeze) isMessage()         {}
func (HandedOver) isMessage()     {}
func (HandoffRefused) isMessage() {}
func (Tick) isMessage()           {}

// OpenAttempt starts an attempt. The endpoint continues after Resume.
type OpenAttempt struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
	// Resume is the text that was already emitted, and NextIndex the index of
	// the first frame that the endpoint must send.
	Resume    string
	NextIndex int
	// ImportFrom is the URL of an exported KV cache; empty for none. An
	// endpoint that can't import it recomputes.
	ImportFrom string
}

// CancelAttempt stops an attempt whose frames are no longer wanted.
type CancelAttempt struct {
	Attempt fleet.AttemptNumber
}

// ExportAttempt asks the endpoint to stop an attempt and export its KV cache.
type ExportAttempt struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
}

// JudgeCrash reports crash evidence and asks for a verdict on the request.
type ReportCrash struct {
	Endpoint    dispatch.Endpoint
	Incarnation string
}

// AskRetry asks the dispatcher for another endpoint.
type RequestRetry struct {
	Generated int
	Avoid     fleet.EndpointID
	Isolate   bool
}

// ReportEnded tells the dispatcher that an attempt ended.
type ReportEnded struct {
	Attempt fleet.AttemptNumber
	Outcome dispatch.AttemptOutcome
	// Generated is the length of the answer, as far as this attempt continued it.
	Generated int
	Final     bool
}

// ReportFirstToken tells the dispatcher that the first token arrived.
type ReportFirstToken struct {
	Attempt fleet.AttemptNumber
	// Elapsed is the time since the request was accepted.
	Elapsed time.Duration
}

// ReportInterval tells the time between two accepted frames.
type ReportInterval struct {
	Elapsed time.Duration
}

// ReportMoved tells that a running attempt was moved.
type ReportMoved struct {
	Method reclaim.Method
}

// Withdraw tells the dispatcher that the request needs no endpoint any more.
type Withdraw struct{}

// Wake asks for a Tick at the given monotonic time.
type SetTimer struct {
	At time.Duration
}

// Publish tells that the record has grown or the request has ended.
type Publish struct{}

func (OpenAttempt) isAction()      {}
func (CancelAttempt) isAction()    {}
func (ExportAttempt) isAction()    {}
func (ReportCrash) isAction()      {}
func (RequestRetry) isAction()     {}
func (ReportEnded) isAction()      {}
func (ReportFirstToken) isAction() {}
func (ReportInterval) isAction()   {}
func (ReportMoved) isAction()      {}
func (Withdraw) isAction()         {}
func (SetTimer) isAction()         {}
func (Publish) isAction()          {}
