package gateway

import (
	"math"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
)

// EngineSpeeds are the estimated speeds of an engine for the metrics.
type EngineSpeeds struct {
	// ReadRate is the number of prompt tokens read per second.
	ReadRate float64
	// TokenTime is the time of an output token of each stream while the engine runs as many as
	// it can.
	TokenTime time.Duration
}

// engineView is what the estimates of all endpoints of one request have in common.
type engineView struct {
	speeds *enginemodel.Speeds
	engine catalog.Engine
	// preferred and second are the endpoints that all instances prefer for the session.
	preferred, second *endpoint
	lastPart          int
	// perRunning is how much longer the first event takes for each running request, maxRunning the
	// number of requests that an engine's memory holds.
	perRunning time.Duration
	maxRunning int
	// currentShare is the weight of the loads that others reported last against their mean.
	currentShare float64
}

func (m *Machine) viewEngine(o *openRequest) *engineView {
	v := &engineView{speeds: m.model.Speeds(o.service), lastPart: m.lastPartTokens(o)}
	if engine := m.catalog.Services[o.service].Engine; engine != nil {
		v.engine = *engine
	}
	v.perRunning = v.speeds.BatchTime(1, v.engine.Stride)
	v.maxRunning = v.speeds.UsableSlots(math.MaxInt32, v.engine.CapacityTokens)
	duration := float64(v.speeds.FirstFixed() + v.speeds.ReadTime(o.request.PromptTokens))
	v.currentShare = duration / (duration + float64(loadsAge))
	return v
}

// affinityWeight is the weight of the time to read shared parts again at an endpoint that the
// instances don't prefer for the session. It is above 1 because it also delays the requests that come
// after: with 3 twice as many shared tokens were read again. The second preferred endpoint has
// secondAffinity of it, so that a frequent session has two.
const affinityWeight, secondAffinity = 6, 0.3

// othersBacklog returns the expected backlog of other instances at an endpoint. What they had sent
// when they reported has been read meanwhile if that takes less time than a report, so the mean
// counts then: all instances would choose the endpoint that was idle last.
func (v *engineView) othersBacklog(e *endpoint) int {
	return int(e.meanBacklog + (float64(e.others.Backlog)-e.meanBacklog)*v.currentShare)
}

// estimate estimates the time until the first event of the response of an engine.
func (v *engineView) estimate(now time.Duration, o *openRequest, e *endpoint) estimate {
	load, slots := e.load(), max(e.Slots, 1)
	e.evictParts(now, v.engine.CapacityTokens)
	uncached := e.uncachedTokens(now, o.request)
	est := estimate{certain: min(uncached, v.lastPart)}
	est.doubtful = uncached - est.certain
	est.read = v.speeds.ExpectedRead(est.certain, est.doubtful)
	slots = min(slots, v.maxRunning)
	slowness := e.slowness.Factor()
	est.backlog = e.own.Backlog + v.othersBacklog(e)
	queued := v.speeds.ReadTime(est.backlog)
	if waiting := load.Active + 1 - slots; waiting > 0 {
		queued += time.Duration(waiting) * v.speeds.SlotWait(slots)
	}
	est.wait = time.Duration(float64(queued) * slowness)
	own := v.speeds.ReadTime(est.read) + time.Duration(min(load.Active, slots))*v.perRunning
	work := est.wait + time.Duration(float64(own)*slowness)
	est.firstByte = v.speeds.FirstFixed() + work
	if e != v.preferred {
		est.affinity = time.Duration(float64(v.speeds.ReadTime(est.doubtful)) * slowness * affinityWeight)
		if e == v.second {
			est.affinity = time.Duration(float64(est.affinity) * secondAffinity)
		}
	}
	est.jitter = streamJitter + time.Duration(float64(work)*workJitterRatio)
	return est
}

// observeFirstEvent lets the model learn from a stream whose first event arrived.
func (m *Machine) observeFirstEvent(now time.Duration, o *openRequest) {
	if !o.request.HasTokens {
		return
	}
	last := m.lastPartTokens(o)
	m.model.ObserveFirstEvent(now, enginemodel.FirstEvent{
		Service: o.service, Endpoint: o.endpoint.ID, Route: o.route.Name,
		Certain: o.estimate.certain, Doubtful: o.estimate.doubtful,
		Shared:  max(o.request.PromptTokens-last, 0),
		Backlog: o.estimate.backlog, Idle: o.loadBefore.Backlog == 0, Running: o.loadBefore.Active, Stride: m.stride(o),
		Took: max(now-o.sentAt-o.endpoint.distance(m.options.DataCentre), 0),
	})
}

// observeNoEvent uses the duration of an attempt that ended before its first event as
// a lower bound of the time to it. Without it, an overloaded endpoint would be judged
// only by requests that it served in time.
func (m *Machine) observeNoEvent(now time.Duration, o *openRequest) {
	if !o.started && now-o.sentAt > o.estimate.firstByte {
		m.observeFirstEvent(now, o)
	}
}

// observeStream lets the model learn from a stream that ended complete.
func (m *Machine) observeStream(now time.Duration, o *openRequest, events int) {
	if !o.request.HasTokens || o.firstEvents == 0 {
		return
	}
	running := float64(o.loadBefore.Active+1+o.endpoint.load().Active) / 2
	m.model.ObserveFinished(now, enginemodel.Finished{
		Service: o.service, Route: o.route.Name, Rest: now - o.startedAt,
		Events: events - o.firstEvents, AllEvents: events, Running: running, Stride: m.stride(o),
		Read: m.lastPartTokens(o), MaxOutput: o.request.MaxOutputTokens,
	})
}

// stride returns the number of tokens of an event, 0 if it is not known.
func (m *Machine) stride(o *openRequest) int {
	if engine := m.catalog.Services[o.service].Engine; engine != nil {
		return engine.Stride
	}
	return 0
}
