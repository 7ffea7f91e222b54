package gateway

import (
	"math"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// wait is the expected time until the first byte of an answer.
type wait struct {
	expected time.Duration
	// queued is the part that depends on the endpoint's work.
	queued time.Duration
	// spread is the largest random cost that spreads the choices of instances
	// which know the same loads.
	spread time.Duration
}

// choose returns the endpoint with the least expected time until the first
// byte, and that time. It avoids endpoints that were tried, leave or cannot be
// reached; suspects are used only if nothing else is left.
func (m *Machine) choose(now time.Duration, o *open) (*endpoint, wait) {
	var best *endpoint
	var bestCost time.Duration
	var bestWait wait
	home := m.home(o)
	for _, e := range m.byService[o.service] {
		if e.Draining || o.tried[e.ID] {
			continue
		}
		w := m.expected(now, o, e, e == home)
		cost := w.expected + time.Duration(e.failing*float64(failureCost))
		cost += time.Duration(float64(w.spread) * spread(o.request.Random, e))
		if e.DataCentre != m.options.DataCentre {
			cost += m.remoteCost(o)
		}
		if e.Lapsed {
			cost += lapsedCost
		}
		if now < e.suspectUntil {
			cost += suspectCost
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestWait = e, cost, w
		}
	}
	return best, bestWait
}

// remoteCost returns what an endpoint in another data centre costs a request.
func (m *Machine) remoteCost(o *open) time.Duration {
	if !o.request.HasTokens {
		return remoteCallCost
	}
	return remoteDelay + time.Duration(o.request.MaxOutputTokens)*remoteTokenCost
}

// spread returns a number from 0 up to 1 that differs by request and endpoint.
// Without it all instances would choose the same endpoint until they hear of
// each other's choices.
func spread(pick float64, e *endpoint) float64 {
	return float64(mix(e.hash^math.Float64bits(pick))>>11) / (1 << 53)
}

// suspectCost ranks every suspect behind every other endpoint, lapsedCost every
// endpoint whose entry lapsed behind the suspects.
const (
	suspectCost = time.Hour
	lapsedCost  = 2 * time.Hour
)

// expected returns the time until the first byte of the answer.
func (m *Machine) expected(now time.Duration, o *open, e *endpoint, home bool) wait {
	load := e.load()
	slots := max(e.Slots, 1)
	if !o.request.HasTokens {
		return wait{
			expected: time.Duration(float64(e.callTime) * (1 + float64(load.Active)/float64(slots))), spread: callSpread,
		}
	}
	engine := m.engine(o)
	if engine != nil {
		e.trim(now, engine.CapacityTokens)
	}
	unread := e.unread(now, o.request)
	if home {
		unread = min(unread, m.lastPart(o))
	}
	reading := time.Duration(float64(load.Backlog+unread) / prefillRate * float64(time.Millisecond))
	beside := time.Duration(min(load.Active, slots)) * decodeDelay
	waiting := time.Duration(max(load.Active-slots, 0)) * queueDelay
	queued := reading + beside + waiting
	work := time.Duration(float64(queued) * e.slowness)
	return wait{
		expected: m.idleFirstByte(o.service) + work, queued: queued,
		spread: streamSpread + time.Duration(float64(work)*workSpread),
	}
}

// idleFirstByte returns the time until the first byte of an idle engine.
func (m *Machine) idleFirstByte(s fleet.ServiceName) time.Duration {
	if learned, ok := m.firstByte[s]; ok {
		return learned
	}
	return firstByte
}

// learnFirstByte learns from a request that an idle engine began to answer. The
// events of a stream hold several tokens, and engines take a fixed time besides.
func (m *Machine) learnFirstByte(now time.Duration, o *open) {
	if !o.request.HasTokens || o.queued > idleQueued {
		return
	}
	known := m.idleFirstByte(o.service)
	took := max(now-o.sentAt-o.queued, 0)
	m.firstByte[o.service] = known + time.Duration(firstByteSmoothing*float64(min(took, 2*known)-known))
}

// queueDelay is what each request that waits for a slot adds.
const queueDelay = 20 * time.Millisecond

func (m *Machine) engine(o *open) *catalog.Engine {
	return m.catalog.Services[o.service].Engine
}

// lastPart returns the tokens of the prompt's last part, which other requests
// rarely share.
func (m *Machine) lastPart(o *open) int {
	if n := len(o.request.Parts); n > 0 {
		return o.request.Parts[n-1].Tokens
	}
	return o.request.PromptTokens
}

// home returns the endpoint that the instances prefer for a session without
// talking to each other: the highest hash of endpoint and session.
func (m *Machine) home(o *open) *endpoint {
	shared := sharedParts(o.request.Parts)
	if len(shared) == 0 {
		return nil
	}
	session := shared[len(shared)-1].ID
	var best *endpoint
	var bestHash uint64
	for _, e := range m.byService[o.service] {
		if e.Draining {
			continue
		}
		hash := mix(e.hash ^ session*0x9e3779b97f4a7c15)
		if best == nil || hash > bestHash {
			best, bestHash = e, hash
		}
	}
	return best
}

// sharedParts returns the parts that other requests may share: all but the
// last, which belongs to the request.
func sharedParts(parts []fleet.PromptPart) []fleet.PromptPart {
	return parts[:max(len(parts)-1, 0)]
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
