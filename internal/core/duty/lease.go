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
	// leaseValidity is how long after the sending of a renewal the holder may act.
	// A call of the holder takes up to a second, so that all of them have ended
	// before another instance takes over.
	leaseValidity = 2 * time.Second
	// takeoverDelay is how long the newest record must have been known without
	// a newer one before another instance takes over.
	takeoverDelay = 3500 * time.Millisecond
	// takeoverJitterStep spreads the attempts of several candidates.
	takeoverJitterStep  = 150 * time.Millisecond
	takeoverJitterSteps = 8
	// minReadInterval bounds the reads of the lease.
	minReadInterval = 500 * time.Millisecond
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

// LeaseReported is what a peer knows of the lease.
type LeaseReported struct {
	Offset int64
	// Held is set if the peer holds the lease.
	Held bool
}

// LeaseTick lets the machine act on the passing of time.
type LeaseTick struct{}

// LeaseRelease releases the lease for good.
type LeaseRelease struct{}

func (LeaseRead) leaseMessage()         {}
func (LeaseReadFailed) leaseMessage()   {}
func (LeaseAppended) leaseMessage()     {}
func (LeaseAppendFailed) leaseMessage() {}
func (LeaseReported) leaseMessage()     {}
func (LeaseTick) leaseMessage()         {}
func (LeaseRelease) leaseMessage()      {}

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
	self           Holder
	takeoverJitter time.Duration
	record         *LeaseRecord
	end            int64
	// synced is set while record and end are the newest that were read.
	synced bool
	// recordSeenAt is when the newest record became known.
	recordSeenAt time.Duration
	nextRead     time.Duration
	inFlight     bool
	appendSentAt time.Duration
	unconfirmed  *LeaseRecord
	fence        int64
	// validUntil is the end of the permission to act.
	validUntil time.Duration
	nonce      uint64
	releasing  bool
}

// NewLease returns a lease of which nothing is known.
func NewLease(self Holder, seed uint64) *Lease {
	hash := xxhash.Sum64String(self.Node)
	return &Lease{
		self: self, nonce: seed,
		takeoverJitter: time.Duration(hash%takeoverJitterSteps) * takeoverJitterStep,
	}
}

// Authority returns the fence under which the instance may act at now.
func (l *Lease) Authority(now time.Duration) (fence int64, ok bool) {
	return l.fence, !l.releasing && now < l.validUntil
}

// NewestOffset returns the offset of the newest known record, -1 for none.
func (l *Lease) NewestOffset() int64 { return l.end - 1 }

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
		l.applyAppend(now, msg.Offset)
	case LeaseAppendFailed:
		l.inFlight, l.synced = false, false
	case LeaseReported:
		l.applyPeerReport(now, msg)
	case LeaseRelease:
		l.releasing = true
	case LeaseTick:
	}
	if l.inFlight {
		return nil
	}
	return l.nextActions(now)
}

func (l *Lease) applyRead(now time.Duration, msg LeaseRead) {
	if msg.End < l.end {
		// A peer knew of a newer record before this reply came.
		return
	}
	l.synced = true
	if msg.End > l.end || (l.recordSeenAt == 0 && msg.Record != nil) {
		l.recordSeenAt = now
	}
	l.end, l.record = msg.End, msg.Record
	if msg.Record != nil && l.unconfirmed != nil && msg.Record.Nonce == l.unconfirmed.Nonce && msg.Record.Holder == l.self {
		l.applyAppend(now, msg.Record.Offset)
	}
}

// applyAppend accepts the record that was sent last.
func (l *Lease) applyAppend(now time.Duration, offset int64) {
	if l.unconfirmed == nil {
		return
	}
	record := *l.unconfirmed
	record.Offset = offset
	if offset+1 < l.end {
		// Another instance has appended since.
		l.unconfirmed, l.synced = nil, false
		return
	}
	l.unconfirmed, l.record, l.end, l.synced, l.recordSeenAt = nil, &record, offset+1, true, now
	l.fence = record.holderFence()
	l.validUntil = l.appendSentAt + leaseValidity
	if record.Released {
		l.validUntil = 0
	}
}

func (l *Lease) applyPeerReport(now time.Duration, msg LeaseReported) {
	if msg.Offset < l.end {
		return
	}
	l.end, l.recordSeenAt, l.record = msg.Offset+1, now, nil
	// A peer that does not hold the lease may tell of one that was released.
	l.synced = msg.Held
}

func (l *Lease) nextActions(now time.Duration) []LeaseAction {
	own := l.synced && l.record != nil && l.record.Holder == l.self && !l.record.Released
	switch {
	case !l.synced:
		return l.requestRead(now)
	case l.releasing && own:
		return l.requestAppend(now, LeaseRecord{Fence: l.record.holderFence(), Released: true})
	case l.releasing:
		return nil
	case own && now >= l.appendSentAt+renewInterval:
		return l.requestAppend(now, LeaseRecord{Fence: l.record.holderFence()})
	case own:
		return nil
	case l.available(now):
		return l.requestAppend(now, LeaseRecord{})
	}
	return nil
}

// available reports whether the lease may be taken.
func (l *Lease) available(now time.Duration) bool {
	if l.end == 0 || (l.record != nil && l.record.Released) {
		return now >= l.recordSeenAt+l.takeoverJitter
	}
	return now >= l.recordSeenAt+takeoverDelay+l.takeoverJitter
}

func (l *Lease) requestRead(now time.Duration) []LeaseAction {
	if now < l.nextRead {
		return nil
	}
	l.nextRead, l.inFlight = now+minReadInterval, true
	return []LeaseAction{ReadLease{}}
}

func (l *Lease) requestAppend(now time.Duration, r LeaseRecord) []LeaseAction {
	l.nonce++
	r.Holder, r.Nonce = l.self, l.nonce
	l.unconfirmed, l.appendSentAt, l.inFlight = &r, now, true
	return []LeaseAction{AppendLease{At: l.end, Record: r}}
}
