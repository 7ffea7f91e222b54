package request_test

import (
	"testing"

	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestMain fixes the seed of the property tests, so that runs are repeatable.
func TestMain(m *testing.M) { proptest.Main(m, 20261204, 2000) }
