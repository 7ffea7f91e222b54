package controller

import (
	"context"
	"time"

	"github.com/cornelhold/cornelhold/internal/checkpoint"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

const (
	// readLimit is the maximum number of records per read.
	readLimit = 500
	// longPollWait is how long a platform service may hold a long poll open.
	longPollWait = 20 * time.Second
	// retryDelay is the time between reads while a platform service fails.
	retryDelay = 200 * time.Millisecond
)

// Configuration is a source of active configurations. Follow calls onActive with
// each snapshot that becomes active, in order, until ctx ends.
type Configuration interface {
	Follow(ctx context.Context, onActive func(context.Context, *config.Snapshot)) error
}

// logConfiguration reads the ticket stream of the log service. It queries no peer
// during a log outage: without the log there are no leases, so a controller may
// not act on a newer configuration.
type logConfiguration struct {
	client *platform.LogClient
	fold   *config.Fold
}

// Follow implements Configuration.
func (c *logConfiguration) Follow(ctx context.Context, onActive func(context.Context, *config.Snapshot)) error {
	for ctx.Err() == nil {
		batch, err := c.client.Read(ctx, platform.StreamTickets, c.fold.Current().Offset, readLimit, longPollWait)
		before := c.fold.Current().Number
		if err != nil && !c.adoptCheckpoint(ctx, err) {
			pauseBeforeRetry(ctx)
			continue
		}
		for _, record := range batch.Records {
			t, err := ticket.Decode(record.Data)
			if err != nil {
				t = config.Ticket{}
			}
			c.fold.Apply(record.Offset, t)
		}
		if c.fold.Current().Number > before {
			onActive(ctx, c.fold.Current())
		}
	}
	return nil
}

// adoptCheckpoint continues from the newest checkpoint if the records after the
// current offset have expired. It reports whether the state is newer.
func (c *logConfiguration) adoptCheckpoint(ctx context.Context, err error) bool {
	if !platform.ErrExpired.Has(err) {
		return false
	}
	newest, err := checkpoint.Newest(ctx, c.client)
	return err == nil && newest != nil && c.fold.Adopt(newest)
}

// pauseBeforeRetry waits for retryDelay or until ctx ends.
func pauseBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
