package handoff

import (
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Search looks for a request among routers. Next returns the router to query;
// Responded and Failed report the result. The search follows redirects to the
// router that took the request over. It queries each router twice before it treats
// it as dead, since a lost response may have carried the only current record. At
// the end it announces the new owner to the routers that had redirected it. Only
// if the owner is dead does it use the older copies that these routers store.
type Search struct {
	call     TakeoverCall
	queue    []fleet.InstanceID
	attempts map[fleet.InstanceID]int
	// redirectors lists the routers that named another one as owner.
	redirectors []fleet.InstanceID
	// owners are the routers that were named as owner and have not redirected to
	// another one.
	owners map[fleet.InstanceID]bool
	// announcing is set in the final phase, which queries the redirectors.
	announcing bool
	found      *Request
	// earlierCopy is the longest copy of the record that the redirectors store.
	earlierCopy *Request
	responded   map[fleet.InstanceID]bool
}

// NewSearch returns a search that queries the given routers in order. self, the
// router that searches, is not queried.
func NewSearch(call TakeoverCall, self fleet.InstanceID, routers []fleet.InstanceID) *Search {
	return &Search{
		call: call, queue: slices.Clone(routers),
		attempts:  map[fleet.InstanceID]int{self: maxAttempts},
		owners:    make(map[fleet.InstanceID]bool),
		responded: map[fleet.InstanceID]bool{self: true},
	}
}

// maxAttempts is the number of calls to a router that does not respond.
const maxAttempts = 2

// Found is the request that was found, or nil until then.
func (s *Search) Found() *Request { return s.found }

// Next returns the next router to query and the call, or false at the end of the
// search.
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

// ownerResponded reports whether a router that was named as owner responded. If no
// request was found, that router is still taking it over, or it has expired.
func (s *Search) ownerResponded() bool {
	for owner := range s.owners {
		if s.responded[owner] {
			return true
		}
	}
	return false
}

// Responded reports the reply of a router.
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

// Failed reports that a router did not respond.
func (s *Search) Failed(from fleet.InstanceID) {
	if !s.announcing && s.attempts[from] < maxAttempts {
		s.queue = append([]fleet.InstanceID{from}, s.queue...)
	}
}

// Result returns the request at the end of the search, or nil. moving reports that
// the request exists but is being taken over by another router.
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
