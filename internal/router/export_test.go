package router

import (
	"context"

	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/task"
)

// StartForTest starts a router whose tasks stop without a shutdown when ctx
// ends, as in a crash. Configuration and endpoints are fixed.
func StartForTest(
	ctx context.Context, env *daemon.Env, s *Settings, spec *config.Spec, endpoints []dispatch.Endpoint,
) (*Router, *Active) {
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, env)
	do.ProvideValue(injector, task.NewClock())
	do.ProvideValue(injector, task.NewGroup(ctx))
	do.ProvideValue(injector, &Active{})
	provideTasks(injector)
	provideStreams(injector)
	r := do.MustInvoke[*Router](injector)
	r.active.Set(spec)
	r.dispatcher.mailbox.TrySend(dispatcherMessage{message: dispatch.Configure{Spec: spec}})
	r.dispatcher.mailbox.TrySend(dispatcherMessage{message: dispatch.Endpoints{Version: 1, List: endpoints}})
	r.tasks.Go("dispatcher", r.dispatcher.Run)
	r.tasks.Go("registry", r.registry.Run)
	r.tasks.Go("quarantine", r.quarantine.Run)
	startCalls(r)
	return r, r.active
}
