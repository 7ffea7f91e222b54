package request

import (
	"maps"
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

func (m *Machine) move(msg Move) []Action {
	number := m.earlierAttempts + msg.Attempt
	a, ok := m.active[number]
	if !ok || msg.Method == reclaim.MethodFinish {
		return nil
	}
	if len(m.active) > 1 {
		return m.endAttempt(number, dispatch.AttemptCancelled, true)
	}
	if msg.Method == reclaim.MethodTransfer {
		if a.exporting {
			return nil
		}
		a.exporting = true
		return []Action{ExportAttempt{Attempt: number, Endpoint: a.endpoint}}
	}
	return m.moveAttempt(number, reclaim.MethodRecompute)
}

func (m *Machine) exported(msg Exported) []Action {
	a, ok := m.active[msg.Attempt]
	if !ok || !a.exporting {
		return nil
	}
	m.importFrom = msg.Source
	if msg.Source == "" {
		return m.moveAttempt(msg.Attempt, reclaim.MethodRecompute)
	}
	return m.moveAttempt(msg.Attempt, reclaim.MethodTransfer)
}

func (m *Machine) moveAttempt(number fleet.AttemptNumber, method reclaim.Method) []Action {
	m.mayHaveRun = true
	m.avoid = m.active[number].endpoint.ID
	actions := m.endAttempt(number, dispatch.AttemptCancelled, true)
	return append(actions, ReportMoved{Method: method}, m.requestRetry())
}

// endAttempt removes a running attempt and reports to the dispatcher that it
// ended, as not final.
func (m *Machine) endAttempt(number fleet.AttemptNumber, outcome dispatch.AttemptOutcome, cancel bool) []Action {
	a := m.active[number]
	delete(m.active, number)
	var actions []Action
	if cancel {
		actions = append(actions, CancelAttempt{Attempt: number})
	}
	return append(actions, ReportEnded{Attempt: number - m.earlierAttempts, Outcome: outcome, Generated: a.baseFrames + a.acceptedFrames})
}

// cancelOthers ends all running attempts except the given one.
func (m *Machine) cancelOthers(keep fleet.AttemptNumber) []Action {
	var actions []Action
	for _, number := range slices.Sorted(maps.Keys(m.active)) {
		if number != keep {
			actions = append(actions, m.endAttempt(number, dispatch.AttemptCancelled, true)...)
		}
	}
	return actions
}
