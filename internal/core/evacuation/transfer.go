package evacuation

import "time"

// AnswerKind is how an endpoint answered a call that copies a run.
type AnswerKind uint8

// Kinds of answers.
const (
	// AnswerCopied: the copy is complete.
	AnswerCopied AnswerKind = iota + 1
	// AnswerUnknownRun: the endpoint has no such run.
	AnswerUnknownRun
	// AnswerBusy: another call for the run is in progress.
	AnswerBusy
	// AnswerNoRoom: the destination has no room or cannot be reached. After a call that stops
	// the run, a handle shows that the source has stopped it and keeps its memory.
	AnswerNoRoom
	// AnswerLost: no answer arrived, or none that follows the protocol.
	AnswerLost
	// AnswerNotSent: the call did not reach the endpoint.
	AnswerNotSent
)

// String returns the name used in logs and metrics.
func (k AnswerKind) String() string {
	return [...]string{"none", "copied", "unknown-run", "busy", "no-room", "lost", "not-sent"}[k]
}

// Answer is the answer to a call that copies a run. Created is the number of events that the run
// had generated.
type Answer struct {
	Kind    AnswerKind
	Handle  string
	Created int
}

// RetryDelay is the wait before a call is repeated because another one for the run is in progress.
// It covers the copy of a long request over a link that others use too.
const RetryDelay = 100 * time.Millisecond

// Step is what the owner of a Transfer does next.
type Step uint8

// Steps.
const (
	// StepNone: wait for the next input.
	StepNone Step = iota
	// StepCopy: call the source to copy the run while it continues.
	StepCopy
	// StepStop: call the source to stop the run and copy the rest.
	StepStop
	// StepPause: wait for RetryDelay, then call Resume.
	StepPause
	// StepMoved: the run has stopped, and the destination has the copy.
	StepMoved
	// StepStopped: the run has stopped, and only the source has its memory.
	StepStopped
	// StepAbandon: the run continues at the source as if nothing had happened.
	StepAbandon
	// StepBroken: the stream has failed and cannot be continued with a copy.
	StepBroken
)

// Transfer is the move of one run to one destination: a copy while the run continues, then a
// second one of the rest, for which the run stops. A destination without room thus costs the run
// nothing, and the pause of the stream does not depend on the size of the run. Its owner passes
// in the answers to its calls and the close of the stream; a stream that ends as complete ends
// the transfer.
type Transfer struct {
	handle  string
	created int
	// stopping is set once a call that stops the run may have reached the source.
	stopping bool
	// stopped is set if the run had stopped before the transfer began.
	stopped bool
	closed  bool
	retried bool
	// calling is set while a call is in progress, pausing between a call and its repetition.
	calling, pausing bool
	reason           AnswerKind
}

// NewTransfer returns the transfer of a run that continues.
func NewTransfer() (*Transfer, Step) {
	return &Transfer{calling: true}, StepCopy
}

// NewStoppedTransfer returns the transfer of a run that its source has stopped already and for
// which it gave a handle.
func NewStoppedTransfer(handle string) (*Transfer, Step) {
	return &Transfer{handle: handle, stopping: true, stopped: true, closed: true, calling: true}, StepStop
}

// Handle returns the handle of the copy, "" if there is none.
func (t *Transfer) Handle() string { return t.handle }

// Created returns the number of events that the run had generated at the last copy.
func (t *Transfer) Created() int { return t.created }

// Reason returns the last answer.
func (t *Transfer) Reason() AnswerKind { return t.reason }

// ExpectsClose reports whether the source closes the stream because of the transfer.
func (t *Transfer) ExpectsClose() bool { return t.stopping }

// Answered processes the answer to the call in progress.
func (t *Transfer) Answered(a Answer) Step {
	t.calling, t.reason = false, a.Kind
	if a.Handle != "" {
		t.handle, t.created = a.Handle, a.Created
	}
	if a.Kind == AnswerBusy && !t.retried {
		t.retried, t.pausing = true, true
		return StepPause
	}
	if !t.stopping {
		if a.Kind != AnswerCopied {
			return StepAbandon
		}
		t.stopping, t.calling, t.retried = true, true, false
		return StepStop
	}
	return t.stopAnswered(a)
}

// stopAnswered processes the answer to a call that stops the run.
func (t *Transfer) stopAnswered(a Answer) Step {
	switch {
	case a.Kind == AnswerCopied:
		return StepMoved
	case a.Kind == AnswerNoRoom && a.Handle != "", a.Kind == AnswerNotSent && t.stopped:
		return StepStopped
	case a.Kind == AnswerNotSent && !t.closed:
		t.stopping = false
		return StepAbandon
	case a.Kind == AnswerUnknownRun:
		if t.closed {
			return StepBroken
		}
		t.stopping = false
		return StepAbandon
	}
	// Whether the run has stopped is shown by its stream only.
	if t.closed {
		return t.continueClosed()
	}
	return StepNone
}

// Resume ends the pause after StepPause.
func (t *Transfer) Resume() Step {
	t.calling, t.pausing = true, false
	if t.stopping {
		return StepStop
	}
	return StepCopy
}

// CallTime returns the time limit of the call in progress, with some time left for the move. The
// first copy gets half of it, so that another destination can be tried after a call that hangs.
func (t *Transfer) CallTime(left time.Duration) time.Duration {
	if t.stopping {
		return left
	}
	return left / 2
}

// StreamClosed processes the close of the stream without its end.
func (t *Transfer) StreamClosed() Step {
	t.closed = true
	switch {
	case !t.stopping:
		return StepBroken
	case t.calling || t.pausing:
		return StepNone
	default:
		return t.continueClosed()
	}
}

// TimeOver ends the call in progress, if there is one: the endpoint is about to be gone.
func (t *Transfer) TimeOver() Step {
	if !t.calling {
		return StepNone
	}
	return t.Answered(Answer{Kind: AnswerLost})
}

// continueClosed continues a run whose stream was closed after a call to stop it. The first copy
// gave a handle; if the copy was not completed, its use is refused and nothing runs.
func (t *Transfer) continueClosed() Step {
	if t.handle == "" {
		return StepBroken
	}
	return StepMoved
}
