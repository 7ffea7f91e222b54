package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

// RetryAfterNoEndpoint is the delay suggested to callers when a service has no
// live endpoint; replacement instances take seconds to appear in the list.
const RetryAfterNoEndpoint = 2 * time.Second

// assumedTokenInterval is the time between tokens that reclaim plans assume.
const assumedTokenInterval = 70 * time.Millisecond

// Machine is the dispatcher. Invariant: the number of outstanding attempts of
// an endpoint equals the number of granted attempts that have not ended.
type Machine struct {
	spec        *config.Spec
	version     uint64
	endpoints   map[fleet.EndpointID]*endpointState
	outstanding map[fleet.RequestID]*requestState
}

type endpointState struct {
	Endpoint
	outstanding int
	// noticed is set once the reclaim notice has been acted on.
	noticed bool
}

type requestState struct {
	submit   Submit
	attempts fleet.AttemptNumber
	endpoint fleet.EndpointID
	running  bool
}

// New returns a dispatcher without configuration: it refuses every request
// until Configure arrives.
func New() *Machine {
	return &Machine{
		endpoints:   make(map[fleet.EndpointID]*endpointState),
		outstanding: make(map[fleet.RequestID]*requestState),
	}
}

// Step applies one message at monotonic time now and returns what to do.
func (m *Machine) Step(_ time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case Submit:
		return m.submit(msg)
	case Retry:
		return m.retry(msg)
	case Ended:
		m.end(msg)
	case Cancel:
		m.release(msg.Request)
		delete(m.outstanding, msg.Request)
	case Endpoints:
		m.replaceEndpoints(msg)
	case Notice:
		return m.notice(msg)
	case Configure:
		m.spec = msg.Spec
	}
	return nil
}

func (m *Machine) submit(s Submit) []Action {
	if m.spec == nil {
		return refuse(s.Request, fleet.Refuse(fleet.RefusedNotReady, RetryAfterNoEndpoint,
			"no configuration is active yet; retry through the load balancer"))
	}
	if _, ok := m.spec.Services[s.Service]; !ok {
		return refuse(s.Request, fleet.Refuse(fleet.RefusedUnknownService, 0,
			"service "+string(s.Service)+" is not configured; check the name or file a ticket that adds it"))
	}
	r := &requestState{submit: s}
	m.outstanding[s.Request] = r
	return m.grant(r, "")
}

func (m *Machine) retry(msg Retry) []Action {
	r, ok := m.outstanding[msg.Request]
	if !ok {
		return nil
	}
	m.release(msg.Request)
	return m.grant(r, msg.Avoid)
}

func (m *Machine) grant(r *requestState, avoid fleet.EndpointID) []Action {
	e := m.choose(r.submit.Service, avoid)
	if e == nil {
		delete(m.outstanding, r.submit.Request)
		return refuse(r.submit.Request, fleet.Refuse(fleet.RefusedNoEndpoint, RetryAfterNoEndpoint,
			"service "+string(r.submit.Service)+" has no live endpoint; retry after the stated delay"))
	}
	r.attempts++
	r.endpoint = e.ID
	r.running = true
	e.outstanding++
	return []Action{Grant{Request: r.submit.Request, Attempt: r.attempts, Endpoint: e.Endpoint}}
}

// choose returns the live endpoint with the fewest outstanding attempts.
func (m *Machine) choose(service fleet.ServiceName, avoid fleet.EndpointID) *endpointState {
	var best *endpointState
	for _, e := range m.endpoints {
		if e.Service != service || e.Leaving || e.ID == avoid {
			continue
		}
		if best == nil || e.outstanding < best.outstanding ||
			(e.outstanding == best.outstanding && e.ID < best.ID) {
			best = e
		}
	}
	return best
}

func (m *Machine) end(msg Ended) {
	m.release(msg.Request)
	if msg.Final {
		delete(m.outstanding, msg.Request)
	}
}

func (m *Machine) release(id fleet.RequestID) {
	r, ok := m.outstanding[id]
	if !ok || !r.running {
		return
	}
	r.running = false
	if e, ok := m.endpoints[r.endpoint]; ok {
		e.outstanding--
	}
}

func (m *Machine) replaceEndpoints(msg Endpoints) {
	if msg.Version < m.version {
		return
	}
	m.version = msg.Version
	next := make(map[fleet.EndpointID]*endpointState, len(msg.List))
	for _, e := range msg.List {
		state := &endpointState{Endpoint: e}
		if old, ok := m.endpoints[e.ID]; ok {
			state.outstanding = old.outstanding
			state.noticed = old.noticed
			state.Leaving = e.Leaving || old.Leaving
		}
		next[e.ID] = state
	}
	m.endpoints = next
}

func (m *Machine) notice(msg Notice) []Action {
	e, ok := m.endpoints[msg.Endpoint]
	if !ok || e.noticed {
		return nil
	}
	e.Leaving = true
	e.noticed = true
	return m.relocate(msg)
}

// relocate plans the moves of all streams on a leaving endpoint.
func (m *Machine) relocate(msg Notice) []Action {
	var streams []reclaim.Stream
	for id, r := range m.outstanding {
		if r.running && r.endpoint == msg.Endpoint {
			streams = append(streams, reclaim.Stream{
				Request: id, Class: r.submit.Class, PromptTokens: r.submit.Prompt.Tokens, Remaining: r.submit.MaxTokens,
			})
		}
	}
	slices.SortFunc(streams, func(a, b reclaim.Stream) int { return cmp.Compare(a.Request, b.Request) })
	moves := reclaim.Plan(streams, msg.Remaining, reclaim.Rates{TokenInterval: assumedTokenInterval})
	return lo.Map(moves, func(move reclaim.Move, _ int) Action {
		return Relocate{Request: move.Request, Attempt: m.outstanding[move.Request].attempts, Method: move.Method}
	})
}

func refuse(id fleet.RequestID, r *fleet.Refusal) []Action {
	return []Action{Refuse{Request: id, Refusal: r}}
}
