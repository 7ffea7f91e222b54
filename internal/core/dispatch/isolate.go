package dispatch

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/route"
)

// chooseIsolated chooses an endpoint. For a crash suspect, a request that ran on
// an endpoint when it crashed, it prefers one that runs no other suspect, so that
// a further crash shows which of them is the cause.
func (m *Machine) chooseIsolated(now time.Duration, r *requestState, request *route.Request) (route.Choice, bool) {
	if r.crashSuspect {
		request.Exclude = m.suspectEndpoints(r)
		if choice, ok := r.service.table.Choose(now, request); ok && !slices.Contains(request.Exclude, choice.ID) {
			return choice, true
		}
		request.Exclude = nil
	}
	return r.service.table.Choose(now, request)
}

// suspectEndpoints lists the endpoints that run other crash suspects. It scans
// all outstanding requests, and is called only after a crash.
func (m *Machine) suspectEndpoints(except *requestState) []fleet.EndpointID {
	var endpoints []fleet.EndpointID
	for _, r := range m.outstanding {
		if r == except || !r.crashSuspect {
			continue
		}
		for _, a := range r.running {
			endpoints = append(endpoints, a.endpoint)
		}
	}
	return endpoints
}
