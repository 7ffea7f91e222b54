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
	// faultGap bounds the time between the beginnings of two faults; faults
	// overlap, because each lasts up to faultLength.
	faultGap    = 700 * time.Millisecond
	faultLength = 2500 * time.Millisecond
	// proxyDelay bounds the delay of a slow link.
	proxyDelay = 150 * time.Millisecond
)

// fault begins a fault and returns its end.
type fault struct {
	name  string
	begin func(ctx context.Context, length time.Duration) (end func())
}

// inject begins faults at random times. Their ends overlap with the beginnings
// of others; all have ended when it returns.
func (r *run) inject(ctx context.Context) {
	var ends sync.WaitGroup
	busy := make(map[*edgefleet.Edge]time.Time)
	for time.Since(r.began) < r.options.Length && ctx.Err() == nil {
		sleep(ctx, time.Duration(r.random.Int64N(int64(faultGap))))
		length := time.Duration(r.random.Int64N(int64(faultLength)))
		f, ok := r.draw(busy, length)
		if !ok {
			continue
		}
		r.note("%s for %s", f.name, length.Round(time.Millisecond))
		end := f.begin(ctx, length)
		ends.Go(func() {
			sleep(ctx, length)
			end()
		})
	}
	ends.Wait()
	for _, p := range r.proxies {
		p.send(ctx, change{func(m *mode) { *m = mode{silentBefore: m.silentBefore} }})
	}
}

// draw chooses a fault. A process that is stopped, paused or started again is
// left alone until that has ended.
func (r *run) draw(busy map[*edgefleet.Edge]time.Time, length time.Duration) (fault, bool) {
	switch r.random.IntN(3) {
	case 0:
		e := r.fleet.Edges[r.random.IntN(len(r.fleet.Edges))]
		if time.Now().Before(busy[e]) {
			return fault{}, false
		}
		busy[e] = time.Now().Add(length + edgefleet.GracePeriod + time.Second)
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
			panic(err) // the program was started before
		}
	}
	signalled := func(name string, s syscall.Signal, end func()) fault {
		return fault{name + " of " + e.Name, func(context.Context, time.Duration) func() {
			_ = e.Signal(s)
			return end
		}}
	}
	faults := []fault{
		signalled("kill", syscall.SIGKILL, restart),
		signalled("pause", syscall.SIGSTOP, func() { _ = e.Signal(syscall.SIGCONT) }),
		signalled("stop", syscall.SIGTERM, restart),
		signalled("reload", syscall.SIGHUP, func() {}),
		{"pause and kill of " + e.Name, func(context.Context, time.Duration) func() {
			_ = e.Signal(syscall.SIGSTOP)
			return func() { _ = e.Signal(syscall.SIGKILL); restart() }
		}},
	}
	return faults[r.random.IntN(len(faults))]
}

func (r *run) linkFault(p *proxy) fault {
	delay := time.Duration(r.random.Int64N(int64(proxyDelay)))
	set := func(name string, apply, undo func(*mode)) fault {
		return fault{name + " of the link to " + p.target, func(ctx context.Context, _ time.Duration) func() {
			p.send(ctx, change{apply})
			return func() { p.send(ctx, change{undo}) }
		}}
	}
	once := func(name string, msg any) fault {
		return fault{name + " of the channels to " + p.target, func(ctx context.Context, _ time.Duration) func() {
			p.send(ctx, msg)
			return func() {}
		}}
	}
	faults := []fault{
		set("delay", func(m *mode) { m.delay = delay }, func(m *mode) { m.delay = 0 }),
		set("cut to the server", func(m *mode) { m.cutUp = true }, func(m *mode) { m.cutUp = false }),
		set("cut to the client", func(m *mode) { m.cutDown = true }, func(m *mode) { m.cutDown = false }),
		once("reset", resetAll{}),
		once("silence", silence{}),
	}
	return faults[r.random.IntN(len(faults))]
}

func (r *run) platformFault() fault {
	all := append(append([]*userplatform.Replica{}, r.fleet.ModelReplicas...), r.fleet.PlainReplicas...)
	replica := all[r.random.IntN(len(all))]
	misbehaviours := []userplatform.Fault{
		userplatform.FaultServerError, userplatform.FaultReject, userplatform.FaultReset, userplatform.FaultTruncateStream,
		userplatform.FaultStaleResponse, userplatform.FaultExtraResponse, userplatform.FaultUnsigned,
	}
	misbehaviour := misbehaviours[r.random.IntN(len(misbehaviours))]
	turned := lo.Filter(r.fleet.Edges, func(*edgefleet.Edge, int) bool { return r.random.Float64() < 0.5 })
	faults := []fault{
		{"misbehaviour of replica " + replica.ID, func(context.Context, time.Duration) func() {
			replica.SetFault(misbehaviour)
			return func() { replica.SetFault(userplatform.FaultNone) }
		}},
		{"store turns processes away", func(context.Context, time.Duration) func() {
			for _, e := range turned {
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
