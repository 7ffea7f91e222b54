package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/window"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 4 * time.Second
	// decodeTimePerToken is the engine time of one output token in a batch,
	// slotTimePerToken the time that it occupies a slot. An engine with few slots
	// is limited by the latter.
	decodeTimePerToken = 180 * time.Microsecond
	slotTimePerToken   = 7 * time.Millisecond
	// outputRatio is the average number of output tokens of a request relative to
	// its maximum.
	outputRatio = 0.6
	// cacheMissRatio is the average share of the shared prompt tokens that need
	// prefill. Demand is computed without the actual state of the caches, since
	// new endpoints start with empty ones.
	cacheMissRatio = 0.15
)

// maxWaitByPriority is the expected time until the first token beyond which a
// request is refused, as a multiple of the route's latency objective, by the
// route's priority. Less urgent requests have a lower limit, so that an overload
// sheds them first.
var maxWaitByPriority = [...]float64{1.2, 0.55, 0.4}

// maxFirstByteWait bounds the expected time until the first byte; callers abandon
// streams that take longer.
const maxFirstByteWait = 1800 * time.Millisecond

// maxWait returns the expected time until the first byte up to which a request is
// admitted.
func (m *Machine) maxWait(o *openRequest) time.Duration {
	if !o.request.HasTokens {
		return o.deadlineAt
	}
	factor := maxWaitByPriority[min(max(o.route.Priority, 0), len(maxWaitByPriority)-1)]
	return min(time.Duration(float64(o.route.LatencyObjective)*factor), maxFirstByteWait)
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
	prefill := (float64(last) + cacheMissRatio*float64(max(o.request.PromptTokens-last, 0))) / prefillTokensPerMillisecond / 1000
	perToken := max(decodeTimePerToken, slotTimePerToken/time.Duration(m.slots(o.service)))
	decode := float64(o.request.MaxOutputTokens) * outputRatio * perToken.Seconds()
	sum.Add(now, prefill+decode)
}

// slots returns the number of slots of one endpoint of a service.
func (m *Machine) slots(s fleet.ServiceName) int {
	if list := m.byService[s]; len(list) > 0 {
		return max(list[0].Slots, 1)
	}
	return 1
}
