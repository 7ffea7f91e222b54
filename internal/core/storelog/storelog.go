// Package storelog orders the records of the platform's store. The store may come back from an
// older copy, which begins a new epoch: offsets then go back and are given out again to other records.
package storelog

import "fmt"

// Epoch numbers the copies from which the store has served, from 0. It rises by one each time that
// the store comes back from an older copy.
type Epoch int64

// MaxEpoch is the highest epoch, MaxOffset the highest offset that a Position holds.
const (
	offsetBits = 32
	MaxOffset  = 1<<offsetBits - 1
	MaxEpoch   = 1<<(62-offsetBits) - 1
)

// Position is the place of a record in a partition, as known in an epoch of the store: the epoch in
// the upper bits, the offset in the lower ones. Positions of a later epoch are greater whatever
// their offset. One record has a position in each epoch whose copy contains it.
type Position int64

// At returns the position of an offset in an epoch. It reports false if either is out of range.
func At(epoch Epoch, offset int64) (Position, bool) {
	if epoch < 0 || epoch > MaxEpoch || offset < 0 || offset > MaxOffset {
		return 0, false
	}
	return Position(int64(epoch)<<offsetBits | offset), true
}

// Epoch returns the epoch in which the position is valid.
func (p Position) Epoch() Epoch { return Epoch(p >> offsetBits) }

// Offset returns the offset, by which the store itself knows the record.
func (p Position) Offset() int64 { return int64(p & MaxOffset) }

// String returns the epoch and the offset for logs.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Epoch(), p.Offset()) }

// MarshalText returns the form of String for structured logs.
func (p Position) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
