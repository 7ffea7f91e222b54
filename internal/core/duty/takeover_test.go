package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReleasedLeaseIsNotReacquiredEarly guards against holders that act in the order A, B, A
// within a short time (rule ONE): B stops as planned and releases the lease while A, which held
// it before, is able to take over at once.
func TestReleasedLeaseIsNotReacquiredEarly(t *testing.T) {
	const (
		startedAt  = 100 * time.Second
		releasedAt = startedAt + 200*time.Millisecond
	)
	self := Holder{Node: "a", Boot: "2"}
	for name, c := range map[string]struct {
		interval   time.Duration
		releasedBy Holder
		// earliest is the earliest time of the acquisition after the start, without jitter.
		earliest time.Duration
	}{
		"new run after another instance": {
			interval: minReacquireInterval, releasedBy: Holder{Node: "b", Boot: "1"}, earliest: maxCallTime + minReacquireInterval,
		},
		"new run after an earlier one": {
			interval: minReacquireInterval, releasedBy: Holder{Node: "a", Boot: "1"}, earliest: releasedAt - startedAt,
		},
		"no interval stated": {releasedBy: Holder{Node: "b", Boot: "1"}, earliest: releasedAt - startedAt},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLease(LeaseOptions{Self: self, Seed: 1, StartedAt: startedAt, ReacquireInterval: c.interval})
			l.Step(startedAt, LeaseTick{})
			released := LeaseRecord{Position: 7, Holder: c.releasedBy, Fence: 3, Released: true}
			read := LeaseRead{Record: &released, End: 8}
			acquired := acquiredAt(l, releasedAt, read)
			is.True(acquired >= startedAt+c.earliest)
			is.True(acquired <= startedAt+c.earliest+takeoverJitterStep*takeoverJitterSteps)
		})
	}
}

// TestLostLeaseIsNotReacquiredEarly guards against the same order if A lost the lease while it
// could not reach the store, and was not restarted.
func TestLostLeaseIsNotReacquiredEarly(t *testing.T) {
	is := is.New(t)
	l := NewLease(LeaseOptions{Self: Holder{Node: "a", Boot: "1"}, Seed: 1, ReacquireInterval: minReacquireInterval})
	const acquiredBefore = 20 * time.Second
	l.Step(acquiredBefore, LeaseTick{})
	is.Equal(acquiredAt(l, acquiredBefore, LeaseRead{}), acquiredBefore)
	l.Step(acquiredBefore, LeaseAppended{})
	const lastActed = acquiredBefore + leaseValidity
	released := LeaseRecord{Position: 2, Holder: Holder{Node: "b", Boot: "1"}, Fence: 2, Released: true}
	l.Step(lastActed, LeaseAppendFailed{})
	acquired := acquiredAt(l, lastActed+takeoverDelay/2, LeaseRead{Record: &released, End: 3})
	is.True(acquired >= lastActed+minReacquireInterval)
}

// acquiredAt passes the result of a read to the lease at now and returns when the lease
// requests its acquisition.
func acquiredAt(l *Lease, now time.Duration, read LeaseRead) time.Duration {
	const tick = 10 * time.Millisecond
	actions := l.Step(now, read)
	for range 1000 {
		for _, action := range actions {
			if a, ok := action.(AppendLease); ok && a.Record.Fence == 0 {
				return now
			}
			l.Step(now, read)
		}
		now += tick
		actions = l.Step(now, LeaseTick{})
	}
	return 0
}
