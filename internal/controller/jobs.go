package controller

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/capacity"
	"github.com/cornelhold/cornelhold/internal/core/order"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	jobQueueCapacity = 4096
	// jobWorkers is the number of concurrent calls to endpoints and the platform.
	jobWorkers = 32
	// callTimeout limits one call to the cloud API or the weight store.
	callTimeout = 5 * time.Second
	// stopNotice is the time that a surplus instance gets to finish its streams.
	stopNotice = 30 * time.Second
)

// job is the call that performs one action of the core. Exactly one field is set.
type job struct {
	order    order.Action
	capacity capacity.Action
}

// perform queues a job for each action. If the queue is full, it reports the
// action to the core as not performed, and the core retries it later.
func (r *reconciler) perform(orders []order.Action, capacities []capacity.Action) {
	for _, action := range orders {
		if r.jobs.TrySend(job{order: action}) {
			r.jobsInFlight++
			continue
		}
		if reply := notPerformed(action); reply != nil {
			r.orders.Step(r.clock.Now(), reply)
		}
	}
	for _, action := range capacities {
		if r.jobs.TrySend(job{capacity: action}) {
			r.jobsInFlight++
			continue
		}
		r.capacity.Step(r.clock.Now(), notStarted(action))
	}
}

// notPerformed returns the message that reports an order action as not performed,
// or nil if the core expects none.
func notPerformed(action order.Action) order.Message {
	switch action := action.(type) {
	case order.Observe:
		return order.ObserveFailed{Endpoint: action.Endpoint, Seq: action.Seq}
	case order.SendOrder:
		return order.SendResult{Endpoint: action.Endpoint, Fence: action.Permit.Fence, Result: order.ResultNotSent}
	case order.AcquireSlot:
		return order.SlotUnavailable{Endpoint: action.Endpoint}
	default:
		return nil
	}
}

// notStarted returns the message that reports a capacity action as not performed,
// or nil if the core expects none.
func notStarted(action capacity.Action) capacity.Message {
	switch action := action.(type) {
	case capacity.Start:
		return capacity.StartUnknown{Token: action.Token}
	case capacity.Stop:
		return capacity.StopDone{Instance: action.Instance}
	default:
		return nil
	}
}

// worker is a task that performs jobs. Several run concurrently; none of them
// owns state.
type worker struct {
	log        log.Interface
	clock      task.Clock
	jobs       task.Mailbox[job]
	reconciler task.Mailbox[reconcilerMessage]
	engine     *engine.OrderClient
	cloud      *platform.CloudClient
	weights    *platform.WeightClient
	metrics    *metrics
}

// Run performs jobs until ctx ends.
func (w *worker) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-w.jobs.Receive():
			reply := reconcilerMessage{jobDone: true}
			if j.order != nil {
				reply.order = w.performOrder(ctx, j.order)
			} else {
				reply.capacity = w.performCapacity(ctx, j.capacity)
			}
			_ = w.reconciler.Send(ctx, reply)
		}
	}
}

func (w *worker) performOrder(ctx context.Context, action order.Action) order.Message {
	switch action := action.(type) {
	case order.Observe:
		status, err := w.engine.Observe(ctx, action.Address)
		if err != nil {
			return order.ObserveFailed{Endpoint: action.Endpoint, Seq: action.Seq}
		}
		return order.Observed{Endpoint: action.Endpoint, Seq: action.Seq, Status: status}
	case order.SendOrder:
		allowed := func() bool { return action.Permit.Allows(w.clock.Now()) }
		result := w.engine.Send(ctx, action.Address, action.Permit.Fence, action.Target, allowed)
		w.metrics.orders.WithLabelValues(result.String()).Inc()
		return order.SendResult{Endpoint: action.Endpoint, Fence: action.Permit.Fence, Result: result}
	case order.AcquireSlot:
		return w.takeSlot(ctx, action)
	case order.ReleaseSlot:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = w.weights.ReleaseSlot(ctx, string(action.Endpoint))
	}
	return nil
}

func (w *worker) takeSlot(ctx context.Context, action order.AcquireSlot) order.Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := w.clock.Now()
	held, err := w.weights.AcquireSlot(ctx, string(action.Endpoint), action.Bytes)
	if err != nil {
		return order.SlotUnavailable{Endpoint: action.Endpoint, RetryAfter: retryAfter(err)}
	}
	return order.SlotGranted{Endpoint: action.Endpoint, Until: sentAt + held}
}

func (w *worker) performCapacity(ctx context.Context, action capacity.Action) capacity.Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch action := action.(type) {
	case capacity.Start:
		return w.start(ctx, action)
	case capacity.Stop:
		if action.Permit.Allows(w.clock.Now()) && w.cloud.Stop(ctx, string(action.Instance), stopNotice) == nil {
			w.metrics.stops.Inc()
			w.log.WithField("instance", string(action.Instance)).Info("surplus instance stopped")
		}
		return capacity.StopDone{Instance: action.Instance}
	default:
		return nil
	}
}

func (w *worker) start(ctx context.Context, action capacity.Start) capacity.Message {
	if !action.Permit.Allows(w.clock.Now()) {
		return capacity.StartUnknown{Token: action.Token}
	}
	instance, err := w.cloud.Start(ctx, encodeStart(action))
	switch {
	case err == nil:
		w.metrics.starts.Inc()
		w.log.WithFields(log.Fields{"instance": instance.ID, "token": instance.Token, "state": instance.State}).
			Info("instance started")
		return capacity.Started{Token: action.Token, Placement: toPlacement(instance), State: toState(instance.State)}
	case platform.ErrNotDone.Has(err):
		w.metrics.refused.WithLabelValues(refusalReason(err)).Inc()
		return capacity.StartRefused{Token: action.Token, Placement: action.Placement, RetryAfter: retryAfter(err)}
	default:
		w.metrics.refused.WithLabelValues("unknown_outcome").Inc()
		return capacity.StartUnknown{Token: action.Token}
	}
}

// refusalReason distinguishes a start that the cloud API refused from one that
// did not reach it.
func refusalReason(err error) string {
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		return "refused"
	}
	return "unreachable"
}

func retryAfter(err error) time.Duration {
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return 0
}

// cloudWatcher is the task that reads each new version of the cloud API's instance
// list.
type cloudWatcher struct {
	client     *platform.CloudClient
	reconciler task.Mailbox[reconcilerMessage]
}

// Run watches the list until ctx ends.
func (w *cloudWatcher) Run(ctx context.Context) error {
	version := uint64(0)
	for ctx.Err() == nil {
		list, err := w.client.Watch(ctx, version, longPollWait)
		if err != nil {
			pauseBeforeRetry(ctx)
			continue
		}
		if list.Version > version {
			version = list.Version
			_ = w.reconciler.Send(ctx, reconcilerMessage{list: list.Instances, listed: true})
		}
	}
	return nil
}
