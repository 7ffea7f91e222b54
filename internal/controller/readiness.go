package controller

import (
	"sync/atomic"

	"github.com/cornelhold/cornelhold/internal/daemon"
)

// readiness reports the process as ready once a configuration is active and the
// lease stream has been read to its end.
type readiness struct {
	ready            *daemon.Readiness
	hasConfiguration atomic.Bool
	leasesCaughtUp   atomic.Bool
}

func (r *readiness) configured() {
	r.hasConfiguration.Store(true)
	r.update()
}

func (r *readiness) caughtUp() {
	r.leasesCaughtUp.Store(true)
	r.update()
}

func (r *readiness) update() {
	switch {
	case !r.hasConfiguration.Load():
		r.ready.Set("no configuration is active; check that the log service is reachable and holds tickets")
	case !r.leasesCaughtUp.Load():
		r.ready.Set("the lease stream has not been read; check that the log service is reachable")
	default:
		r.ready.Set("")
	}
}
