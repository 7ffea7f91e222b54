package storelog

import (
	"testing"

	"github.com/matryer/is"
)

// TestPositionsAreOrderedByEpochAndOffset guards against a record of a later epoch that counts as older
// than one of an earlier epoch with a higher offset, and against values that overflow into the epoch.
func TestPositionsAreOrderedByEpochAndOffset(t *testing.T) {
	is := is.New(t)
	at := func(epoch Epoch, offset int64) Position {
		p, ok := At(epoch, offset)
		is.True(ok)
		is.Equal(p.Epoch(), epoch)
		is.Equal(p.Offset(), offset)
		return p
	}
	ordered := []Position{at(0, 0), at(0, 7), at(0, MaxOffset), at(1, 0), at(1, 3), at(2, 2), at(MaxEpoch, MaxOffset)}
	for i := 1; i < len(ordered); i++ {
		is.True(ordered[i-1] < ordered[i])
	}
	is.Equal(at(2, 13).String(), "2/13")
	for _, invalid := range []struct {
		epoch  Epoch
		offset int64
	}{{-1, 0}, {0, -1}, {MaxEpoch + 1, 0}, {0, MaxOffset + 1}} {
		_, ok := At(invalid.epoch, invalid.offset)
		is.True(!ok)
	}
}
