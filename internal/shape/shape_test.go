package shape

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const planted = "testdata/internal/core/planted"

// TestCoreHasNoConcurrency guards the rule that decisions are pure.
func TestCoreHasNoConcurrency(t *testing.T) {
	is := is.New(t)
	violations, err := Check("../core")
	is.NoErr(err)
	for _, v := range violations {
		t.Error(v)
	}
}

// TestPlantedGoroutineIsFound guards against a check that passes everything.
func TestPlantedGoroutineIsFound(t *testing.T) {
	is := is.New(t)
	violations, err := Check(planted)
	is.NoErr(err)
	is.Equal(len(violations), 1)
}

// TestLinterRefusesPlantedViolation guards the linter rules that keep I/O and
// clocks out of the core.
func TestLinterRefusesPlantedViolation(t *testing.T) {
	is := is.New(t)
	cmd := exec.Command("go", "tool", "-modfile=tools/lint/go.mod", "golangci-lint", "run",
		"--allow-parallel-runners", "./internal/shape/"+planted)
	cmd.Dir = "../.."
	out, err := cmd.CombinedOutput()
	is.True(err != nil) // the linter must fail
	is.True(strings.Contains(string(out), "import 'net' is not allowed"))
	is.True(strings.Contains(string(out), "time.Now"))
}
