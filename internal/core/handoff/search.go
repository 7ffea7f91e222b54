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
	call     TakeoverCall
	queue    []fleet.InstanceID
	attempts map[fleet.InstanceID]int
	// named lists the routers that named another one.
	redirectors []fleet.InstanceID
	// takers are the routers that were named, with whether they answered.
	owners      map[fleet.InstanceID]bool
	announcing  bool
	found       *Request
	earlierCopy *Request
	responded   map[fleet.InstanceID]bool
}

// NewSearch returns a search that asks the given routers in order. The router
// that searches is the call's Taker and is not asked.
func NewSearch(call TakeoverCall, self fleet.InstanceID, routers []fleet.InstanceID) *Search {
	return &Search{
		call: call, queue: slices.Clone(routers),
		attempts:  map[fleet.InstanceID]int{self: maxAttempts},
		owners:    make(map[fleet.InstanceID]bool),
		responded: map[fleet.InstanceID]bool{self: true},
	}
}

// maxAsks is how often a router that does not answer is asked.
const maxAttempts = 2

// Found is the request as soon as it was taken over.
func (s *Search) Found() *Request { return s.found }

// Next returns the router to ask and the call, or false at the end.
func (s *Search) Next() (fleet.InstanceID, TakeoverCall, bool) {
	for len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if s.announcing || (s.attempts[next] < maxAttempts && !s.responded[next]) {
			s.attempts[next]++
			return next, s.nextCall(), true
		}
	}
	if s.announcing || s.call.Peek || (s.found == nil && s.ownerResponded()) {
		return "", TakeoverCall{}, false
	}
	s.announcing = true
	s.queue = s.redirectors
	s.redirectors = nil
	return s.Next()
}

func (s *Search) nextCall() TakeoverCall {
	call := s.call
	call.Peek = call.Peek || s.announcing
	return call
}

// takerAnswered reports whether a named router is alive but has no request: it
// is still taking it over, or the request has expired.
func (s *Search) ownerResponded() bool {
	for owner := range s.owners {
		if s.responded[owner] {
			return true
		}
	}
	return false
}

// Answered takes the answer of a router.
func (s *Search) Responded(from fleet.InstanceID, t TakeoverReply) {
	if s.announcing {
		if t.Request != nil && (s.earlierCopy == nil || len(t.Request.Record.Frames) > len(s.earlierCopy.Record.Frames)) {
			s.earlierCopy = t.Request
		}
		return
	}
	s.responded[from] = true
	if t.MovedTo != "" && t.MovedTo != s.call.NewOwner {
		s.redirectors = append(s.redirectors, from)
		delete(s.owners, from)
		if !s.responded[t.MovedTo] {
			s.queue = append([]fleet.InstanceID{t.MovedTo}, s.queue...)
		}
		s.owners[t.MovedTo] = true
	}
	if t.Request != nil && s.found == nil && (t.MovedTo == "" || !s.call.Peek) {
		s.found = t.Request
	}
}

// Failed tells that a router did not answer.
func (s *Search) Failed(from fleet.InstanceID) {
	if !s.announcing && s.attempts[from] < maxAttempts {
		s.queue = append([]fleet.InstanceID{from}, s.queue...)
	}
}

// Result returns the request at the end of the search. Moving reports that the
// request exists, but is at the moment being taken over by another router.
func (s *Search) Result() (r *Request, moving bool) {
	switch {
	case s.found != nil:
		return s.found, false
	case s.ownerResponded():
		return nil, true
	default:
		return s.earlierCopy, false
	}
}
