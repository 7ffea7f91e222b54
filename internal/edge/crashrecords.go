package edge

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/core/writeback"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// crashRecordsMailbox bounds the changes that wait to be recorded.
	crashRecordsMailbox = 512
	// crashRestoreTimeout bounds how long the start of an instance waits for the records.
	crashRestoreTimeout = 1500 * time.Millisecond
	// maxRestoreInterval bounds the time between two reads while the store does not answer.
	maxRestoreInterval = 4 * time.Second
)

// crashRecordsTask owns this instance's records of crash evidence in the store: it reads those
// of all instances at the start and appends the changes afterwards. One append runs at a time,
// in its own goroutine.
type crashRecordsTask struct {
	process  *process
	log      log.Interface
	mailbox  task.Mailbox[any]
	appended task.Mailbox[error]
	buffer   *writeback.Buffer
}

func newCrashRecordsTask(p *process) *crashRecordsTask {
	t := &crashRecordsTask{
		process: p, log: p.log, buffer: writeback.New(),
		mailbox: task.NewMailbox[any](crashRecordsMailbox), appended: task.NewMailbox[error](1),
	}
	t.buffer.SetRate(p.deployment.StoreWritesPerSecond, 1)
	return t
}

// instancesKnown is the number of instances of the deployment.
type instancesKnown int

// submitInstances passes the number of instances to the task.
func (t *crashRecordsTask) submitInstances(n int) {
	// A number that is dropped because the mailbox is full only makes appends more frequent.
	t.mailbox.TrySend(instancesKnown(n))
}

// submit passes a change to the task.
func (t *crashRecordsTask) submit(action gateway.Action) {
	if !t.mailbox.TrySend(action) {
		t.log.Warn("change of the crash records dropped: the mailbox is full")
	}
}

func (t *crashRecordsTask) run(ctx context.Context) error {
	t.restore(ctx)
	timer := task.NewTimer()
	defer timer.Stop()
	for {
		now := t.process.clock.Now()
		if records := t.buffer.Next(now); records != nil {
			go t.append(ctx, records)
		}
		if wait, ok := t.buffer.Wait(now); ok {
			timer.Arm(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C():
		case msg := <-t.mailbox.Receive():
			t.handle(msg)
		case err := <-t.appended.Receive():
			t.finished(err)
		}
	}
}

func (t *crashRecordsTask) handle(msg any) {
	switch m := msg.(type) {
	case platform.EpochObserved:
		t.buffer.Rewrite()
	case instancesKnown:
		t.buffer.SetRate(t.process.deployment.StoreWritesPerSecond, int(m))
	case gateway.Action:
		t.put(m)
	}
}

// put replaces the record that an action concerns.
func (t *crashRecordsTask) put(action gateway.Action) {
	times := recordTimes{now: t.process.clock.Now(), wall: time.Now()}
	var key string
	var value []byte
	var err error
	switch a := action.(type) {
	case gateway.PersistCrashes:
		key = platform.WitnessKey(t.process.deployment.Node)
		value, err = encodeWitnessed(a.Crashes, times)
	case gateway.PersistCause:
		key = causeKey(a.Entry.Traits)
		value, err = encodeCauseRecord(a.Entry, times)
	case gateway.RemoveCause:
		key = causeKey(a.Traits)
	default:
		return
	}
	if err != nil {
		t.log.WithError(err).WithField("key", key).Error("crash record could not be encoded")
		return
	}
	t.log.WithFields(log.Fields{"key": key, "bytes": len(value)}).Info("crash record changed")
	t.buffer.Put(key, value)
}

func (t *crashRecordsTask) append(ctx context.Context, records []writeback.Record) {
	_, err := t.process.store.Append(ctx, platform.TopicCrashes, toStoreRecords(records)...)
	_ = t.appended.Send(ctx, err)
}

func toStoreRecords(records []writeback.Record) []platform.Record {
	return lo.Map(records, func(r writeback.Record, _ int) platform.Record { return platform.Record{Key: r.Key, Value: r.Value} })
}

func (t *crashRecordsTask) finished(err error) {
	t.buffer.Finished(t.process.clock.Now(), err == nil)
	if err != nil {
		t.process.metrics.crashRecords.WithLabelValues("failed").Inc()
		t.log.WithError(err).Warn("crash records could not be appended to the store; they are appended again")
		return
	}
	t.process.metrics.crashRecords.WithLabelValues("stored").Inc()
}

// restore reads the records from before the start and posts them to the gateway, which is not
// ready before, unless the store does not answer in time.
func (t *crashRecordsTask) restore(ctx context.Context) {
	startedAt := t.process.clock.Now()
	interval, awaited := retryInterval, true
	for ctx.Err() == nil {
		batch, err := t.process.store.Newest(ctx, platform.TopicCrashes)
		if err == nil {
			t.restored(ctx, batch)
			return
		}
		if awaited && t.process.clock.Now()-startedAt > crashRestoreTimeout {
			t.log.WithError(err).Warn("crash records could not be read from the store; started without them")
			t.process.gateway.Post(ctx, gateway.CrashesUnavailable{})
			awaited = false
		}
		sleep(ctx, interval)
		interval = min(2*interval, maxRestoreInterval)
	}
}

func (t *crashRecordsTask) restored(ctx context.Context, batch platform.Batch) {
	records := decodeCrashRecords(batch.Records, t.process.deployment.Node, recordTimes{now: t.process.clock.Now(), wall: time.Now()})
	if records.malformed > 0 {
		t.log.WithField("records", records.malformed).Warn("malformed crash records ignored")
	}
	t.log.WithFields(log.Fields{
		"records": len(batch.Records), "own_crashes": len(records.restored.Own), "other_crashes": len(records.restored.Others),
		"causes": len(records.restored.Causes), "expired": len(records.expired),
	}).Info("crash records restored")
	t.process.gateway.Post(ctx, records.restored)
	t.removeExpired(ctx, batch.End, records.expired)
}

// removeExpired removes expired records of other instances, which may never return, unless the
// topic has changed since it was read.
func (t *crashRecordsTask) removeExpired(ctx context.Context, end storelog.Position, keys []string) {
	if len(keys) == 0 {
		return
	}
	tombstones := lo.Map(keys, func(key string, _ int) platform.Record { return platform.Record{Key: key} })
	_, err := t.process.store.AppendAt(ctx, platform.TopicCrashes, end, tombstones...)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		t.log.WithError(err).Warn("expired crash records not removed; the next start tries again")
	}
}
