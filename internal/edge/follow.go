package edge

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// configPollShare is the wait of a long poll for the configuration, as a share
	// of the bound within which a configuration must be active. It limits how long
	// a dead connection goes undetected.
	configPollShare = 1.25
	// listReadShare is the time between two reads of the instance list by the
	// reader of a data centre, as a share of the drain bound: the time within which
	// requests must no longer be sent to a draining endpoint.
	listReadShare = 0.25
	// listStaleShare is the age of the list, as a share of the drain bound, at which
	// an instance reads the store itself and pulls from its peers. It leaves time
	// for a failed read.
	listStaleShare = 0.55
	// listSlowShare is the duration of a read of the list, as a share of the drain
	// bound, after which the store counts as unreachable for the choice of endpoints.
	listSlowShare = 0.2
	// listBehindShare is how long, as a share of the drain bound, the list may be
	// behind that of a peer before the store is read.
	listBehindShare = 0.2
	// peerCheckInterval is the time between two checks whether peers have delivered a topic.
	peerCheckInterval = 20 * time.Millisecond
	// completeReadShare is the share of the store's reads that all instances together take for
	// complete reads after the store came back from an older copy.
	completeReadShare = 0.25
	// quickFailure is the duration up to which a failed read is repeated at once: the
	// store may only have closed an idle connection.
	quickFailure = 200 * time.Millisecond
	// defaultBound replaces bounds that are missing in the settings.
	defaultBound = 2 * time.Second
	// retryInterval is the delay after a failed read by the reader of a data centre,
	// nonReaderRetryInterval the delay of the other instances.
	retryInterval          = 250 * time.Millisecond
	nonReaderRetryInterval = time.Second
)

// follower reads one keyed topic of the store and passes its records to callbacks.
type follower struct {
	store *platform.Store
	topic string
	log   log.Interface
	// wait is the long-poll wait of a read; 0 returns immediately.
	wait time.Duration
	// untilRead returns the time until the topic has to be read again, retryDelay
	// the delay after a failed read.
	untilRead, retryDelay func() time.Duration
	// completeReadDelay returns the delay of a complete read after the store came back from an older
	// copy. While isReader is true, others wait for what this instance reads, and there is none.
	completeReadDelay func() time.Duration
	isReader          func() bool
	// applied returns the position up to which records were already applied,
	// including those received from peers.
	applied func() storelog.Position
	// onRecords receives the result of each successful read.
	onRecords func(ctx context.Context, read topicRead)
	// onOutage is called after each failed read, onRecovery after the first
	// successful read that follows.
	onOutage   func(ctx context.Context)
	onRecovery func(ctx context.Context)
	// slowAfter is the duration of a read after which onSlow is called; 0 means
	// never.
	slowAfter time.Duration
	onSlow    func(ctx context.Context)
	// trigger interrupts the current wait or read; the topic is then read again.
	trigger <-chan struct{}
}

// topicRead is the result of a successful read of a topic.
type topicRead struct {
	batch platform.Batch
	// resync is set if the records are the newest ones of all keys instead of those
	// that follow the previous batch.
	resync bool
	// startedAt is the boot time at which the read was started.
	startedAt time.Duration
}

// run follows the topic until ctx ends. It logs the start and the end of each
// outage of the store. Once the store has come back from an older copy, the topic is read anew.
func (f *follower) run(ctx context.Context) error {
	var next storelog.Position
	resync, down, repeated := true, false, false
	for ctx.Err() == nil {
		f.awaitPeers(ctx, next)
		next = max(next, f.applied())
		startedAt := task.BootTime()
		batch, err := f.read(ctx, next, resync || next.Epoch() != f.store.Epoch())
		switch {
		case errors.Is(err, platform.ErrExpired):
			f.log.WithField("topic", f.topic).Info("requested records have expired; reading the newest record of each key")
			resync = true
			continue
		case errors.Is(err, platform.ErrEpochChanged) && !repeated:
			f.log.WithField("topic", f.topic).WithError(err).Info("reading the newest record of each key")
			repeated = true
			continue
		case errors.Is(err, errInterrupted):
			continue
		case err != nil && ranOver(startedAt, f.wait+platform.CallTimeout):
			f.log.WithField("topic", f.topic).WithError(err).Info("read failed because the process did not run; reading again")
			continue
		case err != nil && !repeated && task.BootTime()-startedAt < quickFailure:
			repeated = true
			continue
		case err != nil:
			if !down && ctx.Err() == nil {
				f.log.WithField("topic", f.topic).WithError(err).Warn("store lost")
			}
			down = true
			f.onOutage(ctx)
			sleep(ctx, f.retryDelay())
			continue
		}
		repeated = false
		if down {
			f.log.WithField("topic", f.topic).Info("store regained")
			f.onRecovery(ctx)
			down = false
		}
		f.onRecords(ctx, topicRead{batch: batch.Batch, resync: batch.isComplete, startedAt: startedAt})
		resync = false
		f.waitUntilDue(ctx)
		next = batch.Next
	}
	return nil
}

