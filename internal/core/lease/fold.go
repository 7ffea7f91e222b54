// Package lease decides which controller may issue orders in a shard.
//
// A shard is one service in one data centre. Fold is a pure fold of the lease
// stream: every reader of the same prefix agrees on the holder of each shard.
// Machine is the state machine of one holder: it renews all shards of a node
// with one log record and grants permits that end before the lease does.
package lease

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// Duration is the lifetime of a lease after its last record, in the time of
	// the log service.
	Duration = 15 * time.Second
	// SafetyMargin is how long before the end of its lease a holder stops issuing
	// orders. It covers differences in clock rate and slow sends.
	SafetyMargin = 3 * time.Second
	// MaxOrderDelay is the longest time that an order can be in flight.
	MaxOrderDelay = 10 * time.Second
)

// Shard is the unit that a lease covers.
type Shard struct {
	Service    fleet.ServiceName
	DataCentre fleet.DataCentre
}

// String returns service/data centre.
func (s Shard) String() string { return string(s.Service) + "/" + string(s.DataCentre) }

// Holder names a controller process. Incarnation differs for each process
// start, so that two processes with the same instance name never share a lease.
type Holder struct {
	Instance    fleet.InstanceID
	Incarnation string
}

// Fence is a fencing token: the offset of the accepted lease record.
type Fence uint64

// Kind is the kind of a record.
type Kind uint8

// Kinds of records.
const (
	// KindHold acquires or renews the shards.
	KindHold Kind = iota + 1
	// KindRelease releases the shards before their leases expire.
	KindRelease
)

// Record is one record of the lease stream. It covers all shards of a node, so
// that the number of appends depends on the nodes and not on the shards.
type Record struct {
	// ID is unique for each append.
	ID     string
	Holder Holder
	Kind   Kind
	// Shards are the shards to acquire or release.
	Shards []Shard
	// Renewed are shards whose lease was last accepted at RenewedFrom or later, in
	// log time. This shows a reader that started in the middle of the stream that
	// the lease was live.
	Renewed     []Shard
	RenewedFrom time.Duration
}

// Entry is a record at its place in the stream.
type Entry struct {
	Offset uint64
	// Time is the append time of the log service, since the Unix epoch.
	Time   time.Duration
	Record Record
}

// Lease is the last accepted lease of a shard.
type Lease struct {
	Holder Holder
	Fence  Fence
	// Granted is the log time of the last accepted record.
	Granted  time.Duration
	Released bool
	// confirmed is false while a fold that started in the middle of the stream
	// can't determine whether the record was accepted.
	confirmed bool
}

// live reports whether the lease excludes other holders at the log time now.
func (l Lease) live(now time.Duration) bool {
	return !l.Released && now < l.Granted+Duration
}

// Change is the effect of one accepted record on one shard.
type Change struct {
	Shard Shard
	Lease Lease
	// Previous is the lease that was replaced; its holder is empty if there
	// was none.
	Previous Lease
}

// Fold holds the lease table. Invariant: the log time at which the holder of a
// shard changes is at least Duration after the last accepted record of the
// previous holder, unless that holder released the shard.
type Fold struct {
	leases map[Shard]Lease
	now    time.Duration
	// completeFrom is the log time from which a shard without an entry is free: a
	// lease that was live before the first entry has expired by then.
	completeFrom time.Duration
	started      bool
	// missedEntries tells that the fold started in the middle of the stream.
	missedEntries bool
}

// NewFold returns a fold without leases.
func NewFold() *Fold { return &Fold{leases: make(map[Shard]Lease)} }

// Lookup returns the last accepted lease of a shard. It reports false if there
// is none, or if it can't be determined because the fold missed entries.
func (f *Fold) Lookup(s Shard) (Lease, bool) {
	l, ok := f.leases[s]
	return l, ok && l.confirmed
}

// Apply folds one entry and returns the accepted changes in the order of the
// record's shards. A shard under a live lease of another holder is skipped, and
// so is one whose holder is not yet known because the fold missed entries.
func (f *Fold) Apply(e Entry) []Change {
	f.now = max(f.now, e.Time)
	if !f.started {
		f.start(e)
	}
	var changes []Change
	for _, shard := range e.Record.Shards {
		if change, ok := f.apply(e, shard); ok {
			changes = append(changes, change)
		}
	}
	for _, shard := range e.Record.Renewed {
		if change, ok := f.renew(e, shard); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

func (f *Fold) start(e Entry) {
	f.started = true
	f.missedEntries = e.Offset > 0
	if f.missedEntries {
		f.completeFrom = f.now + Duration
	}
}

// renew accepts the renewal of a lease that was provably live; otherwise the
// renewal is handled as an acquisition.
func (f *Fold) renew(e Entry, shard Shard) (Change, bool) {
	if f.now >= e.Record.RenewedFrom+Duration {
		return f.apply(e, shard)
	}
	if l, found := f.leases[shard]; found && l.confirmed {
		return f.apply(e, shard)
	}
	return f.accept(shard, Lease{Holder: e.Record.Holder, Fence: Fence(e.Offset), Granted: f.now})
}

func (f *Fold) apply(e Entry, shard Shard) (Change, bool) {
	previous, found := f.leases[shard]
	holderKnown := f.holderKnown(shard)
	own := found && previous.Holder == e.Record.Holder
	next := Lease{Holder: e.Record.Holder, Fence: Fence(e.Offset), Granted: f.now}
	switch e.Record.Kind {
	case KindHold:
		if !holderKnown {
			f.leases[shard] = next
			return Change{}, false
		}
		if !own && found && previous.live(f.now) {
			return Change{}, false
		}
	case KindRelease:
		if !own || !holderKnown || previous.Released {
			return Change{}, false
		}
		next.Released = true
	default:
		return Change{}, false
	}
	return f.accept(shard, next)
}

func (f *Fold) accept(shard Shard, next Lease) (Change, bool) {
	next.confirmed = true
	previous := f.leases[shard]
	f.leases[shard] = next
	return Change{Shard: shard, Lease: next, Previous: previous}, true
}

// holderKnown reports whether the state of a shard is known: its lease is
// confirmed, or every lease that the shard may have had has expired.
func (f *Fold) holderKnown(shard Shard) bool {
	l, found := f.leases[shard]
	if found && l.confirmed {
		return true
	}
	return f.now >= f.completeFrom && (!found || f.now >= l.Granted+Duration)
}
