package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// prefillTokensPerMillisecond is the prompt tokens that an engine reads in a millisecond,
	// assumed until its speed is learned.
	prefillTokensPerMillisecond = 90.0
	// decodeTimePerRequest is what each request that runs beside adds to the first
	// token of another.
	decodeTimePerRequest = 600 * time.Microsecond
	// initialCallTime is the time of a plain call that is assumed at first.
	initialCallTime = 20 * time.Millisecond
	// remoteDelay is the cost of another data centre: a round trip and the
	// price of its bytes.
	remoteDelay = 6 * time.Millisecond
	// remoteCallCost is the same for a plain call, which mostly opens a channel.
	remoteCallCost = 14 * time.Millisecond
	// callJitter and streamSpread bound the random cost of an endpoint for plain
	// calls and for streams, workSpread its part that is a share of the work
	// before the request.
	callJitter      = 8 * time.Millisecond
	streamJitter    = 15 * time.Millisecond
	workJitterRatio = 0.35
	// remoteTokenCost is the cost of each output token from another data centre:
	// an event whose packet is lost on the way makes the answer late.
	remoteTokenCost = 300 * time.Microsecond
	// failureCost is what a certain failure counts in the choice.
	failureCost = 2 * time.Second
	// smoothing is the weight of a new observation of speed and failures.
	smoothing = 0.15
	// speedBounds keep the learned speed within a plausible range.
	maxSlowness, minSlowness = 20.0, 0.5
	// minSuspectTime and suspectMax bound how long an endpoint that cannot be
	// reached is avoided. The time doubles with each failure in a row.
	minSuspectTime = 400 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// loadTTL is how long a peer's report of its load counts.
	loadTTL = 1500 * time.Millisecond
	// slownessOffset is added to both sides of the comparison of observed and
	// expected work, so that the jitter of an idle engine is no slowness.
	slownessOffset = 100 * time.Millisecond
	// initialFirstByte is the time until the first byte of an idle engine, assumed until
	// it is learned, firstByteSmoothing the weight of a new observation and
	// idleQueued the work before a request up to which an engine counts as idle.
	initialFirstByte   = 100 * time.Millisecond
	firstByteSmoothing = 0.03
	maxIdleWork        = 60 * time.Millisecond
	// cacheShare is the part of an engine's memory that holds cached parts.
	cacheShare = 0.6
	// cacheTTL is how long a part is assumed to stay cached.
	cacheTTL = 60 * time.Second
)

// peerLoads is what one peer has under way, as it last reported it.
type peerLoads struct {
	loads map[fleet.EndpointID]Load
	at    time.Duration
}

// endpoint is a listed endpoint with what was learned about it.
type endpoint struct {
	catalog.Endpoint
	hash uint64
	own  Load
	// others is the sum of what all peers have under way.
	others Load
	// failureRate is the smoothed share of attempts that failed.
	failureRate float64
	// slowness is the smoothed ratio of observed to expected time.
	slowness            float64
	callTime            time.Duration
	consecutiveFailures int
	suspectUntil        time.Duration
	cached              map[uint64]time.Duration
	cachedTokens        int
	partTokens          map[uint64]int
}

func newEndpoint(e catalog.Endpoint) *endpoint {
	return &endpoint{
		Endpoint: e, hash: xxhash.Sum64String(string(e.ID)),
		slowness: 1, callTime: initialCallTime, cached: make(map[uint64]time.Duration), partTokens: make(map[uint64]int),
	}
}

func (m *Machine) setEndpoints(now time.Duration, list []catalog.Endpoint) {
	m.hasEndpoints = true
	previous := m.endpoints
	m.endpoints = make(map[fleet.EndpointID]*endpoint, len(list))
	m.byService = make(map[fleet.ServiceName][]*endpoint)
	for _, l := range list {
		e, ok := previous[l.ID]
		if !ok || e.Started != l.Started || e.Address != l.Address {
			if ok {
				m.crashes.confirm(now, e.ID, e.Started)
			}
			e = newEndpoint(l)
		}
		e.Endpoint, e.others = l, Load{}
		m.endpoints[l.ID] = e
		m.byService[l.Service] = append(m.byService[l.Service], e)
	}
	for _, p := range m.loads {
		m.addLoads(p.loads, 1)
	}
}

// setLoads replaces what a peer has under way.
func (m *Machine) setLoads(now time.Duration, node string, loads map[fleet.EndpointID]Load) {
	m.dropLoads(node)
	m.loads[node] = peerLoads{loads: loads, at: now}
	m.addLoads(loads, 1)
}

func (m *Machine) dropLoads(node string) {
	m.addLoads(m.loads[node].loads, -1)
	delete(m.loads, node)
}

// expireLoads forgets the loads of peers that have not reported lately.
func (m *Machine) expireLoads(now time.Duration) {
	for node, p := range m.loads {
		if now-p.at > loadTTL {
			m.dropLoads(node)
		}
	}
}

