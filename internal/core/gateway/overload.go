package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/window"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 4 * time.Second
	// decodeTimePerToken is the engine time of one output token, beside others, tokenTime
	// the time that it occupies a slot. An engine with few slots is busy when
	// these are taken.
	decodeTimePerToken = 180 * time.Microsecond
	slotTimePerToken   = 7 * time.Millisecond
	// outputRatio is the part of the most output tokens that requests use on
	// average.
	outputRatio = 0.6
	// cacheMissRatio is the part of the shared prompt tokens that engines read
	// again on average. Demand does not depend on what is cached now, since new
	// endpoints start without it.
	cacheMissRatio = 0.15
)

// maxWaitByPriority is the expected time until the first token, as a multiple
// of the route's objective, beyond which a request is refused. What is less
// urgent is refused first, so that an overload costs the least valuable work.
var maxWaitByPriority = [...]float64{1.2, 0.55, 0.4}

// maxFirstByteWait bounds the wait that is accepted; callers leave a stream that is
// silent for longer.
const maxFirstByteWait = 1800 * time.Millisecond

// maxWait returns the expected wait up to which the request is admitted.
func (m *Machine) maxWait(o *openRequest) time.Duration {
	if !o.request.HasTokens {
		return o.deadlineAt
	}
	factor := maxWaitByPriority[min(max(o.route.Priority, 0), len(maxWaitByPriority)-1)]
	return min(time.Duration(float64(o.route.LatencyObjective)*factor), maxFirstByteWait)
}

// recordDemand counts the engine time that a request asks for.
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

// slots returns the slots of an endpoint of a service.
func (m *Machine) slots(s fleet.ServiceName) int {
	if list := m.byService[s]; len(list) > 0 {
		return max(list[0].Slots, 1)
	}
	return 1
}
