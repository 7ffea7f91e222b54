package shape

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const planted = "testdata/internal/core/planted"

// TestCoreHasNoConcurrency guards against goroutines and channels in the core, whose
// results must depend on their inputs alone.
func TestCoreHasNoConcurrency(t *testing.T) {
	is := is.New(t)
	violations, err := Check("../core")
	is.NoErr(err)
	for _, v := range violations {
		t.Error(v)
	}
}

// TestPlantedGoroutineIsFound guards against a check that reports no violation at all.
func TestPlantedGoroutineIsFound(t *testing.T) {
	is := is.New(t)
	violations, err := Check(planted)
	is.NoErr(err)
	is.Equal(len(violations), 1)
}

// TestLinterRefusesPlantedViolation guards against linter settings that admit I/O or
// clocks in the core.
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
