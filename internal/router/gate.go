package router

import (
	"sync/atomic"

	"github.com/cornelhold/cornelhold/internal/daemon"
)

// startGate reports the process ready once it has a configuration and an
// instance list: with only one of them it would refuse every request. After
// leave it never reports ready again.
type startGate struct {
	ready      *daemon.Readiness
	configured atomic.Bool
	listed     atomic.Bool
	opened     atomic.Bool
	leaving    atomic.Pointer[string]
}

// configurationArrived is called after the dispatcher was told the configuration.
func (g *startGate) configurationArrived() {
	g.configured.Store(true)
	g.open()
}

// instancesArrived is called after the dispatcher was told the instance list.
func (g *startGate) instancesArrived() {
	g.listed.Store(true)
	g.open()
}

func (g *startGate) open() {
	if !g.configured.Load() || !g.listed.Load() || !g.opened.CompareAndSwap(false, true) {
		return
	}
	g.ready.Set("")
	if reason := g.leaving.Load(); reason != nil {
		g.ready.Set(*reason)
	}
}

// leave reports the process not ready for good.
func (g *startGate) leave(reason string) {
	g.leaving.Store(&reason)
	g.ready.Set(reason)
}
