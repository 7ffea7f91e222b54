package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/turns"
)

// TurnID identifies an ask for a turn, and the turn granted for it, within one process. Each ask has
// its own, so that a late answer to an earlier ask of the same request is recognised.
type TurnID uint64

// TurnsNeeded reports whether calls of a service must ask for turns from now on.
type TurnsNeeded struct {
	Service fleet.ServiceName
	Needed  bool
}

// TurnGranted permits the sending of a call to an endpoint. Place is the number of calls that were
// ahead of it, Expected the wait that was foreseen, 0 if none was stated, Waited the time from the ask
// to the grant.
type TurnGranted struct {
	ID               TurnID
	Endpoint         fleet.EndpointID
	Place            int
	Expected, Waited time.Duration
}

// TurnUnanswered lets a call be sent without a turn, since nobody answers asks.
type TurnUnanswered struct{ ID TurnID }

// TurnDenied refuses a call.
type TurnDenied struct {
	ID         TurnID
	RetryAfter time.Duration
	Reason     string
}

func (TurnsNeeded) message()    {}
func (TurnGranted) message()    {}
func (TurnUnanswered) message() {}
func (TurnDenied) message()     {}

// AskTurn asks for a turn. The result is one of TurnGranted, TurnUnanswered and TurnDenied.
type AskTurn struct {
	ID  TurnID
	Ask turns.Ask
}

// EndTurn ends a turn. Each TurnGranted leads to exactly one.
type EndTurn struct {
	ID      TurnID
	Outcome turns.Outcome
	// Took is the time from the sending of the call to its end, 0 if it was not sent.
	Took time.Duration
}

// AbandonTurn withdraws an ask that has no result yet.
type AbandonTurn struct{ ID TurnID }

func (AskTurn) action()     {}
func (EndTurn) action()     {}
func (AbandonTurn) action() {}

// TurnTaken is what the log states of the turn of an attempt.
type TurnTaken struct {
	ID               TurnID
	Place            int
	Expected, Waited time.Duration
}

// turnRequests are the asks for turns of this instance.
type turnRequests struct {
	needed map[fleet.ServiceName]bool
	// asks are the requests of the asks without a result.
	asks map[TurnID]RequestID
	last TurnID
	// actions are those of the current step.
	actions []Action
	// rejectedAt is when endpoints of a service last rejected a call as full.
	rejectedAt map[fleet.ServiceName]time.Duration
}

func newTurnRequests() turnRequests {
	return turnRequests{
		needed: make(map[fleet.ServiceName]bool), asks: make(map[TurnID]RequestID),
		rejectedAt: make(map[fleet.ServiceName]time.Duration),
	}
}

// turn is the ask of a request, and the turn that was granted for it.
type turn struct {
	id TurnID
	// failure is that of the attempt before, FailureNotSentInTime if there was none.
	failure Failure
	// granted is set once the ask was answered, ended once EndTurn was returned.
	granted, ended bool
	endpoint       fleet.EndpointID
	taken          TurnTaken
}

func (m *Machine) processTurns(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case TurnsNeeded:
		if delete(m.turns.needed, msg.Service); msg.Needed {
			m.turns.needed[msg.Service] = true
		}
	case TurnGranted:
		return m.turnGranted(now, msg)
	case TurnUnanswered:
		return m.turnUnanswered(now, msg)
	case TurnDenied:
		return m.turnDenied(now, msg)
	default:
		return m.processEvacuation(now, msg)
	}
	return nil
}

// takeTurnActions returns the asks and ends of the current step.
func (m *Machine) takeTurnActions() []Action {
	actions := m.turns.actions
	m.turns.actions = nil
	return actions
}

// needsTurn reports whether a request must have a turn for its next attempt. It returns the
// endpoints that must not be granted. A request for which more are excluded than an ask can state,
// or that only endpoints of the last resort can serve, is sent without a turn.
func (m *Machine) needsTurn(now time.Duration, o *openRequest) ([]fleet.EndpointID, bool) {
	if len(m.turns.needed) == 0 || !m.turns.needed[o.service] || o.withoutTurn || o.request.HasTokens || o.route.Kind == catalog.KindStream {
		return nil, false
	}
	var excluded []fleet.EndpointID
	usable := false
	for _, e := range m.byService[o.service] {
		switch {
		case m.mayTakeTurn(now, o, e):
			usable = true
		case !e.Draining:
			excluded = append(excluded, e.ID)
		}
	}
	return excluded, usable && len(excluded) <= turns.MaxExcluded
}

