package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	// maxFaultInterval bounds the random time between the starts of two faults.
	// Faults overlap, because each lasts up to maxFaultDuration.
	maxFaultInterval = 700 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// maxLinkDelay bounds the random delay of a slow link.
	maxLinkDelay = 150 * time.Millisecond
)

// fault is a named fault; begin starts it and returns the function that ends it.
type fault struct {
	name  string
	begin func(ctx context.Context, length time.Duration) (end func())
}

// injectFaults starts faults at random times, several of which may be active at
// once. All have ended when it returns.
func (r *run) injectFaults(ctx context.Context) error {
	var ends sync.WaitGroup
	busyUntil := make(map[*edgefleet.Edge]time.Time)
	for time.Since(r.startedAt) < r.options.Length && ctx.Err() == nil {
		sleep(ctx, time.Duration(r.random.Int64N(int64(maxFaultInterval))))
		if err := r.restartCrashed(ctx, replicaDownTime); err != nil {
			return err
		}
		r.writeHeartbeats()
		length := time.Duration(r.random.Int64N(int64(maxFaultDuration)))
		f, ok := r.chooseFault(busyUntil, length)
		if !ok {
			continue
		}
		r.recordFault("%s for %s", f.name, length.Round(time.Millisecond))
		end := f.begin(ctx, length)
		ends.Go(func() {
			sleep(ctx, length)
			end()
		})
	}
	ends.Wait()
	for _, p := range r.proxies {
		p.send(ctx, changeMode{func(m *mode) { *m = mode{firstForwarded: m.firstForwarded} }})
	}
	return r.restartCrashed(ctx, 0)
}

// chooseFault chooses a random fault. It reports false if the choice is a process
// that a previous fault may still affect, as busyUntil states.
func (r *run) chooseFault(busyUntil map[*edgefleet.Edge]time.Time, length time.Duration) (fault, bool) {
	switch r.random.IntN(3) {
	case 0:
		e := r.fleet.Edges[r.random.IntN(len(r.fleet.Edges))]
		if time.Now().Before(busyUntil[e]) {
			return fault{}, false
		}
		busyUntil[e] = time.Now().Add(length + edgefleet.GracePeriod + time.Second)
		return r.processFault(e), true
	case 1:
		return r.linkFault(r.proxies[r.random.IntN(len(r.proxies))]), true
	default:
		return r.platformFault(), true
	}
}

func (r *run) processFault(e *edgefleet.Edge) fault {
	restart := func() {
		<-e.Done()
		if err := e.Start(); err != nil {
			panic(err) // can't fail: the same program has been started before
		}
	}
	signalFault := func(name string, s syscall.Signal, end func()) fault {
		return fault{name + " of " + e.Name, func(context.Context, time.Duration) func() {
			_ = e.Signal(s)
			return end
		}}
	}
	faults := []fault{
		signalFault("kill", syscall.SIGKILL, restart),
		signalFault("pause", syscall.SIGSTOP, func() { _ = e.Signal(syscall.SIGCONT) }),
		signalFault("stop", syscall.SIGTERM, restart),
		signalFault("reload", syscall.SIGHUP, func() {}),
		{"pause and kill of " + e.Name, func(context.Context, time.Duration) func() {
			_ = e.Signal(syscall.SIGSTOP)
			return func() { _ = e.Signal(syscall.SIGKILL); restart() }
		}},
	}
	return faults[r.random.IntN(len(faults))]
}

func (r *run) linkFault(p *proxy) fault {
	delay := time.Duration(r.random.Int64N(int64(maxLinkDelay)))
	lastingFault := func(name string, apply, undo func(*mode)) fault {
		return fault{name + " of the link to " + p.target, func(ctx context.Context, _ time.Duration) func() {
			p.send(ctx, changeMode{apply})
			return func() { p.send(ctx, changeMode{undo}) }
		}}
	}
	instantFault := func(name string, msg any) fault {
		return fault{name + " of the channels to " + p.target, func(ctx context.Context, _ time.Duration) func() {
			p.send(ctx, msg)
			return func() {}
		}}
	}
	faults := []fault{
		lastingFault("delay", func(m *mode) { m.delay = delay }, func(m *mode) { m.delay = 0 }),
		lastingFault("cut to the server", func(m *mode) { m.blockedUp = true }, func(m *mode) { m.blockedUp = false }),
		lastingFault("cut to the client", func(m *mode) { m.blockedDown = true }, func(m *mode) { m.blockedDown = false }),
		instantFault("reset", resetConns{}),
		instantFault("silence", blackholeConns{}),
	}
	return faults[r.random.IntN(len(faults))]
}

func (r *run) platformFault() fault {
	replicas := r.replicas()
	replica := replicas[r.random.IntN(len(replicas))]
	replicaFaults := []userplatform.Fault{
		userplatform.FaultServerError, userplatform.FaultReject, userplatform.FaultReset, userplatform.FaultTruncateStream,
		userplatform.FaultUnframedStream, userplatform.FaultUnframedHead,
		userplatform.FaultStaleResponse, userplatform.FaultExtraResponse, userplatform.FaultUnsigned,
		userplatform.FaultEndlessHead, userplatform.FaultEndlessBody,
	}
	replicaFault := replicaFaults[r.random.IntN(len(replicaFaults))]
	refusedEdges := lo.Filter(r.fleet.Edges, func(*edgefleet.Edge, int) bool { return r.random.Float64() < 0.5 })
	faults := []fault{
		{"misbehaviour of replica " + replica.ID, func(context.Context, time.Duration) func() {
			replica.SetFault(replicaFault)
			return func() { replica.SetFault(userplatform.FaultNone) }
		}},
		pauseFault(replica),
		{"crash of replica " + replica.ID, func(context.Context, time.Duration) func() {
			replica.Crash()
			return func() {}
		}},
		{"crashing request", func(ctx context.Context, _ time.Duration) func() {
			r.probeTarget(ctx, r.fleet.Edges[r.random.IntN(len(r.fleet.Edges))], *r.key.Load(), crashTarget)
			return func() {}
		}},
		{"store turns processes away", func(context.Context, time.Duration) func() {
			for _, e := range refusedEdges {
				r.fleet.Store.SetRefusing(e.StoreAddress, true)
			}
			return func() {
				for _, e := range r.fleet.Edges {
					r.fleet.Store.SetRefusing(e.StoreAddress, false)
				}
			}
		}},
		{"new configuration", func(context.Context, time.Duration) func() {
			r.configure()
			return func() {}
		}},
	}
	return faults[r.random.IntN(len(faults))]
}
