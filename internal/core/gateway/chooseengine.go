package gateway

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// sampleSize is the number of endpoints of this data centre, and of the others together, that a
	// choice of an engine considers at random. With more, instances whose loads are of the same age
	// choose the same endpoints.
	sampleSize = 2
	// sampleAttempts bounds the attempts to find usable endpoints for the sample.
	sampleAttempts = 16
)

// engineGroup holds the endpoints of one service in this data centre and in the others, and the ring of
// all from which the preferred ones of a session are taken.
type engineGroup struct {
	local, remote []*endpoint
	ring          ring
}

// newEngineGroup groups the endpoints of a service. r is the ring of the list before.
func (m *Machine) newEngineGroup(list []*endpoint, r ring) engineGroup {
	local, remote := lo.FilterReject(list, func(e *endpoint, _ int) bool { return e.DataCentre == m.options.DataCentre })
	return engineGroup{local: local, remote: remote, ring: r.update(list)}
}

// chooseEngine returns the engine with the minimum cost and its estimate, or nil. It considers a random
// sample and those that are preferred for the session: the endpoint with the least load of all would
// get the requests of all instances until they hear of each other. It considers all if none of these is
// usable without reservation, but not because they are overloaded, for the same reason.
func (m *Machine) chooseEngine(now time.Duration, o *openRequest) (*endpoint, estimate) {
	var chosen *endpoint
	var minCost time.Duration
	var chosenEstimate estimate
	view := m.viewEngine(o)
	consider := func(e *endpoint) {
		est := view.estimate(now, o, e)
		if cost := m.cost(now, o, e, est); chosen == nil || cost < minCost {
			chosen, minCost, chosenEstimate = e, cost, est
		}
	}
	group := m.engines[o.service]
	for _, list := range [][]*endpoint{group.local, group.remote} {
		for _, e := range m.sample(now, o, list) {
			consider(e)
		}
	}
	view.preferred, view.second = m.preferredEndpoints(now, o, group.ring)
	for _, e := range []*endpoint{view.preferred, view.second} {
		if e != nil {
			consider(e)
		}
	}
	if chosen != nil && minCost < suspectCost {
		return chosen, chosenEstimate
	}
	for e := range m.candidates(now, o) {
		consider(e)
	}
	return chosen, chosenEstimate
}

// sample returns some random usable endpoints.
func (m *Machine) sample(now time.Duration, o *openRequest, list []*endpoint) []*endpoint {
	sample := make([]*endpoint, 0, sampleSize)
	if len(list) == 0 {
		return nil
	}
	seed := uint64(o.request.Random * (1 << 53))
	for i := range uint64(sampleAttempts) {
		e := list[mixHash(seed+i*hashStep)%uint64(len(list))]
		if !slices.Contains(sample, e) && m.mayUse(now, o, e) {
			if sample = append(sample, e); len(sample) == sampleSize {
				break
			}
		}
	}
	return sample
}
