// Package proptest runs property tests with a fixed seed, so that each run checks
// the same cases.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Bounds sets the seed and the size of a property test.
type Bounds struct {
	Seed uint64
	// Checks is the number of generated cases.
	Checks int
	// Steps is the average number of actions in a case of a state machine test.
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

// shrinkTime bounds the search for a smaller failing case, in the syntax of
// time.ParseDuration.
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

// pickBits is the number of random bits that Pick scales to its range. It exceeds the
// bits of every n in use by enough to make the rounding error negligible.
const pickBits = 12

// Pick draws an integer from 0 to n-1 with uniform probability. The integer and
// element generators of rapid favour small values, so that a state machine test
// would rarely choose its later actions.
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