// mayTakeTurn reports whether a turn at an endpoint can be used for the next attempt of a request:
// the endpoint is usable without reservation.
func (m *Machine) mayTakeTurn(now time.Duration, o *openRequest, e *endpoint) bool {
	if _, leaving := m.leavingSince(e); leaving || e.Lapsed || now < e.suspectUntil {
		return false
	}
	return e.Service == o.service && !o.returned[e.ID] && m.mayUse(now, o, e)
}

// sendInTurn sends a request to the endpoint of its turn, or to the chosen one if it needs no turn. It
// asks for a turn and returns nil if the request must wait for one.
func (m *Machine) sendInTurn(now time.Duration, id RequestID, o *openRequest, chosen *endpoint, est estimate, failure Failure) Action {
	if t := o.turn; t != nil {
		if e, ok := m.endpoints[t.endpoint]; ok && m.mayTakeTurn(now, o, e) {
			return m.send(now, id, o, e, estimateCall(e))
		}
		m.dropTurn(o)
		if o.returned == nil {
			o.returned = make(map[fleet.EndpointID]bool)
		}
		o.returned[t.endpoint] = true
	}
	excluded, needed := m.needsTurn(now, o)
	if !needed {
		return m.send(now, id, o, chosen, est)
	}
	m.turns.last++
	o.turn = &turn{id: m.turns.last, failure: failure}
	m.turns.asks[o.turn.id] = id
	m.turns.actions = append(m.turns.actions, AskTurn{ID: o.turn.id, Ask: turns.Ask{
		Service: o.service, Team: teamName(o.team), Priority: requestPriority(o), Fingerprint: o.request.Fingerprint,
		ObjectiveLeft: o.objectiveLeft(now), DeadlineLeft: o.deadlineAt - now, Excluded: excluded,
	}})
	return nil
}

// objectiveLeft returns the time until the end of the latency objective. A route without one has its
// deadline for it.
func (o *openRequest) objectiveLeft(now time.Duration) time.Duration {
	left := o.deadlineAt - now
	if objective := o.route.LatencyObjective; objective > 0 {
		left = min(left, o.arrivedAt+objective-now)
	}
	return left
}

// answered returns the request whose ask got a result, nil if the ask was abandoned.
func (m *Machine) answered(id TurnID) (RequestID, *openRequest) {
	request, ok := m.turns.asks[id]
	if !ok {
		return 0, nil
	}
	delete(m.turns.asks, id)
	return request, m.open[request]
}

// turnGranted sends a request that has waited for a turn, unless it may not be sent any more. All
// that may have changed meanwhile is checked as before a retry.
func (m *Machine) turnGranted(now time.Duration, msg TurnGranted) []Action {
	id, o := m.answered(msg.ID)
	if o == nil {
		m.turns.actions = append(m.turns.actions, EndTurn{ID: msg.ID, Outcome: turns.OutcomeUnused})
		return nil
	}
	o.turn.granted, o.turn.endpoint = true, msg.Endpoint
	o.turn.taken = TurnTaken{ID: msg.ID, Place: msg.Place, Expected: msg.Expected, Waited: msg.Waited}
	if m.waitAsSuspect(now, id, o) {
		return nil
	}
	return m.retryOrRefuse(now, id, o.turn.failure)
}

// waitAsSuspect makes a request wait for the cause of crashes that became known while it waited for a
// turn. It is admitted again afterwards.
func (m *Machine) waitAsSuspect(now time.Duration, id RequestID, o *openRequest) bool {
	if o.sends > 0 || o.mayHaveRun || o.request.waitedAsSuspect || !m.awaitsDecision(now, o.traits) {
		return false
	}
	m.dropTurn(o)
	delete(m.open, id)
	m.refundQuota(now, o)
	request := o.request
	request.Waited = now - o.arrivedAt
	m.waitingSuspects = append(m.waitingSuspects, waitingSuspect{
		arrival: RequestArrived{ID: id, Request: request}, traits: o.traits, since: now,
	})
	return true
}

