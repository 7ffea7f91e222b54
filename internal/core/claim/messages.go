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

// Start begins the attempt with what the reader knows about the key.
type Start struct {
	// Held tells that Holding is set.
	Held  bool
	State KeyState
	// Expired tells that the key can no longer be claimed.
	Expired bool
}

// AppendResult tells what happened to an append.
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

// ClaimDecided reports that the attempt's own claim was read back. Holding is the
// holder of the key when the verdict is VerdictHeld.
type ClaimDecided struct {
	Verdict Verdict
	State   KeyState
}

// OutcomeRecorded reports that the outcome of the key's holder was read back.
type OutcomeRecorded struct {
	State KeyState
}

// HeldByOther reports that another attempt holds the key while the attempt's own
// claim was not read back.
type HeldByOther struct{}

// HolderReleased reports that the holder of the key released its claim.
type HolderReleased struct{}

// OutcomeRead delivers the outcome that ReadOutcome asked for.
type OutcomeRead struct {
	Outcome Outcome
}

// OutcomeUnreadable reports that the log could not be read.
type OutcomeUnreadable struct{}

// Granted names the endpoint that may be called.
type Granted struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
}

// Refused reports that the dispatcher found no endpoint.
type Refused struct {
	Refusal *fleet.Refusal
}

// CallResult tells how sending ended.
type CallResult uint8

// Call results.
const (
	// CallNotSent: no byte of the request was sent.
	CallNotSent CallResult = iota + 1
	// CallCompleted: a whole response arrived.
	CallCompleted
	// CallUnknown: bytes may have been sent and no whole response arrived.
	CallUnknown
)

// CallEnded reports the end of a Send action.
type CallEnded struct {
	Result   CallResult
	Response Response
	// Detail is the error text for the caller.
	Detail string
}

// Tick lets the attempt act on deadlines that have passed.
type Tick struct{}

func (Start) isMessage()             {}
func (Appended) isMessage()          {}
func (ClaimDecided) isMessage()      {}
func (OutcomeRecorded) isMessage()   {}
func (HeldByOther) isMessage()       {}
func (HolderReleased) isMessage()    {}
func (OutcomeRead) isMessage()       {}
func (OutcomeUnreadable) isMessage() {}
func (Granted) isMessage()           {}
func (Refused) isMessage()           {}
func (CallEnded) isMessage()         {}
func (Tick) isMessage()              {}

// Append asks to append an entry to the claim stream.
type Append struct {
	Entry Entry
}

// RequestEndpoint asks the dispatcher for an endpoint.
type RequestEndpoint struct{}

// RequestOtherEndpoint asks the dispatcher for another endpoint after nothing was sent.
type RequestOtherEndpoint struct {
	Attempt fleet.AttemptNumber
	Avoid   fleet.EndpointID
}

// Send sends the request to the endpoint over a fresh connection. It is
// emitted again only after CallNotSent.
type Send struct {
	Attempt  fleet.AttemptNumber
	Endpoint dispatch.Endpoint
}

// EndCall tells the dispatcher that the call has ended.
type EndCall struct {
	Attempt fleet.AttemptNumber
	Outcome dispatch.AttemptOutcome
}

// ReadOutcome asks for the outcome of the key in the record at Offset.
type ReadOutcome struct {
	Offset uint64
}

// Respond gives the caller the endpoint's response. It or Refuse is emitted once.
type Respond struct {
	Response Response
}

// Refuse gives the caller a refusal.
type Refuse struct {
	Refusal *fleet.Refusal
}

// SetTimer asks for a Tick at the given monotonic time.
type SetTimer struct {
	At time.Duration
}

// Finish tells that the attempt needs no more messages.
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
