package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 500
	// longPoll is how long the log service may hold a read open.
	longPoll = 20 * time.Second
	// retryDelay separates reads while a platform service fails.
	retryDelay = 200 * time.Millisecond
)

// Active is the atomically replaced view of the active configuration that the
// front end reads.
type Active struct {
	spec atomic.Pointer[config.Spec]
}

// Spec returns the active configuration, or nil before the first ticket.
func (a *Active) Spec() *config.Spec { return a.spec.Load() }

// follower is the task that folds the ticket stream.
type follower struct {
	log        log.Interface
	client     *platform.LogClient
	fold       *config.Fold
	active     *Active
	dispatcher task.Mailbox[dispatcherMessage]
	onActive   func(config.Number)
}

// Run reads the ticket stream until ctx ends.
func (f *follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		offset := f.fold.Current().Offset
		batch, err := f.client.Read(ctx, platform.StreamTickets, offset, readLimit, longPoll)
		if err != nil {
			pause(ctx, retryDelay)
			continue
		}
		f.apply(ctx, batch)
	}
	return nil
}

func (f *follower) apply(ctx context.Context, batch platform.Batch) {
	before := f.fold.Current().Number
	for _, record := range batch.Records {
		t, err := ticket.Decode(record.Data)
		if err != nil {
			t = config.Ticket{}
		}
		f.fold.Apply(record.Offset, t)
	}
	if f.fold.Current().Number > before {
		f.activate(ctx)
	}
}

func (f *follower) activate(ctx context.Context) {
	spec, skipped := ticket.BuildSpec(f.fold.Current())
	f.active.spec.Store(spec)
	_ = f.dispatcher.Send(ctx, dispatcherMessage{message: dispatch.Configure{Spec: spec}})
	f.onActive(spec.Number)
	f.log.WithFields(log.Fields{"number": uint64(spec.Number), "skipped_objects": len(skipped)}).
		Info("configuration active")
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
