package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

// listFreshness is what the tasks know of the age of the instance list. Times are
// boot times in nanoseconds.
type listFreshness struct {
	// readAt is when the list was known to be complete, as this instance or a
	// peer read it.
	readAt atomic.Int64
	// healthySince is the time since which the reads succeed; 0 in an outage.
	healthySince atomic.Int64
	// failedAt is when this instance last failed to read it; 0 if it did not.
	failedAt atomic.Int64
	// isReader is set while this instance reads the store for its data centre.
	isReader atomic.Bool
}

// age returns the time since the list was known to be complete.
func (l *listFreshness) age() time.Duration { return task.BootTime() - time.Duration(l.readAt.Load()) }

// healthyFor returns how long the reads of the list have succeeded.
func (l *listFreshness) healthyFor() time.Duration {
	since := time.Duration(l.healthySince.Load())
	if since == 0 {
		return 0
	}
	return task.BootTime() - since
}

// recordRead notes that this instance recordRead the list.
func (l *listFreshness) recordRead() {
	now := int64(task.BootTime())
	l.readAt.Store(now)
	l.healthySince.CompareAndSwap(0, now)
	l.failedAt.Store(0)
}

// recordFailure notes that this instance could not read the list.
func (l *listFreshness) recordFailure() {
	l.healthySince.Store(0)
	l.failedAt.Store(int64(task.BootTime()))
}

// recordPeerRead notes that a peer, whose reads have succeeded for healthy, knows no more
// than this instance, as of an earlier time.
func (l *listFreshness) recordPeerRead(peerReadAt, healthy time.Duration) {
	if int64(peerReadAt) > l.readAt.Load() {
		l.readAt.Store(int64(peerReadAt))
		l.healthySince.Store(int64(task.BootTime() - healthy))
	}
}

// untilListRead returns the time until this instance has to read the list: one that
// reads for its data centre does it again and again, the others once they have
// heard nothing of it for too long.
func (p *process) untilListRead() time.Duration {
	share := listStaleShare
	if p.list.isReader.Load() {
		share = listReadShare
	}
	return shareOf(p.deployment.Bounds.Drain, share) - p.list.age()
}

// untilConfigRead is listDue for the configuration. Peers that know a newer one wake
// the follower.
func (p *process) untilConfigRead() time.Duration {
	if p.list.isReader.Load() {
		return 0
	}
	return p.untilListRead()
}

func (p *process) storeRetryDelay() time.Duration {
	if p.list.isReader.Load() {
		return retryInterval
	}
	return nonReaderRetryInterval
}

// triggerRead lets a follower read its topic at once.
func triggerRead(trigger chan<- struct{}) {
	select {
	case trigger <- struct{}{}:
	default:
	}
}

func (p *process) configFollower() *follower {
	return &follower{
		store: p.store, topic: platform.TopicConfig, log: p.log, wait: shareOf(p.deployment.Bounds.ConfigApply, configPollShare),
		untilRead: p.untilConfigRead, retryDelay: p.storeRetryDelay, appliedOffset: func() int64 { return 0 },
		onOutage: func() {}, onRecovery: func(context.Context) {}, trigger: p.configTrigger,
		onRecords: func(ctx context.Context, batch platform.Batch, _ bool) {
			if r, ok := platform.ConfigRecord(batch.Records); ok {
				_ = p.directory.mailbox.Send(ctx, configRead{record: r, source: sourceStore})
			}
		},
	}
}

func (p *process) endpointFollower() *follower {
	return &follower{
		store: p.store, topic: platform.TopicEndpoints, log: p.log,
		untilRead: p.untilListRead, retryDelay: p.storeRetryDelay, appliedOffset: func() int64 { return p.directory.published.Load().Offset },
		onRecovery: func(ctx context.Context) {
			_ = p.directory.mailbox.Send(ctx, storeRecovered{})
			// A read of the configuration may wait on a channel that went silent.
			triggerRead(p.configTrigger)
		},
		onOutage: p.list.recordFailure, trigger: p.listTrigger,
		onRecords: func(ctx context.Context, batch platform.Batch, resync bool) {
			applied := make(chan struct{})
			err := p.directory.mailbox.Send(ctx, entriesRead{
				records: batch.Records, resync: resync, endOffset: batch.Next, source: sourceStore, applied: applied,
			})
			if err != nil {
				return // the process ends
			}
			// Reports must not tell an age of the list that was not applied yet.
			select {
			case <-applied:
				p.list.recordRead()
			case <-ctx.Done():
			}
		},
	}
}
