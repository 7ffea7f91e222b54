package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

const (
	// initialCallTime is the assumed duration of a plain call before the first
	// observation.
	initialCallTime = 20 * time.Millisecond
	// remoteDelay is the cost of another data centre for a stream, a round trip
	// and the price of the transferred bytes. It is also subtracted from observed
	// times of endpoints there.
	remoteDelay = 6 * time.Millisecond
	// remoteCallCost is the same for a plain call, which usually opens a
	// connection.
	remoteCallCost = 14 * time.Millisecond
	// callJitter and streamJitter bound the random cost of an endpoint for plain
	// calls and streams. For streams, workJitterRatio times the queued work is
	// added to the bound.
	callJitter      = 8 * time.Millisecond
	streamJitter    = 15 * time.Millisecond
	workJitterRatio = 0.35
	// remoteTokenCost is the cost of each output token from another data centre:
	// a lost packet delays the response.
	remoteTokenCost = 300 * time.Microsecond
	// failureCost is the cost of an endpoint with a failure rate of 1.
	failureCost = 2 * time.Second
	// smoothing is the weight of a new observation in the moving averages of call
	// time and failure rate.
	smoothing = 0.15
	// minSuspectTime and maxSuspectTime bound how long an unreachable or
	// unresponsive endpoint is avoided. If it is unreachable, the time doubles
	// with each consecutive failure.
	minSuspectTime = 400 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// cacheShare is the share of an engine's capacity available for cached
	// prompt parts.
	cacheShare = 0.6
	// cacheTTL is how long a prompt part is assumed to stay cached after its use.
	cacheTTL = 60 * time.Second
)

// endpoint is an endpoint of the instance list with its observed load, speed and
// failures.
type endpoint struct {
	catalog.Endpoint
	hash uint64
	own  tally.Load
	// others is the sum of the loads of all other instances.
	others tally.Load
	// meanBacklog is the mean of others.Backlog in the last second.
	meanBacklog float64
	// failureRate is the moving average of the share of attempts that failed.
	failureRate float64
	// slowness is the time that a model engine takes relative to its service.
	slowness enginemodel.Slowness
	// callTime is the moving average of the observed times of plain calls, which contain waits for
	// others, idleCallTime that of the times without these.
	callTime, idleCallTime time.Duration
	consecutiveFailures    int
	suspectUntil           time.Duration
	cached                 map[uint64]time.Duration
	cachedTokens           int
	partTokens             map[uint64]int
	// notice is set once the endpoint drains, if it is reclaimable and its runs can be moved, evacuated
	// once it is known or assumed when it is gone.
	notice    *reclaimNotice
	evacuated *evacuated
	// noRoomUntil is set once the endpoint had no room for a moved run.
	noRoomUntil time.Duration
}

func (m *Machine) newEndpoint(l catalog.Endpoint) *endpoint {
	e := &endpoint{
		Endpoint: l, hash: xxhash.Sum64String(string(l.ID)),
		callTime: initialCallTime, idleCallTime: initialCallTime, cached: make(map[uint64]time.Duration), partTokens: make(map[uint64]int),
	}
	m.model.Track(l.ID, &e.slowness)
	return e
}

// endpointsChanged replaces the list of endpoints, and lets what waits for them go on.
func (m *Machine) endpointsChanged(now time.Duration, msg SetEndpoints) []Action {
	m.list.position = msg.Position
	m.setEndpoints(now, msg.Endpoints)
	actions := m.noticeReclaims(now)
	return append(actions, m.releaseAwaiting(now)...)
}

func (m *Machine) setEndpoints(now time.Duration, list []catalog.Endpoint) {
	m.hasEndpoints = true
	m.noticeEnds(now, list)
	previous := m.endpoints
	m.endpoints = make(map[fleet.EndpointID]*endpoint, len(list))
	m.byService = make(map[fleet.ServiceName][]*endpoint)
	for _, l := range list {
		e, ok := previous[l.ID]
		if !ok || e.Started != l.Started || e.Address != l.Address {
			m.model.ForgetEndpoint(l.ID)
			e = m.newEndpoint(l)
		}
		e.Endpoint, e.others = l, tally.Load{}
		m.endpoints[l.ID] = e
		m.byService[l.Service] = append(m.byService[l.Service], e)
	}
	engines := m.engines
	m.engines = lo.MapValues(m.byService, func(list []*endpoint, service fleet.ServiceName) engineGroup {
		return m.newEngineGroup(list, engines[service].ring)
	})
	for id := range previous {
		if _, ok := m.endpoints[id]; !ok {
			m.model.ForgetEndpoint(id)
		}
	}
	m.model.SetEndpointCounts(lo.MapValues(m.byService, func(list []*endpoint, _ fleet.ServiceName) int { return len(list) }))
	m.addLoads(1)
}

