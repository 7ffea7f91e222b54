package gateway

import "time"

// mayUse reports whether an endpoint may get the next attempt of a request. Every choice of an
// endpoint goes through it: the first attempt, retries and resumed streams, but for the last resort of
// mayUseDraining. Endpoints of another
// version than the one chosen for the request are excluded, those that are draining, asked for a
// pause or were tried before, and those that stated that they are about to leave once
// maxLeavingChoice has passed.
func (m *Machine) mayUse(now time.Duration, o *openRequest, e *endpoint) bool {
	return !e.Draining && m.mayUseIfDraining(now, o, e)
}

// mayUseIfDraining is mayUse without regard to whether the list says that the endpoint drains.
func (m *Machine) mayUseIfDraining(now time.Duration, o *openRequest, e *endpoint) bool {
	if !o.version.Allows(e.Version) || o.tried[e.ID] || m.pausedUntil(now, e) > 0 {
		return false
	}
	since, leaving := m.leavingSince(e)
	return !leaving || now-since <= m.maxLeavingChoice()
}

// candidates returns the endpoints of a request's service that its next attempt may use. The version
// must have been chosen.
func (m *Machine) candidates(now time.Duration, o *openRequest) func(yield func(*endpoint) bool) {
	return func(yield func(*endpoint) bool) {
		for _, e := range m.byService[o.service] {
			if m.mayUse(now, o, e) && !yield(e) {
				return
			}
		}
	}
}
