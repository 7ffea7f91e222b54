package admit

import (
	"testing"

	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestMain fixes the seed of the property tests, so that every run has the
// same verdict.
func TestMain(m *testing.M) { proptest.Main(m, 20261204, 300) }
