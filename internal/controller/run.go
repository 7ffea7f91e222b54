// Package controller contains the tasks of the controller daemon and their
// wiring.
//
// The leaser task owns lease.Machine, the reconciler task order.Machine and
// capacity.Machine. The lease reader, the cloud watcher and the configuration
// task each own their position in the stream or list that they read. Workers
// perform calls and own no state. Tasks communicate by messages only. The leaser
// sends the permits of its shards to the reconciler; a worker checks the permit
// immediately before it sends an order, a start or a stop.
package controller

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/core/capacity"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
	"github.com/cornelhold/cornelhold/internal/core/order"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// drainTimeout limits the wait for calls in flight when the process stops.
	drainTimeout = lease.MaxOrderDelay + time.Second
	// releaseTimeout limits the append that releases the leases. If it fails, the
	// leases expire on their own.
	releaseTimeout = 3 * time.Second
)

// Run reconciles until ctx ends, then releases its leases and stops.
func Run(ctx context.Context, env *daemon.Env, s *Settings) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, env)
	do.ProvideValue(injector, task.NewClock())
	do.ProvideValue(injector, task.NewGroup(running))
	do.ProvideValue(injector, newMetrics(env.Metrics))
	do.ProvideValue(injector, &readiness{ready: env.Ready})
	do.ProvideValue(injector, platform.NewLogClient(s.Log))
	do.ProvideValue(injector, newMailboxes())
	provideTasks(injector)
	return supervise(ctx, cancel, injector)
}

// mailboxes are the queues between the tasks that the injector builds.
type mailboxes struct {
	leaser     task.Mailbox[leaserMessage]
	reconciler task.Mailbox[reconcilerMessage]
	jobs       task.Mailbox[job]
}

func newMailboxes() *mailboxes {
	return &mailboxes{
		leaser:     task.NewMailbox[leaserMessage](leaserCapacity),
		reconciler: task.NewMailbox[reconcilerMessage](reconcilerCapacity),
		jobs:       task.NewMailbox[job](jobQueueCapacity),
	}
}

func provideTasks(injector do.Injector) {
	do.Provide(injector, newLeaser)
	do.Provide(injector, newReconciler)
	do.Provide(injector, newWorker)
	do.Provide(injector, func(i do.Injector) (Configuration, error) {
		return &logConfiguration{client: do.MustInvoke[*platform.LogClient](i), fold: config.NewFold()}, nil
	})
	do.Provide(injector, func(i do.Injector) (*leaseReader, error) {
		return &leaseReader{
			client: do.MustInvoke[*platform.LogClient](i), leaser: do.MustInvoke[*mailboxes](i).leaser,
			onCaughtUp: do.MustInvoke[*readiness](i).caughtUp,
		}, nil
	})
	do.Provide(injector, func(i do.Injector) (*cloudWatcher, error) {
		return &cloudWatcher{
			client:     platform.NewCloudClient(do.MustInvoke[*Settings](i).Cloud),
			reconciler: do.MustInvoke[*mailboxes](i).reconciler,
		}, nil
	})
}

func newLeaser(i do.Injector) (*leaser, error) {
	s := do.MustInvoke[*Settings](i)
	boxes := do.MustInvoke[*mailboxes](i)
	self := lease.Holder{Instance: fleet.InstanceID(s.Instance), Incarnation: uuid.NewString()}
	return &leaser{
		log: do.MustInvoke[*daemon.Env](i).Log, clock: do.MustInvoke[task.Clock](i),
		machine: lease.New(lease.Options{Self: self, MaxShards: s.MaxShards}),
		mailbox: boxes.leaser, reconciler: boxes.reconciler,
		client: do.MustInvoke[*platform.LogClient](i), tasks: do.MustInvoke[*task.Group](i),
		metrics: do.MustInvoke[*metrics](i), timer: task.NewTimer(), held: make(map[lease.Shard]bool),
	}, nil
}

func newReconciler(i do.Injector) (*reconciler, error) {
	s := do.MustInvoke[*Settings](i)
	boxes := do.MustInvoke[*mailboxes](i)
	return &reconciler{
		log: do.MustInvoke[*daemon.Env](i).Log, settings: s, clock: do.MustInvoke[task.Clock](i),
		mailbox: boxes.reconciler, leaser: boxes.leaser, jobs: boxes.jobs,
		orders: order.New(order.Options{MaxOutDivisor: s.MaxOutDivisor, MaxSlots: s.MaxDownloadSlots}),
		capacity: capacity.New(capacity.Options{
			Seed: xxhash.Sum64String(s.Instance), MaxStarts: s.MaxStarts, StartsPerTick: s.StartsPerStep,
		}),
		metrics: do.MustInvoke[*metrics](i), ready: do.MustInvoke[*readiness](i),
		timer: task.NewTimer(), held: make(map[lease.Shard]lease.Permit),
	}, nil
}

func newWorker(i do.Injector) (*worker, error) {
	s := do.MustInvoke[*Settings](i)
	boxes := do.MustInvoke[*mailboxes](i)
	return &worker{
		log: do.MustInvoke[*daemon.Env](i).Log, clock: do.MustInvoke[task.Clock](i),
		jobs: boxes.jobs, reconciler: boxes.reconciler, engine: engine.NewOrderClient(),
		cloud: platform.NewCloudClient(s.Cloud), weights: platform.NewWeightClient(s.Weights),
		metrics: do.MustInvoke[*metrics](i),
	}, nil
}

// supervise runs the tasks until ctx ends or a task fails.
func supervise(ctx context.Context, cancel context.CancelFunc, i do.Injector) error {
	tasks := do.MustInvoke[*task.Group](i)
	boxes := do.MustInvoke[*mailboxes](i)
	tasks.Go("reconciler", do.MustInvoke[*reconciler](i).Run)
	tasks.Go("leaser", do.MustInvoke[*leaser](i).Run)
	tasks.Go("lease reader", do.MustInvoke[*leaseReader](i).Run)
	tasks.Go("cloud watcher", do.MustInvoke[*cloudWatcher](i).Run)
	for range jobWorkers {
		tasks.Go("worker", do.MustInvoke[*worker](i).Run)
	}
	tasks.Go("configuration", func(ctx context.Context) error {
		return do.MustInvoke[Configuration](i).Follow(ctx, func(ctx context.Context, s *config.Snapshot) {
			_ = boxes.reconciler.Send(ctx, reconcilerMessage{snapshot: s})
		})
	})
	finished := make(chan error, 1)
	go func() { finished <- tasks.Wait() }()
	select {
	case err := <-finished:
		return err
	case <-ctx.Done():
	}
	if drain(boxes.reconciler) {
		leave(boxes.leaser)
	}
	cancel()
	return <-finished
}

// drain stops the reconciler's steps, waits for the calls in flight and reports
// whether they ended. If not, the leases must not be released, since a call may
// still send an order after another controller has acquired the shard.
func drain(reconciler task.Mailbox[reconcilerMessage]) bool {
	done := make(chan struct{})
	return reconciler.TrySend(reconcilerMessage{drain: done}) && await(done, drainTimeout)
}

// leave releases the leases and waits up to releaseTimeout for the append of the
// release.
func leave(leaser task.Mailbox[leaserMessage]) {
	done := make(chan struct{})
	if leaser.TrySend(leaserMessage{leave: done}) {
		await(done, releaseTimeout)
	}
}

// await reports whether done was closed within limit.
func await(done <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
