package dispatch

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/admit"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/route"
)

// Machine is the state machine of the dispatcher. Invariants: the number of
// outstanding attempts of an endpoint equals the number of granted attempts that
// have not ended; each submission is granted or refused once, by its deadline; a
// leaving endpoint gets no grants.
type Machine struct {
	options     Options
	spec        *config.Spec
	routerCount int
	routerIndex int
	listVersion uint64
	endpoints   map[fleet.EndpointID]Endpoint
	leaving     *leavingSet
	// noticesHandled holds the endpoints whose streams have been relocated after
	// a reclaim notice.
	noticesHandled map[fleet.EndpointID]struct{}
	services       map[fleet.ServiceName]*service
	// serviceNames is sorted, so that results do not depend on map order.
	serviceNames []fleet.ServiceName
	limiter      *admit.Limiter
	outstanding  map[fleet.RequestID]*requestState
	hedges       hedgeTimers
	// timerAt is the time of the pending SetTimer; 0 if a Tick has arrived since.
	timerAt time.Duration
}

// New returns a dispatcher without configuration: it refuses every request
// until Configure arrives.
func New() *Machine { return NewWithOptions(Options{}) }

// NewWithOptions returns a dispatcher without configuration.
func NewWithOptions(options Options) *Machine {
	return &Machine{
		options:        options,
		routerCount:    1,
		endpoints:      make(map[fleet.EndpointID]Endpoint),
		leaving:        newLeavingSet(),
		noticesHandled: make(map[fleet.EndpointID]struct{}),
		services:       make(map[fleet.ServiceName]*service),
		limiter:        admit.NewLimiter(),
		outstanding:    make(map[fleet.RequestID]*requestState),
	}
}

// Step applies one message at monotonic time now and returns the actions to
// perform.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	var actions []Action
	switch msg := msg.(type) {
	case Submit:
		actions = m.submit(now, msg)
	case Retry:
		actions = m.retry(now, msg)
	case FirstToken:
		m.firstToken(now, msg)
	case AttemptEnded:
		actions = m.attemptEnded(now, msg)
	case Cancel:
		actions = m.cancel(now, msg)
	case LoadReport:
		actions = m.reportLoad(now, msg)
	case CacheEvent:
		m.applyCacheEvent(msg)
	case Endpoints:
		actions = m.replaceEndpoints(now, msg)
	case ReclaimNotice:
		actions = m.reclaimNotice(now, msg)
	case Configure:
		actions = m.configure(now, msg)
	case Peers:
		m.setRouters(now, msg)
	case Tick:
		m.timerAt = 0
		actions = m.tick(now)
	}
	return m.setTimer(now, actions)
}

// tick sends due hedges, expires requests and grants waiting ones.
func (m *Machine) tick(now time.Duration) []Action {
	actions := m.hedge(now)
	for _, name := range m.serviceNames {
		actions = append(actions, m.grantWaiting(now, m.services[name])...)
	}
	return actions
}

// setTimer requests a Tick at the next deadline unless one is due by then.
func (m *Machine) setTimer(now time.Duration, actions []Action) []Action {
	at, ok := m.hedges.next()
	for _, name := range m.serviceNames {
		if deadline, waits := m.services[name].nextDeadline(); waits && (!ok || deadline < at) {
			at, ok = deadline, true
		}
	}
	if !ok || (m.timerAt != 0 && m.timerAt <= at) {
		return actions
	}
	m.timerAt = max(at, now)
	return append(actions, SetTimer{At: m.timerAt})
}

