package enginemodel

import (
	"math"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// serviceMemory is the time in which the weight of a request falls to 1/e in the sums of
	// services, routeMemory in those of routes: with 20 s, the misses from before prompts were cached
	// raised the demand for half a minute. endpointMemory is that of endpoints, whose speeds change. It is
	// shorter, down to minEndpointMemory, where the requests weigh more than enoughWeight.
	serviceMemory     = 10 * time.Second
	routeMemory       = 6 * time.Second
	endpointMemory    = 8 * time.Second
	minEndpointMemory = 3 * time.Second
	enoughWeight      = 15.0
	// refreshInterval is how often estimates follow the sums.
	refreshInterval = 200 * time.Millisecond
	// maxRatio bounds how far a request may be from the estimate of a known service; a pause of
	// the engine beyond it counts as this much.
	maxRatio = 3.0
	// maxUnknownRatio is the same for a service that is not known yet, unknownWeight the weight of
	// its requests: their outliers are not recognised and must not outlast the first seconds.
	maxUnknownRatio, unknownWeight = 5.0, 0.25
	// slowWeight is the weight of a request that took longer than estimated, by up to
	// slowTolerance of the estimate. Beyond that the weight falls, since delays that the sender
	// could not know of, such as pauses of the engine, only lengthen the time. The weight is not lower
	// because pauses and slow engines are part of the time that requests take.
	slowWeight, slowTolerance = 0.45, 0.45
	// priorOutput and priorMissed are the output relative to its maximum and the share of shared
	// prompt tokens that is read again before any request has ended. They count as
	// priorRouteTokens tokens.
	priorOutput, priorMissed = 0.6, 0.15
	priorRouteTokens         = 2000.0
	// minWeight is the weight below which the sums of an endpoint are dropped.
	minWeight = 0.02
	// baseMemory is the time in which an endpoint that is not used counts as one of average
	// speed again.
	baseMemory = 15 * time.Second
	// maxSlowness and minSlowness bound the slowness of an endpoint, baseWeight is the number of
	// requests that its earlier slowness counts as.
	maxSlowness, minSlowness = 20.0, 0.2
	baseWeight               = 8.0
)

// Model holds the estimates for all services, routes and endpoints.
type Model struct {
	own Sums
	// others are the sums of all other instances as of othersAt.
	others   Sums
	othersAt time.Duration
	// restored are the sums recorded before the start, restoredAt is when they were read.
	restored    Sums
	restoredAt  time.Duration
	speeds      map[fleet.ServiceName]*Speeds
	counts      map[fleet.ServiceName]int
	slowness    map[fleet.EndpointID]*Slowness
	refreshedAt time.Duration
}

// Slowness is the time that an endpoint takes to read prompts relative to its service.
type Slowness struct {
	factor float64
	// base is the factor without recent requests.
	base float64
}

// Factor returns the slowness; 1 is the average.
func (s *Slowness) Factor() float64 { return s.factor }

// Base returns the slowness without the most recent requests, on which instances differ less.
func (s *Slowness) Base() float64 { return s.base }

// New returns a model that knows no service.
func New() *Model {
	return &Model{
		own: NewSums(), others: NewSums(), restored: NewSums(), speeds: make(map[fleet.ServiceName]*Speeds),
		counts: make(map[fleet.ServiceName]int), slowness: make(map[fleet.EndpointID]*Slowness),
	}
}

// SetEndpointCounts replaces the number of endpoints of each service.
func (m *Model) SetEndpointCounts(counts map[fleet.ServiceName]int) { m.counts = counts }

// Speeds returns the current estimates for a service.
func (m *Model) Speeds(service fleet.ServiceName) *Speeds {
	v, ok := m.speeds[service]
	if !ok {
		fitted := speedsOf(m.serviceSums(m.refreshedAt, service), m.counts[service])
		v = &fitted
		m.speeds[service] = v
	}
	return v
}

// Known reports whether enough requests have shown the speeds of a service.
func (m *Model) Known(service fleet.ServiceName) bool { return m.Speeds(service).known }

// Track makes the slowness of an endpoint follow the model's estimates.
func (m *Model) Track(id fleet.EndpointID, s *Slowness) {
	*s = Slowness{factor: 1, base: 1}
	m.slowness[id] = s
}

// ForgetEndpoint drops what is known of an endpoint whose incarnation has ended.
func (m *Model) ForgetEndpoint(id fleet.EndpointID) {
	delete(m.slowness, id)
	delete(m.own.Endpoints, id)
}

