// Package config folds the ticket stream into the active configuration.
//
// A ticket is accepted if its number is the last accepted number plus one, in
// log order. Nothing else decides acceptance, so that all readers of the same
// prefix agree whatever program version they run. Object values are opaque to
// the fold; package ticket decodes them into the typed Spec.
package config

import "slices"

// Number is the sequence number of an accepted ticket. 0 means that no ticket
// has been accepted.
type Number uint64

// ObjectKey names a configured object, for example service/dial-advisor.
type ObjectKey struct {
	Kind string
	Name string
}

// String returns kind/name.
func (k ObjectKey) String() string { return k.Kind + "/" + k.Name }

// Object carries the complete new value of one configured object.
type Object struct {
	Key ObjectKey
	// Value is opaque to the fold and must not be modified.
	Value []byte
	// Deleted removes the object; Value is then empty.
	Deleted bool
}

// Ticket is one numbered change of the configuration.
type Ticket struct {
	// ID is unique for each filing, so that an operator whose append response
	// was lost can find out whether this ticket was accepted.
	ID string
	// Number is the number that the ticket claims.
	Number Number
	// Schema is the version of the object encoding.
	Schema int
	// Author is the operator who filed the ticket.
	Author string
	// Comment is the operator's reason for the ticket.
	Comment string
	Objects []Object
}

// Verdict is the result of folding one ticket.
type Verdict uint8

// Verdicts.
const (
	// VerdictAccepted: the ticket is part of the configuration.
	VerdictAccepted Verdict = iota + 1
	// VerdictLost: another ticket holds the number.
	VerdictLost
	// VerdictGap: the ticket's number is greater than the next number.
	VerdictGap
	// VerdictDuplicate: the same ticket was already folded under its number.
	VerdictDuplicate
	// VerdictMalformed: the record is not a valid ticket; readers skip it.
	VerdictMalformed
	// VerdictCovered: the snapshot already covers the record.
	VerdictCovered
)

// String returns the name used in metrics and by the operators' client.
func (v Verdict) String() string {
	names := [...]string{"invalid", "accepted", "lost", "gap", "duplicate", "malformed", "covered"}
	if int(v) >= len(names) {
		return names[0]
	}
	return names[v]
}

// Record is one decoded record of the ticket stream.
type Record struct {
	// Offset is the position of the record in the ticket stream.
	Offset uint64
	// TimeMillis is the log service's append time, Unix milliseconds.
	TimeMillis int64
	Ticket     Ticket
	// Malformed reports whether decoding the record failed; Ticket is then empty.
	Malformed bool
}

// Snapshot is the complete configuration at one number. A snapshot is immutable.
type Snapshot struct {
	Number Number
	// TicketID is the id of the ticket that holds Number.
	TicketID string
	// Offset is the offset of the first ticket record that is not covered.
	Offset uint64
	// Objects is sorted by key.
	Objects []Object
}

// Find returns the object with the given key.
func (s *Snapshot) Find(key ObjectKey) (Object, bool) {
	i, ok := slices.BinarySearchFunc(s.Objects, key, compareObjectKey)
	if !ok {
		return Object{}, false
	}
	return s.Objects[i], true
}

// ObjectsSorted reports whether the objects are in the order of a Snapshot,
// without duplicates.
func ObjectsSorted(objects []Object) bool {
	for i := 1; i < len(objects); i++ {
		if compareObjectKey(objects[i-1], objects[i].Key) >= 0 {
			return false
		}
	}
	return true
}

func compareObjectKey(o Object, key ObjectKey) int {
	if o.Key.Kind != key.Kind {
		if o.Key.Kind < key.Kind {
			return -1
		}
		return 1
	}
	switch {
	case o.Key.Name < key.Name:
		return -1
	case o.Key.Name > key.Name:
		return 1
	default:
		return 0
	}
}
