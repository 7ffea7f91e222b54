// Package request contains the state machine of one accepted request: its
// attempts, the matching of frames to attempts, and the record of received frames
// from which a reconnecting caller is served.
package request

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

// Message is an input of the machine.
type Message interface{ isMessage() }

// Action is an output of the machine, to be performed by the caller of Step.
type Action interface{ isAction() }

// Granted assigns an endpoint to the next attempt.
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

// Frame is one part of a response as an endpoint sent it.
type Frame struct {
	// Stream is the attempt on whose connection the frame arrived. It differs from
	// Attempt if the endpoint sent the frame on the wrong stream.
	Stream fleet.AttemptNumber
	// Request is the request that the frame names.
	Request fleet.RequestID
	// Attempt is the attempt that the frame names.
	Attempt fleet.AttemptNumber
	// Index is the position of the frame in the response, from 0.
	Index int
	Text  string
	// Finish is the finish reason in the last frame, empty in all others.
	Finish string
}

// AttemptFailure is the way in which an attempt failed.
type AttemptFailure uint8

// Attempt failures.
const (
	// FailureBroken: the connection broke before the response was complete, and new
	// connections to the endpoint succeed.
	FailureBroken AttemptFailure = iota + 1
	// FailureTimeout: no byte arrived within the idle timeout.
	FailureTimeout
	// FailureRejected: the endpoint rejected the attempt before running it.
	FailureRejected
	// FailureError: the endpoint responded with an error.
	FailureError
	// FailureCrash: the endpoint process crashed while it ran the attempt.
	FailureCrash
	// FailureUnreachable: no connection could be established, so nothing ran.
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

// AttemptFailed reports that an attempt ended without a complete response.
type AttemptFailed struct {
	Attempt fleet.AttemptNumber
	Failure AttemptFailure
	// Incarnation identifies the endpoint process that ran the attempt; empty if
	// unknown.
	Incarnation string
	// Detail is the error text for the caller when no retry is possible.
	Detail string
}

// StreamEnded reports that an endpoint closed its stream properly. An attempt
// whose last frame has not been accepted by then is incomplete.
type StreamEnded struct {
	Attempt fleet.AttemptNumber
}

// CallerAttached reports that a caller started to read the response.
type CallerAttached struct{}

// CallerDetached reports that a caller disconnected before it had the complete
// response.
type CallerDetached struct{}

// Move requests that an attempt moves to another endpoint by the given method.
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

// CrashVerdict is the reply to ReportCrash.
type CrashVerdict struct {
	// Refusal ends the request. It is nil unless the fingerprint is quarantined.
	Refusal *fleet.Refusal
}

// Freeze stops all attempts, so that the record can be handed over.
type Freeze struct{}

// HandedOver ends a frozen request on this router: another router has the record.
type HandedOver struct{}

// HandoffRefused continues a frozen request on this router: no other router
// accepted the record.
type HandoffRefused struct{}

// Tick reports that a timer has fired.
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
	// Resume is the text that was already received, and NextIndex the index of the
	// first frame that the endpoint must send.
	Resume    string
	NextIndex int
	// ImportFrom is the URL of an exported KV cache; empty for none. An endpoint
	// that can't import it recomputes the cache.
	ImportFrom string
}

// CancelAttempt stops an attempt whose frames are no longer needed.
type CancelAttempt struct {
	Attempt fleet.AttemptNumber
}

// ExportAttempt requests that the endpoint stops an attempt and exports its KV
// cache.
type ExportAttempt struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
}

// ReportCrash reports crash evidence and requests a verdict on whether the request
// is quarantined.
type ReportCrash struct {
	Endpoint    dispatch.Endpoint
	Incarnation string
}

// Retry requests another endpoint from the dispatcher.
type Retry struct {
	Generated int
	Avoid     fleet.EndpointID
	Isolate   bool
}

// ReportEnded notifies the dispatcher that an attempt ended.
type ReportEnded struct {
	Attempt fleet.AttemptNumber
	Outcome dispatch.AttemptOutcome
	// Generated is the length of the record, in frames, up to which this attempt
	// extended it.
	Generated int
	Final     bool
}

// ReportFirstToken notifies the dispatcher that the first token arrived.
type ReportFirstToken struct {
	Attempt fleet.AttemptNumber
	// Elapsed is the time since the request was accepted.
	Elapsed time.Duration
}

// ReportInterval reports the time between two accepted frames.
type ReportInterval struct {
	Elapsed time.Duration
}

// ReportMoved reports that a running attempt was moved.
type ReportMoved struct {
	Method reclaim.Method
}

// Withdraw notifies the dispatcher that the request no longer needs an endpoint.
type Withdraw struct{}

// SetTimer requests a Tick at the given monotonic time.
type SetTimer struct {
	At time.Duration
}

// Publish notifies the attached callers that the record has grown or the request
// has ended.
type Publish struct{}

func (OpenAttempt) isAction()      {}
func (CancelAttempt) isAction()    {}
func (ExportAttempt) isAction()    {}
func (ReportCrash) isAction()      {}
func (Retry) isAction()            {}
func (ReportEnded) isAction()      {}
func (ReportFirstToken) isAction() {}
func (ReportInterval) isAction()   {}
func (ReportMoved) isAction()      {}
func (Withdraw) isAction()         {}
func (SetTimer) isAction()         {}
func (Publish) isAction()          {}
