package dispatch

import "github.com/cornelhold/cornelhold/internal/core/fleet"

// maxLeaving bounds the endpoints recorded as leaving. It exceeds the 3,800
// instances that a fleet of the design size replaces in a day.
const maxLeaving = 16384

// leavingSet records endpoints that were announced as leaving, so that neither
// an older list nor a list in which the endpoint reappears makes them available
// again. The oldest entries are evicted beyond maxLeaving.
type leavingSet struct {
	ids   map[fleet.EndpointID]struct{}
	order []fleet.EndpointID
}

func newLeavingSet() *leavingSet { return &leavingSet{ids: make(map[fleet.EndpointID]struct{})} }

func (s *leavingSet) add(id fleet.EndpointID) {
	if s.contains(id) {
		return
	}
	s.ids[id] = struct{}{}
	s.order = append(s.order, id)
	if len(s.order) > maxLeaving {
		delete(s.ids, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *leavingSet) contains(id fleet.EndpointID) bool {
	_, ok := s.ids[id]
	return ok
}
