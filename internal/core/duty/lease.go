// Package duty implements the duties that one instance performs for the whole
// deployment: it maintains the lease of the holder, decides each usage report
// exactly once and estimates true time. Its state machines perform no input or
// output; the caller passes in the time.
package duty

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

const (
	// callTimeout bounds the time in which a call of the holder arrives or fails.
	callTimeout = time.Second
	// renewInterval is the time between two renewals by the holder.
	renewInterval = 800 * time.Millisecond
	// leaseValidity is how long the holder may act after it sent a renewal. All its
	// calls have ended callTimeout later, before another instance can take over.
	leaseValidity = 2 * time.Second
	// takeoverDelay is how long an instance must have seen no newer record before
	// it takes over the lease.
	takeoverDelay = 3500 * time.Millisecond
	// takeoverJitterStep and takeoverJitterSteps spread the takeover attempts of
	// competing candidates.
	takeoverJitterStep  = 150 * time.Millisecond
	takeoverJitterSteps = 8
	// minReadInterval is the minimum time between two reads of the lease.
	minReadInterval = 500 * time.Millisecond
)

// Lease is the view of one instance on the lease of the duties. Times come from a
// clock that keeps running while the machine is suspended. Invariants:
//
//   - Two holders never act at the same time: the holder acts only within leaseValidity after
//     it sent its newest record, and another instance appends only after takeoverDelay without a
//     newer record, or after a release, which follows the end of the last call.
//   - Holders don't act in the order A, B, A within ReacquireInterval: an instance that follows
//     another one acts only that long after the end of its own last term.
//   - Both hold also when the store comes back from an older copy: nobody acts in the new epoch on a
//     record of an earlier one, and an instance acquires the lease only after takeoverDelay without a
//     record of the new epoch. The last holder alone may do so as long as nobody else can have
//     followed it. Fencing tokens are positions, which rise with the epoch.
type Lease struct {
	self           Holder
	startedAt      time.Duration
	reacquireDelay time.Duration
	takeoverJitter time.Duration
	record         *LeaseRecord
	// end is the position of the next record, in the newest epoch that this instance knows.
	end storelog.Position
	// synced is cleared when the store must be read before the next append.
	synced bool
	// recordSeenAt is when this instance first saw the newest record, or first read the topic in
	// this epoch.
	recordSeenAt time.Duration
	// unopposedUntil is until when no other instance can have acquired the lease since this one
	// held it in an earlier epoch. It is 0 if there was no such term, or a later one of another.
	unopposedUntil time.Duration
	nextReadAt     time.Duration
	// inFlight is set while an action awaits its result.
	inFlight     bool
	appendSentAt time.Duration
	// confirmedAt is when the newest confirmed record of this instance was sent.
	confirmedAt time.Duration
	// unconfirmed is the last record sent, until its append is confirmed.
	unconfirmed *LeaseRecord
	fence       int64
	// validUntil is when the right to act as the holder ends.
	validUntil time.Duration
	nonce      uint64
	releasing  bool
	// callsPending is set while calls that this instance sent as the holder may still arrive.
	callsPending bool
	// excluded is set while this instance may not acquire the lease.
	excluded bool
	// requested describes the acquisition that was requested last, takeover the one that
	// gave this instance its newest term.
	requested, takeover Takeover
}

// LeaseOptions configures a Lease.
type LeaseOptions struct {
	Self Holder
	// Seed makes the nonces of this run distinct from those of others.
	Seed uint64
	// StartedAt is when this run of the instance started.
	StartedAt time.Duration
	// ReacquireInterval is the minimum time between the last call of one term of an instance
	// and the first of its next one, if another instance held the lease in between; 0 if there is none.
	ReacquireInterval time.Duration
}

// NewLease returns a lease without known records.
func NewLease(o LeaseOptions) *Lease {
	hash := xxhash.Sum64String(o.Self.Node)
	l := &Lease{
		self: o.Self, nonce: o.Seed, startedAt: o.StartedAt,
		takeoverJitter: time.Duration(hash%takeoverJitterSteps) * takeoverJitterStep,
	}
	if o.ReacquireInterval > 0 {
		l.reacquireDelay = callTimeout + o.ReacquireInterval
	}
	return l
}

// Fence returns the fencing token under which the instance may act at now; ok
// is false while it may not act.
func (l *Lease) Fence(now time.Duration) (fence int64, ok bool) {
	return l.fence, !l.releasing && now < l.validUntil
}

// NewestPosition returns the position of the newest known record, -1 for none.
func (l *Lease) NewestPosition() storelog.Position {
	if l.end.Offset() == 0 {
		return -1
	}
	return l.end - 1
}

// Epoch returns the epoch of the store in which this instance sees the lease.
func (l *Lease) Epoch() storelog.Epoch { return l.end.Epoch() }

