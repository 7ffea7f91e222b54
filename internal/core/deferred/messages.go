package deferred

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Message is an input of a scheduler.
type Message interface{ isMessage() }

// Action is an output of a scheduler.
type Action interface{ isAction() }

// Submit asks to accept a job with a new id.
type Submit struct {
	Job  JobID
	Work Work
}

// Record delivers the next record of the deferred stream. Entry is nil if the
// record is malformed.
type Record struct {
	Offset uint64
	At     LogTime
	Entry  Entry
}

// CaughtUp tells that the reader has reached the end of the stream. No job is
// run before, since its result may lie ahead.
type CaughtUp struct{}

// Members replaces the list of live nodes that run jobs.
type Members struct {
	List []fleet.InstanceID
}

// AppendResult tells what happened to an append.
type AppendResult uint8

// Append results.
const (
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

// RunID tells the runs of a scheduler apart.
type RunID uint64

// Texts delivers the next part of a model's answer.
type Texts struct {
	Job   JobID
	Run   RunID
	Texts []string
}

// RunEnded reports the end of a run. Failed tells that the job may be run
// again; the reason is then in Outcome.Detail.
type RunEnded struct {
	Job     JobID
	Run     RunID
	Failed  bool
	Outcome Outcome
}

// Tick lets the scheduler act on deadlines that have passed.
type Tick struct{}

func (Submit) isMessage()   {}
func (Record) isMessage()   {}
func (CaughtUp) isMessage() {}
func (Members) isMessage()  {}
func (Appended) isMessage() {}
func (Texts) isMessage()    {}
func (RunEnded) isMessage() {}
func (Tick) isMessage()     {}

// Append asks to append an entry to the deferred stream.
type Append struct {
	Entry Entry
}

// Start runs a job. A model's answer continues after Texts.
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

// Reply answers a submission: accepted if Refusal is nil.
type Reply struct {
	Job           JobID
	ReadableUntil LogTime
	Refusal       *fleet.Refusal
}

// SetTimer asks for a Tick at the given monotonic time.
type SetTimer struct {
	At time.Duration
}

func (Append) isAction()   {}
func (Start) isAction()    {}
func (Stop) isAction()     {}
func (Reply) isAction()    {}
func (SetTimer) isAction() {}
