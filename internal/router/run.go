package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

// headerTimeout bounds how long a caller may take to send its headers.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds the request headers of a caller.
const maxHeaderBytes = 64 << 10

// FrontEnd builds the callers' interface on top of a router.
type FrontEnd func(r *Router, active *Active) http.Handler

// Run serves until ctx ends, then stops.
func Run(ctx context.Context, env *daemon.Env, s *Settings, front FrontEnd) error {
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, env)
	do.ProvideValue(injector, task.NewClock())
	// Tasks outlive ctx, because open requests are served until shutdown ends.
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	do.ProvideValue(injector, task.NewGroup(tasks))
	do.ProvideValue(injector, &Active{})
	provideTasks(injector)
	r, err := do.Invoke[*Router](injector)
	if err != nil {
		return err
	}
	p, err := do.Invoke[*peering](injector)
	if err != nil {
		return err
	}
	startTasks(injector, r)
	p.start(r.tasks)
	failed := make(chan error, 1)
	go func() { failed <- r.tasks.Wait() }()
	return serve(ctx, s, front(r, r.active), p, failed)
}

func provideTasks(injector do.Injector) {
	do.Provide(injector, func(i do.Injector) (*dispatcher, error) {
		return newDispatcher(do.MustInvoke[task.Clock](i)), nil
	})
	do.Provide(injector, func(do.Injector) (*registry, error) { return newRegistry(), nil })
	do.Provide(injector, func(do.Injector) (*engine.Client, error) { return engine.NewClient(), nil })
	do.Provide(injector, newDirectory)
	do.Provide(injector, newPeering)
	do.Provide(injector, newWatcher)
	do.Provide(injector, newRouter)
}

func newRouter(i do.Injector) (*Router, error) {
	return &Router{
		clock:      do.MustInvoke[task.Clock](i),
		active:     do.MustInvoke[*Active](i),
		dispatcher: do.MustInvoke[*dispatcher](i),
		registry:   do.MustInvoke[*registry](i),
		engine:     do.MustInvoke[*engine.Client](i),
		tasks:      do.MustInvoke[*task.Group](i),
	}, nil
}

func newWatcher(i do.Injector) (*watcher, error) {
	return &watcher{
		client:     platform.NewInstanceClient(do.MustInvoke[*Settings](i).Instances),
		dispatcher: do.MustInvoke[*dispatcher](i).mailbox,
	}, nil
}

func startTasks(i do.Injector, r *Router) {
	r.tasks.Go("dispatcher", r.dispatcher.Run)
	r.tasks.Go("registry", r.registry.Run)
	r.tasks.Go("watcher", do.MustInvoke[*watcher](i).Run)
}

// serve serves callers until ctx ends or a task fails.
func serve(ctx context.Context, s *Settings, handler http.Handler, p *peering, failedTask <-chan error) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return daemon.Error.New("cannot listen on %s: %w; free the port or change the listen setting", s.Listen, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case err := <-failedTask:
		_ = server.Close()
		return err
	case <-ctx.Done():
	}
	p.leave(context.WithoutCancel(ctx))
	// Shutdown waits for open requests and closes idle keep-alive connections.
	return server.Shutdown(context.WithoutCancel(ctx))
}
