package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
	"github.com/cornelhold/cornelhold/internal/core/route"
)

func (m *Machine) replaceEndpoints(now time.Duration, msg Endpoints) []Action {
	for _, e := range msg.List {
		if e.Leaving {
			m.leaving.add(e.ID)
		}
	}
	if msg.Version >= m.listVersion {
		m.listVersion = msg.Version
		m.endpoints = make(map[fleet.EndpointID]Endpoint, len(msg.List))
		for _, e := range msg.List {
			m.endpoints[e.ID] = e
		}
	}
	return m.refreshEndpoints(now)
}

// refreshEndpoints updates the routing tables of all services and grants waiting
// requests.
func (m *Machine) refreshEndpoints(now time.Duration) []Action {
	lists := make(map[fleet.ServiceName][]route.Endpoint)
	ids := lo.Keys(m.endpoints)
	slices.Sort(ids)
	for _, id := range ids {
		e := m.endpoints[id]
		e.Leaving = e.Leaving || m.leaving.contains(id)
		m.endpoints[id] = e
		m.ensureService(e.Service)
		lists[e.Service] = append(lists[e.Service], m.routeEndpoint(e))
	}
	var actions []Action
	for _, name := range m.serviceNames {
		svc := m.services[name]
		svc.table.Replace(withRelativePrices(lists[name]))
		actions = append(actions, m.grantWaiting(now, svc)...)
	}
	return actions
}

// routeEndpoint converts an endpoint to the type of package route. Its Price is
// still absolute; withRelativePrices scales it.
func (m *Machine) routeEndpoint(e Endpoint) route.Endpoint {
	out := route.Endpoint{
		ID: e.ID, Role: e.Role, Model: e.Model, Adapters: e.Adapters, Slots: e.Slots, Leaving: e.Leaving,
	}
	if m.spec == nil {
		return out
	}
	if own, ok := m.spec.DataCentres[m.options.DataCentre]; ok {
		out.Distance = own.Distances[e.DataCentre]
	}
	if dc, ok := m.spec.DataCentres[e.DataCentre]; ok {
		price := dc.Prices[e.Class]
		out.Price = price.OnDemand
		if e.Reclaimable {
			out.Price = price.Reclaimable
		}
	}
	return out
}

// withRelativePrices divides prices by the minimum configured price; an endpoint
// without a configured price gets 1.
func withRelativePrices(list []route.Endpoint) []route.Endpoint {
	lowest := 0.0
	for _, e := range list {
		if e.Price > 0 && (lowest == 0 || e.Price < lowest) {
			lowest = e.Price
		}
	}
	for i := range list {
		if list[i].Price <= 0 {
			list[i].Price = 1
			continue
		}
		list[i].Price /= lowest
	}
	return list
}

func (m *Machine) reclaimNotice(now time.Duration, msg ReclaimNotice) []Action {
	m.leaving.add(msg.Endpoint)
	if _, done := m.noticesHandled[msg.Endpoint]; done {
		return nil
	}
	e, ok := m.endpoints[msg.Endpoint]
	if !ok {
		return nil
	}
	m.noticesHandled[msg.Endpoint] = struct{}{}
	e.Leaving = true
	m.endpoints[msg.Endpoint] = e
	m.services[e.Service].table.MarkLeaving(msg.Endpoint)
	return m.relocate(now, msg)
}

// relocate plans the moves of all idempotent requests that run on a leaving
// endpoint.
func (m *Machine) relocate(now time.Duration, msg ReclaimNotice) []Action {
	var streams []reclaim.Stream
	for id, r := range m.outstanding {
		if !r.runsOn(msg.Endpoint) || !r.submit.Idempotent {
			continue
		}
		generated := r.generatedBy(now, msg.Endpoint)
		streams = append(streams, reclaim.Stream{
			Request: id, Class: r.submit.Class, PromptTokens: r.submit.Prompt.Tokens,
			Generated: generated, Remaining: max(r.submit.MaxTokens-generated, 1),
		})
	}
	slices.SortFunc(streams, func(a, b reclaim.Stream) int { return cmp.Compare(a.Request, b.Request) })
	moves := reclaim.Plan(streams, msg.Remaining, reclaim.Rates{
		TokenInterval: assumedTokenInterval, TransferPerToken: assumedTransferPerToken,
	})
	return lo.Map(moves, func(move reclaim.Move, _ int) Action {
		r := m.outstanding[move.Request]
		return Relocate{Request: move.Request, Attempt: r.attemptOn(msg.Endpoint), Method: move.Method}
	})
}

// generatedBy estimates the tokens that the attempt on the endpoint has
// generated, including those of earlier attempts.
func (r *requestState) generatedBy(now time.Duration, id fleet.EndpointID) int {
	generated := r.generated
	for _, a := range r.running {
		if a.endpoint == id && a.firstTokenAt > 0 {
			generated += int((now - a.firstTokenAt) / assumedTokenInterval)
		}
	}
	return min(generated, r.submit.MaxTokens)
}