func (m *Machine) submit(now time.Duration, s Submit) []Action {
	if m.spec == nil {
		return refuse(s, fleet.Refuse(fleet.RefusedNotReady, RetryAfterNoEndpoint,
			"no configuration is active yet; retry through the load balancer"))
	}
	svc, ok := m.services[s.Service]
	if !ok || svc.spec == nil {
		return refuse(s, fleet.Refuse(fleet.RefusedUnknownService, 0,
			"service "+string(s.Service)+" is not configured; check the name or file a ticket that adds it"))
	}
	if svc.table.Live() == 0 {
		return refuse(s, fleet.Refuse(fleet.RefusedNoEndpoint, RetryAfterNoEndpoint,
			"service "+string(s.Service)+" has no live endpoint; retry after the stated delay"))
	}
	lane := svc.lane(s.Model, s.Adapter)
	if lane == nil {
		return refuse(s, fleet.Refuse(fleet.RefusedInvalid, 0,
			"adapter "+s.Adapter+" is not configured; check the name or file a ticket that adds it"))
	}
	if retryAfter, ok := m.limiter.Acquire(now, s.Team); !ok {
		return refuse(s, fleet.Refuse(fleet.RefusedTeamLimit, max(retryAfter, minRetryAfter),
			"team "+string(s.Team)+" has reached its limit; retry after the stated delay"))
	}
	return m.enqueue(now, svc, lane, s)
}

func (m *Machine) enqueue(now time.Duration, svc *service, l *lane, s Submit) []Action {
	r := &requestState{submit: s, service: svc, lane: l, waitingSince: now}
	entry := svc.queueEntry(now, s)
	if retryAfter, late := l.wouldBeLate(now, entry); late {
		m.limiter.Release(s.Team)
		return refuse(s, overloadRefusal(retryAfter))
	}
	if !l.queue.Push(entry) {
		m.limiter.Release(s.Team)
		return refuse(s, overloadRefusal(entry.Deadline-now))
	}
	m.outstanding[s.Request] = r
	return m.grantWaiting(now, svc)
}

func overloadRefusal(retryAfter time.Duration) *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedOverload, max(retryAfter, minRetryAfter),
		"the service is overloaded and the request would wait past its deadline; retry after the stated delay")
}

func refuse(s Submit, r *fleet.Refusal) []Action {
	return []Action{Refuse{Request: s.Request, Refusal: r, Team: s.Team, Class: s.Class}}
}

func (m *Machine) reportLoad(now time.Duration, msg LoadReport) []Action {
	e, ok := m.endpoints[msg.Endpoint]
	if !ok {
		return nil
	}
	svc := m.services[e.Service]
	svc.table.Report(msg.Endpoint, route.Report{
		At: now - msg.Age, Sequence: msg.Sequence, Requests: msg.Running + msg.Waiting, Batch: msg.Batch,
	})
	return m.grantWaiting(now, svc)
}

func (m *Machine) applyCacheEvent(msg CacheEvent) {
	if e, ok := m.endpoints[msg.Endpoint]; ok {
		m.services[e.Service].table.UpdateHints(msg.Endpoint, msg.Stored, msg.Evicted)
	}
}

func (m *Machine) configure(now time.Duration, msg Configure) []Action {
	m.spec = msg.Spec
	weights := make(map[fleet.TeamName]int, len(msg.Spec.Teams))
	for name, t := range msg.Spec.Teams {
		weights[name] = t.Weight
	}
	m.setLimits(now)
	for name := range msg.Spec.Services {
		m.ensureService(name)
	}
	for name, svc := range m.services {
		svc.configure(msg.Spec.Services[name], weights)
	}
	return m.refreshEndpoints(now)
}

// setLimits sets this router's share of the limits of each team.
func (m *Machine) setLimits(now time.Duration) {
	for name, t := range m.spec.Teams {
		limit := admit.Limit{PerSecond: t.RequestsPerSecond, InFlight: t.MaxInFlight}
		m.limiter.Set(now, name, limit.Share(m.routerCount))
	}
}

func (m *Machine) setRouters(now time.Duration, msg Peers) {
	m.routerCount, m.routerIndex = max(msg.Count, 1), msg.Index
	for _, svc := range m.services {
		svc.table.SetRouters(m.routerCount, m.routerIndex)
	}
	if m.spec != nil {
		m.setLimits(now)
	}
}
