package controller

import (
	"sync/atomic"

	"github.com/cornelhold/cornelhold/internal/daemon"
)

// readiness reports ready once a configuration is active and the lease stream
// has been read to its end.
type readiness struct {
	ready          *daemon.Readiness
	isConfigured   atomic.Bool
	isLeasesCaught atomic.Bool
}

func (r *readiness) configured() {
	r.isConfigured.Store(true)
	r.update()
}

func (r *readiness) caughtUp() {
	r.isLeasesCaught.Store(true)
	r.update()
}

func (r *readiness) update() {
	switch {
	case !r.isConfigured.Load():
		r.ready.Set("no configuration is active; check that the log service is reachable and holds tickets")
	case !r.isLeasesCaught.Load():
		r.ready.Set("the lease stream has not been read; check that the log service is reachable")
	default:
		r.ready.Set("")
	}
}