// FirstEvent is a request whose first event arrived.
type FirstEvent struct {
	Service  fleet.ServiceName
	Endpoint fleet.EndpointID
	Route    string
	// Certain is the number of prompt tokens that the endpoint had to read, Doubtful that of
	// tokens which other instances may have caused to be cached. Shared is the number of prompt
	// tokens that other requests may share.
	Certain, Doubtful, Shared int
	// Backlog is the expected number of tokens of other requests to read, Running that of running
	// requests, both at the time of sending. Idle is set if no other request to read was known; the
	// backlog is then that of requests that may have been sent since.
	Backlog, Running int
	Idle             bool
	// Stride is the number of tokens of an event.
	Stride int
	Took   time.Duration
}

// ObserveFirstEvent learns from a request whose first event arrived.
func (m *Model) ObserveFirstEvent(now time.Duration, o FirstEvent) {
	defer m.refresh(now)
	v := m.Speeds(o.Service)
	took := max(inMilliseconds(o.Took-v.BatchTime(o.Running, o.Stride)), 0)
	read := float64(v.ExpectedRead(o.Certain, o.Doubtful))
	sums := m.own.Services[o.Service]
	sums.Read += read
	if o.Certain > 0 && (o.Idle || !v.known) {
		certain, y := float64(o.Certain), took
		if v.known {
			// Requests that sharing draws to the same engines have longer prompts and meet longer queues
			// there than others. Without this the delay by requests that were not known yet would count
			// as time of their tokens.
			y = max(y-float64(o.Backlog)*v.readPerToken, 0)
		}
		if !o.Idle {
			// An error of the backlog makes the rate seem higher, but an estimate that is off by a part
			// is better than none while no engine is idle.
			certain += float64(o.Backlog)
		}
		y, weight := v.robust(y, v.firstFixed+(certain+read-float64(o.Certain))*v.readPerToken, v.typicalFirst)
		sums.First.observe(certain, float64(o.Doubtful), y, weight)
	}
	m.own.Services[o.Service] = sums
	if !v.known {
		return
	}
	key := RouteKey{Service: o.Service, Route: o.Route}
	route := m.own.Routes[key]
	route.Shared += float64(o.Shared)
	route.Missed += v.doubtfulShare * float64(o.Doubtful)
	m.own.Routes[key] = route
	m.observeEndpoint(v, o, read, took)
}

// robust bounds the observed value of a sample of which another is expected, and returns its
// weight. typical is the mean of all samples: delays do not grow with what is expected, so neither
// may the tolerance, or the slope of the regression would grow with the delays.
func (v *Speeds) robust(observed, expected, typical float64) (bounded, weight float64) {
	switch {
	case !v.known:
		return min(observed, expected*maxUnknownRatio), unknownWeight
	case observed > expected:
		bounded = min(observed, expected+(maxRatio-1)*typical)
		return bounded, slowWeight * min(1, slowTolerance*typical/(bounded-expected))
	default:
		return observed, 1
	}
}

func (m *Model) observeEndpoint(v *Speeds, o FirstEvent, read, took float64) {
	expected := (read + float64(o.Backlog)) * v.readPerToken
	// Below this time the jitter of an idle engine hides the speed.
	jitter := v.firstFixed + v.stepFixed
	scale := 1 / (expected + jitter)
	sums := m.own.Endpoints[o.Endpoint]
	sums.Expected += expected * scale
	sums.Observed += min(max(took-v.firstFixed, 0), maxRatio*expected+jitter) * scale
	m.own.Endpoints[o.Endpoint] = sums
}

// Finished is a stream that has ended complete.
type Finished struct {
	Service fleet.ServiceName
	Route   string
	// Rest is the time from the first event to the end, Events the number of events in it, all
	// events that of the whole stream.
	Rest              time.Duration
	Events, AllEvents int
	// Running is the mean number of running requests as known at the beginning and the end.
	Running float64
	Stride  int
	// Read is the number of prompt tokens beyond shared ones.
	Read, MaxOutput int
}

// ObserveFinished learns from a stream that has ended.
func (m *Model) ObserveFinished(now time.Duration, o Finished) {
	if o.Stride <= 0 || o.Events <= 0 {
		return
	}
	defer m.refresh(now)
	v := m.Speeds(o.Service)
	output := float64(o.AllEvents * o.Stride)
	sums := m.own.Services[o.Service]
	token := inMilliseconds(o.Rest) / float64(o.Events*o.Stride) * (1 - v.readShare)
	running := max(o.Running, 1)
	y, weight := v.robust(token, v.step(running), v.typicalStep)
	sums.Step.observe(running, y, weight)
	sums.Held += output + float64(o.Read)
	sums.SlotTime += inMilliseconds(o.Rest)
	sums.Finished++
	m.own.Services[o.Service] = sums
	key := RouteKey{Service: o.Service, Route: o.Route}
	route := m.own.Routes[key]
	route.Output += min(output, float64(o.MaxOutput))
	route.MaxOutput += float64(o.MaxOutput)
	m.own.Routes[key] = route
}

