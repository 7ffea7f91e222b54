package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

// listAge is what the tasks know of the age of the instance list. Times are
// boot times in nanoseconds.
type listAge struct {
	// readAt is when the list was known to be complete, as this instance or a
	// peer read it.
	readAt atomic.Int64
	// steadySince is the time since which the reads succeed; 0 in an outage.
	steadySince atomic.Int64
	// lostAt is when this instance last failed to read it; 0 if it did not.
	lostAt atomic.Int64
	// isReader is set while this instance reads the store for its data centre.
	isReader atomic.Bool
}

// age returns the time since the list was known to be complete.
func (l *listAge) age() time.Duration { return task.BootTime() - time.Duration(l.readAt.Load()) }

// healthy returns how long the reads of the list have succeeded.
func (l *listAge) healthy() time.Duration {
	since := time.Duration(l.steadySince.Load())
	if since == 0 {
		return 0
	}
	return task.BootTime() - since
}

// read notes that this instance read the list.
func (l *listAge) read() {
	now := int64(task.BootTime())
	l.readAt.Store(now)
	l.steadySince.CompareAndSwap(0, now)
	l.lostAt.Store(0)
}

// lost notes that this instance could not read the list.
func (l *listAge) lost() {
	l.steadySince.Store(0)
	l.lostAt.Store(int64(task.BootTime()))
}

// heard notes that a peer, whose reads have succeeded for healthy, knows no more
// than this instance, as of an earlier time.
func (l *listAge) heard(at, healthy time.Duration) {
	if int64(at) > l.readAt.Load() {
		l.readAt.Store(int64(at))
		l.steadySince.Store(int64(task.BootTime() - healthy))
	}
}

// listDue returns the time until this instance has to read the list: one that
// reads for its data centre does it again and again, the others once they have
// heard nothing of it for too long.
func (p *process) listDue() time.Duration {
	share := listStaleShare
	if p.list.isReader.Load() {
		share = listPauseShare
	}
	return shareOf(p.deployment.Bounds.Drain, share) - p.list.age()
}

// configDue is listDue for the configuration. Peers that know a newer one wake
// the follower.
func (p *process) configDue() time.Duration {
	if p.list.isReader.Load() {
		return 0
	}
	return p.listDue()
}

func (p *process) storeRetry() time.Duration {
	if p.list.isReader.Load() {
		return retryInterval
	}
	return othersRetryInterval
}

// wake lets a follower read its topic at once.
func wake(follower chan<- struct{}) {
	select {
	case follower <- struct{}{}:
	default:
	}
}

func (p *process) configFollower() *follower {
	return &follower{
		store: p.store, topic: platform.TopicConfig, log: p.log, wait: shareOf(p.deployment.Bounds.ConfigApply, configWaitShare),
		due: p.configDue, retry: p.storeRetry, known: func() int64 { return 0 },
		lost: func() {}, returned: func(context.Context) {}, wake: p.wakeConfig,
		found: func(ctx context.Context, batch platform.Batch, _ bool) {
			if r, ok := platform.ConfigRecord(batch.Records); ok {
				_ = p.directory.mailbox.Send(ctx, configFound{record: r, source: sourceStore})
			}
		},
	}
}

func (p *process) endpointFollower() *follower {
	return &follower{
		store: p.store, topic: platform.TopicEndpoints, log: p.log,
		due: p.listDue, retry: p.storeRetry, known: func() int64 { return p.directory.known.Load().Offset },
		returned: func(ctx context.Context) {
			_ = p.directory.mailbox.Send(ctx, storeReturned{})
			// A read of the configuration may wait on a channel that went silent.
			wake(p.wakeConfig)
		},
		lost: p.list.lost, wake: p.wakeList,
		found: func(ctx context.Context, batch platform.Batch, resync bool) {
			applied := make(chan struct{})
			err := p.directory.mailbox.Send(ctx, entriesFound{
				records: batch.Records, resync: resync, end: batch.Next, source: sourceStore, applied: applied,
			})
			if err != nil {
				return // the process ends
			}
			// Reports must not tell an age of the list that was not applied yet.
			select {
			case <-applied:
				p.list.read()
			case <-ctx.Done():
			}
		},
	}
}
