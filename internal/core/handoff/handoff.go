// Package handoff decides which router owns an open request when routers leave
// and callers reconnect elsewhere. It contains the store of records that a router
// keeps for others, and the search for a request among routers.
package handoff

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
)

const (
	// RecordTTL is how long a record is stored for its caller to reconnect, and
	// how long a router redirects to the new owner of a request.
	RecordTTL = 10 * time.Minute
	// MaxStoredBytes bounds the memory of stored records; beyond it offers are
	// declined and the leaving router tries another peer.
	MaxStoredBytes = 64 << 20
	// recordOverhead and frameOverhead are the bytes counted per record and per
	// frame in addition to the texts.
	recordOverhead = 512
	frameOverhead  = 32
)

// Request is an open request in the form in which routers hand it over.
type Request struct {
	ID        fleet.RequestID
	Team      fleet.TeamName
	Service   fleet.ServiceName
	Class     fleet.Class
	Adapter   string
	Model     string
	Prompt    string
	MaxTokens int
	// MaxWait is the remaining time within which the request must be granted; 0
	// means no limit.
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

// TakeoverCall requests an open request of a team from a router, to take it over.
type TakeoverCall struct {
	ID   fleet.RequestID
	Team fleet.TeamName
	// NewOwner is the instance that takes the request over.
	NewOwner fleet.InstanceID
	// Peek reads the request without taking it over. With a NewOwner, it also
	// records that instance as the owner of the request.
	Peek bool
}

// TakeoverReply is the reply to TakeoverCall.
type TakeoverReply struct {
	// Request is nil if the callee does not have the request.
	Request *Request
	// MovedTo is the instance that took the request over earlier.
	MovedTo fleet.InstanceID
}

// RecordStore stores the records of requests that other routers handed over, and
// of those that were taken over from this router. Invariant: a record is handed
// to one new owner only, and again when that one repeats its call.
type RecordStore struct {
	records map[fleet.RequestID]*storedRecord
	bytes   int
}

type storedRecord struct {
	request   Request
	size      int
	expiresAt time.Duration
	// newOwner is empty until the record is taken over.
	newOwner fleet.InstanceID
}

// NewRecordStore returns an empty store.
func NewRecordStore() *RecordStore {
	return &RecordStore{records: make(map[fleet.RequestID]*storedRecord)}
}

// Put stores a record at monotonic time now. newOwner is empty unless the request
// was taken over from this router while it ran. Put returns false if the store is
// full.
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

// TakeOver returns a record to the first router that requests it, and redirects any
// other router to that one.
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

// Unclaimed returns the records that no instance has taken over.
func (s *RecordStore) Unclaimed() []Request {
	var unclaimed []Request
	for _, record := range s.records {
		if record.newOwner == "" {
			unclaimed = append(unclaimed, record.request)
		}
	}
	return unclaimed
}

// Expire deletes expired records and returns the time of the next expiry, or 0 if
// the store is empty.
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
