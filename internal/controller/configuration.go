package controller

import (
	"context"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 500
	// longPoll is how long a platform service may hold a read open.
	longPoll = 20 * time.Second
	// retryDelay separates reads while a platform service fails.
	retryDelay = 200 * time.Millisecond
)

// Configuration follows the active configuration and calls onActive with each
// snapshot in force, in order, until ctx ends.
type Configuration interface {
	Follow(ctx context.Context, onActive func(context.Context, *config.Snapshot)) error
}

// logConfiguration reads the ticket stream of the log service.
type logConfiguration struct {
	client *platform.LogClient
	fold   *config.Fold
}

// Follow implements Configuration.
func (c *logConfiguration) Follow(ctx context.Context, onActive func(context.Context, *config.Snapshot)) error {
	for ctx.Err() == nil {
		batch, err := c.client.Read(ctx, platform.StreamTickets, c.fold.Current().Offset, readLimit, longPoll)
		if err != nil {
			pauseBeforeRetry(ctx)
			continue
		}
		before := c.fold.Current().Number
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

// pauseBeforeRetry waits for retryDelay or until ctx ends.
func pauseBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
