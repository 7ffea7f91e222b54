package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/window"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 4 * time.Second

// maxWaitByPriority is the expected delay by other requests beyond which a request is refused, as
// a multiple of what the route's latency objective leaves at an idle endpoint, by the route's
// priority. Less urgent requests have a lower limit, so that an overload sheds them first.
var maxWaitByPriority = [...]float64{1.2, 0.55, 0.4}

const (
	// minPatience, patienceObjectives and patiencePauses describe callers, who abandon a stream
	// without an event for the longest of a minimum time, a multiple of the latency objective and
	// a multiple of the pause limit.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
)

// minSlackDivisor is the part of the latency objective that counts as left where an idle endpoint
// takes longer.
const minSlackDivisor = 2

// patience returns the time after which callers abandon a stream without an event.
func patience(r *catalog.Route) time.Duration {
	return max(minPatience, patienceObjectives*r.LatencyObjective, patiencePauses*r.PauseLimit)
}

// overloaded reports whether a request is refused because of what the chosen endpoint has to do
// before. An endpoint without other work may be tried however slow it seems, since no request would
// correct the estimate otherwise, unless the caller would have left.
func (m *Machine) overloaded(now time.Duration, o *openRequest, est estimate) bool {
	if !o.request.HasTokens {
		return est.wait > 0 && est.callTime > o.deadlineAt-now
	}
	if est.firstByte > min(patience(o.route), o.deadlineAt-now) {
		return true
	}
	objective := o.route.LatencyObjective
	if objective <= 0 || est.wait <= 0 {
		return false
	}
	slack := max(objective-(est.firstByte-est.wait), objective/minSlackDivisor)
	factor := maxWaitByPriority[min(max(o.route.Priority, 0), len(maxWaitByPriority)-1)]
	return est.firstByte > objective || est.wait > time.Duration(float64(slack)*factor)
}

// recordDemand adds the engine time that a request needs to the service's demand.
func (m *Machine) recordDemand(now time.Duration, o *openRequest) {
	if !o.request.HasTokens {
		return
	}
	sum, ok := m.demand[o.service]
	if !ok {
		sum = window.New(demandWindow)
		m.demand[o.service], m.demandSince[o.service] = sum, now
	}
	last := m.lastPartTokens(o)
	cost := m.model.EngineTime(enginemodel.Work{
		Service: o.service, Route: o.route.Name, Unshared: last, Shared: max(o.request.PromptTokens-last, 0),
		MaxOutput: o.request.MaxOutputTokens,
	}, m.usableSlots(o.service))
	sum.Add(now, cost.Seconds())
}

// usableSlots returns the number of requests that an engine of a service runs at once.
func (m *Machine) usableSlots(s fleet.ServiceName) int {
	slots, capacity := 1, 0
	if list := m.byService[s]; len(list) > 0 {
		slots = list[0].Slots
	}
	if engine := m.catalog.Services[s].Engine; engine != nil {
		capacity = engine.CapacityTokens
		if engine.Slots > 0 {
			slots = engine.Slots
		}
	}
	return m.model.Speeds(s).UsableSlots(slots, capacity)
}
