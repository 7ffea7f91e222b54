package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

// listFreshness is the age of the instance list and the state of its reads, shared
// by all tasks. Times are boot times in nanoseconds.
type listFreshness struct {
	// readAt is the last time at which the list was complete as read by this
	// instance or a peer.
	readAt atomic.Int64
	// healthySince is when the current run of successful reads began; 0 during an
	// outage.
	healthySince atomic.Int64
	// failedAt is when this instance last failed to read the list; 0 after a
	// successful read.
	failedAt atomic.Int64
	// isReader is set while this instance reads the store for its data centre.
	isReader atomic.Bool
	// instances is the number of instances of the deployment.
	instances atomic.Int64
	// reportedAt is the value of readAt that the gateway was last given.
	reportedAt atomic.Int64
}

// readOutdatedList triggers a read of the list, for which requests wait, and of the
// configuration, which may be as outdated.
func (p *process) readOutdatedList() {
	p.log.WithField("list_age_ms", p.list.age().Milliseconds()).Warn("instance list outdated; requests wait for a read")
	triggerRead(p.listTrigger)
	triggerRead(p.configTrigger)
}

// reportListUnreachable reports to the gateway that the list cannot be read now.
func (p *process) reportListUnreachable(ctx context.Context) {
	p.gateway.Post(ctx, gateway.ListUnreachable{At: p.clock.Now()})
}

// confirmInterval is the minimum time between two reports to the gateway that the
// list is complete.
const confirmInterval = 50 * time.Millisecond

// confirmList reports to the gateway since when the instance list is complete. It
// must be called after the changes up to then have been sent to the gateway.
func (p *process) confirmList(ctx context.Context) {
	readAt := p.list.readAt.Load()
	if readAt-p.list.reportedAt.Load() < int64(confirmInterval) {
		return
	}
	p.list.reportedAt.Store(readAt)
	p.gateway.Post(ctx, gateway.ListConfirmed{At: p.clock.At(time.Duration(readAt))})
}

// age returns the time since the list was last complete.
func (l *listFreshness) age() time.Duration { return task.BootTime() - time.Duration(l.readAt.Load()) }

// healthyFor returns how long the reads of the list have succeeded, 0 during an
// outage.
func (l *listFreshness) healthyFor() time.Duration {
	since := time.Duration(l.healthySince.Load())
	if since == 0 {
		return 0
	}
	return task.BootTime() - since
}

// recordRead records that this instance read the list by a call that it started at
// startedAt. The list is as old as the call: the process may not have run for a while
// since the store responded.
func (l *listFreshness) recordRead(startedAt time.Duration) {
	l.readAt.Store(max(int64(startedAt), l.readAt.Load()))
	l.healthySince.CompareAndSwap(0, int64(startedAt))
	l.failedAt.Store(0)
}

// recordFailure records that this instance failed to read the list.
func (l *listFreshness) recordFailure() {
	l.healthySince.Store(0)
	l.failedAt.Store(int64(task.BootTime()))
}

// recordPeerRead records that this instance had all changes that a peer had read by
// peerReadAt. healthy is how long the reads of that peer have succeeded.
func (l *listFreshness) recordPeerRead(peerReadAt, healthy time.Duration) {
	if int64(peerReadAt) > l.readAt.Load() {
		l.readAt.Store(int64(peerReadAt))
		l.healthySince.Store(int64(task.BootTime() - healthy))
	}
}

// untilListRead returns the time until this instance has to read the list. The
// reader of the data centre reads it periodically; other instances read it only
// when their copy has become too old.
func (p *process) untilListRead() time.Duration {
	share := listStaleShare
	if p.list.isReader.Load() {
		share = listReadShare
	}
	return shareOf(p.deployment.Bounds.Drain, share) - p.list.age()
}

