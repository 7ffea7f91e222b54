package router

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// StopNewWorkBound bounds the time from the state leaving of an endpoint in
	// the instance list until it gets no new requests, also if the connection to
	// the list is unresponsive.
	StopNewWorkBound = 3 * time.Second
	// listPollTimeout bounds the time for which the instance list may hold a read
	// open (long polling).
	listPollTimeout = StopNewWorkBound - platform.ResponseTimeout
	// logPollTimeout bounds the time for which the log service may hold a read
	// open. Shorter reads of each stream would exceed a node's limit of control
	// traffic.
	logPollTimeout = 10 * time.Second
	// readLimit bounds the records of one read of a log stream.
	readLimit = 500
	// retryDelay is the delay after a failed call of a platform service.
	retryDelay = 200 * time.Millisecond
)

// watcher watches the platform's instance list and sends changes to the other
// tasks.
type watcher struct {
	client     *platform.InstanceClient
	dispatcher task.Mailbox[dispatcherMessage]
	quarantine task.Mailbox[any]
	drainer    task.Mailbox[drainNotice]
	feeds      task.Mailbox[[]dispatch.Endpoint]
	gate       *readinessGate
	self       fleet.InstanceID
	version    uint64
}

// Run watches the instance list until ctx ends.
func (w *watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := w.client.Watch(ctx, w.version, listPollTimeout)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		if list.Version > w.version {
			w.publish(ctx, list)
		}
	}
	return nil
}

func (w *watcher) publish(ctx context.Context, list platform.InstanceList) {
	w.version = list.Version
	endpoints := dispatch.Endpoints{Version: list.Version, List: lo.Map(list.Instances, toEndpoint)}
	_ = w.dispatcher.Send(ctx, dispatcherMessage{message: endpoints})
	_ = w.feeds.Send(ctx, endpoints.List)
	w.gate.setListed()
	_ = w.quarantine.Send(ctx, observedInstances{list: lo.Map(list.Instances, toObserved)})
	for _, i := range list.Instances {
		if i.State != platform.StateLeaving || i.ReclaimInMillis <= 0 {
			continue
		}
		remaining := time.Duration(i.ReclaimInMillis) * time.Millisecond
		if fleet.InstanceID(i.ID) == w.self {
			_ = w.drainer.Send(ctx, drainNotice{remaining: remaining})
			continue
		}
		notice := dispatch.ReclaimNotice{
			Endpoint:  fleet.EndpointID(i.ID),
			Remaining: remaining,
		}
		_ = w.dispatcher.Send(ctx, dispatcherMessage{message: notice})
	}
}

func toObserved(i platform.Instance, _ int) quarantine.ListedEndpoint {
	return quarantine.ListedEndpoint{
		Endpoint: fleet.EndpointID(i.ID), DataCentre: fleet.DataCentre(i.DataCentre),
		Leaving: i.State == platform.StateLeaving,
	}
}

func toEndpoint(i platform.Instance, _ int) dispatch.Endpoint {
	return dispatch.Endpoint{
		ID: fleet.EndpointID(i.ID), Service: fleet.ServiceName(i.Service), Address: i.Address,
		DataCentre: fleet.DataCentre(i.DataCentre), Class: fleet.InstanceClass(i.Class),
		Reclaimable: i.Reclaimable, Role: i.Role, Slots: i.Slots,
		Leaving: i.State == platform.StateLeaving,
	}
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
