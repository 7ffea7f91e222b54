// Package proptest runs property tests with a fixed seed, so that the verdict
// is the same on every run.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Bounds sets the size of a property test.
type Bounds struct {
	Seed uint64
	// Checks is the number of generated cases.
	Checks int
	// Steps is the average number of actions of a state machine test.
	Steps int
}

// Check runs the property. The flags of package rapid are process-wide, so
// property tests must not run in parallel with each other.
func Check(t *testing.T, b Bounds, property func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", strconv.FormatUint(b.Seed, 10))
	set(t, "rapid.checks", strconv.Itoa(b.Checks))
	set(t, "rapid.steps", strconv.Itoa(b.Steps))
	set(t, "rapid.nofailfile", "true")
	rapid.Check(t, property)
}

// shrinkTime bounds the search for a smaller failing case.
const shrinkTime = "1s"

// Main runs the tests of a package whose property tests call package rapid
// directly, with one seed and number of checks for all of them. Call it from
// TestMain.
func Main(m *testing.M, seed uint64, checks int) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       strconv.FormatUint(seed, 10),
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.shrinktime": shrinkTime,
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// pickBits exceeds the bits of every n passed to Pick by enough to hide the
// rounding.
const pickBits = 12

// Pick draws 0 to n-1, all equally likely. rapid's own integer and element
// generators prefer small values, which starves later actions of a state
// machine test.
func Pick(t *rapid.T, n int) int {
	value := 0
	for range pickBits {
		value *= 2
		if rapid.Bool().Draw(t, "bit") {
			value++
		}
	}
	return value * n >> pickBits
}
