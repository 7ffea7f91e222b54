package duty

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

// Holder identifies one process run of an instance.
type Holder struct{ Node, Boot string }

// LeaseRecord is one record of the lease. Records are ordered by position.
type LeaseRecord struct {
	Position storelog.Position
	Holder   Holder
	// Epoch is the epoch of the store for which the record was written. A record grants nothing in
	// a later one, to which it came with the copy, or by an append that was executed late: the
	// copy may lack later records.
	Epoch storelog.Epoch
	// EpochSince is a time of day at which that epoch had begun, as Unix time.
	EpochSince time.Duration
	// Fence is the fencing token: the position of the record that acquired the lease
	// plus one. It is zero in that record itself. Tokens rise over epochs as positions do.
	Fence int64
	// Nonce identifies an append whose response was lost.
	Nonce    uint64
	Released bool
}

// holderFence returns the fencing token of the record's holder, also for the
// record that acquires the lease.
func (r *LeaseRecord) holderFence() int64 {
	if r.Fence != 0 {
		return r.Fence
	}
	return int64(r.Position) + 1
}

// LeaseMessage is an input of Lease.
type LeaseMessage interface{ leaseMessage() }

// LeaseRead is the result of a read: the newest record of the lease, nil if there
// is none, and in End the position of the next record.
type LeaseRead struct {
	Record *LeaseRecord
	End    storelog.Position
}

// LeaseReadFailed reports that a read of the store failed.
type LeaseReadFailed struct{}

// LeaseAppended reports that the record was appended at Position.
type LeaseAppended struct{ Position storelog.Position }

// LeaseAppendFailed reports that an append was refused, conflicted with another
// append, or got no response and may still take effect.
type LeaseAppendFailed struct{}

// LeaseReported is the state of the lease as a peer reports it. Position is that of
// the newest record the peer has seen.
type LeaseReported struct {
	Position storelog.Position
	// Held is set if the peer holds the lease.
	Held bool
}

// LeaseCandidacy tells whether this instance may acquire the lease. It may by default. The
// holder keeps the lease whether it may or not.
type LeaseCandidacy struct{ Allowed bool }

// LeaseEpochBegan reports that the store has come back from an older copy, or the epoch that an
// instance sees first. What the lease rested on may be lost.
type LeaseEpochBegan struct{ Epoch storelog.Epoch }

// LeaseTick makes the state machine check its timeouts.
type LeaseTick struct{}

// LeaseRelease makes this instance stop acting as the holder, and releases the lease once none
// of its calls is pending. It is repeated until then.
type LeaseRelease struct{ CallsPending bool }

func (LeaseRead) leaseMessage()         {}
func (LeaseReadFailed) leaseMessage()   {}
func (LeaseAppended) leaseMessage()     {}
func (LeaseAppendFailed) leaseMessage() {}
func (LeaseReported) leaseMessage()     {}
func (LeaseCandidacy) leaseMessage()    {}
func (LeaseEpochBegan) leaseMessage()   {}
func (LeaseTick) leaseMessage()         {}
func (LeaseRelease) leaseMessage()      {}

// LeaseAction is an output of Lease. The caller performs one at a time and posts
// its result as a message.
type LeaseAction interface{ leaseAction() }

// ReadLease requests a read of the newest record.
type ReadLease struct{}

// AppendLease requests an append on the condition that the partition ends at
// position At.
type AppendLease struct {
	At     storelog.Position
	Record LeaseRecord
}

func (ReadLease) leaseAction()   {}
func (AppendLease) leaseAction() {}