// noticeEnds records the ends of endpoints that a new list shows.
func (m *Machine) noticeEnds(now time.Duration, list []catalog.Endpoint) {
	listed := lo.KeyBy(list, func(l catalog.Endpoint) fleet.EndpointID { return l.ID })
	addresses := lo.SliceToMap(list, func(l catalog.Endpoint) (string, bool) { return l.Address, true })
	for _, id := range slices.Sorted(maps.Keys(m.endpoints)) {
		e := m.endpoints[id]
		l, ok := listed[id]
		switch {
		case ok && l.Started != e.Started:
			m.incarnationEnded(now, e, EndRestarted)
		case ok && l.Draining:
			// It has reported since that it will leave, so it did not crash.
			delete(m.crashes.losses, incarnation{id: e.ID, started: e.Started})
		case !ok && addresses[e.Address]:
			m.incarnationEnded(now, e, EndReplaced)
		case !ok:
			m.incarnationEnded(now, e, EndRemoved)
		}
	}
}

// load returns the load of the endpoint from all instances.
func (e *endpoint) load() tally.Load {
	return e.own.Plus(e.others)
}

// addRequest counts a request that is sent, of which read prompt tokens are not cached.
func (e *endpoint) addRequest(now time.Duration, r Request, read int) {
	e.own.Active++
	e.own.Backlog += read
	if r.HasTokens {
		e.cacheParts(now, r)
	}
}

// removeRequest removes a request from the load. backlog is its part of the backlog,
// which is removed already if the response has started.
func (e *endpoint) removeRequest(backlog int, started bool) {
	e.own.Active--
	if !started {
		e.own.Backlog -= backlog
	}
}

// responseStarted processes the first byte of a response.
func (e *endpoint) responseStarted(now time.Duration, o *openRequest, local fleet.DataCentre) {
	e.own.Backlog -= o.estimate.read
	e.consecutiveFailures, e.suspectUntil = 0, 0
	if !o.request.HasTokens {
		took := float64(max(now-o.sentAt-e.distance(local), 0))
		e.callTime = time.Duration(float64(e.callTime)*(1-smoothing) + smoothing*took)
		e.idleCallTime = time.Duration(float64(e.idleCallTime)*(1-smoothing) + smoothing*took/e.waitFactor(o.loadBefore.Active))
	}
}

// waitFactor returns how many times longer a plain call takes than without other requests, of which
// active are at the endpoint.
func (e *endpoint) waitFactor(active int) float64 {
	return 1 + float64(active)/float64(max(e.Slots, 1))
}

// distance returns the part of observed times that is due to the network.
func (e *endpoint) distance(local fleet.DataCentre) time.Duration {
	if e.DataCentre != local {
		return remoteDelay
	}
	return 0
}

// observeSuccess updates the failure rate after a complete successful response.
func (e *endpoint) observeSuccess() {
	e.failureRate *= 1 - smoothing
}

// observeFailure updates the endpoint's state after a failed attempt.
func (m *Machine) observeFailure(now time.Duration, o *openRequest, e *endpoint, msg AttemptFailed) {
	if msg.Failure == FailureNotSentInTime {
		return
	}
	e.failureRate += smoothing * (1 - e.failureRate)
	switch msg.Failure {
	case FailureDial:
		e.consecutiveFailures++
		e.suspectUntil = now + min(minSuspectTime<<min(e.consecutiveFailures-1, 4), maxSuspectTime)
		if msg.Refused {
			m.connectionRefused(now, e.ID, e.Started)
		}
	case FailureConnectionLost:
		m.attemptLost(now, o, e, true)
	case FailureTimeout:
		e.consecutiveFailures++
		e.suspectUntil = now + minSuspectTime
		m.attemptLost(now, o, e, true)
	case FailureErrorResponse:
		m.executed(now, o.traits)
	case FailureRejected, FailureNotSentInTime:
	}
}
