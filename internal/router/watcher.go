package router

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// longPoll is how long a platform service may hold a read open.
	longPoll = 20 * time.Second
	// retryDelay separates reads while a platform service fails.
	retryDelay = 200 * time.Millisecond
)

// watcher is the task that follows the platform's instance list.
type watcher struct {
	client     *platform.InstanceClient
	dispatcher task.Mailbox[dispatcherMessage]
	version    uint64
}

// Run watches the instance list until ctx ends.
func (w *watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := w.client.Watch(ctx, w.version, longPoll)
		if err != nil {
			pause(ctx, retryDelay)
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
	for _, i := range list.Instances {
		if i.State == platform.StateLeaving && i.ReclaimInMillis > 0 {
			notice := dispatch.Notice{
				Endpoint:  fleet.EndpointID(i.ID),
				Remaining: time.Duration(i.ReclaimInMillis) * time.Millisecond,
			}
			_ = w.dispatcher.Send(ctx, dispatcherMessage{message: notice})
		}
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

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