// waitUntilDue waits until the topic has to be read again.
func (f *follower) waitUntilDue(ctx context.Context) {
	timer := task.NewTimer()
	defer timer.Stop()
	for d := f.untilRead(); d > 0; d = f.untilRead() {
		timer.Arm(d)
		select {
		case <-timer.C():
		case <-f.trigger:
			return
		case <-ctx.Done():
			return
		}
	}
}

// read reads the newest record of each key if resync is set, and otherwise the
// records from next on. A trigger interrupts only the latter.
func (f *follower) read(ctx context.Context, next storelog.Position, resync bool) (readBatch, error) {
	if f.slowAfter > 0 {
		watchCtx, stop := context.WithCancel(ctx)
		defer stop()
		go f.watchRead(watchCtx)
	}
	if resync {
		batch, err := f.store.Newest(ctx, f.topic)
		return readBatch{Batch: batch, isComplete: true}, err
	}
	readCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.trigger:
			cancel(errInterrupted)
		case <-readCtx.Done():
		}
	}()
	batch, err := f.store.Read(readCtx, f.topic, next, f.wait)
	if err != nil && errors.Is(context.Cause(readCtx), errInterrupted) {
		return readBatch{}, errInterrupted
	}
	return readBatch{Batch: batch}, err
}

// readBatch is what a read returned. isComplete is set if it has the newest record of each key.
type readBatch struct {
	platform.Batch
	isComplete bool
}

// awaitPeers delays a complete read that is due because the store came back from an older copy, so
// that not all instances read at once. It ends early if peers deliver what they read.
func (f *follower) awaitPeers(ctx context.Context, next storelog.Position) {
	if next == 0 || next.Epoch() == f.store.Epoch() {
		return
	}
	readAt := task.BootTime() + f.completeReadDelay()
	isDue := func() bool { return f.isReader() || task.BootTime() >= readAt }
	for ctx.Err() == nil && !isDue() && f.applied().Epoch() != f.store.Epoch() {
		sleep(ctx, min(peerCheckInterval, readAt-task.BootTime()))
	}
}

// watchRead calls onSlow once a read has taken slowAfter. ctx ends with the read.
func (f *follower) watchRead(ctx context.Context) {
	timer := task.NewTimer()
	defer timer.Stop()
	for {
		startedAt := task.BootTime()
		timer.Arm(f.slowAfter)
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
		}
		if !ranOver(startedAt, f.slowAfter) {
			f.onSlow(ctx)
			return
		}
	}
}

// stallTolerance is the delay of a timer up to which the process counts as running.
const stallTolerance = 200 * time.Millisecond

// ranOver reports whether so much more time than limit has passed since startedAt, a
// boot time, that the process cannot have run all the while. The failure of a call with
// that time limit then says nothing about the called service.
func ranOver(startedAt, limit time.Duration) bool {
	return task.BootTime()-startedAt > limit+stallTolerance
}

// errInterrupted is returned by a read that a trigger interrupted.
var errInterrupted = errors.New("the read was interrupted; read again")

// shareOf returns a share of bound, or of defaultBound if bound is not set.
func shareOf(bound time.Duration, share float64) time.Duration {
	if bound <= 0 {
		bound = defaultBound
	}
	return time.Duration(float64(bound) * share)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := task.NewTimer()
	timer.Arm(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}
