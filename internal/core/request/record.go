package request

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Record is the state that another router needs to continue a request.
type Record struct {
	Streamed bool
	Frames   []string
	// Finish and Refusal are set if the request has ended.
	Finish  string
	Refusal *fleet.Refusal
	// Attempts is the number of attempts so far, Crashes the number of endpoint
	// crashes during one of them.
	Attempts fleet.AttemptNumber
	Crashes  int
}

// Record returns a copy of the request's record. It is final once the machine
// is frozen or has ended.
func (m *Machine) Record() Record {
	r := Record{
		Streamed: m.streamed,
		Frames:   slices.Clone(m.frames),
		Attempts: m.earlierAttempts + m.attempts,
		Crashes:  m.crashes,
	}
	if m.phase == phaseEnded {
		r.Finish = m.finishReason
		r.Refusal = m.refusal
	}
	return r
}

// Restore returns the machine of a request that another router handed over.
// Unless the request has ended, a grant is pending, and a caller must attach
// within RestoreGrace; the returned actions set that timer.
func Restore(now time.Duration, id fleet.RequestID, r Record) (*Machine, []Action) {
	m := New(now, id, r.Streamed)
	m.callers = 0
	m.restored = true
	m.earlierAttempts = r.Attempts
	m.crashes = r.Crashes
	m.mayHaveRun = r.Attempts > 0
	m.frames = slices.Clone(r.Frames)
	for _, text := range r.Frames {
		m.recordBytes += len(text)
	}
	if r.Finish != "" || r.Refusal != nil {
		m.finishReason = r.Finish
		m.refusal = r.Refusal
		m.phase = phaseEnded
		m.grantPending = false
		return m, nil
	}
	m.reconnectBy = now + RestoreGrace
	return m, []Action{SetTimer{At: m.reconnectBy}}
}

// freeze stops all attempts. The dispatcher keeps the request until the handoff
// succeeds or is refused.
func (m *Machine) freeze() []Action {
	if m.phase == phaseFrozen {
		return nil
	}
	m.phase = phaseFrozen
	if len(m.active) > 0 {
		m.mayHaveRun = true
	}
	return m.cancelOthers(0)
}

func (m *Machine) handedOver() []Action {
	if m.phase == phaseMoved {
		return nil
	}
	wasOpen := m.phase != phaseEnded
	m.phase = phaseMoved
	if wasOpen {
		return []Action{Withdraw{}, Publish{}}
	}
	return []Action{Publish{}}
}

// handoffRefused continues the request where it was frozen.
func (m *Machine) handoffRefused() []Action {
	if m.phase != phaseFrozen {
		return nil
	}
	m.phase = phaseOpen
	m.avoid = ""
	switch {
	case m.grantPending || m.verdictPending:
		return nil
	case m.refusal != nil:
		return m.fail(m.refusal)
	default:
		return []Action{m.requestRetry()}
	}
}
