package request

import (
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 6

// Machine is one accepted request. Invariants: frames enter the record in
// index order, each index once, and only from the current attempt; after the
// request has ended the record does not change.
type Machine struct {
	id       fleet.RequestID
	accepted time.Duration

	attempt  fleet.AttemptNumber
	endpoint fleet.EndpointID
	running  bool

	frames  []string
	finish  string
	refusal *fleet.Refusal
	ended   bool
	dropped int
}

// New returns the machine of a request that was accepted at monotonic time now.
func New(now time.Duration, id fleet.RequestID) *Machine {
	return &Machine{id: id, accepted: now}
}

// Step applies one message and returns what to do.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	if m.ended {
		return nil
	}
	switch msg := msg.(type) {
	case Granted:
		return m.granted(msg)
	case Refused:
		return m.fail(msg.Refusal)
	case Frame:
		return m.frame(now, msg)
	case AttemptFailed:
		return m.attemptFailed(msg)
	case CallerGone:
		return m.callerGone()
	case Move:
		return m.move(msg)
	}
	return nil
}

// Frames returns the record from the given index on. The result must not be modified.
func (m *Machine) Frames(from int) []string {
	if from >= len(m.frames) {
		return nil
	}
	return m.frames[max(from, 0):]
}

// Ended reports whether the request has ended, with the finish reason of a
// whole answer or the refusal otherwise.
func (m *Machine) Ended() (ended bool, finish string, refusal *fleet.Refusal) {
	return m.ended, m.finish, m.refusal
}

// Dropped is the number of frames that did not match the current attempt.
func (m *Machine) Dropped() int { return m.dropped }

func (m *Machine) granted(g Granted) []Action {
	m.attempt = g.Attempt
	m.endpoint = g.Endpoint.ID
	m.running = true
	return []Action{OpenAttempt{
		Attempt:   g.Attempt,
		Endpoint:  g.Endpoint,
		Resume:    strings.Join(m.frames, ""),
		NextIndex: len(m.frames),
	}}
}

func (m *Machine) frame(now time.Duration, f Frame) []Action {
	if !m.running || f.Request != m.id || f.Attempt != m.attempt || f.Index < len(m.frames) {
		m.dropped++
		return nil
	}
	if f.Index > len(m.frames) {
		// A missing frame means that the answer can't be completed by this attempt.
		m.dropped++
		return m.retry(dispatch.AttemptBroken, true)
	}
	first := len(m.frames) == 0
	m.frames = append(m.frames, f.Text)
	actions := []Action{Publish{}}
	if first {
		actions = append(actions, ReportFirstToken{Attempt: m.attempt, Elapsed: now - m.accepted})
	}
	if f.Finish == "" {
		return actions
	}
	m.finish = f.Finish
	return append(actions, m.end(dispatch.AttemptCompleted)...)
}

func (m *Machine) attemptFailed(f AttemptFailed) []Action {
	if !m.running || f.Attempt != m.attempt {
		return nil
	}
	outcome := dispatch.AttemptBroken
	switch f.Failure {
	case FailureRejected:
		outcome = dispatch.AttemptRejected
	case FailureError:
		outcome = dispatch.AttemptFailed
	}
	if m.attempt >= MaxAttempts {
		m.refusal = &fleet.Refusal{
			Kind:   fleet.RefusedUpstream,
			Run:    fleet.RunUnknown,
			Remedy: "every attempt failed, the last one with: " + f.Detail + "; submit the request again",
		}
		return append(m.end(outcome), Publish{})
	}
	return m.retry(outcome, false)
}

func (m *Machine) retry(outcome dispatch.AttemptOutcome, cancel bool) []Action {
	if !m.running {
		return nil
	}
	m.running = false
	var actions []Action
	if cancel {
		actions = append(actions, CancelAttempt{Attempt: m.attempt})
	}
	return append(actions,
		ReportEnded{Attempt: m.attempt, Outcome: outcome, Generated: len(m.frames)},
		AskRetry{Generated: len(m.frames), Avoid: m.endpoint},
	)
}

func (m *Machine) move(msg Move) []Action {
	if msg.Attempt != m.attempt || msg.Method == reclaim.MethodFinish {
		return nil
	}
	return m.retry(dispatch.AttemptCancelled, true)
}

func (m *Machine) callerGone() []Action {
	var actions []Action
	if m.running {
		actions = append(actions, CancelAttempt{Attempt: m.attempt})
	}
	return append(actions, m.end(dispatch.AttemptCancelled)...)
}

func (m *Machine) fail(r *fleet.Refusal) []Action {
	if len(m.frames) > 0 && r.Run == fleet.RunNotRun {
		// Part of the answer was already delivered, so "not run" would be false.
		partial := *r
		partial.Run = fleet.RunRan
		r = &partial
	}
	m.refusal = r
	m.ended = true
	return []Action{Publish{}}
}

func (m *Machine) end(outcome dispatch.AttemptOutcome) []Action {
	m.ended = true
	m.running = false
	return []Action{ReportEnded{
		Attempt:   m.attempt,
		Outcome:   outcome,
		Generated: len(m.frames),
		Final:     true,
	}}
}