// Work is a request as far as its engine time depends on it.
type Work struct {
	Service fleet.ServiceName
	Route   string
	// Unshared and Shared are the prompt tokens that no other request shares and those that
	// others may share.
	Unshared, Shared int
	MaxOutput        int
}

// EngineTime returns the time of an engine that a request costs while the engine runs a number
// of requests at once.
func (m *Model) EngineTime(w Work, running int) time.Duration {
	v := m.Speeds(w.Service)
	key := RouteKey{Service: w.Service, Route: w.Route}
	sums := m.own.Routes[key]
	sums.add(m.others.Routes[key], 1)
	sums.add(m.restored.Routes[key], decay(max(m.refreshedAt-m.restoredAt, 0), routeMemory))
	missed := (sums.Missed + priorMissed*priorRouteTokens) / (sums.Shared + priorRouteTokens)
	output := (sums.Output + priorOutput*priorRouteTokens) / (sums.MaxOutput + priorRouteTokens)
	read := (float64(w.Unshared) + missed*float64(w.Shared)) * v.readPerToken
	batch := float64(max(running, 1))
	return milliseconds(read + float64(w.MaxOutput)*output*v.step(batch)/batch)
}

// SetOthers replaces the sums of all other instances. While none arrive the last ones are kept
// and decay.
func (m *Model) SetOthers(now time.Duration, others Sums) { m.others, m.othersAt = others, now }

// Report returns what this instance learned.
func (m *Model) Report(now time.Duration) Sums {
	m.refresh(now)
	report := NewSums()
	report.Add(m.own)
	return report
}

// refresh lets the own sums decay and fits the estimates to all sums.
func (m *Model) refresh(now time.Duration) {
	passed := now - m.refreshedAt
	if passed < refreshInterval {
		return
	}
	m.refreshedAt = now
	kept := decay(passed, serviceMemory)
	for name, sums := range m.own.Services {
		sums.add(sums, kept-1)
		m.own.Services[name] = sums
	}
	keptRoutes := decay(passed, routeMemory)
	for key, sums := range m.own.Routes {
		sums.add(sums, keptRoutes-1)
		m.own.Routes[key] = sums
	}
	for id, sums := range m.own.Endpoints {
		sums.add(sums, decay(passed, memoryOf(sums.Expected+m.others.Endpoints[id].Expected))-1)
		m.own.Endpoints[id] = sums
		if sums.Expected < minWeight {
			delete(m.own.Endpoints, id)
		}
	}
	for name, v := range m.speeds {
		*v = speedsOf(m.serviceSums(now, name), m.counts[name])
	}
	m.refreshEndpoints(passed, decay(max(now-m.othersAt, 0), endpointMemory))
}

// memoryOf returns the memory of an endpoint's sums, which is shorter where many requests show its speed,
// so that a change is followed sooner. weight is that of the sums of all instances.
func memoryOf(weight float64) time.Duration {
	return max(min(time.Duration(float64(endpointMemory)*enoughWeight/max(weight, enoughWeight)), endpointMemory), minEndpointMemory)
}

// serviceSums returns what all instances learned of a service.
func (m *Model) serviceSums(now time.Duration, name fleet.ServiceName) ServiceSums {
	sums := m.own.Services[name]
	sums.add(m.others.Services[name], decay(max(now-m.othersAt, 0), serviceMemory))
	sums.add(m.restored.Services[name], decay(max(now-m.restoredAt, 0), serviceMemory))
	return sums
}

// refreshEndpoints fits the slowness of all endpoints.
func (m *Model) refreshEndpoints(passed time.Duration, othersKept float64) {
	toAverage, toCurrent := 1-decay(passed, baseMemory), 1-decay(passed, minEndpointMemory)
	for id, s := range m.slowness {
		sums := m.own.Endpoints[id]
		sums.add(m.others.Endpoints[id], othersKept)
		s.follow(sums, toAverage, toCurrent)
	}
}

// follow updates the slowness from the sums of all instances.
func (s *Slowness) follow(sums EndpointSums, toAverage, toCurrent float64) {
	s.factor = min(max((sums.Observed+baseWeight*s.base)/(sums.Expected+baseWeight), minSlowness), maxSlowness)
	if sums.Expected < minWeight {
		s.base += (1 - s.base) * toAverage
		return
	}
	share := sums.Expected / (sums.Expected + baseWeight)
	s.base = min(max(s.base+(sums.Observed/sums.Expected-s.base)*share*toCurrent, minSlowness), maxSlowness)
}

// decay returns the share that is left of a sum after a time.
func decay(passed, memory time.Duration) float64 { return math.Exp(-float64(passed) / float64(memory)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
