package policybench

import "github.com/cornelhold/cornelhold/internal/core/dispatch"

// newUnderTest returns the dispatcher of one router.
func newUnderTest(_ *user, _ int) Policy { return dispatch.New() }
