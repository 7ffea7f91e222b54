package gateway

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// All endpoints of a service may be taken back before the first replacement serves, some tenths of a second
// later. Requests that no endpoint can take then wait for one, for as long as they can still be
// in time: refused callers come back too late, and streams that were cut would end there.

const (
	// waitDivisor is the part of the latency objective for which a request without an event waits, as a
	// divisor; the rest is for the engine, which has nothing in its cache.
	waitDivisor = 2
	// replacementMargin is added to the boot time of an endpoint for the way of the order and of its entry.
	replacementMargin = 2 * time.Second
	// maxAwaiting bounds the requests that wait for an endpoint.
	maxAwaiting = 1024
)

// awaitingRequest is a request that waits for the first endpoint of its service.
type awaitingRequest struct {
	id RequestID
	// arrival is the request if it is new, else nil: the endpoint of a retry is chosen.
	arrival *Request
	service fleet.ServiceName
	failure Failure
	since   time.Duration
	until   time.Duration
}

// mayAwait returns until when a request may wait for an endpoint, 0 if it may not: replacements must be
// expected, since reclaimed endpoints of its service left shortly before.
func (m *Machine) mayAwait(now time.Duration, o *openRequest) time.Duration {
	scaling := m.catalog.Services[o.service].Scaling
	if scaling == nil || !o.request.HasTokens || len(m.awaiting) >= maxAwaiting {
		return 0
	}
	at, ok := m.reclaimedAt[o.service]
	if !ok || now-at > scaling.BootTime+replacementMargin {
		return 0
	}
	until := o.arrivedAt + o.route.LatencyObjective/waitDivisor
	if o.everStarted {
		until = now + o.route.PauseLimit
		if o.awaitUntil > 0 {
			until = o.awaitUntil
		}
	}
	until = min(until, o.deadlineAt)
	if until <= now {
		return 0
	}
	return until
}

// releaseAwaiting lets the requests that wait for an endpoint try again. Those whose time is over, or whose
// service has no endpoint still, wait on or are refused.
func (m *Machine) releaseAwaiting(now time.Duration) []Action {
	if len(m.awaiting) == 0 {
		return nil
	}
	waiting := m.awaiting
	m.awaiting = nil
	var actions []Action
	for _, w := range waiting {
		switch {
		case now < w.until && !m.hasUsable(w.service):
			m.awaiting = append(m.awaiting, w)
		case w.arrival != nil:
			request := *w.arrival
			request.Waited += now - w.since
			actions = append(actions, m.requestArrived(now, RequestArrived{ID: w.id, Request: request})...)
		case m.open[w.id] != nil:
			actions = append(actions, m.retryOrRefuse(now, w.id, w.failure)...)
		}
	}
	return actions
}

// hasUsable reports whether a service has an endpoint that does not drain.
func (m *Machine) hasUsable(s fleet.ServiceName) bool {
	return slices.ContainsFunc(m.byService[s], func(e *endpoint) bool { return !e.Draining })
}
