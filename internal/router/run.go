package router

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

// headerTimeout bounds the time in which a caller must send its headers.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds the request headers of a caller.
const maxHeaderBytes = 64 << 10

// FrontEnd returns the HTTP handler of the callers' interface.
type FrontEnd func(r *Router, active *Active) http.Handler

// Run serves until ctx ends, then stops gracefully.
func Run(ctx context.Context, env *daemon.Env, s *Settings, front FrontEnd) error {
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, env)
	do.ProvideValue(injector, task.NewClock())
	do.ProvideValue(injector, task.NewGroup(tasksCtx))
	do.ProvideValue(injector, &Active{})
	provideTasks(injector)
	provideStreams(injector)
	r, err := do.Invoke[*Router](injector)
	if err != nil {
		return err
	}
	p, err := do.Invoke[*peering](injector)
	if err != nil {
		return err
	}
	r.announceLeaving = p.announceLeaving
	// The listener is opened before any task can report the router as ready.
	listener, err := listen(s)
	if err != nil {
		return err
	}
	startTasks(injector, r)
	startStreams(injector, r)
	p.start(r.tasks, peer.HandoffService(r))
	// Other instances are notified immediately that this one stops.
	stopped := context.AfterFunc(ctx, func() { p.announceLeaving(tasksCtx) })
	defer stopped()
	serveCtx, failed := context.WithCancelCause(ctx)
	defer failed(nil)
	go func() { failed(r.tasks.Wait()) }()
	if err := serve(serveCtx, env.Log, do.MustInvoke[*readinessGate](injector), s, r, listener, front(r, r.active)); err != nil {
		return err
	}
	return taskFailure(serveCtx)
}

func provideTasks(injector do.Injector) {
	do.Provide(injector, func(i do.Injector) (*dispatcher, error) {
		return provideDispatcher(i), nil
	})
	do.Provide(injector, func(do.Injector) (*registry, error) { return newRegistry(), nil })
	do.Provide(injector, newPeering)
	do.Provide(injector, newWatcher)
	do.Provide(injector, newFeeds)
	do.Provide(injector, newRouter)
	provideCalls(injector)
}

func newRouter(i do.Injector) (*Router, error) {
	s := do.MustInvoke[*Settings](i)
	return &Router{
		self:        fleet.InstanceID(s.Instance),
		dataCentre:  fleet.DataCentre(s.DataCentre),
		clock:       do.MustInvoke[task.Clock](i),
		active:      do.MustInvoke[*Active](i),
		dispatcher:  do.MustInvoke[*dispatcher](i),
		registry:    do.MustInvoke[*registry](i),
		handoffTask: do.MustInvoke[*handoffTask](i),
		quarantine:  do.MustInvoke[*quarantineTask](i),
		directory:   do.MustInvoke[*peer.Directory](i),
		handoff:     do.MustInvoke[*peer.HandoffClient](i),
		engine:      do.MustInvoke[*engine.Client](i),
		metrics:     do.MustInvoke[*streamMetrics](i),
		tasks:       do.MustInvoke[*task.Group](i),
		calls:       do.MustInvoke[*calls](i),
	}, nil
}

func newWatcher(i do.Injector) (*watcher, error) {
	return &watcher{
		client:     platform.NewInstanceClient(do.MustInvoke[*Settings](i).Instances),
		dispatcher: do.MustInvoke[*dispatcher](i).mailbox,
		quarantine: do.MustInvoke[*quarantineTask](i).mailbox,
		drainer:    do.MustInvoke[*drainer](i).mailbox,
		feeds:      do.MustInvoke[*feeds](i).mailbox,
		gate:       do.MustInvoke[*readinessGate](i),
		self:       fleet.InstanceID(do.MustInvoke[*Settings](i).Instance),
	}, nil
}

func startTasks(i do.Injector, r *Router) {
	r.tasks.Go("dispatcher", r.dispatcher.Run)
	r.tasks.Go("registry", r.registry.Run)
	startCalls(r)
	r.tasks.Go("feeds", do.MustInvoke[*feeds](i).Run)
	r.tasks.Go("watcher", do.MustInvoke[*watcher](i).Run)
}

// taskFailure returns the error of the task whose failure ended ctx, or nil.
func taskFailure(ctx context.Context) error {
	if cause := context.Cause(ctx); task.Error.Has(cause) {
		return cause
	}
	return nil
}
