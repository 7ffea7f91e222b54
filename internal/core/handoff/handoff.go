// Package handoff decides who holds an open request when routers leave and
// callers reconnect elsewhere: the records that a router keeps for others, and
// the search for a request among routers.
package handoff

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
)

const (
	// HeldFor is how long a record waits for its caller to reconnect, and how
	// long a router remembers who took a request over.
	HeldFor = 10 * time.Minute
	// MaxHeldBytes bounds the memory of held records; beyond it offers are
	// declined and the leaving router tries another peer.
	MaxHeldBytes = 64 << 20
	// recordOverhead and frameOverhead are counted beside the texts, in bytes.
	recordOverhead = 512
	frameOverhead  = 32
)

// Request is an open request as routers hand it to each other.
type Request struct {
	ID        fleet.RequestID
	Team      fleet.TeamName
	Service   fleet.ServiceName
	Class     fleet.Class
	Adapter   string
	Model     string
	Prompt    string
	MaxTokens int
	// Wait is the time left until the request must be granted; 0 means no bound.
	Wait   time.Duration
	Record request.Record
}

func (r *Request) size() int {
	size := recordOverhead + len(r.Prompt)
	for _, text := range r.Record.Frames {
		size += len(text) + frameOverhead
	}
	return size
}

// Call asks a router for an open request of a team.
type Call struct {
	ID   fleet.RequestID
	Team fleet.TeamName
	// Taker is the instance that takes the request over.
	Taker fleet.InstanceID
	// Peek leaves a running request where it is. With a Taker, it records that
	// instance as the one that has the request.
	Peek bool
}

// Taken is the answer to Call.
type Taken struct {
	// Request is nil if the callee does not hold the request.
	Request *Request
	// MovedTo names the instance that took the request over earlier.
	MovedTo fleet.InstanceID
}

// Holder keeps the records of requests that other routers handed over, and of
// those that were taken over from this router. Invariant: a record is given to
// one taker only, and again if that one repeats its call.
type Holder struct {
	held  map[fleet.RequestID]*held
	bytes int
}

type held struct {
	request Request
	size    int
	expires time.Duration
	// taker is empty until the record was taken over.
	taker fleet.InstanceID
}

// NewHolder returns a holder without records.
func NewHolder() *Holder { return &Holder{held: make(map[fleet.RequestID]*held)} }

// Store keeps a record at monotonic time now. A taker is given if the request
// was taken over from this router while it ran. It reports false if there is
// no room.
func (h *Holder) Store(now time.Duration, r Request, taker fleet.InstanceID) bool {
	size := r.size()
	freed := 0
	if old, ok := h.held[r.ID]; ok {
		freed = old.size
	}
	if h.bytes+size-freed > MaxHeldBytes {
		return false
	}
	h.bytes += size - freed
	h.held[r.ID] = &held{request: r, size: size, expires: now + HeldFor, taker: taker}
	return true
}

// Take gives a record to its first taker. Any other taker learns who has it.
func (h *Holder) Take(call Call) Taken {
	record, ok := h.held[call.ID]
	if !ok || record.request.Team != call.Team {
		return Taken{}
	}
	earlier := record.taker
	if call.Peek {
		if call.Taker != "" {
			record.taker = call.Taker
		}
		return Taken{Request: &record.request, MovedTo: earlier}
	}
	if earlier != "" && earlier != call.Taker {
		return Taken{MovedTo: earlier}
	}
	record.taker = call.Taker
	return Taken{Request: &record.request}
}

// Waiting returns the records that nobody has taken over.
func (h *Holder) Waiting() []Request {
	var waiting []Request
	for _, record := range h.held {
		if record.taker == "" {
			waiting = append(waiting, record.request)
		}
	}
	return waiting
}

// Expire forgets old records and returns when to call it again, 0 for never.
func (h *Holder) Expire(now time.Duration) time.Duration {
	next := time.Duration(0)
	for id, record := range h.held {
		if record.expires <= now {
			h.bytes -= record.size
			delete(h.held, id)
		} else if next == 0 || record.expires < next {
			next = record.expires
		}
	}
	return next
}
