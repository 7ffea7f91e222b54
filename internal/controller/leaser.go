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
	// appendTimeout bounds one append; its outcome is then unknown.
	appendTimeout = 2 * time.Second
	// historyRecords is how far before the end of the lease stream a reader
	// starts: about a minute of renewals of 810 nodes.
	historyRecords = 10_000
)

// leaserMessage is a message to the leaser task. Exactly one field is set.
type leaserMessage struct {
	core     lease.Message
	appended *appendResult
	leave    chan struct{}
}

type appendResult struct {
	id   string
	kind lease.Kind
	err  error
}

// leaser is the task that owns lease.Machine.
type leaser struct {
	log     log.Interface
	clock   task.Clock
	machine *lease.Machine
	mailbox task.Mailbox[leaserMessage]
	client  *platform.LogClient
	tasks   *task.Group
	out     task.Mailbox[reconcilerMessage]
	metrics *metrics
	alarm   *task.Timer
	// held has the shards with a permit, for the log and the gauge.
	held map[lease.Shard]bool
	left chan struct{}
}

// Run owns the machine until ctx ends.
func (l *leaser) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.alarm.C():
			l.step(ctx, lease.Tick{})
		case msg := <-l.mailbox.Receive():
			l.handle(ctx, msg)
		}
	}
}

func (l *leaser) handle(ctx context.Context, msg leaserMessage) {
	switch {
	case msg.leave != nil:
		l.left = msg.leave
		if !l.step(ctx, lease.Leave{}) {
			close(l.left)
		}
	case msg.appended != nil:
		if platform.ErrNotDone.Has(msg.appended.err) {
			l.step(ctx, lease.AppendFailed{ID: msg.appended.id})
			return
		}
		if msg.appended.kind == lease.KindRelease && l.left != nil {
			close(l.left)
			l.left = nil
		}
	default:
		l.step(ctx, msg.core)
	}
}

// step reports whether the machine appended a record.
func (l *leaser) step(ctx context.Context, msg lease.Message) bool {
	appended := false
	l.alarm.Stop()
	for _, action := range l.machine.Step(l.clock.Now(), msg) {
		switch action := action.(type) {
		case lease.Append:
			appended = true
			l.append(action.Record)
		case lease.PermitGranted:
			l.granted(ctx, action.Permit)
		case lease.PermitEnded:
			l.lost(ctx, action.Shard)
		case lease.SetTimer:
			l.alarm.Arm(action.At - l.clock.Now())
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

func (l *leaser) granted(ctx context.Context, p lease.Permit) {
	if !l.held[p.Shard] {
		l.held[p.Shard] = true
		l.log.WithFields(log.Fields{"shard": p.Shard.String(), "fence": uint64(p.Fence)}).Info("shard acquired")
	}
	_ = l.out.Send(ctx, reconcilerMessage{
		order: order.PermitGranted{Permit: p}, capacity: capacity.PermitGranted{Permit: p},
	})
}

func (l *leaser) lost(ctx context.Context, shard lease.Shard) {
	delete(l.held, shard)
	l.log.WithField("shard", shard.String()).Info("shard lost")
	_ = l.out.Send(ctx, reconcilerMessage{
		order: order.PermitEnded{Shard: shard}, capacity: capacity.PermitEnded{Shard: shard},
	})
}

// leaseReader is the task that reads the lease stream.
type leaseReader struct {
	client   *platform.LogClient
	leaser   task.Mailbox[leaserMessage]
	onCaught func()
}

// Run reads until ctx ends. It starts near the end of the stream.
func (r *leaseReader) Run(ctx context.Context) error {
	next, known := uint64(0), false
	for ctx.Err() == nil {
		if !known {
			next, known = r.begin(ctx)
			continue
		}
		batch, err := r.client.Read(ctx, platform.StreamLeases, next, readLimit, longPoll)
		if err != nil {
			// Records that expired unread are older than every live lease, but the
			// fold needs to know that it lacks them: start again.
			if platform.ErrExpired.Has(err) {
				return Error.New("the lease stream lost offset %d before it was read: the process was stopped for longer than the log's retention; restart it", next)
			}
			pauseBeforeRetry(ctx)
			continue
		}
		next = r.deliver(ctx, next, batch)
	}
	return nil
}

// begin finds the offset to start from. It reports false while the log fails.
func (r *leaseReader) begin(ctx context.Context) (uint64, bool) {
	// A read beyond the end returns no records, but the bounds of the stream.
	const beyondEnd = 1 << 62
	batch, err := r.client.Read(ctx, platform.StreamLeases, beyondEnd, 1, 0)
	if err != nil {
		pauseBeforeRetry(ctx)
		return 0, false
	}
	start := batch.First
	if batch.Next > start+historyRecords {
		start = batch.Next - historyRecords
	}
	if start == batch.Next {
		_ = r.leaser.Send(ctx, leaserMessage{core: lease.EntriesRead{CaughtUp: true}})
		r.onCaught()
	}
	return start, true
}

func (r *leaseReader) deliver(ctx context.Context, next uint64, batch platform.Batch) uint64 {
	observe := lease.EntriesRead{}
	for _, record := range batch.Records {
		observe.Entries = append(observe.Entries, decodeLease(record))
		next = record.Offset + 1
	}
	observe.CaughtUp = next >= batch.Next
	_ = r.leaser.Send(ctx, leaserMessage{core: observe})
	if observe.CaughtUp {
		r.onCaught()
	}
	return next
}
