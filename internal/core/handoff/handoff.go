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
	RecordTTL = 10 * time.Minute
	// MaxHeldBytes bounds the memory of held records; beyond it offers are
	// declined and the leaving router tries another peer.
	MaxStoredBytes = 64 << 20
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
	MaxWait time.Duration
	Record  request.Record
}

func (r *Request) size() int {
	size := recordOverhead + len(r.Prompt)
	for _, text := range r.Record.Frames {
		size += len(text) + frameOverhead
	}
	return size
}

// Call asks a router for an open request of a team.
type TakeoverCall struct {
	ID   fleet.RequestID
	Team fleet.TeamName
	// Taker is the instance that takes the request over.
	NewOwner fleet.InstanceID
	// Peek leaves a running request where it is. With a Taker, it records that
	// instance as the one that has the request.
	Peek bool
}

// Taken is the answer to Call.
type TakeoverReply struct {
	// Request is nil if the callee does not hold the request.
	Request *Request
	// MovedTo names the instance that took the request over earlier.
	MovedTo fleet.InstanceID
}

// Holder keeps the records of requests that other routers handed over, and of
// those that were taken over from this router. Invariant: a record is given to
// one taker only, and again if that one repeats its call.
type RecordStore struct {
	records map[fleet.RequestID]*storedRecord
	bytes   int
}

type storedRecord struct {
	request   Request
	size      int
	expiresAt time.Duration
	// taker is empty until the record was taken over.
	newOwner fleet.InstanceID
}

// NewHolder returns a holder without records.
func NewRecordStore() *RecordStore {
	return &RecordStore{records: make(map[fleet.RequestID]*storedRecord)}
}

// Store keeps a record at monotonic time now. A taker is given if the request
// was taken over from this router while it ran. It reports false if there is
// no room.
func (s *RecordStore) Put(now time.Duration, r Request, newOwner fleet.InstanceID) bool {
	size := r.size()
	freed := 0
	if old, ok := s.records[r.ID]; ok {
		freed = old.size
	}
	if s.bytes+size-freed > MaxStoredBytes {
		return false
	}
	s.bytes += size - freed
	s.records[r.ID] = &storedRecord{request: r, size: size, expiresAt: now + RecordTTL, newOwner: newOwner}
	return true
}

// Take gives a record to its first taker. Any other taker learns who has it.
func (s *RecordStore) TakeOver(call TakeoverCall) TakeoverReply {
	record, ok := s.records[call.ID]
	if !ok || record.request.Team != call.Team {
		return TakeoverReply{}
	}
	previousOwner := record.newOwner
	if call.Peek {
		if call.NewOwner != "" {
			record.newOwner = call.NewOwner
		}
		return TakeoverReply{Request: &record.request, MovedTo: previousOwner}
	}
	if previousOwner != "" && previousOwner != call.NewOwner {
		return TakeoverReply{MovedTo: previousOwner}
	}
	record.newOwner = call.NewOwner
	return TakeoverReply{Request: &record.request}
}

// Waiting returns the records that nobody has taken over.
func (s *RecordStore) Unclaimed() []Request {
	var unclaimed []Request
	for _, record := range s.records {
		if record.newOwner == "" {
			unclaimed = append(unclaimed, record.request)
		}
	}
	return unclaimed
}

// Expire forgets old records and returns when to call it again, 0 for never.
func (s *RecordStore) Expire(now time.Duration) time.Duration {
	next := time.Duration(0)
	for id, record := range s.records {
		if record.expiresAt <= now {
			s.bytes -= record.size
			delete(s.records, id)
		} else if next == 0 || record.expiresAt < next {
			next = record.expiresAt
		}
	}
	return next
}
