package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// estimate is the expected time until the first byte of a response.
type estimate struct {
	firstByte time.Duration
	// wait is the part of it that is due to other requests at the endpoint.
	wait time.Duration
	// callTime is the expected time of a plain call. firstByte, which ranks endpoints, counts waits
	// for other requests twice.
	callTime time.Duration
	// affinity is the additional cost of an endpoint that others don't prefer for the session.
	affinity time.Duration
	// read is the number of prompt tokens that an engine is expected to read: the certain ones,
	// which are not cached, and some of the doubtful ones, which other instances may have caused
	// to be cached.
	read, certain, doubtful int
	// backlog is the number of tokens that it is expected to read before.
	backlog int
	// jitter is the maximum random cost, which makes instances with the same
	// load information choose different endpoints.
	jitter time.Duration
}

// describe returns the inputs of a refusal for the log.
func (est estimate) describe() string {
	return fmt.Sprintf("expected %d ms, of these %d ms for %d tokens of other requests, %d tokens to read",
		est.firstByte.Milliseconds(), est.wait.Milliseconds(), est.backlog, est.read)
}

// chooseEndpoint returns the endpoint with the minimum cost and its estimate,
// or nil. The cost is the expected time until the first byte plus penalties.
// Suspect and lapsed endpoints are used only if there is no other.
func (m *Machine) chooseEndpoint(now time.Duration, o *openRequest) (*endpoint, estimate) {
	m.chooseVersion(now, o)
	if o.request.HasTokens {
		return m.chooseEngine(now, o)
	}
	var chosen *endpoint
	var minCost time.Duration
	var chosenEstimate estimate
	for e := range m.candidates(now, o) {
		est := estimateCall(e)
		cost := m.cost(now, o, e, est)
		if chosen == nil || cost < minCost {
			chosen, minCost, chosenEstimate = e, cost, est
		}
	}
	return chosen, chosenEstimate
}

// cost returns the cost of an endpoint: its estimate plus penalties.
func (m *Machine) cost(now time.Duration, o *openRequest, e *endpoint, est estimate) time.Duration {
	cost := est.firstByte + est.affinity + time.Duration(e.failureRate*float64(failureCost))
	cost += time.Duration(float64(est.jitter) * jitterFactor(o.request.Random, e))
	if e.DataCentre != m.options.DataCentre {
		cost += m.remoteCost(o)
	}
	if e.Lapsed {
		cost += lapsedCost
	}
	if now < e.suspectUntil {
		cost += suspectCost
	}
	if _, leaving := m.leavingSince(e); leaving {
		cost += leavingCost
	}
	return cost
}

// estimateCall estimates the time until the first byte of the response to a plain call.
func estimateCall(e *endpoint) estimate {
	factor := e.waitFactor(e.load().Active)
	return estimate{
		firstByte: time.Duration(float64(e.callTime) * factor), jitter: callJitter,
		callTime: time.Duration(float64(e.idleCallTime) * factor), wait: time.Duration(float64(e.idleCallTime) * (factor - 1)),
	}
}

// remoteCost returns the additional cost of an endpoint in another data centre.
func (m *Machine) remoteCost(o *openRequest) time.Duration {
	if !o.request.HasTokens {
		return remoteCallCost
	}
	return remoteDelay + time.Duration(o.request.MaxOutputTokens)*remoteTokenCost
}

// jitterFactor returns a number in [0, 1) that differs by request and endpoint.
// Without jitter all instances would choose the same endpoint until they receive
// each other's load reports.
func jitterFactor(random float64, e *endpoint) float64 {
	return float64(mixHash(e.hash^math.Float64bits(random))>>11) / (1 << 53)
}

// suspectCost ranks suspect endpoints (recently unreachable or unresponsive)
// behind the others, lapsedCost endpoints with a lapsed entry behind these.
const (
	suspectCost = time.Hour
	lapsedCost  = 2 * time.Hour
)

// lastPartTokens returns the number of tokens in the last part of the prompt,
// which other requests rarely share.
func (m *Machine) lastPartTokens(o *openRequest) int {
	if n := len(o.request.Parts); n > 0 {
		return o.request.Parts[n-1].Tokens
	}
	return o.request.PromptTokens
}

// sharedParts returns the parts that other requests may share: all but the last,
// which is specific to the request.
func sharedParts(parts []fleet.PromptPart) []fleet.PromptPart {
	return parts[:max(len(parts)-1, 0)]
}

// mixHash mixes the bits of a hash (the finalizer of SplitMix64).
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
