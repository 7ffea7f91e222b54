package deferred

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Message is an input of a scheduler.
type Message interface{ isMessage() }

// Action is an output of a scheduler.
type Action interface{ isAction() }

// Submit requests that a job with a new id is accepted.
type Submit struct {
	Job  JobID
	Work Work
}

// Record is the next record of the deferred stream. Entry is nil if the record
// is malformed.
type Record struct {
	Offset uint64
	At     LogTime
	Entry  Entry
}

// CaughtUp reports that the reader has reached the end of the stream. No job is
// run before, since its result may be in a record that was not read yet.
type CaughtUp struct{}

// Members replaces the list of live nodes that run jobs.
type Members struct {
	List []fleet.InstanceID
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

// Appended reports the result of an Append action.
type Appended struct {
	Entry  Entry
	Result AppendResult
}

// RunID identifies one run within a scheduler.
type RunID uint64

// Texts is the next part of a model's response.
type Texts struct {
	Job   JobID
	Run   RunID
	Texts []string
}

// RunEnded reports the end of a run. If Failed is set, the job may be run
// again; Outcome.Detail is then the reason of the failure.
type RunEnded struct {
	Job     JobID
	Run     RunID
	Failed  bool
	Outcome Outcome
}

// Tick reports that a timer has fired.
type Tick struct{}

func (Submit) isMessage()   {}
func (Record) isMessage()   {}
func (CaughtUp) isMessage() {}
func (Members) isMessage()  {}
func (Appended) isMessage() {}
func (Texts) isMessage()    {}
func (RunEnded) isMessage() {}
func (Tick) isMessage()     {}

// Append requests that an entry is appended to the deferred stream.
type Append struct {
	Entry Entry
}

// Start runs a job. A model's response continues after Texts.
type Start struct {
	Job   JobID
	Run   RunID
	Work  Work
	Texts []string
}

// Stop cancels a run.
type Stop struct {
	Job JobID
	Run RunID
}

// Reply ends a submission. The job was accepted if Refusal is nil.
type Reply struct {
	Job           JobID
	ReadableUntil LogTime
	Refusal       *fleet.Refusal
}

// SetTimer requests a Tick at the given monotonic time.
type SetTimer struct {
	At time.Duration
}

func (Append) isAction()   {}
func (Start) isAction()    {}
func (Stop) isAction()     {}
func (Reply) isAction()    {}
func (SetTimer) isAction() {}
