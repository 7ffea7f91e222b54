package knownred

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestListIsExact guards against entries that cover a new failure, and against entries
// that remain unnoticed after the fault is fixed.
func TestListIsExact(t *testing.T) {
	is := is.New(t)
	entries, err := Read(strings.NewReader("# comment\nfigure: a/*/x | make bench | 1 instead of 0 | issue 5\nfigure: gone | make bench | seen\n"))
	is.NoErr(err)
	result := Compare(entries, []string{"a/1/x", "a/1/y", "a/1/2/x"}, []string{"a/2/x", "b"})
	is.Equal(result.Listed, []string{"a/1/x"})
	is.Equal(result.Unlisted, []string{"a/1/y", "a/1/2/x"})
	is.Equal(result.Stale, []string{"a/2/x", "gone"})
}

// TestMalformedEntryIsRefused guards against a malformed entry that is ignored without
// an error.
func TestMalformedEntryIsRefused(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"figure: a/[x | seen", "figure: a"} {
		_, err := Read(strings.NewReader(text))
		is.True(err != nil)
	}
}
