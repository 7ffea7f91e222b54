package edge

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// configWaitShare is the time that a read of the configuration waits for
	// one, as a share of the bound within which it must be in force. It bounds
	// how long a channel that went silent is trusted.
	configWaitShare = 1.25
	// listPauseShare is the time between two reads of the instance list by the
	// instance that reads it for its data centre, as a share of the bound within
	// which a leaving endpoint must be left.
	listPauseShare = 0.25
	// listStaleShare is the age of what is known of the list, as a share of the
	// same bound, from which an instance reads the store itself and asks its
	// peers. It leaves time for a read that fails.
	listStaleShare = 0.55
	// listBehindShare is the time, as a share of that bound, for which a peer may
	// have known more of the list until the store is read.
	listBehindShare = 0.2
	// defaultBound stands for bounds that the settings do not give.
	defaultBound = 2 * time.Second
	// retryInterval is the wait after a failed read, of the instance that reads
	// for its data centre and of the others.
	retryInterval       = 250 * time.Millisecond
	othersRetryInterval = time.Second
)

// follower reads one keyed topic of the store and posts what it finds.
type follower struct {
	store *platform.Store
	topic string
	log   log.Interface
	// wait is how long a read waits for records.
	wait time.Duration
	// due returns the time until the topic has to be read again, retry the wait
	// after a failed read.
	due, retry func() time.Duration
	// known returns the offset up to which peers have told the records.
	known func() int64
	// found receives the records; resync is set if they are the newest of all
	// keys rather than the next ones.
	found func(ctx context.Context, batch platform.Batch, resync bool)
	// lost and returned tell of the beginning and end of an outage.
	lost     func()
	returned func(ctx context.Context)
	// wake ends a wait, also that of a read, after which the topic is read again.
	wake <-chan struct{}
}

// run follows the topic until ctx ends. The state of the store is logged when
// it changes.
func (f *follower) run(ctx context.Context) error {
	var next int64
	resync, down := true, false
	for ctx.Err() == nil {
		batch, err := f.read(ctx, next, resync)
		switch {
		case errors.Is(err, platform.ErrExpired):
			f.log.WithField("topic", f.topic).Info("records expired; reading the newest ones")
			resync = true
			continue
		case errors.Is(err, errInterrupted):
			continue
		case err != nil:
			if !down && ctx.Err() == nil {
				f.log.WithField("topic", f.topic).WithError(err).Warn("store lost")
			}
			down = true
			f.lost()
			sleep(ctx, f.retry())
			continue
		}
		if down {
			f.log.WithField("topic", f.topic).Info("store regained")
			f.returned(ctx)
			down = false
		}
		f.found(ctx, batch, resync)
		resync = false
		f.rest(ctx)
		next = max(batch.Next, f.known())
	}
	return nil
}

// rest waits until the topic has to be read again.
func (f *follower) rest(ctx context.Context) {
	alarm := task.NewTimer()
	defer alarm.Stop()
	for d := f.due(); d > 0; d = f.due() {
		alarm.Arm(d)
		select {
		case <-alarm.C():
		case <-f.wake:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (f *follower) read(ctx context.Context, next int64, resync bool) (platform.Batch, error) {
	if resync {
		return f.store.Newest(ctx, f.topic)
	}
	reading, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.wake:
			cancel(errInterrupted)
		case <-reading.Done():
		}
	}()
	batch, err := f.store.Read(reading, f.topic, next, f.wait)
	if err != nil && errors.Is(context.Cause(reading), errInterrupted) {
		return batch, errInterrupted
	}
	return batch, err
}

// errInterrupted ends a read that another reader found to be out of date.
var errInterrupted = errors.New("the read was interrupted; read again")

// shareOf returns a share of a bound.
func shareOf(bound time.Duration, share float64) time.Duration {
	if bound <= 0 {
		bound = defaultBound
	}
	return time.Duration(float64(bound) * share)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	alarm := task.NewTimer()
	alarm.Arm(d)
	defer alarm.Stop()
	select {
	case <-alarm.C():
	case <-ctx.Done():
	}
}
