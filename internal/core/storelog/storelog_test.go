package storelog

import (
	"testing"

	"github.com/matryer/is"
)

// TestPositionsAreOrderedByEraAndOffset guards against a record of a later era that counts as older
// than one of an earlier era with a higher offset, and against values that overflow into the era.
func TestPositionsAreOrderedByEraAndOffset(t *testing.T) {
	is := is.New(t)
	at := func(era Era, offset int64) Position {
		p, ok := At(era, offset)
		is.True(ok)
		is.Equal(p.Era(), era)
		is.Equal(p.Offset(), offset)
		return p
	}
	ordered := []Position{at(0, 0), at(0, 7), at(0, MaxOffset), at(1, 0), at(1, 3), at(2, 2), at(MaxEra, MaxOffset)}
	for i := 1; i < len(ordered); i++ {
		is.True(ordered[i-1] < ordered[i])
	}
	is.Equal(at(2, 13).String(), "2/13")
	for _, invalid := range []struct {
		era    Era
		offset int64
	}{{-1, 0}, {0, -1}, {MaxEra + 1, 0}, {0, MaxOffset + 1}} {
		_, ok := At(invalid.era, invalid.offset)
		is.True(!ok)
	}
}