// Step processes one message at now.
func (l *Lease) Step(now time.Duration, msg LeaseMessage) []LeaseAction {
	switch msg := msg.(type) {
	case LeaseRead:
		l.inFlight = false
		l.applyRead(now, msg)
	case LeaseReadFailed:
		l.inFlight = false
	case LeaseAppended:
		l.inFlight = false
		l.applyAppend(now, msg.Position)
	case LeaseAppendFailed:
		l.inFlight, l.synced = false, false
	case LeaseReported:
		l.applyPeerReport(now, msg)
	case LeaseEpochBegan:
		l.beginEpoch(now, msg.Epoch)
	case LeaseRelease:
		l.releasing, l.callsPending = true, msg.CallsPending
	case LeaseCandidacy:
		l.excluded = !msg.Allowed
	case LeaseTick:
	}
	if l.inFlight {
		return nil
	}
	return l.nextActions(now)
}

// beginEpoch makes this instance stop acting: its records may be lost with the earlier epoch, and what
// is still under way from there confirms nothing.
func (l *Lease) beginEpoch(now time.Duration, epoch storelog.Epoch) {
	start, ok := storelog.At(epoch, 0)
	if !ok || epoch <= l.Epoch() {
		return
	}
	if l.isOwn() {
		l.unopposedUntil = l.confirmedAt + takeoverDelay
	}
	l.validUntil = min(l.validUntil, now)
	l.end, l.record, l.unconfirmed = start, nil, nil
	l.synced, l.recordSeenAt = false, 0
}

// isOwn reports whether the newest record makes this instance the holder.
func (l *Lease) isOwn() bool {
	return l.isOfEpoch() && l.record.Holder == l.self && !l.record.Released
}

// isOfEpoch reports whether the newest record was written for the current epoch.
func (l *Lease) isOfEpoch() bool { return l.record != nil && l.record.Epoch == l.Epoch() }

func (l *Lease) applyRead(now time.Duration, msg LeaseRead) {
	if msg.End < l.end || msg.End.Epoch() != l.Epoch() {
		// A peer reported a newer record, or an epoch began, while the read was in flight.
		return
	}
	l.synced = true
	if msg.End > l.end || (l.recordSeenAt == 0 && (msg.Record != nil || l.Epoch() > 0)) {
		l.recordSeenAt = now
	}
	l.end, l.record = msg.End, msg.Record
	if l.isOfEpoch() && msg.Record.Holder != l.self {
		l.unopposedUntil = 0
	}
	if l.isOfEpoch() && l.unconfirmed != nil && msg.Record.Nonce == l.unconfirmed.Nonce && msg.Record.Holder == l.self {
		l.applyAppend(now, msg.Record.Position)
	}
}

// applyAppend adopts the unconfirmed record as the newest one.
func (l *Lease) applyAppend(now time.Duration, position storelog.Position) {
	if l.unconfirmed == nil {
		return
	}
	record := *l.unconfirmed
	record.Position = position
	if position+1 < l.end {
		// Another instance has appended a newer record.
		l.unconfirmed, l.synced = nil, false
		return
	}
	l.unconfirmed, l.record, l.end, l.synced, l.recordSeenAt = nil, &record, position+1, true, now
	l.confirmedAt, l.unopposedUntil = l.appendSentAt, 0
	l.fence = record.holderFence()
	if record.Fence == 0 {
		l.takeover = l.requested
	}
	l.validUntil = l.appendSentAt + leaseValidity
	if record.Released {
		l.validUntil = 0
	}
}

func (l *Lease) applyPeerReport(now time.Duration, msg LeaseReported) {
	if msg.Position < l.end || msg.Position.Epoch() != l.Epoch() {
		return
	}
	l.end, l.recordSeenAt, l.record = msg.Position+1, now, nil
	if msg.Held {
		l.unopposedUntil = 0
	}
	// The record reported by a peer that is not the holder may be a release, so it
	// has to be read.
	l.synced = msg.Held
}

func (l *Lease) nextActions(now time.Duration) []LeaseAction {
	own := l.synced && l.isOwn()
	switch {
	case l.excluded && !own && now >= l.validUntil:
		return nil
	case !l.synced:
		return l.requestRead(now)
	case l.releasing && own && !l.callsPending:
		return l.requestAppend(now, LeaseRecord{Fence: l.record.holderFence(), Released: true})
	case l.releasing:
		return nil
	case own && now >= l.appendSentAt+renewInterval:
		return l.requestAppend(now, LeaseRecord{Fence: l.record.holderFence()})
	case own:
		return nil
	case l.available(now):
		l.requested = l.describeTakeover(now)
		return l.requestAppend(now, LeaseRecord{})
	}
	return nil
}

func (l *Lease) requestRead(now time.Duration) []LeaseAction {
	if now < l.nextReadAt {
		return nil
	}
	l.nextReadAt, l.inFlight = now+minReadInterval, true
	return []LeaseAction{ReadLease{}}
}

func (l *Lease) requestAppend(now time.Duration, r LeaseRecord) []LeaseAction {
	l.nonce++
	r.Holder, r.Nonce, r.Epoch = l.self, l.nonce, l.Epoch()
	l.unconfirmed, l.appendSentAt, l.inFlight = &r, now, true
	return []LeaseAction{AppendLease{At: l.end, Record: r}}
}
