package storelog

import (
	"testing"
	"time"

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

// TestCallsAfterRollbackAreBounded guards against calls of all instances at once, beyond what the
// store accepts, after it came back from an older copy: at 9, 80 and 810 instances, the latter with a
// list of 25 pages.
func TestCallsAfterRollbackAreBounded(t *testing.T) {
	is := is.New(t)
	const reads, share = 2000, 0.25
	for _, d := range []struct{ instances, pages int }{{9, 1}, {80, 1}, {810, 25}} {
		spread := Spread(d.instances, d.pages, reads, share)
		is.True(float64(d.instances*d.pages)/spread.Seconds() <= share*reads*1.01)
		is.True(d.pages > 1 || spread < 500*time.Millisecond) // of the bounds of a draining endpoint
	}
	is.Equal(Spread(9, 1, 0, share), time.Duration(0))
}
