package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/evacuation"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// StreamProgress is the answer to a ReportProgress. Events is the number of events that the caller
// got, 0 if the stream cannot be moved, and EventTime the mean time between two of them at the
// current endpoint, 0 if not known.
type StreamProgress struct {
	ID        RequestID
	Events    int
	EventTime time.Duration
}

// NoticeRead is the result of a ReadNotice. LeavesIn is the time until the endpoint is gone, 0 if it did
// not say so in time.
type NoticeRead struct {
	Endpoint fleet.EndpointID
	Started  int64
	LeavesIn time.Duration
}

// MoveOutcome is how the move of a stream ended.
type MoveOutcome uint8

// Outcomes of a move.
const (
	// MoveCompleted: the run has stopped, and the destination has its memory.
	MoveCompleted MoveOutcome = iota
	// MoveStopped: the run has stopped, and only the source has its memory.
	MoveStopped
	// MoveAbandoned: the run continues at the source.
	MoveAbandoned
)

// String returns the name used in logs and metrics.
func (o MoveOutcome) String() string {
	return [...]string{"completed", "stopped", "abandoned"}[o]
}

// StreamMoved reports the end of a MoveStream. Reason is the last answer of the source, Handle and
// Created are what it said of the run.
type StreamMoved struct {
	ID      RequestID
	Outcome MoveOutcome
	Reason  evacuation.AnswerKind
	Handle  string
	Created int
}

func (NoticeRead) message()     {}
func (StreamProgress) message() {}
func (StreamMoved) message()    {}

// RunCopy names the copy of a moved run, by the address of the endpoint that ran it and the handle
// that the endpoint gave.
type RunCopy struct{ Source, Handle string }

// ReadNotice asks an endpoint at a time when it is gone. By is the time by which the result, a
// NoticeRead, is due.
type ReadNotice struct {
	Endpoint catalog.Endpoint
	At, By   time.Duration
}

// ReportProgress asks how far a stream is, because its endpoint leaves.
type ReportProgress struct{ ID RequestID }

// MoveStream moves the run of a stream to another endpoint. Handle is set if the source has stopped
// the run already. By is the time by which the move must be complete, Tokens the size of the run.
type MoveStream struct {
	ID       RequestID
	From, To catalog.Endpoint
	Handle   string
	By       time.Duration
	Tokens   int
}

// ReclaimNoticed reports for the log that an endpoint with engines that can move runs leaves, after
// the notice, which is assumed if it did not state one, and how many streams of this instance it runs.
type ReclaimNoticed struct {
	Endpoint fleet.EndpointID
	Started  int64
	Notice   time.Duration
	Assumed  bool
	Streams  int
}

// StreamPlanned tells a request's task for the log what happens to a stream of an endpoint that leaves, with the
// inputs of the decision.
type StreamPlanned struct {
	ID       RequestID
	Endpoint fleet.EndpointID
	Option   evacuation.Option
	Stream   evacuation.Stream
	Left     time.Duration
}

func (ReadNotice) action()     {}
func (ReportProgress) action() {}
func (MoveStream) action()     {}
func (ReclaimNoticed) action() {}
func (StreamPlanned) action()  {}