func (m *Machine) addLoads(loads map[fleet.EndpointID]Load, sign int) {
	for id, load := range loads {
		if e, ok := m.endpoints[id]; ok {
			e.others.Active += sign * load.Active
			e.others.Backlog += sign * load.Backlog
		}
	}
}

// load returns what all instances have under way at the endpoint.
func (e *endpoint) load() Load {
	return Load{Active: e.own.Active + e.others.Active, Backlog: e.own.Backlog + e.others.Backlog}
}

// addRequest counts a request that is sent and returns its prompt tokens that the
// endpoint has yet to read.
func (e *endpoint) addRequest(now time.Duration, r Request) int {
	e.own.Active++
	if !r.HasTokens {
		return 0
	}
	backlog := e.uncachedTokens(now, r)
	e.own.Backlog += backlog
	e.cacheParts(now, r)
	return backlog
}

// removeRequest counts a request that is no longer at the endpoint.
func (e *endpoint) removeRequest(backlog int, started bool) {
	e.own.Active--
	if !started {
		e.own.Backlog -= backlog
	}
}

// responseStarted counts the first byte of an answer.
func (e *endpoint) responseStarted(now time.Duration, o *openRequest, local fleet.DataCentre, idle time.Duration) {
	e.own.Backlog -= o.backlog
	e.consecutiveFailures, e.suspectUntil = 0, 0
	took := now - o.sentAt
	if e.DataCentre != local {
		took -= remoteDelay
	}
	if o.request.HasTokens {
		e.observeFirstByte(took, o, idle)
		return
	}
	e.callTime = time.Duration(float64(e.callTime)*(1-smoothing) + smoothing*float64(max(took, 0)))
}

// observeTimeout learns from an attempt that ended before its first byte: it took at
// least as long as it lasted. Without it, only the requests that were served in
// time would tell how slow an overloaded endpoint is.
func (e *endpoint) observeTimeout(now time.Duration, o *openRequest, idle time.Duration) {
	if took := now - o.sentAt; o.request.HasTokens && !o.started && took > o.expectedFirstByte {
		e.observeFirstByte(took, o, idle)
	}
}

// observeFirstByte compares the time that a first byte took with that of the work before
// it. idle is the time until the first byte of an idle engine.
func (e *endpoint) observeFirstByte(took time.Duration, o *openRequest, idle time.Duration) {
	ratio := float64(took-idle+slownessOffset) / float64(o.queuedWork+slownessOffset)
	e.slowness = min(max(e.slowness*(1-smoothing)+smoothing*ratio, minSlowness), maxSlowness)
}

// observeSuccess counts a whole successful answer.
func (e *endpoint) observeSuccess() {
	e.failureRate *= 1 - smoothing
}

// uncachedTokens returns the prompt tokens of r that the endpoint must still read:
// parts count as read up to the first one that is not cached.
func (e *endpoint) uncachedTokens(now time.Duration, r Request) int {
	tokens := r.PromptTokens
	for _, p := range r.Parts {
		used, ok := e.cached[p.ID]
		if !ok || now-used > cacheTTL {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 0)
}

func (e *endpoint) cacheParts(now time.Duration, r Request) {
	for _, p := range sharedParts(r.Parts) {
		if _, ok := e.cached[p.ID]; !ok {
			e.cachedTokens += p.Tokens
			e.partTokens[p.ID] = p.Tokens
		}
		e.cached[p.ID] = now
	}
}

// evictParts forgets the parts that were used least recently until the rest fits.
func (e *endpoint) evictParts(now time.Duration, capacity int) {
	limit := int(float64(capacity) * cacheShare)
	if capacity <= 0 || e.cachedTokens <= limit {
		return
	}
	for age := cacheTTL; e.cachedTokens > limit && age > time.Second; age = age * 3 / 4 {
		for id, used := range e.cached {
			if now-used > age {
				e.cachedTokens -= e.partTokens[id]
				delete(e.cached, id)
				delete(e.partTokens, id)
			}
		}
	}
}

// observeFailure learns from a failed attempt.
func (m *Machine) observeFailure(now time.Duration, o *openRequest, e *endpoint, msg AttemptFailed) {
	e.failureRate += smoothing * (1 - e.failureRate)
	switch msg.Failure {
	case FailureDial:
		e.consecutiveFailures++
		e.suspectUntil = now + min(minSuspectTime<<min(e.consecutiveFailures-1, 4), maxSuspectTime)
		m.crashes.confirm(now, e.ID, e.Started)
	case FailureConnectionLost:
		if !msg.Reused {
			m.crashes.addSuspected(now, Crash{Fingerprint: o.request.Fingerprint, Endpoint: e.ID, Started: e.Started})
		}
	case FailureTimeout:
		e.consecutiveFailures++
		e.suspectUntil = now + minSuspectTime
	case FailureRejected, FailureErrorResponse:
	}
}
