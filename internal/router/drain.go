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
	// maxDrainReserve is the time before the end of the notice at which requests
	// that are still open are handed over. It leaves time to skip dead peers.
	maxDrainReserve = 2 * time.Second
	// parallelHandoffs bounds the concurrent handoffs.
	parallelHandoffs = 64
)

// drainNotice reports that this router is reclaimed after the remaining time.
type drainNotice struct {
	remaining time.Duration
}

// drainer hands over the requests of a router that is about to be reclaimed.
type drainer struct {
	log       log.Interface
	clock     task.Clock
	gate      *readinessGate
	router    *Router
	mailbox   task.Mailbox[drainNotice]
	timer     *task.Timer
	started   bool
	handoffAt time.Duration
}

// Run handles notices until ctx ends. Of several notices the one with the
// earliest end applies.
func (d *drainer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case notice := <-d.mailbox.Receive():
			d.handleNotice(ctx, notice)
		case <-d.timer.C():
			d.startHandoff(ctx, 0)
		}
	}
}

func (d *drainer) handleNotice(ctx context.Context, n drainNotice) {
	reserve := min(maxDrainReserve, n.remaining/2)
	handoffAt := d.clock.Now() + n.remaining - reserve
	if d.started && handoffAt >= d.handoffAt {
		return
	}
	if !d.started {
		d.log.WithField("remaining", n.remaining.String()).Info("draining: this router is being reclaimed")
		d.router.announceLeaving(ctx)
	}
	d.started = true
	d.handoffAt = handoffAt
	d.router.draining.Store(true)
	d.gate.setLeaving("draining: this instance is being reclaimed")
	d.timer.Arm(handoffAt - d.clock.Now())
	d.startHandoff(ctx, n.remaining-reserve)
}

// startHandoff runs in the background, so that a shorter notice is not delayed.
func (d *drainer) startHandoff(ctx context.Context, budget time.Duration) {
	go d.router.handOverAll(ctx, budget)
}

// handOverAll hands over each request that is not expected to end within the
// budget, and the records that this router holds for others.
func (r *Router) handOverAll(ctx context.Context, budget time.Duration) {
	entries, _ := askTask(ctx, r.registry.mailbox, func(reply chan []registryEntry) any {
		return listRequests{reply: reply}
	})
	records, _ := askTask(ctx, r.handoffTask.mailbox, func(reply chan []handoff.Request) any { return listRecords{reply: reply} })
	var group errgroup.Group
	group.SetLimit(parallelHandoffs)
	for _, entry := range entries {
		group.Go(func() error {
			r.handOver(ctx, entry, budget)
			return nil
		})
	}
	for _, record := range records {
		group.Go(func() error {
			r.offerCopies(ctx, record)
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