// turnUnanswered sends a request without a turn.
func (m *Machine) turnUnanswered(now time.Duration, msg TurnUnanswered) []Action {
	id, o := m.answered(msg.ID)
	if o == nil {
		return nil
	}
	failure := o.turn.failure
	o.turn, o.withoutTurn = nil, true
	if m.waitAsSuspect(now, id, o) {
		return nil
	}
	if o.sends == 0 && !o.mayHaveRun && m.list.usable(now) {
		if e, est := m.chooseEndpoint(now, o); e != nil && m.overloaded(now, o, est) {
			return []Action{m.refuseOverload(now, id, o, est)}
		}
	}
	return m.retryOrRefuse(now, id, failure)
}

// turnDenied refuses a request that gets no turn.
func (m *Machine) turnDenied(now time.Duration, msg TurnDenied) []Action {
	id, o := m.answered(msg.ID)
	if o == nil {
		return nil
	}
	delete(m.open, id)
	if o.mayHaveRun {
		return []Action{Refuse{ID: id, Refusal: m.failureRefusal(now, o, o.turn.failure), Detail: "no turn: " + msg.Reason}}
	}
	m.refundQuota(now, o)
	after := msg.RetryAfter
	if after <= 0 {
		after = min(retryAfter, max(o.deadlineAt-now, 0)/3)
	}
	return []Action{Refuse{
		ID: id, Detail: "no turn: " + msg.Reason,
		Refusal: fleet.Refuse(fleet.RefusedOverload, after, "the endpoints have no room; retry"),
	}}
}

// dropTurn gives back what a request that is not sent has: its turn, or its place among those that
// wait.
func (m *Machine) dropTurn(o *openRequest) {
	t := o.turn
	if t == nil {
		return
	}
	o.turn = nil
	if t.granted {
		m.turns.actions = append(m.turns.actions, EndTurn{ID: t.id, Outcome: turns.OutcomeUnused})
		return
	}
	delete(m.turns.asks, t.id)
	m.turns.actions = append(m.turns.actions, AbandonTurn{ID: t.id})
}

// useTurn counts an attempt that is sent. The next one asks for a turn again.
func (o *openRequest) useTurn() {
	o.withoutTurn, o.returned = false, nil
	if o.turn != nil {
		o.endpoint.own.Turns++
	}
}

// releaseTurn ends the turn of an attempt whose answer is complete. The attempt counts until the
// request ends.
func (m *Machine) releaseTurn(now time.Duration, o *openRequest, outcome turns.Outcome) {
	if o.turn == nil || o.turn.ended {
		return
	}
	o.turn.ended = true
	m.turns.actions = append(m.turns.actions, EndTurn{ID: o.turn.id, Outcome: outcome, Took: now - o.sentAt})
}

// endTurn ends the turn of an attempt that ends.
func (m *Machine) endTurn(now time.Duration, o *openRequest, e *endpoint, outcome turns.Outcome) {
	if o.turn == nil {
		return
	}
	m.releaseTurn(now, o, outcome)
	e.own.Turns--
	o.turn = nil
}

// turnOutcome is the outcome of the turn of a failed attempt.
func turnOutcome(f Failure) turns.Outcome {
	switch f {
	case FailureRejected:
		return turns.OutcomeRejected
	case FailureErrorResponse:
		return turns.OutcomeDone
	case FailureNotSentInTime:
		return turns.OutcomeUnused
	case FailureDial, FailureConnectionLost, FailureTimeout:
	}
	return turns.OutcomeLost
}

// noticeRejection records that an endpoint rejected a plain call as full.
func (m *Machine) noticeRejection(now time.Duration, o *openRequest, e *endpoint, f Failure) {
	if f == FailureRejected && !o.request.HasTokens && m.pausedUntil(now, e) == 0 {
		m.turns.rejectedAt[e.Service] = now
	}
}
