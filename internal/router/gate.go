package router

import (
	"sync/atomic"

	"github.com/cornelhold/cornelhold/internal/daemon"
)

// readinessGate reports the process ready once it has a configuration and an
// instance list; without either it would refuse every request. After setLeaving
// it never reports ready again.
type readinessGate struct {
	ready         *daemon.Readiness
	configured    atomic.Bool
	listed        atomic.Bool
	reported      atomic.Bool
	leavingReason atomic.Pointer[string]
}

// setConfigured is called after the configuration was sent to the dispatcher.
func (g *readinessGate) setConfigured() {
	g.configured.Store(true)
	g.reportReady()
}

// setListed is called after the instance list was sent to the dispatcher.
func (g *readinessGate) setListed() {
	g.listed.Store(true)
	g.reportReady()
}

func (g *readinessGate) reportReady() {
	if !g.configured.Load() || !g.listed.Load() || !g.reported.CompareAndSwap(false, true) {
		return
	}
	g.ready.Set("")
	if reason := g.leavingReason.Load(); reason != nil {
		g.ready.Set(*reason)
	}
}

// setLeaving reports the process permanently not ready.
func (g *readinessGate) setLeaving(reason string) {
	g.leavingReason.Store(&reason)
	g.ready.Set(reason)
}
