package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/cornelhold/cornelhold/internal/core/handoff"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	drainCapacity = 16
	// maxDrainReserve is how long before the end of the notice the requests
	// that are still open are handed over, so that dead peers can be skipped.
	maxDrainReserve = 2 * time.Second
	// parallelHandoffs bounds the handoffs that run at once.
	parallelHandoffs = 64
)

// drainNotice tells that this router is gone after the remaining time.
type drainNotice struct {
	remaining time.Duration
}

// drainer is the task that empties a router that is reclaimed.
type drainer struct {
	log     log.Interface
	clock   task.Clock
	gate    *startGate
	router  *Router
	mailbox task.Mailbox[drainNotice]
	alarm   *task.Timer
	started bool
	last    time.Duration
}

// Run waits for notices until ctx ends. Of several notices the shortest counts.
func (d *drainer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case notice := <-d.mailbox.Receive():
			d.notice(ctx, notice)
		case <-d.alarm.C():
			d.start(ctx, 0)
		}
	}
}

func (d *drainer) notice(ctx context.Context, n drainNotice) {
	reserve := min(maxDrainReserve, n.remaining/2)
	last := d.clock.Now() + n.remaining - reserve
	if d.started && last >= d.last {
		return
	}
	if !d.started {
		d.log.WithField("remaining", n.remaining.String()).Info("draining: this router is being reclaimed")
		d.router.leave(ctx)
	}
	d.started = true
	d.last = last
	d.router.draining.Store(true)
	d.gate.leave("draining: this instance is being reclaimed")
	d.alarm.Arm(last - d.clock.Now())
	d.start(ctx, n.remaining-reserve)
}

// start hands over in the background, so that a shorter notice is not delayed.
func (d *drainer) start(ctx context.Context, budget time.Duration) {
	go d.router.evacuate(ctx, budget)
}

// evacuate hands over every request that does not end within the budget, and
// the records that this router holds for others.
func (r *Router) evacuate(ctx context.Context, budget time.Duration) {
	entries, _ := askTask(ctx, r.registry.mailbox, func(reply chan []registerRequest) any {
		return listRequests{reply: reply}
	})
	held, _ := askTask(ctx, r.holder.mailbox, func(reply chan []handoff.Request) any { return listHeld{reply: reply} })
	var group errgroup.Group
	group.SetLimit(parallelHandoffs)
	for _, entry := range entries {
		group.Go(func() error {
			r.handOver(ctx, entry, budget)
			return nil
		})
	}
	for _, open := range held {
		group.Go(func() error {
			r.offer(ctx, open)
			return nil
		})
	}
	_ = group.Wait()
}

// drainHandler serves POST /drain?remaining_ms=N on the admin address.
func (d *drainer) drainHandler(w http.ResponseWriter, req *http.Request) {
	millis, err := strconv.ParseInt(req.URL.Query().Get("remaining_ms"), 10, 64)
	if err != nil || millis < 0 {
		http.Error(w, "remaining_ms must be the time until the reclaim in milliseconds", http.StatusBadRequest)
		return
	}
	if !d.mailbox.TrySend(drainNotice{remaining: time.Duration(millis) * time.Millisecond}) {
		http.Error(w, "the drain is already starting; repeat the call if requests remain", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
