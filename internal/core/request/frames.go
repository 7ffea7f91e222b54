package request

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// frame accepts a frame only if it belongs to this request and to a running
// attempt, arrived on that attempt's own connection, and continues the record.
func (m *Machine) frame(now time.Duration, f Frame) []Action {
	a, ok := m.active[f.Attempt]
	if !ok || m.phase != phaseOpen || f.Request != m.id || f.Stream != f.Attempt || f.Index < len(m.frames) {
		m.dropped++
		return nil
	}
	if f.Index > len(m.frames) {
		return m.early(a, f)
	}
	actions := m.cancelOthers(f.Attempt)
	for ok && m.phase == phaseOpen {
		actions = append(actions, m.accept(now, f, a)...)
		f, ok = a.ahead[len(m.frames)]
		delete(a.ahead, len(m.frames))
	}
	return actions
}

// early keeps a frame whose predecessors are missing.
func (m *Machine) early(a *attempt, f Frame) []Action {
	if _, duplicate := a.ahead[f.Index]; duplicate {
		m.dropped++
		return nil
	}
	a.ahead[f.Index] = f
	if len(a.ahead) <= MaxAhead {
		return nil
	}
	m.dropped += len(a.ahead)
	m.avoid = a.endpoint.ID
	m.mayHaveRun = true
	m.failures++
	actions := m.endAttempt(f.Attempt, dispatch.AttemptBroken, true)
	switch {
	case len(m.active) > 0:
		return actions
	case m.failures >= MaxAttempts:
		return append(actions, m.exhausted("frames of the answer were missing")...)
	default:
		return append(actions, m.askRetry())
	}
}

// accept appends the frame to the record. A last frame without text only
// carries the finish reason.
func (m *Machine) accept(now time.Duration, f Frame, a *attempt) []Action {
	var actions []Action
	if f.Text != "" || f.Finish == "" {
		actions = m.store(now, f, a)
	}
	if f.Finish != "" {
		m.finish = f.Finish
		return append(actions, m.complete(f.Attempt, a)...)
	}
	if m.bytes > MaxRecordBytes {
		return append(actions, m.fail(&fleet.Refusal{
			Kind: fleet.RefusedUpstream, Run: fleet.RunRan,
			Remedy: "the answer exceeds the largest record of a request; ask for fewer tokens",
		})...)
	}
	return actions
}

func (m *Machine) store(now time.Duration, f Frame, a *attempt) []Action {
	a.taken++
	m.frames = append(m.frames, f.Text)
	m.bytes += len(f.Text)
	previous := m.lastFrame
	m.lastFrame = now
	if len(m.frames) == 1 {
		return []Action{Publish{}, ReportFirstToken{Attempt: f.Attempt - m.earlier, Elapsed: now - m.accepted}}
	}
	if previous == 0 {
		return []Action{Publish{}}
	}
	return []Action{Publish{}, ReportInterval{Elapsed: now - previous}}
}

func (m *Machine) complete(number fleet.AttemptNumber, a *attempt) []Action {
	delete(m.active, number)
	m.phase = phaseEnded
	return []Action{
		ReportEnded{Attempt: number - m.earlier, Outcome: dispatch.AttemptCompleted, Generated: a.base + a.taken, Final: true},
		Publish{},
	}
}
