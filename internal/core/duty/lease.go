// Package duty decides what the holder of the deployment's duties does: it
// keeps the lease, decides each usage report once and estimates true time. Its
// state machines perform no input or output; time comes in as a value.
package duty

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// renewInterval is the time between two renewals of the holder.
	renewInterval = 800 * time.Millisecond
	// validity is how long after the sending of a renewal the holder may act.
	// A call of the holder takes up to a second, so that all of them have ended
	// before another instance takes over.
	validity = 2 * time.Second
	// takeoverAfter is how long the newest record must have been known without
	// a newer one before another instance takes over.
	takeoverAfter = 3500 * time.Millisecond
	// takeoverStep spreads the attempts of several candidates.
	takeoverStep  = 150 * time.Millisecond
	takeoverSteps = 8
	// readInterval bounds the reads of the lease.
	readInterval = 500 * time.Millisecond
)

// Holder identifies one run of an instance.
type Holder struct{ Node, Boot string }

// LeaseRecord is one record of the lease. Its offset orders it.
type LeaseRecord struct {
	Offset int64
	Holder Holder
	// Fence is one more than the offset at which the holder acquired the lease.
	// It is zero in the record that acquires it.
	Fence int64
	// Nonce finds an append whose reply was lost.
	Nonce    uint64
	Released bool
}

// holderFence returns the fence of the record's holder, also for the record that
// acquires the lease.
func (r *LeaseRecord) holderFence() int64 {
	if r.Fence != 0 {
		return r.Fence
	}
	return r.Offset + 1
}

// LeaseMessage is an input of Lease.
type LeaseMessage interface{ leaseMessage() }

// LeaseRead is the newest record of the lease, nil if there is none. End is
// the offset of the next record.
type LeaseRead struct {
	Record *LeaseRecord
	End    int64
}

// LeaseReadFailed tells that the store did not answer a read.
type LeaseReadFailed struct{}

// LeaseAppended tells that a record was appended.
type LeaseAppended struct{ Offset int64 }

// LeaseAppendFailed tells that an append was refused, found another end, or got
// no reply and may still take effect.
type LeaseAppendFailed struct{}

// LeaseHeard is what a peer knows of the lease.
type LeaseHeard struct {
	Offset int64
	// Held is set if the peer holds the lease.
	Held bool
}

// LeaseTick lets the machine act on the passing of time.
type LeaseTick struct{}

// LeaseLeave releases the lease for good.
type LeaseLeave struct{}

func (LeaseRead) leaseMessage()         {}
func (LeaseReadFailed) leaseMessage()   {}
func (LeaseAppended) leaseMessage()     {}
func (LeaseAppendFailed) leaseMessage() {}
func (LeaseHeard) leaseMessage()        {}
func (LeaseTick) leaseMessage()         {}
func (LeaseLeave) leaseMessage()        {}

// LeaseAction is an output of Lease. The caller performs one at a time and
// answers each with a message.
type LeaseAction interface{ leaseAction() }

// ReadLease orders a read of the newest record.
type ReadLease struct{}

// AppendLease orders an append on the condition that the partition ends at At.
type AppendLease struct {
	At     int64
	Record LeaseRecord
}

func (ReadLease) leaseAction()   {}
func (AppendLease) leaseAction() {}

// Lease is the lease of the duties as one instance sees it. Times are those of
// a clock that goes on while the machine is suspended. Invariant: the holder
// acts only within validity of the sending of its newest record, and another
// instance appends only after takeoverAfter without a newer record, so that no
// two act at the same time.
type Lease struct {
	self    Holder
	stagger time.Duration
	record  *LeaseRecord
	end     int64
	// synced is set while record and end are the newest that were read.
	synced bool
	// seenAt is when the newest record became known.
	seenAt   time.Duration
	nextRead time.Duration
	busy     bool
	sentAt   time.Duration
	sent     *LeaseRecord
	fence    int64
	// validUntil is the end of the permission to act.
	validUntil time.Duration
	nonce      uint64
	leaving    bool
}

