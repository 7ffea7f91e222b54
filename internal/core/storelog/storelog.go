// Package storelog orders the records of the platform's store. The store may come back from an
// older copy, which begins a new era: offsets then go back and are given out again to other records.
package storelog

import "fmt"

// Era numbers the copies from which the store has served, from 0. It rises by one each time that
// the store comes back from an older copy.
type Era int64

// MaxEra is the highest era, MaxOffset the highest offset that a Position holds.
const (
	offsetBits = 32
	MaxOffset  = 1<<offsetBits - 1
	MaxEra     = 1<<(62-offsetBits) - 1
)

// Position is the place of a record in a partition, as known in an era of the store: the era in
// the upper bits, the offset in the lower ones. Positions of a later era are greater whatever
// their offset. One record has a position in each era whose copy contains it.
type Position int64

// At returns the position of an offset in an era. It reports false if either is out of range.
func At(era Era, offset int64) (Position, bool) {
	if era < 0 || era > MaxEra || offset < 0 || offset > MaxOffset {
		return 0, false
	}
	return Position(int64(era)<<offsetBits | offset), true
}

// Era returns the era in which the position is valid.
func (p Position) Era() Era { return Era(p >> offsetBits) }

// Offset returns the offset, by which the store itself knows the record.
func (p Position) Offset() int64 { return int64(p & MaxOffset) }

// String returns the era and the offset for logs.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era(), p.Offset()) }

// MarshalText returns the form of String for structured logs.
func (p Position) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
