package follow

import (
	"context"
	"time"

	"github.com/cornelhold/cornelhold/internal/checkpoint"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

const (
	// readLimit is the maximum number of records per read.
	readLimit = 200
	// readWait is how long the log service may hold a long poll open. A read
	// without a response times out after readWait + readMargin, which leaves time
	// for another read within the 4 s limit on the activation of a ticket.
	readWait   = 1500 * time.Millisecond
	readMargin = time.Second
	// checkpointTimeout limits one search for the newest checkpoint or one append
	// of a checkpoint.
	checkpointTimeout = 10 * time.Second
)

// logTask is the task that owns a connection to the log service, on which a
// follower reads or appends. It performs one call at a time.
type logTask struct {
	client  *platform.LogClient
	calls   task.Mailbox[config.FollowerAction]
	results task.Mailbox[any]
}

func newLogTask(client *platform.LogClient, results task.Mailbox[any]) *logTask {
	return &logTask{client: client, calls: task.NewMailbox[config.FollowerAction](1), results: results}
}

// Run performs calls until ctx ends.
func (l *logTask) Run(ctx context.Context) error {
	defer l.client.CloseIdle()
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-l.calls.Receive():
			if result := l.perform(ctx, call); result != nil {
				_ = l.results.Send(ctx, result)
			}
		}
	}
}

func (l *logTask) perform(ctx context.Context, call config.FollowerAction) config.FollowerMessage {
	switch call := call.(type) {
	case config.ReadTickets:
		return l.readTickets(ctx, call)
	case config.ReadCheckpoints:
		return l.readCheckpoints(ctx)
	case config.AppendCheckpoint:
		return l.append(ctx, call)
	default:
		return nil
	}
}

func (l *logTask) readTickets(ctx context.Context, call config.ReadTickets) config.FollowerMessage {
	ctx, cancel := context.WithTimeout(ctx, readWait+readMargin)
	defer cancel()
	batch, err := l.client.Read(ctx, platform.StreamTickets, call.From, readLimit, readWait)
	switch {
	case platform.ErrExpired.Has(err):
		return config.TicketsExpired{First: batch.First}
	case err != nil:
		return config.TicketsReadFailed{}
	}
	records := make([]config.Record, 0, len(batch.Records))
	for _, r := range batch.Records {
		records = append(records, ticket.DecodeRecord(r.Offset, r.TimeMillis, r.Data))
	}
	return config.TicketsRead{Records: records}
}

func (l *logTask) readCheckpoints(ctx context.Context) config.FollowerMessage {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	newest, err := checkpoint.Newest(ctx, l.client)
	if err != nil {
		return config.CheckpointsReadFailed{}
	}
	return config.CheckpointsRead{Newest: newest}
}

func (l *logTask) append(ctx context.Context, call config.AppendCheckpoint) config.FollowerMessage {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	if checkpoint.Append(ctx, l.client, call.Snapshot) != nil {
		return config.CheckpointAppendFailed{}
	}
	return config.CheckpointAppended{}
}
