package router

import (
	"context"

	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/core/deferred"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

func provideCalls(injector do.Injector) {
	do.Provide(injector, func(do.Injector) (*engine.PlainClient, error) { return engine.NewPlainClient(), nil })
	do.Provide(injector, newClaims)
	do.Provide(injector, func(i do.Injector) (*calls, error) {
		return &calls{
			claims: do.MustInvoke[*claimsTask](i), plain: do.MustInvoke[*engine.PlainClient](i), deferred: newDeferred(i),
		}, nil
	})
}

func newClaims(i do.Injector) (*claimsTask, error) {
	env := do.MustInvoke[*daemon.Env](i)
	return &claimsTask{
		log:         env.Log,
		clock:       do.MustInvoke[task.Clock](i),
		mailbox:     task.NewMailbox[any](claimsCapacity),
		table:       claim.NewTable(),
		client:      platform.NewLogClient(do.MustInvoke[*Settings](i).Log),
		dispatcher:  do.MustInvoke[*dispatcher](i).mailbox,
		plain:       do.MustInvoke[*engine.PlainClient](i),
		tasks:       do.MustInvoke[*task.Group](i),
		metrics:     newCallMetrics(env.Metrics),
		timer:       task.NewTimer(),
		submissions: make(map[claim.SubmissionID]submission),
		attempts:    make(map[claim.AttemptID]requestMailbox),
		appends:     appendQueue{timer: task.NewTimer()},
	}, nil
}

// newDeferred returns the task without its router field, which startCalls sets.
func newDeferred(i do.Injector) *deferredTask {
	s := do.MustInvoke[*Settings](i)
	return &deferredTask{
		clock:     do.MustInvoke[task.Clock](i),
		mailbox:   task.NewMailbox[any](deferredCapacity),
		scheduler: deferred.NewScheduler(fleet.InstanceID(s.Instance)),
		client:    platform.NewLogClient(s.Log),
		metrics:   newDeferredMetrics(do.MustInvoke[*daemon.Env](i).Metrics),
		timer:     task.NewTimer(),
		replies:   make(map[deferred.JobID]chan JobReply),
		cancel:    make(map[deferred.RunID]context.CancelFunc),
	}
}

func startCalls(r *Router) {
	r.calls.deferred.router = r
	r.tasks.Go("deferred", r.calls.deferred.Run)
	jobs := &deferredFollower{client: r.calls.deferred.client, deferred: r.calls.deferred.mailbox}
	r.tasks.Go("deferred follower", jobs.Run)
	r.tasks.Go("claims", r.calls.claims.Run)
	follower := &claimsFollower{client: r.calls.claims.client, claims: r.calls.claims.mailbox}
	r.tasks.Go("claims follower", follower.Run)
}
