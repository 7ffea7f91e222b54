package policybench

import "github.com/cornelhold/cornelhold/internal/core/dispatch"

// newUnderTest returns the dispatch machine of one router.
func newUnderTest(u *user, router int) Policy {
	return dispatch.NewWithOptions(dispatch.Options{DataCentre: u.dataCentres[router%len(u.dataCentres)], Seed: uint64(router)})
}
