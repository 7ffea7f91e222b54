package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/window"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 4 * time.Second
	// outputTime is the engine time of one output token, beside others, tokenTime
	// the time that it occupies a slot. An engine with few slots is busy when
	// these are taken.
	outputTime = 180 * time.Microsecond
	tokenTime  = 7 * time.Millisecond
	// outputShare is the part of the most output tokens that requests use on
	// average.
	outputShare = 0.6
	// rereadShare is the part of the shared prompt tokens that engines read
	// again on average. Demand does not depend on what is cached now, since new
	// endpoints start without it.
	rereadShare = 0.15
)

// patienceByPriority is the expected time until the first token, as a multiple
// of the route's objective, beyond which a request is refused. What is less
// urgent is refused first, so that an overload costs the least valuable work.
var patienceByPriority = [...]float64{1.2, 0.55, 0.4}

// maxPatience bounds the wait that is accepted; callers leave a stream that is
// silent for longer.
const maxPatience = 1800 * time.Millisecond

// patience returns the expected wait up to which the request is admitted.
func (m *Machine) patience(o *open) time.Duration {
	if !o.request.HasTokens {
		return o.giveUpAt
	}
	factor := patienceByPriority[min(max(o.route.Priority, 0), len(patienceByPriority)-1)]
	return min(time.Duration(float64(o.route.LatencyObjective)*factor), maxPatience)
}

// ask counts the engine time that a request asks for.
func (m *Machine) ask(now time.Duration, o *open) {
	if !o.request.HasTokens {
		return
	}
	sum, ok := m.demand[o.service]
	if !ok {
		sum = window.New(demandWindow)
		m.demand[o.service], m.askedSince[o.service] = sum, now
	}
	last := m.lastPart(o)
	read := (float64(last) + rereadShare*float64(max(o.request.PromptTokens-last, 0))) / prefillRate / 1000
	each := max(outputTime, tokenTime/time.Duration(m.slots(o.service)))
	made := float64(o.request.MaxOutputTokens) * outputShare * each.Seconds()
	sum.Add(now, read+made)
}

// slots returns the slots of an endpoint of a service.
func (m *Machine) slots(s fleet.ServiceName) int {
	if list := m.byService[s]; len(list) > 0 {
		return max(list[0].Slots, 1)
	}
	return 1
}
