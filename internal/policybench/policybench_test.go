package policybench

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestFiguresRepeat guards against figures that depend on map iteration order or
// on the host: two runs of one scenario must give equal figures.
func TestFiguresRepeat(t *testing.T) {
	is := is.New(t)
	u := rusev()
	first := breakdown("", summarize(simulate(u, Reclaim, newUnderTest)))
	second := breakdown("", summarize(simulate(u, Reclaim, newUnderTest)))
	is.True(slices.Equal(first, second)) // same figures in both runs
}

// TestCacheKeepsItsLimit guards against a prefix cache model that grows without
// limit, which would hide recomputed tokens.
func TestCacheKeepsItsLimit(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache(4)
	blocks := extendChain(nil, 7, 6)
	c.insert(blocks)
	is.Equal(len(c.entries), 4)
	is.Equal(c.match(blocks), 0)                 // the first blocks were evicted
	is.Equal(c.match(extendChain(nil, 8, 2)), 0) // other prefixes do not match
}
