package controller

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/capacity"
	"github.com/cornelhold/cornelhold/internal/core/lease"
	"github.com/cornelhold/cornelhold/internal/core/order"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	leaserCapacity = 256
	// appendTimeout limits one append. After a timeout its outcome is unknown.
	appendTimeout = 2 * time.Second
	// maxInitialRecords is how many records before the end of the lease stream a
	// reader starts: about a minute of renewals by 810 nodes.
	maxInitialRecords = 10_000
)

// leaserMessage is a message to the leaser task. Exactly one field is set.
type leaserMessage struct {
	core     lease.Message
	appended *appendResult
	// leave requests the release of all leases and is closed afterwards.
	leave chan struct{}
}

type appendResult struct {
	id   string
	kind lease.Kind
	err  error
}

// leaser is the task that owns lease.Machine.
type leaser struct {
	log        log.Interface
	clock      task.Clock
	machine    *lease.Machine
	mailbox    task.Mailbox[leaserMessage]
	client     *platform.LogClient
	tasks      *task.Group
	reconciler task.Mailbox[reconcilerMessage]
	metrics    *metrics
	timer      *task.Timer
	// held contains the shards with a permit, for log lines and the gauge.
	held map[lease.Shard]bool
	// released is closed when the append of the release ends; nil unless leaving.
	released chan struct{}
}

// Run owns the machine until ctx ends.
func (l *leaser) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.timer.C():
			l.step(ctx, lease.Tick{})
		case msg := <-l.mailbox.Receive():
			l.handle(ctx, msg)
		}
	}
}

func (l *leaser) handle(ctx context.Context, msg leaserMessage) {
	switch {
	case msg.leave != nil:
		l.released = msg.leave
		if !l.step(ctx, lease.Leave{}) {
			close(l.released)
		}
	case msg.appended != nil:
		if platform.ErrNotDone.Has(msg.appended.err) {
			l.step(ctx, lease.AppendFailed{ID: msg.appended.id})
			return
		}
		if msg.appended.kind == lease.KindRelease && l.released != nil {
			close(l.released)
			l.released = nil
		}
	default:
		l.step(ctx, msg.core)
	}
}

// step reports whether the machine appended a record.
func (l *leaser) step(ctx context.Context, msg lease.Message) bool {
	appended := false
	l.timer.Stop()
	for _, action := range l.machine.Step(l.clock.Now(), msg) {
		switch action := action.(type) {
		case lease.Append:
			appended = true
			l.append(action.Record)
		case lease.Granted:
			l.onGranted(ctx, action.Permit)
		case lease.Lost:
			l.onLost(ctx, action.Shard)
		case lease.SetTimer:
			l.timer.Arm(action.At - l.clock.Now())
		}
	}
	l.metrics.leases.Set(float64(len(l.held)))
	return appended
}

func (l *leaser) append(record lease.Record) {
	l.tasks.Go("append", func(ctx context.Context) error {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := l.client.Append(callCtx, platform.StreamLeases, encodeLease(record))
		return l.mailbox.Send(ctx, leaserMessage{appended: &appendResult{id: record.ID, kind: record.Kind, err: err}})
	})
}

func (l *leaser) onGranted(ctx context.Context, p lease.Permit) {
	if !l.held[p.Shard] {
		l.held[p.Shard] = true
		l.log.WithFields(log.Fields{"shard": p.Shard.String(), "fence": uint64(p.Fence)}).Info("shard acquired")
	}
	_ = l.reconciler.Send(ctx, reconcilerMessage{
		order: order.PermitGranted{Permit: p}, capacity: capacity.PermitGranted{Permit: p},
	})
}

func (l *leaser) onLost(ctx context.Context, shard lease.Shard) {
	delete(l.held, shard)
	l.log.WithField("shard", shard.String()).Info("shard lost")
	_ = l.reconciler.Send(ctx, reconcilerMessage{
		order: order.PermitEnded{Shard: shard}, capacity: capacity.PermitEnded{Shard: shard},
	})
}

// leaseReader is the task that reads the lease stream.
type leaseReader struct {
	client     *platform.LogClient
	leaser     task.Mailbox[leaserMessage]
	onCaughtUp func()
}

// Run reads until ctx ends. It starts at most maxInitialRecords before the end of
// the stream.
func (r *leaseReader) Run(ctx context.Context) error {
	next, started := uint64(0), false
	for ctx.Err() == nil {
		if !started {
			next, started = r.findStart(ctx)
			continue
		}
		batch, err := r.client.Read(ctx, platform.StreamLeases, next, readLimit, longPollWait)
		if err != nil {
			// Records that expired unread are older than every live lease, but the
			// fold must not continue without them: end the process, so that it
			// starts again with an empty fold.
			if platform.ErrExpired.Has(err) {
				return Error.New("the lease record at offset %d expired before it was read: the process was suspended for longer than the log's retention; restart it", next)
			}
			pauseBeforeRetry(ctx)
			continue
		}
		next = r.deliver(ctx, next, batch)
	}
	return nil
}

// findStart returns the offset to start from. It reports false, after a pause, if
// the log service fails.
func (r *leaseReader) findStart(ctx context.Context) (uint64, bool) {
	// A read beyond the end returns no records, but the bounds of the stream.
	const beyondEnd = 1 << 62
	batch, err := r.client.Read(ctx, platform.StreamLeases, beyondEnd, 1, 0)
	if err != nil {
		pauseBeforeRetry(ctx)
		return 0, false
	}
	start := batch.First
	if batch.Next > start+maxInitialRecords {
		start = batch.Next - maxInitialRecords
	}
	if start == batch.Next {
		_ = r.leaser.Send(ctx, leaserMessage{core: lease.EntriesRead{CaughtUp: true}})
		r.onCaughtUp()
	}
	return start, true
}

func (r *leaseReader) deliver(ctx context.Context, next uint64, batch platform.Batch) uint64 {
	msg := lease.EntriesRead{}
	for _, record := range batch.Records {
		msg.Entries = append(msg.Entries, decodeLease(record))
		next = record.Offset + 1
	}
	msg.CaughtUp = next >= batch.Next
	_ = r.leaser.Send(ctx, leaserMessage{core: msg})
	if msg.CaughtUp {
		r.onCaughtUp()
	}
	return next
}
