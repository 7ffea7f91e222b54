package request

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// handleFrame accepts a frame only if it belongs to this request and to a running
// attempt, arrived on that attempt's own connection, and extends the record.
func (m *Machine) handleFrame(now time.Duration, f Frame) []Action {
	a, ok := m.active[f.Attempt]
	if !ok || m.phase != phaseOpen || f.Request != m.id || f.Stream != f.Attempt || f.Index < len(m.frames) {
		m.droppedFrames++
		return nil
	}
	if f.Index > len(m.frames) {
		return m.bufferFrame(a, f)
	}
	actions := m.cancelOthers(f.Attempt)
	for ok && m.phase == phaseOpen {
		actions = append(actions, m.acceptFrame(now, f, a)...)
		f, ok = a.buffered[len(m.frames)]
		delete(a.buffered, len(m.frames))
	}
	return actions
}

// bufferFrame buffers a frame that arrived before its predecessors. The attempt
// fails if too many frames wait for a missing one.
func (m *Machine) bufferFrame(a *attempt, f Frame) []Action {
	if _, duplicate := a.buffered[f.Index]; duplicate {
		m.droppedFrames++
		return nil
	}
	a.buffered[f.Index] = f
	if len(a.buffered) <= MaxBufferedFrames {
		return nil
	}
	m.droppedFrames += len(a.buffered)
	m.avoid = a.endpoint.ID
	m.mayHaveRun = true
	m.failures++
	actions := m.endAttempt(f.Attempt, dispatch.AttemptBroken, true)
	switch {
	case len(m.active) > 0:
		return actions
	case m.failures >= MaxAttempts:
		return append(actions, m.attemptsExhausted("frames of the answer were missing")...)
	default:
		return append(actions, m.requestRetry())
	}
}

// acceptFrame applies the next frame to the record. A last frame without text
// only carries the finish reason.
func (m *Machine) acceptFrame(now time.Duration, f Frame, a *attempt) []Action {
	var actions []Action
	if f.Text != "" || f.Finish == "" {
		actions = m.appendFrame(now, f, a)
	}
	if f.Finish != "" {
		m.finishReason = f.Finish
		return append(actions, m.complete(f.Attempt, a)...)
	}
	if m.recordBytes > MaxRecordBytes {
		return append(actions, m.fail(&fleet.Refusal{
			Kind: fleet.RefusedUpstream, Run: fleet.RunRan,
			Remedy: "the answer exceeds the largest record of a request; ask for fewer tokens",
		})...)
	}
	return actions
}

func (m *Machine) appendFrame(now time.Duration, f Frame, a *attempt) []Action {
	a.acceptedFrames++
	m.frames = append(m.frames, f.Text)
	m.recordBytes += len(f.Text)
	previous := m.lastFrameAt
	m.lastFrameAt = now
	if len(m.frames) == 1 {
		return []Action{Publish{}, ReportFirstToken{Attempt: f.Attempt - m.earlierAttempts, Elapsed: now - m.acceptedAt}}
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
		ReportEnded{Attempt: number - m.earlierAttempts, Outcome: dispatch.AttemptCompleted, Generated: a.baseFrames + a.acceptedFrames, Final: true},
		Publish{},
	}
}
