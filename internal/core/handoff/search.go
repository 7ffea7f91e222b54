package handoff

import (
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Search looks for a request among routers. Next tells whom to ask, Answered
// and Failed take the result. It follows the router that took the request over
// and asks it twice before it counts as gone, since a lost answer leaves the
// request with nobody else. At the end it tells the routers that named another
// one who has the request now. Only if the named router is gone does it use an
// earlier copy.
type Search struct {
	call  Call
	queue []fleet.InstanceID
	asked map[fleet.InstanceID]int
	// named lists the routers that named another one.
	named []fleet.InstanceID
	// takers are the routers that were named, with whether they answered.
	takers   map[fleet.InstanceID]bool
	telling  bool
	found    *Request
	earlier  *Request
	answered map[fleet.InstanceID]bool
}

// NewSearch returns a search that asks the given routers in order. The router
// that searches is the call's Taker and is not asked.
func NewSearch(call Call, self fleet.InstanceID, routers []fleet.InstanceID) *Search {
	return &Search{
		call: call, queue: slices.Clone(routers),
		asked:    map[fleet.InstanceID]int{self: maxAsks},
		takers:   make(map[fleet.InstanceID]bool),
		answered: map[fleet.InstanceID]bool{self: true},
	}
}

// maxAsks is how often a router that does not answer is asked.
const maxAsks = 2

// Found is the request as soon as it was taken over.
func (s *Search) Found() *Request { return s.found }

// Next returns the router to ask and the call, or false at the end.
func (s *Search) Next() (fleet.InstanceID, Call, bool) {
	for len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if s.telling || (s.asked[next] < maxAsks && !s.answered[next]) {
			s.asked[next]++
			return next, s.nextCall(), true
		}
	}
	if s.telling || s.call.Peek || (s.found == nil && s.takerAnswered()) {
		return "", Call{}, false
	}
	s.telling = true
	s.queue = s.named
	s.named = nil
	return s.Next()
}

func (s *Search) nextCall() Call {
	call := s.call
	call.Peek = call.Peek || s.telling
	return call
}

// takerAnswered reports whether a named router is alive but has no request: it
// is still taking it over, or the request has expired.
func (s *Search) takerAnswered() bool {
	for taker := range s.takers {
		if s.answered[taker] {
			return true
		}
	}
	return false
}

// Answered takes the answer of a router.
func (s *Search) Answered(from fleet.InstanceID, t Taken) {
	if s.telling {
		if t.Request != nil && (s.earlier == nil || len(t.Request.Record.Frames) > len(s.earlier.Record.Frames)) {
			s.earlier = t.Request
		}
		return
	}
	s.answered[from] = true
	if t.MovedTo != "" && t.MovedTo != s.call.Taker {
		s.named = append(s.named, from)
		delete(s.takers, from)
		if !s.answered[t.MovedTo] {
			s.queue = append([]fleet.InstanceID{t.MovedTo}, s.queue...)
		}
		s.takers[t.MovedTo] = true
	}
	if t.Request != nil && s.found == nil && (t.MovedTo == "" || !s.call.Peek) {
		s.found = t.Request
	}
}

// Failed tells that a router did not answer.
func (s *Search) Failed(from fleet.InstanceID) {
	if !s.telling && s.asked[from] < maxAsks {
		s.queue = append([]fleet.InstanceID{from}, s.queue...)
	}
}

// Result returns the request at the end of the search. Moving reports that the
// request exists, but is at the moment being taken over by another router.
func (s *Search) Result() (r *Request, moving bool) {
	switch {
	case s.found != nil:
		return s.found, false
	case s.takerAnswered():
		return nil, true
	default:
		return s.earlier, false
	}
}
