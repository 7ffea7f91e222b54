package router

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

// headerTimeout bounds how long a caller may take to send its headers.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds the request headers of a caller.
const maxHeaderBytes = 64 << 10

// FrontEnd builds the callers' interface on top of a router.
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
	// The listener exists before any task can report that the router is ready.
	listener, err := listen(s)
	if err != nil {
		return err
	}
	startTasks(injector, r)
	startStreams(injector, r)
	return serve(ctx, env, s, r, listener, front(r, r.active))
}

func provideTasks(injector do.Injector) {
	do.Provide(injector, func(i do.Injector) (*dispatcher, error) {
		return newDispatcherFrom(i), nil
	})
	do.Provide(injector, func(do.Injector) (*registry, error) { return newRegistry(), nil })
	do.Provide(injector, newFollower)
	do.Provide(injector, newWatcher)
	do.Provide(injector, newFeeds)
	do.Provide(injector, newRouter)
	provideCalls(injector)
}

func newRouter(i do.Injector) (*Router, error) {
	s := do.MustInvoke[*Settings](i)
	return &Router{
		self:       fleet.InstanceID(s.Instance),
		dataCentre: fleet.DataCentre(s.DataCentre),
		clock:      do.MustInvoke[task.Clock](i),
		active:     do.MustInvoke[*Active](i),
		dispatcher: do.MustInvoke[*dispatcher](i),
		registry:   do.MustInvoke[*registry](i),
		holder:     do.MustInvoke[*holder](i),
		quarantine: do.MustInvoke[*quarantineTask](i),
		directory:  do.MustInvoke[*peer.Directory](i),
		handoff:    do.MustInvoke[*peer.HandoffClient](i),
		engine:     do.MustInvoke[*engine.Client](i),
		metrics:    do.MustInvoke[*streamMetrics](i),
		tasks:      do.MustInvoke[*task.Group](i),
		calls:      do.MustInvoke[*calls](i),
	}, nil
}

func newFollower(i do.Injector) (*follower, error) {
	env := do.MustInvoke[*daemon.Env](i)
	return &follower{
		log:        env.Log,
		client:     platform.NewLogClient(do.MustInvoke[*Settings](i).Log),
		fold:       config.NewFold(),
		active:     do.MustInvoke[*Active](i),
		dispatcher: do.MustInvoke[*dispatcher](i).mailbox,
		onActive:   func(config.Number) { env.Ready.Set("") },
	}, nil
}

func newWatcher(i do.Injector) (*watcher, error) {
	return &watcher{
		client:     platform.NewInstanceClient(do.MustInvoke[*Settings](i).Instances),
		dispatcher: do.MustInvoke[*dispatcher](i).mailbox,
		quarantine: do.MustInvoke[*quarantineTask](i).mailbox,
		drainer:    do.MustInvoke[*drainer](i).mailbox,
		feeds:      do.MustInvoke[*feeds](i).mailbox,
		self:       fleet.InstanceID(do.MustInvoke[*Settings](i).Instance),
	}, nil
}

func startTasks(i do.Injector, r *Router) {
	r.tasks.Go("dispatcher", r.dispatcher.Run)
	r.tasks.Go("registry", r.registry.Run)
	startCalls(r)
	r.tasks.Go("follower", do.MustInvoke[*follower](i).Run)
	r.tasks.Go("feeds", do.MustInvoke[*feeds](i).Run)
	r.tasks.Go("watcher", do.MustInvoke[*watcher](i).Run)
}
