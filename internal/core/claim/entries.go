// Package claim runs non-idempotent calls at most once. Fold is the state
// built from the claim stream, Attempt the state machine of one submission of
// a call, Table all attempts of one router.
//
// Sequence of an attempt: append a claim, read it back as accepted, send once,
// append the outcome. The fold accepts at most one live claim for each key, so
// that at most one attempt sends. A release by the same attempt voids its
// claim; it is appended only if no byte was sent and none will be.
package claim

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// KeyMaxAge is the age in log time beyond which a key is refused. The log's
	// retention must exceed KeyMaxAge plus ClockTolerance.
	KeyMaxAge = 24 * time.Hour
	// ClockTolerance is how far a key's creation time may lie ahead of log time.
	ClockTolerance = 5 * time.Minute
	// MaxResponseBytes bounds the body of a recorded response.
	MaxResponseBytes = 64 << 10
)

// LogTime is the log service's append time in Unix milliseconds.
type LogTime int64

func (t LogTime) add(d time.Duration) LogTime { return t + LogTime(d.Milliseconds()) }

// KeyID is an idempotency key, a UUIDv7 (RFC 9562).
type KeyID [16]byte

// Created returns the creation time, which is stored in the first 48 bits.
func (k KeyID) Created() LogTime {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return LogTime(ms)
}

// Key identifies one call. Keys are scoped to their team.
type Key struct {
	Team fleet.TeamName
	ID   KeyID
}

// AttemptID identifies one attempt at a call. It is used for one claim only.
type AttemptID string

// Entry is one item of a claim record. A record groups entries of many calls.
type Entry interface {
	isEntry()
	// Subject returns the call and the attempt that the entry is about.
	Subject() (Key, AttemptID)
}

// Claim requests the exclusive right to send a call.
type Claim struct {
	Key     Key
	Attempt AttemptID
	// Fingerprint identifies the request that the key was first used for.
	Fingerprint fleet.Fingerprint
}

// Release voids the attempt's claim, whether it precedes or follows the
// release in the log.
type Release struct {
	Key     Key
	Attempt AttemptID
}

// Outcome ends a claim. Run is RunRan with the response, or RunUnknown when
// the request was sent and no complete response arrived.
type Outcome struct {
	Key      Key
	Attempt  AttemptID
	Run      fleet.RunState
	Response Response
}

// Response is the endpoint's response.
type Response struct {
	// Status is the HTTP status code.
	Status      int
	ContentType string
	Body        []byte
	// Omitted reports that the body exceeded MaxResponseBytes and is not stored.
	Omitted bool
}

func (Claim) isEntry()   {}
func (Release) isEntry() {}
func (Outcome) isEntry() {}

// Subject implements Entry.
func (c Claim) Subject() (Key, AttemptID) { return c.Key, c.Attempt }

// Subject implements Entry.
func (r Release) Subject() (Key, AttemptID) { return r.Key, r.Attempt }

// Subject implements Entry.
func (o Outcome) Subject() (Key, AttemptID) { return o.Key, o.Attempt }
