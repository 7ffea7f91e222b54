package router

import (
	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

// provideStreams provides the engine client, the quarantine, the handoff between
// routers and the metrics of streams.
func provideStreams(injector do.Injector) {
	do.Provide(injector, newEngineClient)
	do.Provide(injector, newDirectory)
	do.Provide(injector, newDrainer)
	do.Provide(injector, func(i do.Injector) (*readinessGate, error) {
		return &readinessGate{ready: do.MustInvoke[*daemon.Env](i).Ready}, nil
	})
	do.Provide(injector, func(do.Injector) (*peer.HandoffClient, error) { return peer.NewHandoffClient(), nil })
	do.Provide(injector, func(i do.Injector) (*streamMetrics, error) {
		return newStreamMetrics(do.MustInvoke[*daemon.Env](i).Metrics), nil
	})
	do.Provide(injector, func(i do.Injector) (*holder, error) {
		return newHolder(do.MustInvoke[task.Clock](i), do.MustInvoke[*task.Group](i)), nil
	})
	do.Provide(injector, func(i do.Injector) (*quarantineTask, error) {
		size := do.MustInvoke[*streamMetrics](i).fingerprints
		return newQuarantineTask(do.MustInvoke[*daemon.Env](i).Log, size, do.MustInvoke[task.Clock](i)), nil
	})
}

func newEngineClient(i do.Injector) (*engine.Client, error) {
	if bound := do.MustInvoke[*Settings](i).SilenceBound; bound > 0 {
		return engine.NewClientWithIdleTimeout(bound), nil
	}
	return engine.NewClient(), nil
}

// newDirectory returns a directory of the configured peers and this instance.
// The membership replaces its content later.
func newDirectory(i do.Injector) (*peer.Directory, error) {
	s := do.MustInvoke[*Settings](i)
	members := []peer.Member{{
		Instance: fleet.InstanceID(s.Instance), DataCentre: fleet.DataCentre(s.DataCentre),
		Region: fleet.Region(s.Region), Address: s.PeerListen,
	}}
	for _, p := range s.Peers {
		if p.Instance != s.Instance {
			members = append(members, peer.Member{
				Instance: fleet.InstanceID(p.Instance), DataCentre: fleet.DataCentre(p.DataCentre),
				Region: fleet.Region(p.Region), Address: p.Address,
			})
		}
	}
	return peer.NewDirectory(members), nil
}

func newDrainer(i do.Injector) (*drainer, error) {
	env := do.MustInvoke[*daemon.Env](i)
	return &drainer{
		log: env.Log, clock: do.MustInvoke[task.Clock](i), gate: do.MustInvoke[*readinessGate](i),
		mailbox: task.NewMailbox[drainNotice](drainCapacity), timer: task.NewTimer(),
	}, nil
}

func startStreams(i do.Injector, r *Router) {
	s, env := do.MustInvoke[*Settings](i), do.MustInvoke[*daemon.Env](i)
	d := do.MustInvoke[*drainer](i)
	d.router = r
	client := platform.NewLogClient(s.Log)
	writer := &evidenceWriter{client: client, unsent: r.quarantine.unsent}
	reader := &evidenceReader{client: client, quarantine: r.quarantine.mailbox}
	r.tasks.Go("holder", r.holder.Run)
	r.tasks.Go("drainer", d.Run)
	r.tasks.Go("quarantine", r.quarantine.Run)
	r.tasks.Go("evidence writer", writer.Run)
	r.tasks.Go("evidence reader", reader.Run)
	if env.Admin != nil {
		env.Admin.HandleFunc("POST /drain", d.drainHandler)
	}
}