// NewLease returns a lease of which nothing is known.
func NewLease(self Holder, seed uint64) *Lease {
	hash := xxhash.Sum64String(self.Node)
	return &Lease{
		self: self, nonce: seed,
		stagger: time.Duration(hash%takeoverSteps) * takeoverStep,
	}
}

// Authority returns the fence under which the instance may act at now.
func (l *Lease) Authority(now time.Duration) (fence int64, ok bool) {
	return l.fence, !l.leaving && now < l.validUntil
}

// Known returns the offset of the newest known record, -1 for none.
func (l *Lease) Known() int64 { return l.end - 1 }

// Step processes one message at now.
func (l *Lease) Step(now time.Duration, msg LeaseMessage) []LeaseAction {
	switch msg := msg.(type) {
	case LeaseRead:
		l.busy = false
		l.read(now, msg)
	case LeaseReadFailed:
		l.busy = false
	case LeaseAppended:
		l.busy = false
		l.appended(now, msg.Offset)
	case LeaseAppendFailed:
		l.busy, l.synced = false, false
	case LeaseHeard:
		l.heard(now, msg)
	case LeaseLeave:
		l.leaving = true
	case LeaseTick:
	}
	if l.busy {
		return nil
	}
	return l.act(now)
}

func (l *Lease) read(now time.Duration, msg LeaseRead) {
	if msg.End < l.end {
		// A peer knew of a newer record before this reply came.
		return
	}
	l.synced = true
	if msg.End > l.end || (l.seenAt == 0 && msg.Record != nil) {
		l.seenAt = now
	}
	l.end, l.record = msg.End, msg.Record
	if msg.Record != nil && l.sent != nil && msg.Record.Nonce == l.sent.Nonce && msg.Record.Holder == l.self {
		l.appended(now, msg.Record.Offset)
	}
}

// appended accepts the record that was sent last.
func (l *Lease) appended(now time.Duration, offset int64) {
	if l.sent == nil {
		return
	}
	record := *l.sent
	record.Offset = offset
	if offset+1 < l.end {
		// Another instance has appended since.
		l.sent, l.synced = nil, false
		return
	}
	l.sent, l.record, l.end, l.synced, l.seenAt = nil, &record, offset+1, true, now
	l.fence = record.holderFence()
	l.validUntil = l.sentAt + validity
	if record.Released {
		l.validUntil = 0
	}
}

func (l *Lease) heard(now time.Duration, msg LeaseHeard) {
	if msg.Offset < l.end {
		return
	}
	l.end, l.seenAt, l.record = msg.Offset+1, now, nil
	// A peer that does not hold the lease may tell of one that was released.
	l.synced = msg.Held
}

func (l *Lease) act(now time.Duration) []LeaseAction {
	own := l.synced && l.record != nil && l.record.Holder == l.self && !l.record.Released
	switch {
	case !l.synced:
		return l.readAgain(now)
	case l.leaving && own:
		return l.append(now, LeaseRecord{Fence: l.record.holderFence(), Released: true})
	case l.leaving:
		return nil
	case own && now >= l.sentAt+renewInterval:
		return l.append(now, LeaseRecord{Fence: l.record.holderFence()})
	case own:
		return nil
	case l.free(now):
		return l.append(now, LeaseRecord{})
	}
	return nil
}

// free reports whether the lease may be taken.
func (l *Lease) free(now time.Duration) bool {
	if l.end == 0 || (l.record != nil && l.record.Released) {
		return now >= l.seenAt+l.stagger
	}
	return now >= l.seenAt+takeoverAfter+l.stagger
}

func (l *Lease) readAgain(now time.Duration) []LeaseAction {
	if now < l.nextRead {
		return nil
	}
	l.nextRead, l.busy = now+readInterval, true
	return []LeaseAction{ReadLease{}}
}

func (l *Lease) append(now time.Duration, r LeaseRecord) []LeaseAction {
	l.nonce++
	r.Holder, r.Nonce = l.self, l.nonce
	l.sent, l.sentAt, l.busy = &r, now, true
	return []LeaseAction{AppendLease{At: l.end, Record: r}}
}
