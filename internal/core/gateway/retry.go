package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// retryRatioShare and retryReserveShare are the shares of the permitted
	// retries that are used. The rest covers instances that have not reported yet.
	retryRatioShare   = 0.8
	retryReserveShare = 0.8
	// maxDialFailures bounds the failed connection attempts of a request.
	maxDialFailures = 4
	// callTimeoutRatio is the share of the remaining time after which an
	// idempotent call without a response is retried at another endpoint.
	callTimeoutRatio = 0.4
	// streamTimeoutFactor is the wait for the first byte after which a resumable
	// stream is retried at another endpoint, as a multiple of its latency
	// objective.
	streamTimeoutFactor = 3
)

// attemptTimeout returns the wait limit for the first byte of an attempt; 0 means
// no limit, because the request must not be retried or has no attempts left.
func (m *Machine) attemptTimeout(now time.Duration, o *openRequest) time.Duration {
	if o.sends >= o.route.MaxAttempts {
		return 0
	}
	left := o.deadlineAt - now
	switch {
	case o.route.Kind == catalog.KindIdempotent:
		return time.Duration(float64(left) * callTimeoutRatio)
	case o.route.Kind == catalog.KindStream && o.route.Resumable:
		return min(max(streamTimeoutFactor*o.route.LatencyObjective, 2*o.estimate.firstByte), left/2)
	default:
		return 0
	}
}

func (m *Machine) attemptFailed(now time.Duration, msg AttemptFailed) []Action {
	o, ok := m.open[msg.ID]
	if !ok || o.endpoint == nil {
		return nil
	}
	e := o.endpoint
	o.dropMove()
	if msg.Failure == FailureTimeout {
		m.observeNoEvent(now, o)
	}
	e.removeRequest(o.estimate.read, o.started)
	m.endTurn(now, o, e, turnOutcome(msg.Failure))
	m.noticeRejection(now, o, e, msg.Failure)
	m.countFailure(now, o, msg.Failure)
	o.endpoint = nil
	m.observeFailure(now, o, e, msg)
	if o.continued != nil {
		return m.continuationFailed(now, o, e, msg)
	}
	switch msg.Failure {
	case FailureDial:
		o.sends--
		o.dialFailures++
	case FailureNotSentInTime:
		o.sends--
		delete(o.tried, e.ID)
	case FailureRejected:
		o.budgetWithdrawn = false
	case FailureConnectionLost, FailureTimeout, FailureErrorResponse:
		o.budgetWithdrawn = false
		o.mayHaveRun = true
	}
	return m.retryOrRefuse(now, msg.ID, msg.Failure)
}

// retryOrRefuse sends an open request to another endpoint after a failed attempt, or
// refuses it if no retry is allowed.
func (m *Machine) retryOrRefuse(now time.Duration, id RequestID, failure Failure) []Action {
	o := m.open[id]
	refusal := m.failureRefusal(now, o, failure)
	if quarantined, _ := m.quarantined(now, o); quarantined != nil {
		if !o.mayHaveRun {
			refusal = quarantined
		}
	} else if m.mayRetry(now, o, failure) {
		if !m.list.usable(now) {
			return m.hold(heldRequest{id: id, failure: failure, heldAt: now})
		}
		if changed := m.resolveAgain(o); changed != nil {
			refusal = changed
		} else if next, est, ok := m.chooseRetry(now, o); ok {
			o.started, o.awaitUntil = false, 0
			if a := m.sendInTurn(now, id, o, next, est, failure); a != nil {
				return []Action{a}
			}
			return nil
		} else if until := m.mayAwait(now, o); until > 0 && !m.hasUsable(o.service) {
			o.awaitUntil = until
			m.awaiting = append(m.awaiting, awaitingRequest{id: id, service: o.service, failure: failure, since: now, until: until})
			return nil
		}
	}
	m.dropTurn(o)
	delete(m.open, id)
	if !o.mayHaveRun {
		m.refundQuota(now, o)
	}
	return []Action{Refuse{ID: id, Refusal: refusal}}
}

// resolveAgain resolves a request that no endpoint has received by the configuration
// that is active now. It returns the refusal if that does not allow the request.
func (m *Machine) resolveAgain(o *openRequest) *fleet.Refusal {
	if o.sends > 0 || o.mayHaveRun {
		return nil
	}
	current, refusal := m.resolve(o.request)
	if refusal != nil {
		return refusal
	}
	o.route, o.team, o.service, o.traits = current.route, current.team, current.service, current.traits
	return nil
}

func (m *Machine) failureRefusal(now time.Duration, o *openRequest, f Failure) *fleet.Refusal {
	if !o.mayHaveRun {
		return fleet.Refuse(fleet.RefusedOverload, m.noEndpointDelay(now, o.service, o.request.Random), "the endpoints did not take the request; retry")
	}
	kind := fleet.RefusedUpstream
	if f == FailureTimeout {
		kind = fleet.RefusedDeadline
	}
	return &fleet.Refusal{Kind: kind, Run: fleet.RunUnknown, Remedy: "the endpoint failed; check the outcome before a repeat"}
}

// mayRetry reports whether deadline, attempts, route and the crashes of endpoints allow a
// retry.
func (m *Machine) mayRetry(now time.Duration, o *openRequest, failure Failure) bool {
	if now >= o.deadlineAt || o.sends >= o.route.MaxAttempts || o.dialFailures >= maxDialFailures {
		return false
	}
	notRun := failure == FailureDial || failure == FailureRejected || failure == FailureNotSentInTime
	return notRun || o.route.Repeatable() && !m.isSuspect(o.suspectTraits(now))
}

// chooseRetry returns the endpoint for a retry. It reports false if there is none or
// the retry budget does not allow one.
func (m *Machine) chooseRetry(now time.Duration, o *openRequest) (*endpoint, estimate, bool) {
	next, est := m.chooseEndpoint(now, o)
	if next == nil {
		next, est = m.chooseDraining(now, o)
	}
	if next == nil {
		return nil, estimate{}, false
	}
	reserve := m.options.RetrySlack * retryReserveShare / float64(m.instances())
	if o.sends > 0 && !o.budgetWithdrawn {
		if !m.budget(o.service).TryWithdraw(now, reserve) {
			return nil, estimate{}, false
		}
		o.budgetWithdrawn = true
	}
	return next, est, true
}

func (m *Machine) budget(s fleet.ServiceName) *budget.Shared {
	b, ok := m.budgets[s]
	if !ok {
		b = budget.NewShared(m.options.RetryRatio*retryRatioShare, m.options.RetryWindow, m.reserveFrom)
		m.budgets[s] = b
	}
	return b
}
