package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
)

// When a data centre's endpoints are taken back, or all of them within seconds, the others may have no
// room before replacements have started. The endpoints that leave still run for their notice, and the
// drain bound allows new requests for a while. They get those that no other endpoint can serve in time,
// if their runs can be moved: most streams end within the notice, and the others are moved like those
// that were running before.

const (
	// drainingSample is the number of draining endpoints that a choice considers at random.
	drainingSample = 4
	// minDrainingDivisor is the part of the latency objective that an endpoint must still run, as a
	// divisor, so that a request can at least begin there.
	minDrainingDivisor = 2
)

// chooseUsable returns the endpoint for a request and its estimate. A draining endpoint takes it if no other one
// can or if it would wait too long at the chosen one. overloaded is set if it would wait too long at the
// result, which is nil if there is no endpoint at all.
func (m *Machine) chooseUsable(now time.Duration, o *openRequest) (e *endpoint, est estimate, overloaded bool) {
	e, est = m.chooseEndpoint(now, o)
	if e != nil {
		if overloaded = m.overloaded(now, o, est); !overloaded {
			return e, est, false
		}
	}
	if draining, drainingEst := m.chooseDraining(now, o); draining != nil && !m.overloaded(now, o, drainingEst) {
		return draining, drainingEst, false
	}
	return e, est, overloaded
}

// chooseDraining returns the draining endpoint with the minimum cost of a random sample, or nil. The
// version must have been chosen.
func (m *Machine) chooseDraining(now time.Duration, o *openRequest) (*endpoint, estimate) {
	list := m.draining[o.service]
	if len(list) == 0 || !o.request.HasTokens || o.route.Kind != catalog.KindStream || m.moves(o.service) == nil {
		return nil, estimate{}
	}
	var chosen *endpoint
	var minCost time.Duration
	var chosenEstimate estimate
	view := m.viewEngine(o)
	seed := uint64(o.request.Random * (1 << 53))
	for i := range uint64(drainingSample) {
		e := list[mixHash(seed+i)%uint64(len(list))]
		if !m.mayUseDraining(now, o, e) {
			continue
		}
		est := view.estimate(now, o, e)
		if cost := m.cost(now, o, e, est); chosen == nil || cost < minCost {
			chosen, minCost, chosenEstimate = e, cost, est
		}
	}
	return chosen, chosenEstimate
}

// mayUseDraining reports whether a draining endpoint may get the next attempt of a request: as long as
// the drain bound allows it, counted from when the list was last complete without the drain.
func (m *Machine) mayUseDraining(now time.Duration, o *openRequest, e *endpoint) bool {
	if !m.mayUseIfDraining(now, o, e) || e.notice == nil || now < e.suspectUntil {
		return false
	}
	if m.list.drainBound <= 0 || !m.list.confirmed || now-e.notice.drainsAfter > m.maxLeavingChoice() {
		return false
	}
	return e.leavesAt()-now >= o.route.LatencyObjective/minDrainingDivisor
}

// leavesAt returns when a draining endpoint with a notice is gone: as stated, or at the earliest if it
// has not been asked.
func (e *endpoint) leavesAt() time.Duration {
	if e.evacuated != nil {
		return e.evacuated.leavesAt
	}
	return e.notice.drainsAfter + assumedNotice
}

// setDraining lists the endpoints that leave with a notice and whose runs can be moved.
func (m *Machine) setDraining() {
	clear(m.draining)
	for _, e := range m.endpoints {
		if e.notice != nil {
			m.draining[e.Service] = append(m.draining[e.Service], e)
		}
	}
}

// drainingSendBy bounds the time by which a request must be written to a draining endpoint.
func (m *Machine) drainingSendBy(e *endpoint, sendBy time.Duration) time.Duration {
	if !e.Draining || e.notice == nil {
		return sendBy
	}
	latest := e.notice.drainsAfter + m.list.share(maxSendAgeShare)
	if sendBy == 0 {
		return latest
	}
	return min(sendBy, latest)
}
