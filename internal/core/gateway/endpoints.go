package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// prefillRate is the prompt tokens that an engine reads in a millisecond,
	// assumed until its speed is learned.
	prefillRate = 90.0
	// decodeDelay is what each request that runs beside adds to the first
	// token of another.
	decodeDelay = 600 * time.Microsecond
	// callTime is the time of a plain call that is assumed at first.
	callTime = 20 * time.Millisecond
	// remoteDelay is the cost of another data centre: a round trip and the
	// price of its bytes.
	remoteDelay = 6 * time.Millisecond
	// remoteCallCost is the same for a plain call, which mostly opens a channel.
	remoteCallCost = 14 * time.Millisecond
	// callSpread and streamSpread bound the random cost of an endpoint for plain
	// calls and for streams, workSpread its part that is a share of the work
	// before the request.
	callSpread   = 8 * time.Millisecond
	streamSpread = 15 * time.Millisecond
	workSpread   = 0.35
	// remoteTokenCost is the cost of each output token from another data centre:
	// an event whose packet is lost on the way makes the answer late.
	remoteTokenCost = 300 * time.Microsecond
	// failureCost is what a certain failure counts in the choice.
	failureCost = 2 * time.Second
	// smoothing is the weight of a new observation of speed and failures.
	smoothing = 0.15
	// speedBounds keep the learned speed within a plausible range.
	slowest, fastest = 20.0, 0.5
	// suspectBase and suspectMax bound how long an endpoint that cannot be
	// reached is avoided. The time doubles with each failure in a row.
	suspectBase = 400 * time.Millisecond
	suspectMax  = 4 * time.Second
	// loadFreshFor is how long a peer's report of its load counts.
	loadFreshFor = 1500 * time.Millisecond
	// leastQueued is added to both sides of the comparison of observed and
	// expected work, so that the jitter of an idle engine is no slowness.
	leastQueued = 100 * time.Millisecond
	// firstByte is the time until the first byte of an idle engine, assumed until
	// it is learned, firstByteSmoothing the weight of a new observation and
	// idleQueued the work before a request up to which an engine counts as idle.
	firstByte          = 100 * time.Millisecond
	firstByteSmoothing = 0.03
	idleQueued         = 60 * time.Millisecond
	// cacheShare is the part of an engine's memory that holds cached parts.
	cacheShare = 0.6
	// cacheFor is how long a part is assumed to stay cached.
	cacheFor = 60 * time.Second
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
	// failing is the smoothed share of attempts that failed.
	failing float64
	// slowness is the smoothed ratio of observed to expected time.
	slowness     float64
	callTime     time.Duration
	inRow        int
	suspectUntil time.Duration
	cached       map[uint64]time.Duration
	cachedTokens int
	partTokens   map[uint64]int
}

func newEndpoint(e catalog.Endpoint) *endpoint {
	return &endpoint{
		Endpoint: e, hash: xxhash.Sum64String(string(e.ID)),
		slowness: 1, callTime: callTime, cached: make(map[uint64]time.Duration), partTokens: make(map[uint64]int),
	}
}

func (m *Machine) setEndpoints(now time.Duration, list []catalog.Endpoint) {
	m.listed = true
	known := m.endpoints
	m.endpoints = make(map[fleet.EndpointID]*endpoint, len(list))
	m.byService = make(map[fleet.ServiceName][]*endpoint)
	for _, l := range list {
		e, ok := known[l.ID]
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
		if now-p.at > loadFreshFor {
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

// begin counts a request that is sent and returns its prompt tokens that the
// endpoint has yet to read.
func (e *endpoint) begin(now time.Duration, r Request) int {
	e.own.Active++
	if !r.HasTokens {
		return 0
	}
	backlog := e.unread(now, r)
	e.own.Backlog += backlog
	e.remember(now, r)
	return backlog
}

// end counts a request that is no longer at the endpoint.
func (e *endpoint) end(backlog int, began bool) {
	e.own.Active--
	if !began {
		e.own.Backlog -= backlog
	}
}

// started counts the first byte of an answer.
func (e *endpoint) started(now time.Duration, o *open, local fleet.DataCentre, idle time.Duration) {
	e.own.Backlog -= o.backlog
	e.inRow, e.suspectUntil = 0, 0
	took := now - o.sentAt
	if e.DataCentre != local {
		took -= remoteDelay
	}
	if o.request.HasTokens {
		e.observe(took, o, idle)
		return
	}
	e.callTime = time.Duration(float64(e.callTime)*(1-smoothing) + smoothing*float64(max(took, 0)))
}

// overdue learns from an attempt that ended before its first byte: it took at
// least as long as it lasted. Without it, only the requests that were served in
// time would tell how slow an overloaded endpoint is.
func (e *endpoint) overdue(now time.Duration, o *open, idle time.Duration) {
	if took := now - o.sentAt; o.request.HasTokens && !o.began && took > o.expected {
		e.observe(took, o, idle)
	}
}

// observe compares the time that a first byte took with that of the work before
// it. idle is the time until the first byte of an idle engine.
func (e *endpoint) observe(took time.Duration, o *open, idle time.Duration) {
	ratio := float64(took-idle+leastQueued) / float64(o.queued+leastQueued)
	e.slowness = min(max(e.slowness*(1-smoothing)+smoothing*ratio, fastest), slowest)
}

// succeeded counts a whole successful answer.
func (e *endpoint) succeeded() {
	e.failing *= 1 - smoothing
}

// unread returns the prompt tokens of r that the endpoint must still read:
// parts count as read up to the first one that is not cached.
func (e *endpoint) unread(now time.Duration, r Request) int {
	tokens := r.PromptTokens
	for _, p := range r.Parts {
		used, ok := e.cached[p.ID]
		if !ok || now-used > cacheFor {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 0)
}

func (e *endpoint) remember(now time.Duration, r Request) {
	for _, p := range sharedParts(r.Parts) {
		if _, ok := e.cached[p.ID]; !ok {
			e.cachedTokens += p.Tokens
			e.partTokens[p.ID] = p.Tokens
		}
		e.cached[p.ID] = now
	}
}

// trim forgets the parts that were used least recently until the rest fits.
func (e *endpoint) trim(now time.Duration, memory int) {
	limit := int(float64(memory) * cacheShare)
	if memory <= 0 || e.cachedTokens <= limit {
		return
	}
	for age := cacheFor; e.cachedTokens > limit && age > time.Second; age = age * 3 / 4 {
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
func (m *Machine) observeFailure(now time.Duration, o *open, e *endpoint, msg AttemptFailed) {
	e.failing += smoothing * (1 - e.failing)
	switch msg.Failure {
	case FailureDial:
		e.inRow++
		e.suspectUntil = now + min(suspectBase<<min(e.inRow-1, 4), suspectMax)
		m.crashes.confirm(now, e.ID, e.Started)
	case FailureConnectionLost:
		if !msg.Reused {
			m.crashes.broken(now, Crash{Fingerprint: o.request.Fingerprint, Endpoint: e.ID, Started: e.Started})
		}
	case FailureTimeout:
		e.inRow++
		e.suspectUntil = now + suspectBase
	case FailureRejected, FailureErrorResponse:
	}
}