// untilConfigRead returns the time until this instance has to read the
// configuration. A peer that reports a newer version triggers an earlier read. The holder of the
// duties follows the topic itself, since it acts on the rollouts that the operator orders there.
func (p *process) untilConfigRead() time.Duration {
	if p.list.isReader.Load() || p.rollouts.leads.Load() {
		return 0
	}
	return p.untilListRead()
}

// storeRetryDelay returns the delay before a failed read is retried.
func (p *process) storeRetryDelay() time.Duration {
	if p.list.isReader.Load() {
		return retryInterval
	}
	return nonReaderRetryInterval
}

// completeReadDelay returns a random delay before this instance reads a topic of some records
// completely after the store came back from an older copy, so that the reads of all are spread.
func (p *process) completeReadDelay(records int) time.Duration {
	pages := 1 + records/platform.NewestPageRecords
	spread := storelog.Spread(int(p.list.instances.Load()), pages, p.deployment.StoreReadsPerSecond, completeReadShare)
	return time.Duration(rand.Float64() * float64(spread))
}

// triggerRead makes a follower read its topic immediately. It does nothing if a
// read is already requested.
func triggerRead(trigger chan<- struct{}) {
	select {
	case trigger <- struct{}{}:
	default:
	}
}

func (p *process) configFollower() *follower {
	return &follower{
		store: p.store, topic: platform.TopicConfig, log: p.log, wait: shareOf(p.deployment.Bounds.ConfigApply, configPollShare),
		untilRead: p.untilConfigRead, retryDelay: p.storeRetryDelay, applied: func() storelog.Position { return 0 },
		completeReadDelay: func() time.Duration { return p.completeReadDelay(1) }, isReader: p.list.isReader.Load,
		onOutage: func(context.Context) {}, onRecovery: func(context.Context) {}, trigger: p.configTrigger,
		onRecords: func(ctx context.Context, read topicRead) {
			if r, ok := platform.ConfigRecord(read.batch.Records); ok {
				_ = p.directory.mailbox.Send(ctx, configRead{record: r, source: sourceStore})
			}
			_ = p.rollouts.mailbox.Send(ctx, operatorRecords{records: read.batch.Records})
		},
	}
}

func (p *process) endpointFollower() *follower {
	return &follower{
		store: p.store, topic: platform.TopicEndpoints, log: p.log,
		untilRead: p.untilListRead, retryDelay: p.storeRetryDelay, applied: func() storelog.Position { return p.directory.published.Load().Position },
		completeReadDelay: func() time.Duration { return p.completeReadDelay(len(p.directory.published.Load().Endpoints)) }, isReader: p.list.isReader.Load,
		onRecovery: func(ctx context.Context) {
			_ = p.directory.mailbox.Send(ctx, storeRecovered{})
			// A read of the configuration may be waiting on a dead connection.
			triggerRead(p.configTrigger)
		},
		onOutage: func(ctx context.Context) {
			p.list.recordFailure()
			p.reportListUnreachable(ctx)
		},
		slowAfter: shareOf(p.deployment.Bounds.Drain, listSlowShare), onSlow: p.reportListUnreachable,
		trigger: p.listTrigger,
		onRecords: func(ctx context.Context, read topicRead) {
			applied := p.applyEntries(ctx, entriesRead{
				records: read.batch.Records, resync: read.resync, end: read.batch.Next, source: sourceStore,
			})
			if applied {
				p.list.recordRead(read.startedAt)
				p.confirmList(ctx)
			}
		},
	}
}

// applyEntries sends records to the directory and waits until they are applied, since
// neither peers nor the gateway may receive the age of a list that is not yet
// applied. It reports false if ctx ended first.
func (p *process) applyEntries(ctx context.Context, entries entriesRead) bool {
	applied := make(chan struct{})
	entries.applied = applied
	if err := p.directory.mailbox.Send(ctx, entries); err != nil {
		return false
	}
	select {
	case <-applied:
		return true
	case <-ctx.Done():
		return false
	}
}
