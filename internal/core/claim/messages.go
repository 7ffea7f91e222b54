package claim

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Message is an input of an attempt.
type Message interface{ isMessage() }

// Action is an output of an attempt.
type Action interface{ isAction() }

// Start begins the attempt with the folded state of the key.
type Start struct {
	// Held reports that the key has a holder, whose state is State.
	Held  bool
	State KeyState
	// Expired reports that the key can no longer be claimed.
	Expired bool
}

// AppendResult is the result of an append.
type AppendResult uint8

// Append results.
const (
	// AppendStored: the entry is in the log.
	AppendStored AppendResult = iota + 1
	// AppendNotDone: the entry is not in the log and will not be.
	AppendNotDone
	// AppendUnknown: the entry may be in the log, now or later.
	AppendUnknown
)

// Appended reports the result of the last Append action.
type Appended struct {
	Entry  Entry
	Result AppendResult
}

// Decided reports that the attempt's own claim was read back. State is
// that of the key's holder if the verdict is VerdictHeld.
type Decided struct {
	Verdict Verdict
	State   KeyState
}

// OutcomeRecorded reports that the outcome of the key's holder was read back.
type OutcomeRecorded struct {
	State KeyState
}

// HeldByOther reports that another attempt's claim on the key was accepted
// before the attempt's own claim was read back.
type HeldByOther struct{}

// HolderReleased reports that the holder of the key released its claim.
type HolderReleased struct{}

// OutcomeRead is the result of ReadOutcome.
type OutcomeRead struct {
	Outcome Outcome
}

// OutcomeUnreadable reports that ReadOutcome failed.
type OutcomeUnreadable struct{}

// Granted is the dispatcher's permission to call an endpoint.
type Granted struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
}

// Refused reports that the dispatcher granted no endpoint.
type Refused struct {
	Refusal *fleet.Refusal
}

// CallResult is the result of a Send action.
type CallResult uint8

// Call results.
const (
	// CallNotSent: no byte of the request was sent.
	CallNotSent CallResult = iota + 1
	// CallCompleted: a complete response arrived.
	CallCompleted
	// CallUnknown: bytes may have been sent and no complete response arrived.
	CallUnknown
)

// CallEnded reports the end of a Send action.
type CallEnded struct {
	Result   CallResult
	Response Response
	// Detail is the error message for the caller.
	Detail string
}

// Tick reports that a timer has fired.
type Tick struct{}

func (Start) isMessage()             {}
func (Appended) isMessage()          {}
func (Decided) isMessage()           {}
func (OutcomeRecorded) isMessage()   {}
func (HeldByOther) isMessage()       {}
func (HolderReleased) isMessage()    {}
func (OutcomeRead) isMessage()       {}
func (OutcomeUnreadable) isMessage() {}
func (Granted) isMessage()           {}
func (Refused) isMessage()           {}
func (CallEnded) isMessage()         {}
func (Tick) isMessage()              {}

// Append requests that an entry is appended to the claim stream.
type Append struct {
	Entry Entry
}

// RequestEndpoint requests an endpoint from the dispatcher.
type RequestEndpoint struct{}

// RequestOtherEndpoint requests another endpoint after CallNotSent. Avoid is
// the endpoint that could not be reached.
type RequestOtherEndpoint struct {
	Attempt fleet.AttemptNumber
	Avoid   fleet.EndpointID
}

// Send sends the request to the endpoint over a new connection. It is emitted
// again only after CallNotSent.
type Send struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
}

// EndCall reports to the dispatcher that the call has ended.
type EndCall struct {
	Attempt fleet.AttemptNumber
	Outcome dispatch.AttemptOutcome
}

// ReadOutcome requests the key's outcome from the record at Offset.
type ReadOutcome struct {
	Offset uint64
}

// Respond sends the caller the endpoint's response. An attempt emits Respond
// or Refuse at most once.
type Respond struct {
	Response Response
}

// Refuse sends the caller a refusal.
type Refuse struct {
	Refusal *fleet.Refusal
}

// SetTimer requests a Tick at the given monotonic time.
type SetTimer struct {
	At time.Duration
}

// Finish reports that the attempt needs no more messages.
type Finish struct{}

func (Append) isAction()               {}
func (RequestEndpoint) isAction()      {}
func (RequestOtherEndpoint) isAction() {}
func (Send) isAction()                 {}
func (EndCall) isAction()              {}
func (ReadOutcome) isAction()          {}
func (Respond) isAction()              {}
func (Refuse) isAction()               {}
func (SetTimer) isAction()             {}
func (Finish) isAction()               {}
